"""Guards against second attempts and not-run outcomes without proof."""

import pytest

from anviltray.decisions.attempts import AttemptEvent, InvalidTransition, RequestAttempts
from anviltray.declarations import RetryRule

RULE = RetryRule(("GET",), "/", attempts=3, hedge=False)
HEDGED = RULE._replace(hedge=True)


def attempts(events, rule=None, retries_elsewhere=False):
    request = RequestAttempts(rule, retries_elsewhere)
    for line in events.split("|"):
        number = request.start()
        for event in line.split():
            request.record(number, AttemptEvent(event))
    return request


@pytest.mark.parametrize(
    ("events", "outcome", "unrepeatable", "retryable", "hedged", "retries_elsewhere"),
    [
        ("", "unknown", False, False, True, False),
        ("failed", "not-run", True, True, True, True),
        ("cancelled", "not-run", True, True, True, True),
        ("write", "unknown", False, False, True, False),
        ("write failed", "unknown", False, True, True, False),
        ("write refused", "not-run", True, True, True, True),
        ("write refused failed", "not-run", True, True, True, True),
        ("write cancelled", "not-run", True, True, True, True),
        ("write failed cancelled", "not-run", True, True, True, True),
        ("write response", "unknown", False, False, True, False),
        ("write response failed", "unknown", False, True, True, False),
        ("write response failed cancelled", "unknown", False, True, True, False),
        ("write response cancelled", "unknown", False, False, True, False),
        ("write response error", "done", False, True, True, False),
        ("write response complete", "done", False, False, False, False),
        ("write response complete cancelled", "done", False, False, False, False),
        ("write refused|write", "unknown", False, False, True, False),
        ("write refused|write failed", "unknown", False, True, True, False),
        ("failed|failed|failed", "not-run", False, False, False, False),
        ("write failed|write failed|write failed", "unknown", False, False, False, False),
    ],
)
def test_outcome_and_second_attempt(
    events, outcome, unrepeatable, retryable, hedged, retries_elsewhere
):
    assert attempts(events).outcome == outcome
    assert attempts(events).can_start(1.0, 2.0) is unrepeatable
    assert attempts(events, RULE).can_start(1.0, 2.0) is retryable
    assert attempts(events, HEDGED).can_start(1.0, 2.0) is hedged
    assert attempts(events, RULE, retries_elsewhere=True).can_start(1.0, 2.0) is retries_elsewhere


def test_request_without_attempts_is_not_run_and_may_start():
    assert RequestAttempts(None).outcome == "not-run"
    assert RequestAttempts(None).can_start(1.0, 2.0)


def test_no_attempt_after_the_deadline_or_the_first_delivered_byte():
    assert not RequestAttempts(RULE).can_start(2.0, 2.0)
    request = attempts("write response failed", RULE)
    request.mark_delivering()
    assert not request.can_start(1.0, 2.0)


@pytest.mark.parametrize(
    "events", ["complete", "write complete", "write refused write", "write failed response"]
)
def test_impossible_order_is_an_error(events):
    with pytest.raises(InvalidTransition):
        attempts(events)
