"""Guards against beliefs that change too slowly, or too much after a single failed response."""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import HealthTracker
from anviltray.decisions.placement._evidence import UNHEALTHY_SHARE
from anviltray.decisions.retries import ResponseTimes
from anviltray.messages import InstanceBelief

BROKEN, ERROR, OK = (
    ExchangeOutcome.BROKEN,
    ExchangeOutcome.SERVER_ERROR,
    ExchangeOutcome.OK,
)
VERY_LATE = [(1.0, "late"), (1.1, "very late")]


def belief(events, at_s):
    """Returns the unhealthy probability after (time, event) pairs.

    Events are outcomes, "accepted", "late" and "very late", and "arrived" for a very late response
    that has come after all.
    """
    tracker = HealthTracker()
    late, very_late = ResponseTimes().late_stages("level", 1.0, 1.0)
    late_evidence = {
        "late": late.log_likelihood_ratio,
        "very late": very_late.log_likelihood_ratio,
        "arrived": -late.log_likelihood_ratio - very_late.log_likelihood_ratio,
    }
    for now_s, event in events:
        if event == "accepted":
            tracker.on_request_accepted(now_s, "i-1")
        elif event in late_evidence:
            tracker.on_late_response(now_s, "i-1", late_evidence[event])
        else:
            tracker.on_request_started(0.0, "i-1")
            tracker.on_request_ended(now_s, "i-1", "keeper", event, 0.4)
    return tracker.health("i-1").unhealthy_probability(at_s)


@pytest.mark.parametrize(
    ("events", "at_s", "low", "high"),
    [
        ([], 0.0, UNHEALTHY_SHARE, UNHEALTHY_SHARE),
        ([(0.0, BROKEN)], 0.0, 0.95, 1.0),
        # An unhealthy instance accepts one request in seven, so one acceptance changes little.
        ([(0.0, BROKEN), (0.1, BROKEN), (0.2, "accepted")], 0.2, 0.9, 1.0),
        # Several acceptances in a row restore the instance.
        ([(0.0, BROKEN), *((1.0 + n, "accepted") for n in range(4))], 4.0, 0.0, 0.1),
        # A healthy instance has occasional errors and late responses.
        ([*((0.1 * n, "accepted") for n in range(9)), (1.0, ERROR)], 1.0, 0.0, 0.1),
        ([*((0.1 * n, "accepted") for n in range(9)), (1.0, "late")], 1.0, 0.0, 0.15),
        ([(0.1 * n, "accepted") for n in range(9)] + VERY_LATE + [(1.2, "arrived")], 1.2, 0.0, 0.1),
        # Several in a row make it unhealthy.
        ([(0.1 * n, ERROR) for n in range(5)], 0.5, 0.95, 1.0),
        ([(0.1 * n, "late") for n in range(3)], 0.3, 0.95, 1.0),
        # So do two that are late at the same time, or a very late one.
        ([*((0.1 * n, "accepted") for n in range(9)), (1.0, "late"), (1.1, "late")], 1.1, 0.3, 1.0),
        ([(0.1 * n, "accepted") for n in range(9)] + VERY_LATE, 1.1, 0.3, 1.0),
        # Without evidence the belief decays to the prior.
        ([(0.0, BROKEN)], 60.0, UNHEALTHY_SHARE - 0.01, UNHEALTHY_SHARE + 0.01),
        ([(0.0, "accepted")], 60.0, UNHEALTHY_SHARE - 0.01, UNHEALTHY_SHARE + 0.01),
    ],
)
def test_belief(events, at_s, low, high):
    assert low <= belief(events, at_s) <= high


@pytest.mark.parametrize("outcome", [ExchangeOutcome.REFUSED, ExchangeOutcome.ABANDONED])
def test_refusals_and_disconnected_callers_are_no_evidence(outcome):
    assert belief([(1.0, outcome)], 1.0) == pytest.approx(UNHEALTHY_SHARE)


def test_reported_observations_give_another_host_the_same_belief():
    first, second = HealthTracker(), HealthTracker()
    first.on_request_started(0.0, "i-1")
    first.on_request_started(0.0, "i-1")
    first.on_request_ended(1.0, "i-1", "keeper", BROKEN, 0.01)
    assert first.urgent
    second.on_peer_observations(1.0, "10.0.0.1", first.pop_observations())
    assert not first.urgent
    assert second.health("i-1").unhealthy_probability(1.0) == pytest.approx(
        first.health("i-1").unhealthy_probability(1.0)
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
        # Recent evidence from the local zone takes precedence.
        (BROKEN, 0.02, 0.9, 1.0),
        # Values that are not probabilities are ignored.
        (None, 0.0, UNHEALTHY_SHARE - 0.01, UNHEALTHY_SHARE + 0.01),
        (None, 7.0, UNHEALTHY_SHARE - 0.01, UNHEALTHY_SHARE + 0.01),
    ],
)
def test_the_belief_of_another_zone(own, reported, low, high):
    tracker = HealthTracker()
    if own is not None:
        tracker.on_request_started(0.0, "i-1")
        tracker.on_request_ended(0.5, "i-1", "keeper", own, 0.01)
    tracker.on_zone_beliefs(1.0, "lautoka", [InstanceBelief("i-1", reported, 0.01, 3)])
    assert low <= tracker.health("i-1").unhealthy_probability(1.0) <= high
    assert tracker.health("i-1").total_outstanding == 3


def test_a_zone_reports_only_its_own_evidence():
    tracker = HealthTracker()
    tracker.on_zone_beliefs(1.0, "lautoka", [InstanceBelief("i-1", 0.5, 0.01, 3)])
    tracker.on_request_accepted(1.0, "i-2")
    assert [
        belief.instance for belief in tracker.beliefs(1.5, ["i-1", "i-2", "i-3"], "labasa")
    ] == ["i-2"]


def test_a_refusal_adds_load_that_decays():
    first, second = HealthTracker(), HealthTracker()
    first.on_request_started(0.0, "i-1")
    first.on_request_ended(1.0, "i-1", "keeper", ExchangeOutcome.REFUSED, 0.01)
    second.on_peer_observations(1.0, "10.0.0.1", first.pop_observations())
    for tracker in (first, second):
        loads = [tracker.health("i-1").refusal_load(at_s) for at_s in (1.0, 1.5, 6.0)]
        assert loads == pytest.approx([1.0, 0.5, 0.0], abs=0.01)


def test_removed_instances_are_dropped_when_idle():
    tracker = HealthTracker()
    tracker.on_request_started(0.0, "i-1")
    tracker.keep_only({})
    assert tracker.health("i-1").outstanding == 1
    tracker.on_request_ended(1.0, "i-1", "keeper", OK, 0.4)
    tracker.keep_only({})
    assert tracker.health("i-1").unhealthy_probability(1.0) == pytest.approx(UNHEALTHY_SHARE)
