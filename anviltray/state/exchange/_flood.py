"""Suppression of messages that arrive over several paths."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import NamedTuple

from anviltray.messages import Counters, Ejection, Evidence, Leaving, LoadDigest, Message, Query

_ENTRIES = 65536  # Subjects remembered; the one heard of least recently goes first.
_REPEAT_S = 60.0  # Messages without a sequence are passed on again after this time.


class _Seen(NamedTuple):
    incarnation: int  # Incarnation of the sender.
    sequence: int  # Highest sequence of that incarnation.
    seen_s: float  # Time of the last message that was passed on.


class FloodFilter:
    """Tells which messages are new here; each node passes a new message on once."""

    def __init__(self) -> None:
        self._seen: OrderedDict[Hashable, _Seen] = OrderedDict()

    def is_new(self, now_s: float, message: Message) -> bool:
        """Returns True for the first arrival of a message and remembers it."""
        if isinstance(message, Evidence | Ejection | LoadDigest):
            key: Hashable = (type(message), message.node, message.service)
            mark = _Seen(message.incarnation, message.sequence, now_s)
        elif isinstance(message, Counters):
            key = (Counters, message.node)
            mark = _Seen(message.incarnation, message.sequence, now_s)
        elif isinstance(message, Leaving):
            key, mark = (Leaving, message.source, frozenset(message.addresses)), _Seen(0, 0, now_s)
        elif isinstance(message, Query):
            key, mark = (Query, message.query_id), _Seen(0, 0, now_s)
        else:
            return True
        known = self._seen.get(key)
        if known is not None and not _follows(known, mark):
            return False
        self._seen[key] = mark
        self._seen.move_to_end(key)
        if len(self._seen) > _ENTRIES:
            self._seen.popitem(last=False)
        return True


def _follows(known: _Seen, mark: _Seen) -> bool:
    if mark.incarnation != known.incarnation:
        # The caller has checked with the membership that this incarnation is the current one.
        return True
    if mark.sequence or known.sequence:
        return mark.sequence > known.sequence
    return mark.seen_s - known.seen_s >= _REPEAT_S
