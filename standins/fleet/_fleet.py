"""Fleet launcher."""

import asyncio
import contextlib
import secrets
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import aiohttp
import yaml

from anviltray.declarations import Declarations, parse_declarations
from anviltray.settings import Settings, load_settings
from anviltray.state.configuration import put_service
from anviltray.testing import free_address
from standins._waiting import poll_until
from standins.caller import Caller
from standins.fleet._handles import PlatformHandle, UpstreamHandle
from standins.fleet._plan import FleetPlan, NodePlan, UpstreamPlan
from standins.fleet._process import START_TIMEOUT_S, ManagedProcess, ProcessEnded
from standins.relay import Relay

_POLL_TIMEOUT_S = 1.0

# Each host has its own IP address, by which a relay distinguishes the hosts.
_PLATFORM_IP = "127.0.0.9"
_NODE_IP = "127.0.1.{}"
_UPSTREAM_IP = "127.0.2.{}"
_RELAY_IP = "127.0.3.1"


class NodeHandle:
    """One node process."""

    def __init__(self, settings: Settings, path: Path, directory: Path, module: str) -> None:
        self.name = settings.node
        self.settings = settings
        self.platform_relay: Relay | None = None
        self.process = ManagedProcess(self.name, module, [path], directory)

    @property
    def address(self) -> str:
        """IP:port for callers."""
        return self.settings.caller_address

    def host_entry(self, state: str = "live") -> dict[str, str]:
        """Returns the entry of the node in the host list."""
        return {
            "address": self.settings.caller_address,
            "role": "node",
            "state": state,
            "region": self.settings.region,
            "zone": self.settings.zone,
            "peer_address": self.settings.peer_address,
            "node": self.name,
        }


