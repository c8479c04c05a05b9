"""Closes connections of callers while the process holds too much for them."""

import asyncio
import time
from collections import Counter
from collections.abc import Collection
from typing import TYPE_CHECKING

import logbook

from anviltray.decisions.limits import CallerMemory, choose_to_close

if TYPE_CHECKING:
    from anviltray.callers._protocol import CallerProtocol

_log = logbook.Logger("anviltray.callers")

_LOG_INTERVAL_S = 1.0  # Decisions in between are summed up in the next line.
# A choice that frees too little is not repeated at once: all that is left is being served.
_FUTILE_INTERVAL_S = 0.1


class CallerPressure:
    """All connections of callers to a process, with the memory that they share.

    Every listener uses the same instance. `relieve` is called whenever a connection has grown.
    """

    def __init__(self, memory: CallerMemory) -> None:
        self.memory = memory
        self._connections: set[CallerProtocol] = set()
        self._futile_until_s: dict[str, float] = {}
        self._logged_s = -_LOG_INTERVAL_S
        self._closed: Counter[str] = Counter()  # Since the last log line, by reason.
        self._addresses: Counter[str] = Counter()  # The same, by address of the caller.

    def add(self, connection: "CallerProtocol") -> None:
        """Registers a new connection."""
        self._connections.add(connection)

    def discard(self, connection: "CallerProtocol") -> None:
        """Removes a connection that was lost."""
        self._connections.discard(connection)

    def relieve(self) -> None:
        """Closes connections while the memory is short."""
        needed = self.memory.relief_bytes
        if not needed:
            return
        if self._is_futile("memory"):
            return
        self._close(self._connections, needed, 0, "memory")
        if self.memory.is_short:
            self._set_futile("memory")

    def make_room(
        self, newcomer: "CallerProtocol", connections: Collection["CallerProtocol"], limit: int
    ) -> bool:
        """Returns whether a connection above the `limit` may stay, after closing others."""
        listener = str(id(connections))
        if self._is_futile(listener):
            return False
        open_ones = [each for each in connections if not each.released and each is not newcomer]
        needed = self.memory.relief_connections(len(open_ones) + 1, limit)
        if needed and not self._close(open_ones, 0, needed, "connections"):
            self._set_futile(listener)
            return False
        return True

    def _is_futile(self, choice: str) -> bool:
        return time.monotonic() < self._futile_until_s.get(choice, 0.0)

    def _set_futile(self, choice: str) -> None:
        self._futile_until_s[choice] = time.monotonic() + _FUTILE_INTERVAL_S

    def record(self, reason: str, address: str) -> None:
        """Counts a connection that was closed or rejected, and logs such decisions in sum."""
        self.memory.counters[reason] += 1
        self._closed[reason] += 1
        self._addresses[address] += 1
        now_s = time.monotonic()
        if now_s - self._logged_s >= _LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.warning(
                "closed connections of callers outside the limits",
                extra={
                    "reasons": dict(self._closed),
                    "addresses": dict(self._addresses.most_common(3)),
                    "held_bytes": self.memory.used_bytes,
                    "budget_bytes": self.memory.budget_bytes,
                    "connections": len(self._connections),
                },
            )
            self._closed.clear()
            self._addresses.clear()

    def _close(
        self, connections: Collection["CallerProtocol"], size_bytes: int, count: int, reason: str
    ) -> int:
        now_s = asyncio.get_running_loop().time()
        candidates = [each for each in connections if not each.released]
        chosen = choose_to_close((each.load(now_s) for each in candidates), size_bytes, count)
        for index in chosen:
            connection = candidates[index]
            self.record(f"closed_for_{reason}", connection.address)
            connection.give_up()
        return len(chosen)
