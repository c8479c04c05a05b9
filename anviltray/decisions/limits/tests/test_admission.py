"""Guards against starts after the deadline, unfairness, late rejections and a static limit."""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.limits import (
    Admission,
    AdmissionSettings,
    Admitted,
    Queued,
    Rejected,
    UnknownTicket,
)

OK = ExchangeOutcome.OK


def admission(slots=2, **changes):
    """Returns an admission whose limit starts at `slots`, which keeps the cases small."""
    settings = AdmissionSettings(initial_latency_s=0.02, start_factor=1.0)
    built = Admission(settings._replace(**changes))
    built.set_capacity(0.0, slots)
    return built


def kinds(results):
    """Returns the types, because an empty Admitted and an empty Queued compare equal."""
    return [type(result) for result in results]


def arrive(built, count, caller="a", now_s=0.0, deadline_s=10.0, first=0):
    return [
        built.admit(now_s, caller, deadline_s, ticket) for ticket in range(first, first + count)
    ]


@pytest.mark.parametrize(
    ("factor", "slots", "nodes", "admitted"),
    [(1, 6, 1, 6), (1, 180, 48, 4), (1, 1, 48, 1), (4, 6, 1, 24), (4, 180, 48, 15), (4, 1, 48, 4)],
)
def test_starts_from_a_multiple_of_the_share_of_the_slots(factor, slots, nodes, admitted):
    built = Admission(AdmissionSettings(start_factor=factor))
    built.set_capacity(0.0, slots, nodes)
    assert kinds(arrive(built, 60)).count(Admitted) == admitted


def test_initial_limit_follows_the_number_of_nodes_until_the_first_congestion():
    built = Admission()
    built.set_capacity(0.0, 24, 1)
    built.set_capacity(0.0, 24, 4)
    assert built.limit == 24


def test_queue_is_bounded_and_rejections_return_increasing_times():
    results = arrive(admission(queue_limit=4), 9)
    assert kinds(results) == [Admitted] * 2 + [Queued] * 4 + [Rejected] * 3
    times = [result.retry_after_s for result in results[6:]]
    assert times == sorted(set(times)) and times[0] == pytest.approx(0.05)


def test_many_rejected_callers_get_different_times():
    """Guards against rejected callers that all retry at the same time and cause an overload."""
    built = admission(retry_after_limit_s=1.0)
    times = [built.retry_after_s(0.0) for _ in range(400)]
    assert max(times) <= 1.0
    late = [time_s for time_s in times if time_s >= 0.5]
    assert all(40 < sum(low <= item < low + 0.1 for item in late) < 100 for low in (0.5, 0.7, 0.9))


@pytest.mark.parametrize(
    ("deadline_s", "queued"),
    [(0.0, 0), (0.029, 0), (0.031, 1), (0.041, 2), (10.0, 10)],
)
def test_rejects_requests_that_cannot_end_before_their_deadline(deadline_s, queued):
    """With two slots and 20 ms per request, the queue advances by one request every 10 ms."""
    built = admission(wait_limit_s=0.1)
    arrive(built, 2)
    results = arrive(built, 20, deadline_s=deadline_s, first=2)
    assert kinds(results) == [Queued] * queued + [Rejected] * (20 - queued)


def test_expired_ticket_never_starts_and_is_returned_once():
    built = admission()
    arrive(built, 2)
    arrive(built, 1, deadline_s=0.2, first=2)
    arrive(built, 1, deadline_s=9.0, first=3)
    assert built.release(0.2, 0, 0.02, OK) == (3,)
    assert built.expire(0.2) == (2,)
    assert built.expire(9.9) == ()


def test_callers_take_turns_and_a_small_caller_displaces_a_large_one():
    built = admission(queue_limit=4)
    arrive(built, 6, caller="large")
    assert kinds(arrive(built, 1, caller="small", first=10)) == [Queued]
    assert built.expire(0.0) == (5,)
    assert kinds(arrive(built, 1, caller="large", first=20)) == [Rejected]
    started = [built.release(0.1, ticket, 0.02, OK) for ticket in (0, 1)]
    assert sum(started, ())[:2] == (2, 10)


def test_caller_of_a_queued_request_may_disconnect():
    built = admission()
    arrive(built, 3)
    assert built.release(0.1, 2, 0.0, ExchangeOutcome.ABANDONED) == ()
    assert built.queued == 0
    with pytest.raises(UnknownTicket):
        built.release(0.1, 2, 0.0, OK)


@pytest.mark.parametrize(
    ("outcome", "latency_s", "low", "high"),
    [
        (OK, 0.02, 10.1, 100.0),
        (OK, 0.4, 1.0, 9.0),
        (ExchangeOutcome.REFUSED, 0.02, 1.0, 9.0),
        (ExchangeOutcome.TIMED_OUT, 0.02, 1.0, 9.0),
        (ExchangeOutcome.SERVER_ERROR, 0.001, 10.0, 10.0),
        (ExchangeOutcome.CONNECT_FAILED, 0.001, 10.0, 10.0),
        (ExchangeOutcome.ABANDONED, 0.02, 10.0, 10.0),
    ],
)
def test_limit_adapts(outcome, latency_s, low, high):
    """A full window of ten gets one usual response and then 40 responses of the given kind."""
    built = admission(slots=10)
    arrive(built, 10)
    built.release(0.0, 0, 0.02, ExchangeOutcome.OK)
    before = built.limit
    for ticket in range(10, 50):
        now_s = ticket * 0.1
        built.admit(now_s, "a", now_s + 5, ticket)
        built.release(now_s, ticket, latency_s, outcome)
    assert low <= built.limit / before * 10.0 <= high
