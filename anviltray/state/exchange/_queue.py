"""Queue of messages for one peer."""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Hashable
from typing import NamedTuple

from anviltray.messages import (
    PRIORITIES,
    Counters,
    Ejection,
    Evidence,
    LoadDigest,
    Message,
)

PRIORITY_ORDER = {"membership": 0, "configuration": 1, "evidence": 2, "operator": 3, "load": 4}
# Members sent to repair a difference. For a new node of a large fleet they are many, so they have
# the lowest priority, but they are never dropped.
BULK = 5
_DROP_LIMITS = {2: 4096, 3: 4096, 4: 64}  # Limits of the priorities that may drop messages.
# Configuration and membership messages are never dropped. A peer for which this many are queued is
# disconnected, and anti-entropy repairs its state when it is connected again.
_OVERFLOW_LIMIT = 8192


class QueueOverflow(Exception):
    """Too many messages that must not be dropped are queued for a peer."""


class QueuedMessage(NamedTuple):
    """One queued message."""

    message: Message  # The message as of the time at which it was queued.
    queued_s: float  # Time at which the message was queued.


class PeerQueue:
    """Priority queue in which a newer message replaces an older one of the same subject.

    If a priority that may drop messages is full, its oldest message is dropped. `counters` has the
    keys `dropped_load`, `dropped_evidence`, `dropped_operator`, `replaced` and `known_to_peer`.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._queues: tuple[OrderedDict[Hashable, QueuedMessage], ...] = tuple(
            OrderedDict() for _ in range(BULK + 1)
        )
        self._serial = 0
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._queues)

    def put(self, now_s: float, message: Message, priority: int | None = None) -> None:
        """Adds a message; raises QueueOverflow if too many must be kept."""
        name = PRIORITIES[type(message)]
        if priority is None:
            priority = PRIORITY_ORDER[name]
        waiting = self._queues[priority]
        key = _subject(message)
        if key is None:
            self._serial += 1
            key = self._serial
        elif waiting.pop(key, None) is not None:
            self._counters["replaced"] += 1
        waiting[key] = QueuedMessage(message, now_s)
        limit = _DROP_LIMITS.get(priority)
        if limit is not None and len(waiting) > limit:
            waiting.popitem(last=False)
            self._counters[f"dropped_{name}"] += 1
        elif limit is None and len(waiting) > _OVERFLOW_LIMIT:
            raise QueueOverflow(f"{len(waiting)} {name} messages are queued")
        self._not_empty.set()

    def discard(self, message: Message) -> None:
        """Removes the queued message of the same subject unless it is newer than `message`."""
        key = _subject(message)
        if key is None or not isinstance(message, Evidence | Ejection | Counters):
            return
        waiting = self._queues[PRIORITY_ORDER[PRIORITIES[type(message)]]]
        queued = waiting.get(key)
        if queued is None or not isinstance(queued.message, Evidence | Ejection | Counters):
            return
        same_incarnation = queued.message.incarnation == message.incarnation
        if same_incarnation and queued.message.sequence <= message.sequence:
            del waiting[key]
            self._counters["known_to_peer"] += 1

    async def wait(self) -> int:
        """Waits for a message and returns the priority of the most urgent one."""
        while True:
            for priority, waiting in enumerate(self._queues):
                if waiting:
                    return priority
            self._not_empty.clear()
            await self._not_empty.wait()

    def pop(self) -> QueuedMessage | None:
        """Removes and returns the most urgent message, or None if the queue is empty."""
        for waiting in self._queues:
            if waiting:
                return waiting.popitem(last=False)[1]
        return None


def add_queue_delay(message: Message, waited_s: float) -> Message:
    """Returns the message with its age or remaining time adjusted by its time in the queue."""
    if isinstance(message, Evidence):
        return message._replace(age_s=message.age_s + waited_s)
    if isinstance(message, Ejection):
        return message._replace(remaining_s=message.remaining_s - waited_s)
    return message


def _subject(message: Message) -> Hashable | None:
    if isinstance(message, Evidence | Ejection | LoadDigest):
        return type(message), message.node, message.service
    if isinstance(message, Counters):
        return type(message), message.node
    return None
