"""Guards against requests that are held although they cannot start in time."""

import itertools

import pytest

from anviltray.decisions.waiting import (
    Refused,
    ServiceRoom,
    ShortageShares,
    WaitingAdmission,
    Waits,
    latest_wait_s,
    start_limit,
)


@pytest.mark.parametrize(
    ("target_left_s", "target_s", "deadline_left_s", "mean_s", "wait_s"),
    [
        # Requests of 222, 575 and 910 ms with targets of 0.8, 1.5 and 6 s.
        (0.8, 0.8, 8.0, 0.222, 0.178),
        (1.5, 1.5, 12.0, 0.575, 0.175),
        (6.0, 6.0, 15.0, 0.91, 2.09),
        # The deadline is before the target.
        (6.0, 6.0, 1.0, 0.91, 0.09),
        # The target is missed already: a short wait within what is left.
        (0.1, 0.8, 1.022, 0.222, 0.1),
        (-1.0, 0.8, 0.1, 0.222, 0.0),
    ],
)
def test_latest_useful_start(target_left_s, target_s, deadline_left_s, mean_s, wait_s):
    found_s = latest_wait_s(target_left_s, target_s, deadline_left_s, mean_s)
    assert found_s == pytest.approx(wait_s)


@pytest.mark.parametrize(
    ("in_flight", "ahead", "waits"),
    [(4, 0, True), (4, 2, True), (4, 4, False), (1, 0, False), (0, 0, False)],
)
def test_request_waits_only_if_it_starts_in_time(in_flight, ahead, waits):
    verdict = WaitingAdmission().admit(0.0, ServiceRoom(in_flight, 0.2), ahead, ahead, 0.18)
    assert isinstance(verdict, Waits if waits else Refused)


def test_rejected_callers_return_in_the_order_in_which_they_were_rejected():
    admission, room, times_s = WaitingAdmission(), ServiceRoom(2, 0.2), []
    for step in range(20):
        now_s = 0.01 * step
        verdict = admission.admit(now_s, room, 5, 5, 0.1)
        times_s.append(now_s + verdict.retry_after_s)
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(times_s)]
    assert min(gaps_s) >= 0.099  # One at a time, at the rate at which there is room.
    assert times_s[0] >= 0.5  # Five are waiting already.
    # The time ends with the backlog.
    assert admission.admit(60.0, room, 9, 0, 0.1).retry_after_s <= 0.2


def test_time_until_the_return_is_bounded():
    admission = WaitingAdmission()
    delays_s = [admission.return_delay_s(0.0, ServiceRoom(1, 0.9), 50) for _ in range(100)]
    assert max(delays_s) <= 5.0


def test_less_urgent_requests_leave_the_queues_of_instances_to_others():
    limits = [start_limit(priority, 0.8, 0.2) for priority in (0, 1, 2)]
    assert limits == sorted(limits, reverse=True)
    assert start_limit(0, 0.8, 0.2, entitled=False) == 1.0


@pytest.mark.parametrize(
    ("requests", "priority", "account", "entitled"),
    [
        # No shortage.
        ([(1, "a", True, 20)], 2, "a", True),
        # Urgent requests are rejected: less urgent ones use free slots only.
        ([(0, "a", True, 8), (0, "a", False, 8), (2, "b", True, 8)], 2, "c", False),
        ([(0, "a", True, 8), (0, "a", False, 8), (2, "b", True, 8)], 0, "a", True),
        # Less urgent ones that are served much less often than all are not held back.
        ([(0, "a", True, 12), (0, "a", False, 4), (2, "b", False, 8)], 2, "c", True),
        # An account that had more than it is owed; one that had less.
        ([(1, "a", True, 12), (1, "b", True, 2), (1, "b", False, 4)], 1, "a", False),
        ([(1, "a", True, 12), (1, "b", True, 2), (1, "b", False, 4)], 1, "b", True),
        ([(1, "a", True, 12), (1, "b", True, 2), (1, "b", False, 4)], 1, "new", True),
    ],
)
def test_entitled(requests, priority, account, entitled):
    shares = ShortageShares()
    for each, name, started, count in requests:
        for _ in range(count):
            shares.on_request(1.0, each, name, started)
    assert shares.is_entitled(1.0, priority, account) == entitled
    # Long after the shortage everybody is.
    assert shares.is_entitled(60.0, priority, account)


def test_accounts_without_recent_requests_are_dropped():
    shares = ShortageShares()
    for number in range(1000):
        shares.on_request(0.1 * number, 1, f"account-{number}", True)
    assert len(shares._accounts) < 200
