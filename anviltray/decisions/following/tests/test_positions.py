"""Guards against records that a response holds from before or after the store went back."""

import pytest

from anviltray.decisions.following import StorePosition, Verdict, judge_read


def at(generation, offset):
    return StorePosition(generation, offset)


@pytest.mark.parametrize(
    ("requested", "current", "generation", "end_offset", "verdict"),
    [
        (at(1, 90), at(1, 90), 1, 95, Verdict.APPLY),
        (at(1, 90), at(1, 90), 1, 90, Verdict.APPLY),
        (at(1, 90), at(1, 90), 1, 89, Verdict.STALE),
        (at(1, 90), at(1, 92), 1, 95, Verdict.OVERTAKEN),
        # The offset was given out again, and the log may end before or after it.
        (at(1, 90), at(1, 90), 2, 95, Verdict.RELOAD),
        (at(1, 90), at(1, 90), 3, 10, Verdict.RELOAD),
        # A peer has sent the state of the new generation, whose offset is lower, meanwhile.
        (at(1, 90), at(2, 30), 2, 95, Verdict.OVERTAKEN),
        # A store that states no generation.
        (at(0, 90), at(0, 90), 0, 95, Verdict.APPLY),
        (at(0, 90), at(0, 90), 0, 50, Verdict.STALE),
    ],
)
def test_judge_read(requested, current, generation, end_offset, verdict):
    assert judge_read(requested, current, generation, end_offset) is verdict
