"""Edge hosts as processes in several availability zones, with a store and instances."""

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import aiohttp

from standins._waiting import poll_until
from standins.fleet import ManagedProcess
from standins.soak._accounts import SoakAccounts
from standins.soak._instance import Instance
from standins.soak._rules import STORE, Bounds, Disturbance, InstanceFault, Observations
from standins.store import StoreStandin

CALLER_PORT, DIRECTORY_PORT, READINESS_PORT = 8144, 8143, 8140
ROUTE_HOST = "soak.example"
_START_TIMEOUT_S = 60.0
_GRACE_S = 6.0
_KEY_LIFETIME_S = 4.0  # Interval at which keys of client accounts are replaced.
_SETTINGS = """
nodeName = "{node}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [7660, 7675]
seeds = [{seeds}]
heartbeatMs = 1500
bootstrap = {first_start}
bounds = ["drainMs={drain_ms:g}", "graceS={grace_s:g}", "configApplyMs=2000",
  "retryBudgetRatio={ratio:g}", "budgetWindowS={window_s:g}", "retryBudgetSlack={slack}",
  "ttl_max_s=5", "floorShare=0.7"]
[zones]
{zones}
[listen]
front = "{ip}:{caller_port}"
readiness = "{ip}:{readiness_port}"
directory = "{ip}:{directory_port}"
[provider]
address = "{store}"
"""


class RouteKind(NamedTuple):
    """One kind of request of a service."""

    service: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    rate_per_s: float  # Requests of all callers together.


class Topology(NamedTuple):
    """Size of a deployment."""

    hosts_per_zone: int = 12
    zones: Mapping[str, str] = MappingProxyType(  # Region of each zone.
        {"lahore": "punjab", "faisalabad": "punjab", "karachi": "sindh", "hyderabad": "sindh"}
    )
    instances: Mapping[str, int] = MappingProxyType({"fabric-desk": 30, "order-desk": 8})
    routes: Mapping[str, RouteKind] = MappingProxyType(
        {
            "catalogue": RouteKind("fabric-desk", True, 1.5, 0.8, 38.8),
            "reserve": RouteKind("fabric-desk", False, 2.0, 0.8, 117.0),
            "order": RouteKind("order-desk", False, 1.5, 0.6, 50.0),
        }
    )
    work_s: float = 0.2  # Median service time.
    accounts: int = 0  # Client accounts; without any, requests need no key.


# Instances that take as much work, so that each connection carries several times as many requests.
FEW_INSTANCES = {"fabric-desk": 6, "order-desk": 3}
FEW_INSTANCES_WORK_S = 0.05


class Host:
    """One edge host; its process can be stopped, killed, suspended and started again."""

    def __init__(self, ip: str, zone: str, process: ManagedProcess) -> None:
        self.ip, self.zone, self.process = ip, zone, process
        self.disturbed = False  # An event is stopping, suspending or starting it.


