"""Counters of good and bad requests, shared by the nodes and summed for each zone."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from anviltray.messages import BurnSummary, Counters, ServiceCounters

SLOT_S = 60  # One record a minute for each zone is 10 zones / 60 s, far below the append budget.


class BurnCounters:
    """Good and bad requests of this node since its process started."""

    def __init__(self, node: str, incarnation: int) -> None:
        self._node = node
        self._incarnation = incarnation
        self._sequence = 0
        self._good: Counter[str] = Counter()
        self._bad: Counter[str] = Counter()

    def record(self, service: str, *, good: bool) -> None:
        """Counts one finished request."""
        (self._good if good else self._bad)[service] += 1

    def to_message(self) -> Counters:
        """Returns the totals; a later message replaces an earlier one."""
        self._sequence += 1
        names = sorted(self._good.keys() | self._bad.keys())
        rows = tuple(ServiceCounters(name, self._good[name], self._bad[name]) for name in names)
        return Counters(self._node, self._incarnation, self._sequence, rows)


class _Seen(NamedTuple):
    """Last totals of one node."""

    incarnation: int  # Incarnation that counted.
    sequence: int  # Sequence of its last message.
    totals: Mapping[str, ServiceCounters]  # By service.


class BurnCollector:
    """Sums the differences between the messages of the nodes of one zone.

    A message of a new incarnation starts from zero; a message that is not newer than the last one
    of its incarnation is dropped, so repeated or reordered messages count once.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._seen: dict[str, _Seen] = {}
        self._nodes: set[str] = set()
        self._good: Counter[str] = Counter()
        self._bad: Counter[str] = Counter()

    def receive(self, message: Counters) -> None:
        """Adds what a node of the zone counted since its last message."""
        seen = self._seen.get(message.node)
        known = seen is not None and seen.incarnation == message.incarnation
        if seen is not None and known and message.sequence <= seen.sequence:
            return
        before = seen.totals if seen is not None and known else {}
        for row in message.services:
            earlier = before.get(row.service, ServiceCounters(row.service, 0, 0))
            self._good[row.service] += row.good - earlier.good
            self._bad[row.service] += row.bad - earlier.bad
        totals = {row.service: row for row in message.services}
        self._seen[message.node] = _Seen(message.incarnation, message.sequence, totals)
        self._nodes.add(message.node)

    def remove_node(self, node: str) -> None:
        """Drops the totals of a node that has left."""
        self._seen.pop(node, None)

    def pop_summary(self, slot: int) -> BurnSummary:
        """Returns the sums since the last call as the record of `slot` and starts anew."""
        names = sorted(self._good.keys() | self._bad.keys())
        rows = tuple(ServiceCounters(name, self._good[name], self._bad[name]) for name in names)
        summary = BurnSummary(self._zone, slot, SLOT_S, len(self._nodes), rows)
        self._nodes.clear()
        self._good.clear()
        self._bad.clear()
        return summary
