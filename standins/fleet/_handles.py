"""Handles that control the platform and upstreams in other processes."""

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

_CONTROL_TIMEOUT_S = 10.0

# Delay before an append is retried that exceeded the append rate of the platform.
_APPEND_RETRY_DELAY_S = 0.05


class ControlError(Exception):
    """A control call failed; the message has the call and its status or error."""


async def call_control(
    session: aiohttp.ClientSession, method: str, url: str, data: Any = None
) -> Any:
    """Returns the JSON response of a control call; raises ControlError."""
    timeout = aiohttp.ClientTimeout(total=_CONTROL_TIMEOUT_S)
    try:
        async with session.request(method, url, json=data, timeout=timeout) as response:
            body = await response.json(content_type=None)
            if response.status >= 400:
                raise ControlError(f"{method} {url}: {response.status} {body}")
            return body
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ControlError(f"{method} {url}: {type(error).__name__} {error}") from error


class PlatformHandle:
    """The platform process.

    Its log is in memory and lost if it is killed; simulate outages by
    `set_conditions(outage=True)`.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str, directory: Path) -> None:
        self.address = address
        self.process = ManagedProcess(
            "platform", "standins.platform", ["--listen", address], directory
        )
        self._session = session

    async def set_conditions(self, **fields: Any) -> None:
        """Replaces all conditions; `fields` are those of `standins.platform.Conditions`."""
        await self._control("conditions", fields)

    async def trim(self, stream: str, oldest: int) -> None:
        """Removes the records of a stream before `oldest`."""
        await self._control("trim", {"stream": stream, "oldest": oldest})

    async def set_hosts(self, hosts: Sequence[dict[str, str]]) -> None:
        """Sets the host list, which readers see after the lag."""
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
            await asyncio.sleep(_APPEND_RETRY_DELAY_S)

    async def _control(self, name: str, data: dict[str, Any]) -> None:
        await call_control(self._session, "POST", f"http://{self.address}/control/{name}", data)


class UpstreamHandle:
    """One upstream process and its relay, if it has one."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        options: UpstreamOptions,
        direct_address: str,
        control_address: str,
        directory: Path,
    ) -> None:
        self.name = options.name
        self.slots = options.slots
        self.direct_address = direct_address
        self.relay: Relay | None = None
        self.control_address = control_address
        self._executions = directory / f"{options.name}.executions"
        self._session = session
        self.process = ManagedProcess(
            options.name,
            "standins.upstream",
            _arguments(options, direct_address, control_address, self._executions),
            directory,
        )

    @property
    def address(self) -> str:
        """IP:port that nodes connect to, which is that of the relay if there is one."""
        return self.direct_address if self.relay is None else self.relay.address

    async def set_faults(self, **fields: Any) -> None:
        """Replaces all faults, given as fields of `standins.upstream.Faults`; none clears them."""
        await self._control("POST", "faults", fields)

    async def set_draining(self, on: bool = True, refuse: bool = False) -> None:
        """Sets whether the upstream announces draining; with `refuse` it rejects new requests."""
        await self._control("POST", "drain", {"on": on, "refuse": refuse})

    async def state(self) -> dict[str, Any]:
        """Returns the counters of the running process."""
        state: dict[str, Any] = await self._control("GET", "state")
        return state

    def executions(self) -> Counter[str]:
        """Returns the execution counts by identifier, over all runs of the process."""
        if not self._executions.exists():
            return Counter()
        return Counter(self._executions.read_text("utf-8").splitlines())

    async def _control(self, method: str, name: str, data: Any = None) -> Any:
        url = f"http://{self.control_address}/control/{name}"
        return await call_control(self._session, method, url, data)


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
