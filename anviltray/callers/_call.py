"""The state of one request while it is dispatched."""

import asyncio

from anviltray.callers._attempt import Attempt
from anviltray.callers._body import RequestBody
from anviltray.callers._context import Outcome, StoredResponse
from anviltray.callers._exchange import CallerExchange
from anviltray.callers._head import RequestHead
from anviltray.callers._problems import Problem
from anviltray.decisions.attempts import RequestAttempts
from anviltray.declarations import RetryRule, Service

# A deadline that passes after the response has waited for the caller for more than this part of the
# time is the caller's doing and no evidence against the upstream.
BLOCKED_SHARE = 0.1


class Call:
    """One request of a caller."""

    __slots__ = (
        "attempt",
        "attempts",
        "blocked",
        "body",
        "deadline_s",
        "decided",
        "exchange",
        "head",
        "request_id",
        "rule",
        "service",
        "started_s",
        "status",
        "stored",
        "task",
        "timed_out",
    )

    def __init__(
        self,
        exchange: CallerExchange,
        head: RequestHead,
        service: Service,
        rule: RetryRule | None,
        body: RequestBody,
        now_s: float,
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.service = service
        self.rule = rule  # None for an unrepeatable request.
        self.body = body
        self.started_s = now_s
        self.deadline_s = now_s + head.deadline_s
        self.request_id = head.request_id
        self.task: asyncio.Task[object] | None = asyncio.current_task()
        self.attempt: Attempt | None = None
        self.timed_out = False
        self.blocked = False  # The caller did not read when the time was over.
        self.attempts = RequestAttempts(rule)
        self.decided: Outcome | None = None  # Outcome from another node or the attempt table.
        self.status = 0  # Status that was sent to the caller.
        self.stored: StoredResponse | None = None

    @property
    def outcome(self) -> Outcome:
        """What is known about the request now."""
        return self.decided or self.attempts.outcome

    @property
    def may_have_run(self) -> bool:
        """Whether the request may run or have run, here or through another node."""
        return self.decided not in (None, "not-run") or self.attempts.may_have_run

    def respond_problem(self, problem: Problem, close: bool = False) -> None:
        """Answers with a problem that tells the outcome known now."""
        self.status = problem.status
        if self.exchange.response_started:
            self.exchange.abort()
            return
        problem = problem._replace(outcome=self.outcome)
        self.exchange.respond_problem(problem, self.request_id, close)

    def expire(self) -> None:
        """Ends the current step because its time is over."""
        self.timed_out = True
        elapsed_s = self.deadline_s - self.started_s
        self.blocked = self.exchange.blocked_s() > BLOCKED_SHARE * elapsed_s
        if self.task is not None:
            self.task.cancel()

    def caller_left(self) -> None:
        """Ends the request unless it is unrepeatable and may already run.

        That one is read to its end, so that a duplicate gets its response instead of `unknown`.
        """
        if self.task is not None and (self.rule is not None or not self.may_have_run):
            self.task.cancel()

    def take_time_out(self) -> bool:
        """Tells whether a cancellation came from `expire`, and clears it."""
        if not self.timed_out:
            return False
        self.timed_out = False
        if self.task is not None:
            self.task.uncancel()
        return not (self.exchange.disconnected and self.rule is not None)
