"""What the attempts of one request have come to so far."""

from anviltray.callers import Problem
from anviltray.decisions.placement import Placed
from anviltray.edge._attempt import CompleteResponse, NotExecuted, OutcomeUnknown

MIN_FAILURE_STATUS = 500  # Lower statuses do not report a server failure (RFC 9110, 15.6).

AttemptResult = CompleteResponse | NotExecuted | OutcomeUnknown


def is_success(result: AttemptResult | None) -> bool:
    """Returns whether an attempt has a response for the caller; None means it was streamed."""
    if isinstance(result, CompleteResponse):
        return result.status < MIN_FAILURE_STATUS
    return result is None


class RequestProgress:
    """Accumulated results of the attempts of one request."""

    __slots__ = (
        "attempts",
        "connect_failures",
        "may_have_executed",
        "problem",
        "response",
        "tried_instances",
    )

    def __init__(self, problem: Problem) -> None:
        """`problem` is the response if no instance is reached."""
        self.tried_instances: frozenset[str] = frozenset()  # Ids of the instances chosen so far.
        self.attempts = 0  # Attempts that reached an instance or may have.
        self.connect_failures = 0
        self.may_have_executed = False
        self.response: CompleteResponse | None = None  # The latest one.
        self.problem = problem

    def record(self, placed: Placed, result: AttemptResult) -> None:
        """Records the result of one attempt."""
        self.tried_instances |= {placed.instance.id}
        if isinstance(result, NotExecuted) and not result.reached_instance:
            self.connect_failures += 1
            return
        self.attempts += 1
        if isinstance(result, CompleteResponse):
            self.response = result
        elif isinstance(result, OutcomeUnknown):
            self.may_have_executed = True
