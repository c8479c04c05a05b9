"""Decides what a response of the store is worth when the store may have gone back.

Load pattern: the store comes back from a copy that is some seconds old and gives offsets out again.
All hosts of a zone notice it at different moments, by reading or from each other, while responses
from before are still under way.
"""

from enum import Enum
from typing import NamedTuple


class StorePosition(NamedTuple):
    """Place in a log of the store; the generation counts before the offset.

    Example: `StorePosition(2, 40) > StorePosition(1, 90)`.
    """

    generation: int  # 0 if the store states none.
    offset: int  # Offset of the next record, or -1.


UNKNOWN_POSITION = StorePosition(0, -1)


class Verdict(Enum):
    """What to do with the records that a read returned."""

    APPLY = "apply"
    RELOAD = "reload"  # The offset belongs to an earlier generation; read the whole state.
    STALE = "stale"  # The store returned an older state than it has had.
    OVERTAKEN = "overtaken"  # This host has got them, or later ones, from a peer meanwhile.


def judge_read(
    requested: StorePosition, current: StorePosition, generation: int, end_offset: int
) -> Verdict:
    """Judges the records from the position `requested`, read while the host came to `current`.

    `generation` is the newest one that the host knows, at least that of the response, and
    `end_offset` is the end of the log in the response.

    Example: `judge_read(StorePosition(1, 90), StorePosition(1, 90), 2, 95)` is `Verdict.RELOAD`.
    """
    if current > requested:
        return Verdict.OVERTAKEN
    if requested.generation < generation:
        return Verdict.RELOAD
    return Verdict.APPLY if end_offset >= requested.offset else Verdict.STALE
