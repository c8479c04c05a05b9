"""Fair queue that serves callers in turn, so that one caller cannot fill it."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple


class QueuedTicket(NamedTuple):
    """One queued request."""

    ticket: int  # Identifier chosen by the user of the queue.
    caller: str  # Caller that sent the request.
    deadline_s: float  # The request must not start from this time on.


class FairQueue:
    """Queued requests, first in first out per caller and round robin over callers."""

    def __init__(self) -> None:
        # Callers in the order of their turns; a served caller moves to the end.
        self._callers: dict[str, deque[QueuedTicket]] = {}
        self._length = 0
        # No queued request expires before this time, which avoids a scan at each arrival.
        self._earliest_deadline_s = float("inf")

    def __len__(self) -> int:
        return self._length

    def push(self, item: QueuedTicket) -> None:
        """Adds a request at the end of its caller's queue."""
        self._callers.setdefault(item.caller, deque()).append(item)
        self._length += 1
        self._earliest_deadline_s = min(self._earliest_deadline_s, item.deadline_s)

    def pop(self) -> QueuedTicket:
        """Removes and returns the next request; raises LookupError if the queue is empty."""
        caller = next(iter(self._callers), None)
        if caller is None:
            raise LookupError("the queue is empty")
        queue = self._callers.pop(caller)
        item = queue.popleft()
        if queue:
            self._callers[caller] = queue
        self._length -= 1
        return item

    def requests_ahead_of(self, caller: str) -> int:
        """Returns how many requests would be served before a new one of `caller`."""
        position = len(self._callers.get(caller, ()))
        return sum(min(len(queue), position + 1) for queue in self._callers.values())

    def displace_for(self, caller: str) -> QueuedTicket | None:
        """Removes the newest request of the longest queue if that of `caller` is shorter.

        The difference must be at least two, otherwise two callers would displace each other.
        """
        longest = max(self._callers, key=lambda name: len(self._callers[name]), default=None)
        if longest is None:
            return None
        own_length = len(self._callers.get(caller, ()))
        if len(self._callers[longest]) < own_length + 2:
            return None
        self._length -= 1
        return self._callers[longest].pop()

    def remove(self, ticket: int) -> bool:
        """Removes a request; returns False if it is not queued."""
        return bool(self._remove_if(lambda item: item.ticket == ticket))

    def remove_expired(self, now_s: float) -> tuple[int, ...]:
        """Removes the requests whose deadline has passed and returns their tickets."""
        if now_s < self._earliest_deadline_s:
            return ()
        removed = self._remove_if(lambda item: item.deadline_s <= now_s)
        deadlines = (item.deadline_s for queue in self._callers.values() for item in queue)
        self._earliest_deadline_s = min(deadlines, default=float("inf"))
        return removed

    def _remove_if(self, condition: Callable[[QueuedTicket], bool]) -> tuple[int, ...]:
        removed: list[int] = []
        for caller, queue in list(self._callers.items()):
            dropped = [item.ticket for item in queue if condition(item)]
            if not dropped:
                continue
            removed.extend(dropped)
            kept = deque(item for item in queue if not condition(item))
            if kept:
                self._callers[caller] = kept
            else:
                del self._callers[caller]
        self._length -= len(removed)
        return tuple(removed)
