"""Task that reads the platform's host list."""

import asyncio
from collections import Counter
from collections.abc import Callable

import logbook

from anviltray.platform import HostEntry, Platform, PlatformUnavailable

_log = logbook.Logger("anviltray.state.hosts")


class HostListPoller:
    """Reads the host list periodically and passes it to the listeners.

    The last list stays valid while the platform is unavailable. `counters` has the keys `reads` and
    `failures`.
    """

    def __init__(self, platform: Platform, interval_s: float) -> None:
        self._platform = platform
        self._interval_s = interval_s
        self._listeners: list[Callable[[tuple[HostEntry, ...]], None]] = []
        self._available = True
        self.counters: Counter[str] = Counter()

    def subscribe(self, listener: Callable[[tuple[HostEntry, ...]], None]) -> None:
        """Calls `listener` with each host list that is read."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Reads the host list at intervals until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self._interval_s)

    async def step(self) -> bool:
        """Reads the host list once; returns False if the platform is unavailable."""
        self.counters["reads"] += 1
        try:
            hosts = await self._platform.hosts()
        except PlatformUnavailable as error:
            self.counters["failures"] += 1
            if self._available:
                self._available = False
                _log.warning("cannot read the host list, keeping the last one: {}", error)
            return False
        if not self._available:
            self._available = True
            _log.info("the host list can be read again")
        for listener in self._listeners:
            listener(hosts)
        return True
