"""Guards against requests that a stopping host passes on and then has to break off."""

import pytest

from anviltray.decisions.stopping import GracefulStop

EXCUSED_S = 3.0  # A request that was sent later than this into the stop must not be broken off.


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 3.0, 6.0, 8.0, 10.0, 30.0])
def test_moments_of_a_stop_are_in_order_for_any_grace_period(grace_s):
    """Requests may be broken off in the last sixth of the grace period only."""
    stop = GracefulStop(100.0, grace_s)
    moments = [stop.started_s, stop.all_until_s, stop.interrupts_s, 100.0 + grace_s]
    assert moments == sorted(set(moments))
    assert stop.started_s < stop.closes_listener_s < stop.interrupts_s
    assert stop.all_until_s < 100.0 + EXCUSED_S
    assert stop.interrupts_s > 100.0 + grace_s * 5 / 6


@pytest.mark.parametrize(
    ("grace_s", "after_s", "lasts_s", "complete", "passed_on"),
    [
        (6.0, 0.5, 8.0, True, True),
        (6.0, 0.5, 8.0, False, False),  # The rest of the body may come too late.
        (6.0, 0.5, 4.0, False, True),
        (6.0, 2.7, 8.0, True, True),
        (6.0, 2.8, 8.0, True, False),
        (6.0, 2.8, 2.8, True, True),
        (6.0, 2.8, 2.8, False, True),
        (6.0, 2.8, 2.9, True, False),
        (8.0, 3.1, 10.0, True, False),
        (8.0, 3.1, 4.0, True, True),
        (10.0, 3.1, 10.0, True, False),
        (10.0, 3.9, 5.0, True, True),
        (10.0, 4.9, 5.0, True, False),
        (30.0, 11.0, 10.0, True, True),
        (2.0, 0.9, 5.0, True, True),
        (2.0, 1.1, 5.0, True, False),
        (2.0, 1.1, 0.5, True, True),
    ],
)
def test_late_request_is_passed_on_only_if_it_ends_in_time(
    grace_s, after_s, lasts_s, complete, passed_on
):
    stop = GracefulStop(100.0, grace_s)
    now_s = 100.0 + after_s
    assert stop.passes_on(now_s, now_s + lasts_s, complete) is passed_on


@pytest.mark.parametrize(
    ("after_s", "expected_s", "repeated"),
    [(0.5, 1.0, True), (4.0, 1.0, True), (4.7, 1.0, False), (5.7, 0.0, False)],
)
def test_second_attempt_begins_only_if_it_can_end_in_time(after_s, expected_s, repeated):
    assert GracefulStop(100.0, 6.0).can_repeat(100.0 + after_s, expected_s) is repeated