class Deployment:
    """All parts of one run; times are in seconds since all hosts were ready.

    Example: `async with Deployment(Topology(), Bounds(), directory, seed=1) as deployment`.
    """

    def __init__(self, topology: Topology, bounds: Bounds, directory: Path, seed: int) -> None:
        self.topology, self.bounds, self.directory = topology, bounds, directory
        self.rng = random.Random(seed)
        self.observations = Observations()
        self.store = StoreStandin()
        self.instances: list[Instance] = []
        self.hosts: list[Host] = []
        self.slow_upload_share = 0.0  # Share of the requests with a body that arrives slowly.
        # Share of the callers that come back after a refusal with the identifier that they had.
        self.repeated_id_share = 0.0
        self.accounts = SoakAccounts(
            topology.accounts, self.observations, self.now_s, random.Random(f"{seed} accounts")
        )
        self.version = 0  # Of the newest configuration.
        self._created = 0
        self._started_s = 0.0
        # Ports are the same on all hosts, so runs at the same time need other addresses.
        network = random.SystemRandom()
        self._network = f"127.{network.randint(2, 250)}"
        self._subnet = network.randint(0, 60) * 4

    def now_s(self) -> float:
        """Returns the time since the start of the run."""
        return asyncio.get_running_loop().time() - self._started_s

    async def __aenter__(self) -> "Deployment":
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def _start(self) -> None:
        await self.store.start()
        self.write_configuration(1)
        zones = tuple(self.topology.zones)
        for service, count in self.topology.instances.items():
            for number in range(count):
                await self.add_instance(service, zones[number % len(zones)])
        for zone in zones:
            for number in range(self.topology.hosts_per_zone):
                self.hosts.append(self._prepare_host(zone, number))
        for host in self.hosts:
            host.process.start()
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(_START_TIMEOUT_S):
                await asyncio.gather(*(self._wait_ready(session, host) for host in self.hosts))
        for host in self.hosts:
            # Later starts of the process are not the first start of the fleet.
            self._write_settings(host.ip, host.zone, first_start=False)
        self._started_s = asyncio.get_running_loop().time()

    async def replace_keys(self) -> None:
        """Replaces keys of client accounts until it is cancelled."""
        while self.topology.accounts:
            await asyncio.sleep(_KEY_LIFETIME_S)
            self.accounts.replace_keys()
            self.write_configuration(self.version + 1)

    async def close(self) -> None:
        """Kills the hosts and closes the instances and the store."""
        for host in self.hosts:
            host.process.kill()
        await asyncio.gather(*(instance.close() for instance in self.instances if instance.started))
        await self.store.close()

    async def add_instance(self, service: str, zone: str) -> Instance:
        """Starts and registers another instance."""
        instance = Instance(
            self._next_key(),
            service,
            zone,
            self.store,
            self.observations,
            self.now_s,
            self.rng,
            self.topology.work_s,
        )
        self.instances.append(instance)
        await instance.start()
        return instance

    def write_configuration(self, version: int) -> None:
        """Writes the configuration under a version, which is otherwise the same."""
        self.version = version
        self.store.append_record("keyed.op", "config", self._configuration())

    @contextlib.contextmanager
    def store_disturbance(self) -> Iterator[None]:
        """Records that the store is disturbed meanwhile."""
        from_s = self.now_s()
        yield
        self.observations.disturbances.append(Disturbance(STORE, from_s, self.now_s()))

    def start_instance_again(self, instance: Instance, *, reset: bool) -> str:
        """Gives an instance a new key at its address; returns the old one, still registered."""
        old_key = instance.key
        now_s = self.now_s()
        instance.start_again(self._next_key(), reset=reset)
        if reset:
            self.observations.instance_faults += [
                InstanceFault(key, instance.service, now_s, now_s)
                for key in (old_key, instance.key)
            ]
        return old_key

    @contextlib.contextmanager
    def instance_faults(self, instances: Sequence[Instance]) -> Iterator[None]:
        """Records that instances reset connections, refuse them or are cut off meanwhile."""
        from_s = self.now_s()
        yield
        until_s = self.now_s()
        self.observations.instance_faults += [
            InstanceFault(key, each.service, from_s, until_s)
            for each in instances
            for key in each.keys
        ]

    def _next_key(self) -> str:
        self._created += 1
        return f"i-{self._created:03d}"

    async def restart_host(self, host: Host, stop: Callable[[], None], pause_s: float) -> None:
        """Stops a host by `stop`, which terminates or kills its process, and starts it again."""
        with self._disturbance(host):
            stop()
            await poll_until(lambda: not host.process.running, _GRACE_S + 2.0)
            await asyncio.sleep(pause_s)
            host.process.start()

    async def suspend_host(self, host: Host, for_s: float) -> None:
        """Suspends the process of a host."""
        with self._disturbance(host):
            host.process.pause()
            await asyncio.sleep(for_s)
            host.process.resume()

    @contextlib.contextmanager
    def _disturbance(self, host: Host) -> Iterator[None]:
        from_s, host.disturbed = self.now_s(), True
        yield
        host.disturbed = False
        self.observations.disturbances.append(Disturbance(host.ip, from_s, self.now_s()))

    async def _wait_ready(self, session: aiohttp.ClientSession, host: Host) -> None:
        while not await self._is_ready(session, host):  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    async def _is_ready(self, session: aiohttp.ClientSession, host: Host) -> bool:
        if not host.process.running:
            raise RuntimeError(f"the host {host.ip} has ended: {host.process.tail()}")
        try:
            async with session.get(f"http://{host.ip}:{READINESS_PORT}/v1/ready") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _prepare_host(self, zone: str, number: int) -> Host:
        ip = self._address(zone, number)
        path = self._write_settings(ip, zone, first_start=True)
        name = f"edge-{zone}-{number + 1}"
        return Host(ip, zone, ManagedProcess(name, "anviltray.edge", [path], self.directory))

    def _address(self, zone: str, number: int) -> str:
        return (
            f"{self._network}.{self._subnet + list(self.topology.zones).index(zone)}.{number + 1}"
        )

    def _write_settings(self, ip: str, zone: str, *, first_start: bool) -> Path:
        topology, bounds = self.topology, self.bounds
        path = self.directory / f"{ip}.toml"
        seeds = [self._address(seed, 0) for seed in topology.zones][:3]
        path.write_text(
            _SETTINGS.format(
                node=f"edge-{ip}",
                ip=ip,
                zone=zone,
                region=topology.zones[zone],
                seeds=", ".join(f'"{seed}:8146"' for seed in seeds),
                first_start=str(first_start).lower(),
                drain_ms=bounds.drain_s * 1000,
                grace_s=_GRACE_S,
                ratio=bounds.retry_ratio,
                window_s=bounds.retry_window_s,
                slack=bounds.retry_slack,
                zones="\n".join(f'{name} = "{region}"' for name, region in topology.zones.items()),
                caller_port=CALLER_PORT,
                readiness_port=READINESS_PORT,
                directory_port=DIRECTORY_PORT,
                store=self.store.address,
            ),
            encoding="utf-8",
        )
        return path

    def _configuration(self) -> bytes:
        topology = self.topology
        routes = [
            {
                "name": name,
                "host": ROUTE_HOST,
                "pathPrefix": f"/{name}/",
                "kind": "safe" if kind.idempotent else "unsafe",
                "timeoutMs": kind.timeout_s * 1000,
                "targetLatencyMs": kind.target_latency_s * 1000,
                "priority": 1,
                "service": kind.service,
                "maxAttempts": self.bounds.instance_limit,
            }
            for name, kind in topology.routes.items()
        ]
        services = [
            {"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False}
            for name in topology.instances
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {
            "version": f"r{self.version}",
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        if topology.accounts:
            document["tenants"] = self.accounts.entries()
        return json.dumps(document).encode()
