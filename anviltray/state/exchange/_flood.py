"""Suppression of duplicate messages, which arrive over several paths."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import NamedTuple

from anviltray.messages import (
    Counters,
    DrainingUpstreams,
    Ejection,
    Evidence,
    LoadDigest,
    Message,
    Query,
)

_MAX_SUBJECTS = 65536  # Subjects kept; the least recently updated one is evicted first.
_REPEAT_INTERVAL_S = 60.0  # Messages without a sequence count as new again after this time.


class _Seen(NamedTuple):
    incarnation: int  # Incarnation of the sender.
    sequence: int  # Highest sequence of that incarnation.
    seen_s: float  # Time at which the last new message arrived.


class FloodFilter:
    """Detects duplicate messages, so that each node forwards a message only once."""

    def __init__(self) -> None:
        self._last_seen: OrderedDict[Hashable, _Seen] = OrderedDict()

    def is_new(self, now_s: float, message: Message) -> bool:
        """Returns whether a message arrives for the first time, and records its arrival."""
        if isinstance(message, Evidence | Ejection | LoadDigest):
            key: Hashable = (type(message), message.node, message.service)
            seen = _Seen(message.incarnation, message.sequence, now_s)
        elif isinstance(message, Counters):
            key = (Counters, message.node)
            seen = _Seen(message.incarnation, message.sequence, now_s)
        elif isinstance(message, DrainingUpstreams):
            key, seen = (DrainingUpstreams, message.source, frozenset(message.addresses)), _Seen(
                0, 0, now_s
            )
        elif isinstance(message, Query):
            key, seen = (Query, message.query_id), _Seen(0, 0, now_s)
        else:
            return True
        previous = self._last_seen.get(key)
        if previous is not None and not _is_newer(previous, seen):
            return False
        self._last_seen[key] = seen
        self._last_seen.move_to_end(key)
        if len(self._last_seen) > _MAX_SUBJECTS:
            self._last_seen.popitem(last=False)
        return True


def _is_newer(previous: _Seen, seen: _Seen) -> bool:
    if seen.incarnation != previous.incarnation:
        # The caller has checked that this is the current incarnation in the membership.
        return True
    if seen.sequence or previous.sequence:
        return seen.sequence > previous.sequence
    return seen.seen_s - previous.seen_s >= _REPEAT_INTERVAL_S
