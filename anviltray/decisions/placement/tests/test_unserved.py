"""Guards against an unserved share that one failure raises too much or that does not decay."""

import pytest

from anviltray.decisions.placement import UnservedShare


@pytest.mark.parametrize(
    ("requests", "now_s", "low", "high"),
    [
        ([], 0.0, 0.0, 0.0),
        ([(0.0, False)], 0.0, 0.0, 0.12),
        ([(0.0, True)] * 4 + [(0.0, False)] * 4, 0.0, 0.25, 0.25),
        ([(0.0, False)] * 100, 0.0, 0.9, 1.0),
        ([(0.0, False)] * 100, 30.0, 0.0, 0.01),
        # Recent requests count more than older ones.
        ([(0.0, False)] * 20 + [(10.0, True)] * 20, 10.0, 0.0, 0.06),
    ],
)
def test_share(requests, now_s, low, high):
    unserved = UnservedShare()
    for at_s, served in requests:
        unserved.on_request_ended(at_s, "keeper", served)
    assert low <= unserved.share(now_s, "keeper") <= high
    assert unserved.share(now_s, "supply") == 0.0
