"""Control of platform and upstreams in other processes."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp

from anviltray.messages import ConfigCommand
from anviltray.state.configuration import STREAM, encode_record
from standins.fleet._process import ManagedProcess
from standins.relay import Relay
from standins.upstream import UpstreamOptions

_CONTROL_BOUND_S = 10.0

# An append above the rate of the platform is repeated after this pause.
_APPEND_PAUSE_S = 0.05


class ControlError(Exception):
    """A control call failed."""


async def call(session: aiohttp.ClientSession, method: str, url: str, data: Any = None) -> Any:
    """Returns the JSON answer of a control call; raises ControlError."""
    timeout = aiohttp.ClientTimeout(total=_CONTROL_BOUND_S)
    try:
        async with session.request(method, url, json=data, timeout=timeout) as response:
            answer = await response.json(content_type=None)
            if response.status >= 400:
                raise ControlError(f"{method} {url}: {response.status} {answer}")
            return answer
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ControlError(f"{method} {url}: {type(error).__name__} {error}") from error


class PlatformHandle:
    """The platform process. Its log is lost if it is killed; use `conditions(outage=True)`."""

    def __init__(self, session: aiohttp.ClientSession, address: str, directory: Path) -> None:
        self.address = address
        self.process = ManagedProcess(
            "platform", "standins.platform", ["--listen", address], directory
        )
        self._session = session

    async def conditions(self, **fields: Any) -> None:
        """Replaces all conditions, see `standins.platform.Conditions`."""
        await self._control("conditions", fields)

    async def trim(self, stream: str, oldest: int) -> None:
        """Removes the records of a stream before `oldest`."""
        await self._control("trim", {"stream": stream, "oldest": oldest})

    async def set_hosts(self, hosts: Sequence[dict[str, str]]) -> None:
        """Sets the host list, which readers see after its lag."""
        await self._control("hosts", {"hosts": list(hosts)})

    async def append_command(self, command: ConfigCommand) -> int:
        """Appends a command to the configuration stream, as a node does, and returns its offset."""
        url = f"http://{self.address}/streams/{STREAM}"
        while True:
            async with self._session.post(url, data=encode_record(command)) as response:
                if response.status == 201:
                    return int((await response.json())["offset"])
                if response.status != 429:
                    raise ControlError(f"POST {url}: {response.status}")
            await asyncio.sleep(_APPEND_PAUSE_S)

    async def _control(self, name: str, data: dict[str, Any]) -> None:
        await call(self._session, "POST", f"http://{self.address}/control/{name}", data)


class UpstreamHandle:
    """One upstream process, and the relay in front of it if there is one."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        options: UpstreamOptions,
        own_address: str,
        control_address: str,
        directory: Path,
    ) -> None:
        self.name = options.name
        self.slots = options.slots
        self.own_address = own_address
        self.relay: Relay | None = None
        self.control_address = control_address
        self._executions = directory / f"{options.name}.executions"
        self._session = session
        self.process = ManagedProcess(
            options.name,
            "standins.upstream",
            _arguments(options, own_address, control_address, self._executions),
            directory,
        )

    @property
    def address(self) -> str:
        """IP:port that nodes use."""
        return self.own_address if self.relay is None else self.relay.address

    async def faults(self, **fields: Any) -> None:
        """Replaces all faults, see `standins.upstream.Faults`; without fields it is healthy."""
        await self._control("POST", "faults", fields)

    async def drain(self, on: bool = True, refuse: bool = False) -> None:
        """Announces draining; with `refuse` it also refuses new requests."""
        await self._control("POST", "drain", {"on": on, "refuse": refuse})

    async def state(self) -> dict[str, Any]:
        """Returns the counts of the running process."""
        answer: dict[str, Any] = await self._control("GET", "state")
        return answer

    def executions(self) -> Counter[str]:
        """Returns the executions by identifier, over all runs of the process."""
        if not self._executions.exists():
            return Counter()
        return Counter(self._executions.read_text("utf-8").splitlines())

    async def _control(self, method: str, name: str, data: Any = None) -> Any:
        url = f"http://{self.control_address}/control/{name}"
        return await call(self._session, method, url, data)


def _arguments(
    options: UpstreamOptions, address: str, control_address: str, executions: Path
) -> list[str | Path]:
    return [
        *("--listen", address, "--control", control_address, "--executions", executions),
        *("--name", options.name, "--slots", f"{options.slots}", "--queue", f"{options.queue}"),
        *("--median-ms", f"{options.median_s * 1000}", "--sigma", f"{options.sigma}"),
        *("--seed", f"{options.seed}", "--cold-s", f"{options.cold_s}"),
        *("--report-lag-s", f"{options.report_lag_s}"),
    ]
