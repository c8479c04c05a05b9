"""Messages that wait for one peer."""

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
# Members sent to repair a difference: large for a new node at fleet scale, so they wait behind
# everything else, but are never dropped.
BULK = 5
_LIMITS = {2: 4096, 3: 4096, 4: 64}  # Messages of the classes that may be dropped.
# Configuration and membership are never dropped; a peer that lets this many wait is disconnected
# and repaired by anti-entropy when it is back.
_OVERFLOW = 8192


class QueueOverflow(Exception):
    """The peer is too slow for messages that must not be dropped."""


class Queued(NamedTuple):
    """One waiting message."""

    message: Message  # The message as it was queued.
    queued_s: float  # Time at which it was queued.


class PeerQueue:
    """Waiting messages by priority; a newer message replaces an older one of the same subject.

    If a class that may be dropped is full, its oldest message goes. `counters` holds
    `dropped_load`, `dropped_evidence`, `dropped_operator`, `replaced` and `known_to_peer`.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._classes: tuple[OrderedDict[Hashable, Queued], ...] = tuple(
            OrderedDict() for _ in range(BULK + 1)
        )
        self._serial = 0
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._classes)

    def put(self, now_s: float, message: Message, priority: int | None = None) -> None:
        """Adds a message; raises QueueOverflow."""
        name = PRIORITIES[type(message)]
        if priority is None:
            priority = PRIORITY_ORDER[name]
        waiting = self._classes[priority]
        key = _subject(message)
        if key is None:
            self._serial += 1
            key = self._serial
        elif waiting.pop(key, None) is not None:
            self._counters["replaced"] += 1
        waiting[key] = Queued(message, now_s)
        limit = _LIMITS.get(priority)
        if limit is not None and len(waiting) > limit:
            waiting.popitem(last=False)
            self._counters[f"dropped_{name}"] += 1
        elif limit is None and len(waiting) > _OVERFLOW:
            raise QueueOverflow(f"{len(waiting)} {name} messages wait")
        self._filled.set()

    def discard(self, message: Message) -> None:
        """Removes the waiting message of the same subject unless it is newer than `message`."""
        key = _subject(message)
        if key is None or not isinstance(message, Evidence | Ejection | Counters):
            return
        waiting = self._classes[PRIORITY_ORDER[PRIORITIES[type(message)]]]
        queued = waiting.get(key)
        if queued is None or not isinstance(queued.message, Evidence | Ejection | Counters):
            return
        same = queued.message.incarnation == message.incarnation
        if same and queued.message.sequence <= message.sequence:
            del waiting[key]
            self._counters["known_to_peer"] += 1

    async def wait(self) -> int:
        """Waits for a message and returns the priority of the most urgent one."""
        while True:
            for priority, waiting in enumerate(self._classes):
                if waiting:
                    return priority
            self._filled.clear()
            await self._filled.wait()

    def take(self) -> Queued | None:
        """Removes and returns the most urgent message, None if there is none."""
        for waiting in self._classes:
            if waiting:
                return waiting.popitem(last=False)[1]
        return None


def aged(message: Message, waited_s: float) -> Message:
    """Returns the message with the time that it waited here added to its age."""
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
