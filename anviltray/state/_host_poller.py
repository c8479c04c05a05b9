"""Task that reads the platform's host list."""

import asyncio
from collections import Counter
from collections.abc import Callable

import logbook

from anviltray.platform import HostEntry, Platform, PlatformUnavailable

_log = logbook.Logger("anviltray.state.hosts")


class HostListPoller:
    """Passes each host list to the listeners; the last one stays valid during an outage.

    `counters` holds `reads` and `failures`.
    """

    def __init__(self, platform: Platform, interval_s: float) -> None:
        self._platform = platform
        self._interval_s = interval_s
        self._listeners: list[Callable[[tuple[HostEntry, ...]], None]] = []
        self._available = True
        self.counters: Counter[str] = Counter()

    def subscribe(self, listener: Callable[[tuple[HostEntry, ...]], None]) -> None:
        """Calls `listener` with every list that was read."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Reads the list at intervals until it is cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(self._interval_s)

    async def step(self) -> bool:
        """Reads the list once; returns False if the platform is unavailable."""
        self.counters["reads"] += 1
        try:
            hosts = await self._platform.hosts()
        except PlatformUnavailable as error:
            self.counters["failures"] += 1
            if self._available:
                self._available = False
                _log.warning("the host list is unavailable: {}", error)
            return False
        if not self._available:
            self._available = True
            _log.info("the host list is available again")
        for listener in self._listeners:
            listener(hosts)
        return True
