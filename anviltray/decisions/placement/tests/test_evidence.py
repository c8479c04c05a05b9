"""Guards against beliefs that are slow to change or change for a single odd response."""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import HealthTracker
from anviltray.decisions.placement._evidence import FAULTY_SHARE
from anviltray.messages import InstanceBelief

BROKEN, ERROR, OK = (
    ExchangeOutcome.BROKEN,
    ExchangeOutcome.SERVER_ERROR,
    ExchangeOutcome.OK,
)


def belief(events, at_s):
    """Returns the sickness after (time, event) pairs; "accepted" and "overdue" are events too."""
    board = HealthTracker()
    for now_s, event in events:
        if event == "accepted":
            board.on_request_accepted(now_s, "i-1")
        elif event == "overdue":
            board.on_request_overdue(now_s, "i-1")
        else:
            board.on_request_started("i-1")
            board.on_request_ended(now_s, "i-1", "keeper", event, 0.4)
    return board.health("i-1").fault_probability(at_s)


@pytest.mark.parametrize(
    ("events", "at_s", "low", "high"),
    [
        ([], 0.0, FAULTY_SHARE, FAULTY_SHARE),
        ([(0.0, BROKEN)], 0.0, 0.95, 1.0),
        # One request in seven is accepted by a sick instance and clears nothing.
        ([(0.0, BROKEN), (0.1, BROKEN), (0.2, "accepted")], 0.2, 0.9, 1.0),
        # Several in a row do.
        ([(0.0, BROKEN), *((1.0 + n, "accepted") for n in range(4))], 4.0, 0.0, 0.1),
        # A sound instance answers some requests with an error or late.
        ([*((0.1 * n, "accepted") for n in range(9)), (1.0, ERROR)], 1.0, 0.0, 0.1),
        ([*((0.1 * n, "accepted") for n in range(9)), (1.0, "overdue")], 1.0, 0.0, 0.15),
        # Many do not.
        ([(0.1 * n, ERROR) for n in range(5)], 0.5, 0.95, 1.0),
        ([(0.1 * n, "overdue") for n in range(3)], 0.3, 0.95, 1.0),
        # Without news the belief returns to the share of sick time.
        ([(0.0, BROKEN)], 60.0, FAULTY_SHARE - 0.01, FAULTY_SHARE + 0.01),
        ([(0.0, "accepted")], 60.0, FAULTY_SHARE - 0.01, FAULTY_SHARE + 0.01),
    ],
)
def test_belief(events, at_s, low, high):
    assert low <= belief(events, at_s) <= high


@pytest.mark.parametrize("outcome", [ExchangeOutcome.REFUSED, ExchangeOutcome.ABANDONED])
def test_refusals_and_callers_that_leave_say_nothing(outcome):
    assert belief([(1.0, outcome)], 1.0) == pytest.approx(FAULTY_SHARE)


def test_another_host_believes_the_same_after_a_report():
    first, second = HealthTracker(), HealthTracker()
    first.on_request_started("i-1")
    first.on_request_started("i-1")
    first.on_request_ended(1.0, "i-1", "keeper", BROKEN, 0.01)
    assert first.urgent
    second.on_peer_observations(1.0, "10.0.0.1", first.pop_observations())
    assert not first.urgent
    assert second.health("i-1").fault_probability(1.0) == pytest.approx(
        first.health("i-1").fault_probability(1.0)
    )
    assert second.health("i-1").total_outstanding == 1
    second.remove_peer("10.0.0.1")
    assert second.health("i-1").total_outstanding == 0
    assert first.pop_observations() == ()


@pytest.mark.parametrize(
    ("own", "reported", "low", "high"),
    [
        (None, 0.02, 0.0, 0.05),
        (None, 0.98, 0.95, 1.0),
        # What the own zone saw a moment ago counts more.
        (BROKEN, 0.02, 0.9, 1.0),
        # Numbers that are no probability change nothing.
        (None, 0.0, FAULTY_SHARE - 0.01, FAULTY_SHARE + 0.01),
        (None, 7.0, FAULTY_SHARE - 0.01, FAULTY_SHARE + 0.01),
    ],
)
def test_the_belief_of_another_zone(own, reported, low, high):
    board = HealthTracker()
    if own is not None:
        board.on_request_started("i-1")
        board.on_request_ended(0.5, "i-1", "keeper", own, 0.01)
    board.on_zone_beliefs(1.0, "lautoka", [InstanceBelief("i-1", reported, 0.01, 3)])
    assert low <= board.health("i-1").fault_probability(1.0) <= high
    assert board.health("i-1").total_outstanding == 3


def test_a_zone_reports_only_what_it_has_seen_itself():
    board = HealthTracker()
    board.on_zone_beliefs(1.0, "lautoka", [InstanceBelief("i-1", 0.5, 0.01, 3)])
    board.on_request_accepted(1.0, "i-2")
    assert [belief.instance for belief in board.beliefs(1.5, ["i-1", "i-2", "i-3"])] == ["i-2"]


def test_a_refusal_shows_load_for_a_moment():
    first, second = HealthTracker(), HealthTracker()
    first.on_request_started("i-1")
    first.on_request_ended(1.0, "i-1", "keeper", ExchangeOutcome.REFUSED, 0.01)
    second.on_peer_observations(1.0, "10.0.0.1", first.pop_observations())
    for board in (first, second):
        loads = [board.health("i-1").refusal_load(at_s) for at_s in (1.0, 1.5, 6.0)]
        assert loads == pytest.approx([1.0, 0.5, 0.0], abs=0.01)


def test_instances_that_are_gone_are_forgotten_when_idle():
    board = HealthTracker()
    board.on_request_started("i-1")
    board.keep_only({})
    assert board.health("i-1").outstanding == 1
    board.on_request_ended(1.0, "i-1", "keeper", OK, 0.4)
    board.keep_only({})
    assert board.health("i-1").fault_probability(1.0) == pytest.approx(FAULTY_SHARE)