class Fleet:
    """Starts the platform, upstreams and nodes as processes and stops them.

    Example:

        async with Fleet(small_plan()) as fleet:
            await fleet.start_nodes()
            async with fleet.caller() as caller:
                record = await caller.send("supply-yard", "POST", "/supply/orders")
            assert fleet.executions()[record.request_id] <= 1

    Entering the context starts the platform, the relays and the upstreams, sets the host list and
    appends the declarations to the log. Exiting kills every process by its id, also after an
    error. Outputs, settings and execution counts are in `directory`, by default a temporary one.
    """

    def __init__(self, plan: FleetPlan, directory: Path | None = None) -> None:
        self.plan = plan
        self.nodes: dict[str, NodeHandle] = {}
        self.upstreams: dict[str, UpstreamHandle] = {}
        self.hosts: dict[str, dict[str, str]] = {}
        self.relays: list[Relay] = []
        self.platform: PlatformHandle
        self._given_directory = directory
        self._cleanup = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        try:
            await self._set_up()
        except BaseException:
            await self._cleanup.aclose()
            raise
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        await self._cleanup.aclose()

    async def _set_up(self) -> None:
        if self._given_directory is None:
            temporary = tempfile.TemporaryDirectory(prefix="anviltray-fleet-")
            self._cleanup.callback(temporary.cleanup)
            self.directory = Path(temporary.name)
        else:
            self.directory = self._given_directory
        self._session = await self._cleanup.enter_async_context(aiohttp.ClientSession())
        self.platform = PlatformHandle(self._session, free_address(_PLATFORM_IP), self.directory)
        self._cleanup.callback(self.platform.process.kill)
        startups = [self.platform.process.start_and_wait_ready()]
        for service in self.plan.services:
            for index, planned in enumerate(service.upstreams, 1):
                handle = self._create_upstream(f"{service.name}-{index}", planned)
                startups.append(handle.process.start_and_wait_ready())
        await asyncio.gather(*startups)
        for upstream in self.upstreams.values():
            if upstream.relay is not None:
                await upstream.relay.start()
        await self._create_nodes()
        await self.platform.set_conditions(host_list_lag_s=self.plan.host_list_lag_s)
        await self._publish_hosts()
        for declared in self.declarations().services:
            await self.platform.append_command(
                put_service(
                    declared, based_on=-1, who="fleet", why="start", issued_unix_s=time.time()
                )
            )

    def _create_upstream(self, name: str, planned: UpstreamPlan) -> UpstreamHandle:
        number = len(self.upstreams) + 1
        options = planned.options._replace(name=name, seed=planned.options.seed + number)
        ip = _UPSTREAM_IP.format(number)
        handle = UpstreamHandle(
            self._session, options, free_address(ip), free_address(ip), self.directory
        )
        if planned.relay:
            handle.relay = self.add_relay(handle.direct_address)
        self.upstreams[name] = handle
        self._cleanup.callback(handle.process.kill)
        return handle

    async def _create_nodes(self) -> None:
        addresses = {
            planned.name: [free_address(_NODE_IP.format(number)) for _ in range(3)]
            for number, planned in enumerate(self.plan.nodes, 1)
        }
        seeds = [peer_address for _, peer_address, _ in addresses.values()]
        for planned in self.plan.nodes:
            await self._create_node(planned, addresses[planned.name], seeds)

    async def _create_node(
        self, planned: NodePlan, addresses: Sequence[str], seeds: Sequence[str]
    ) -> None:
        platform_address = self.platform.address
        relay = None
        if planned.platform_relay:
            relay = self.add_relay(platform_address)
            platform_address = await relay.start()
        document: dict[str, Any] = {
            "node": planned.name,
            "region": planned.region,
            "zone": planned.zone,
            "caller_address": addresses[0],
            "peer_address": addresses[1],
            "operator_address": addresses[2],
            "platform": {"kind": "http", "url": f"http://{platform_address}"},
            "exchange": {"seeds": [seed for seed in seeds if seed != addresses[1]]},
        }
        for section, values in (*self.plan.settings.items(), *planned.settings.items()):
            document[section] = {**document.get(section, {}), **values}
        path = self.directory / f"{planned.name}.yaml"
        path.write_text(yaml.safe_dump(document), encoding="utf-8")
        handle = NodeHandle(load_settings(path), path, self.directory, self.plan.node_module)
        handle.platform_relay = relay
        self.nodes[planned.name] = handle
        self._cleanup.callback(handle.process.kill)

    def add_relay(self, target: str) -> Relay:
        """Returns a new relay to `target`, not started yet; the fleet closes it."""
        relay = Relay(target, f"{_RELAY_IP}:0")
        self.relays.append(relay)
        self._cleanup.push_async_callback(relay.close)
        return relay

    async def _publish_hosts(self) -> None:
        self.hosts = {node.address: node.host_entry() for node in self.nodes.values()}
        for service in self.plan.services:
            for index, planned in enumerate(service.upstreams):
                handle = self.upstreams[f"{service.name}-{index + 1}"]
                self.hosts[handle.address] = {
                    "address": handle.address,
                    "role": "upstream",
                    "state": "live",
                    "region": planned.region,
                    "zone": planned.zone,
                    "peer_address": "",
                    "node": "",
                }
        await self.platform.set_hosts(list(self.hosts.values()))

    async def set_host_state(self, address: str, state: str) -> None:
        """Sets the state of one entry of the host list to "live" or "leaving"."""
        self.hosts[address] = {**self.hosts[address], "state": state}
        await self.platform.set_hosts(list(self.hosts.values()))

    def declarations(self) -> Declarations:
        """Returns the declarations of the plan, with the addresses of this fleet."""
        documents = []
        for service in self.plan.services:
            upstreams = [
                {
                    "address": self.upstreams[f"{service.name}-{index + 1}"].address,
                    "region": planned.region,
                    "zone": planned.zone,
                    "slots": planned.options.slots,
                }
                for index, planned in enumerate(service.upstreams)
            ]
            documents.append({"name": service.name, "upstreams": upstreams, **service.declaration})
        return parse_declarations({"services": documents}, "fleet plan")

    async def start_nodes(self, *names: str) -> None:
        """Starts the named nodes, or all, and waits until they are ready."""
        nodes = [self.nodes[name] for name in names or self.nodes]
        for node in nodes:
            node.process.start()
        await asyncio.gather(*(self.wait_until_ready(node) for node in nodes))

    async def wait_until_ready(self, node: NodeHandle, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until a node reports readiness; raises ProcessEnded or TimeoutError."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        reasons: object = "no response"
        while loop.time() < deadline_s:
            if not node.process.running:
                raise ProcessEnded(f"{node.name} exited: {node.process.tail()}")
            status, reasons = await self._readiness(node)
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{node.name} is not ready: {reasons}; {node.process.tail()}")

    async def _readiness(self, node: NodeHandle) -> tuple[int, object]:
        url = f"http://{node.address}/.anviltray/ready"
        timeout = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, type(error).__name__

    async def query(self, node: NodeHandle, text: str, deadline_s: float = 2.0) -> dict[str, Any]:
        """Returns the response of a node to a query of the operator language."""
        return await self._call_operator_api(
            node, "query", {"text": text, "deadline_s": deadline_s}
        )

    async def command(self, node: NodeHandle, text: str, deadline_s: float = 5.0) -> dict[str, Any]:
        """Returns the response of a node to a command of the operator language."""
        data: dict[str, Any] = {
            "command_id": secrets.token_hex(8),
            "operator": "fleet",
            "reason": "test",
        }
        data |= {"text": text, "deadline_s": deadline_s}
        return await self._call_operator_api(node, "command", data)

    async def _call_operator_api(
        self, node: NodeHandle, kind: str, data: dict[str, Any]
    ) -> dict[str, Any]:
        url = f"http://{node.settings.operator_address}/v1/{kind}"
        timeout = aiohttp.ClientTimeout(total=data["deadline_s"] + _POLL_TIMEOUT_S)
        async with self._session.post(url, json=data, timeout=timeout) as response:
            body: dict[str, Any] = await response.json(content_type=None)
            return {"status": response.status, **body}

    def caller(self, region: str = "", name: str = "c", seed: int = 1) -> Caller:
        """Returns a caller that asks the nodes of `region`, or all; use it in `async with`."""
        nodes = [node for node in self.nodes.values() if region in ("", node.settings.region)]
        return Caller([node.address for node in nodes], region, name, seed)

    def executions(self) -> Counter[str]:
        """Returns the execution counts of all upstreams by identifier, also of killed processes."""
        total: Counter[str] = Counter()
        for upstream in self.upstreams.values():
            total.update(upstream.executions())
        return total

    async def restart(self, handle: NodeHandle | UpstreamHandle) -> None:
        """Kills a process and starts it again on the same addresses."""
        handle.process.kill()
        if isinstance(handle, NodeHandle):
            await self.start_nodes(handle.name)
        else:
            await handle.process.start_and_wait_ready()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits until `condition()` holds; raises TimeoutError."""
        await poll_until(condition, timeout_s)
