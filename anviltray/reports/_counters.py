"""Counters of good and bad requests, which the nodes exchange and sum up for each zone."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from anviltray.messages import BurnSummary, Counters, ServiceCounters

SLOT_S = 60  # 10 zones make 10 appends a minute, far below the append budget of the log.


class BurnCounters:
    """Numbers of good and bad requests at this node since its process started."""

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
        """Returns the totals so far; each message replaces those with a lower sequence number."""
        self._sequence += 1
        names = sorted(self._good.keys() | self._bad.keys())
        rows = tuple(ServiceCounters(name, self._good[name], self._bad[name]) for name in names)
        return Counters(self._node, self._incarnation, self._sequence, rows)


class _NodeTotals(NamedTuple):
    """Last totals of one node."""

    incarnation: int  # Incarnation of the node.
    sequence: int  # Sequence of its last message.
    totals: Mapping[str, ServiceCounters]  # By service.


class BurnCollector:
    """Sums up the increases between successive messages of the nodes of one zone.

    The totals of a new incarnation start from zero. A message that is not newer than the last one
    of its incarnation is dropped, so duplicate and reordered messages are not counted twice.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._last: dict[str, _NodeTotals] = {}
        self._nodes: set[str] = set()
        self._good: Counter[str] = Counter()
        self._bad: Counter[str] = Counter()

    def receive(self, message: Counters) -> None:
        """Adds the increase of a node's totals since its last message."""
        last = self._last.get(message.node)
        same_incarnation = last is not None and last.incarnation == message.incarnation
        if last is not None and same_incarnation and message.sequence <= last.sequence:
            return
        previous = last.totals if last is not None and same_incarnation else {}
        for row in message.services:
            last_row = previous.get(row.service, ServiceCounters(row.service, 0, 0))
            self._good[row.service] += row.good - last_row.good
            self._bad[row.service] += row.bad - last_row.bad
        totals = {row.service: row for row in message.services}
        self._last[message.node] = _NodeTotals(message.incarnation, message.sequence, totals)
        self._nodes.add(message.node)

    def remove_node(self, node: str) -> None:
        """Drops the last totals of a node that has left the fleet."""
        self._last.pop(node, None)

    def pop_summary(self, slot: int) -> BurnSummary:
        """Returns the sums since the last call as the record of `slot` and resets them."""
        names = sorted(self._good.keys() | self._bad.keys())
        rows = tuple(ServiceCounters(name, self._good[name], self._bad[name]) for name in names)
        summary = BurnSummary(self._zone, slot, SLOT_S, len(self._nodes), rows)
        self._nodes.clear()
        self._good.clear()
        self._bad.clear()
        return summary
