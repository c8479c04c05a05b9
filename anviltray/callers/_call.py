"""State of one request while it is dispatched."""

import asyncio

from anviltray.callers._attempt import Attempt
from anviltray.callers._body import RequestBody
from anviltray.callers._context import Outcome, StoredResponse
from anviltray.callers._exchange import CallerExchange
from anviltray.callers._head import RequestHead
from anviltray.callers._problems import Problem
from anviltray.decisions.attempts import RequestAttempts
from anviltray.declarations import RetryRule, Service

# If the response waited for the caller to read for more than this share of the time until the
# deadline, the missed deadline is attributed to the caller and not to the upstream.
WRITE_BLOCKED_SHARE = 0.1


class Call:
    """One request of a caller."""

    __slots__ = (
        "attempt",
        "attempts",
        "body",
        "deadline_s",
        "exchange",
        "head",
        "request_id",
        "resolved_outcome",
        "rule",
        "service",
        "started_s",
        "status",
        "stored_response",
        "task",
        "timed_out",
        "write_blocked",
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
        self.rule = rule  # None for an unrepeatable request, which may run at most once.
        self.body = body
        self.started_s = now_s
        self.deadline_s = now_s + head.deadline_s
        self.request_id = head.request_id
        self.task: asyncio.Task[object] | None = asyncio.current_task()
        self.attempt: Attempt | None = None
        self.timed_out = False
        self.write_blocked = False  # A time limit passed while the caller did not read.
        self.attempts = RequestAttempts(rule)
        self.resolved_outcome: Outcome | None = None  # From another node or the attempt table.
        self.status = 0  # HTTP status that was sent to the caller; 0 before.
        self.stored_response: StoredResponse | None = None

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request as far as it is known now."""
        return self.resolved_outcome or self.attempts.outcome

    @property
    def may_have_run(self) -> bool:
        """Whether the request may be running or may have run, here or through another node."""
        return self.resolved_outcome not in (None, "not-run") or self.attempts.may_have_run

    def respond_problem(self, problem: Problem, close: bool = False) -> None:
        """Responds with a problem document that states the outcome known now.

        If the response has already started, it resets the connection instead.
        """
        self.status = problem.status
        if self.exchange.response_started:
            self.exchange.abort()
            return
        problem = problem._replace(outcome=self.outcome)
        self.exchange.respond_problem(problem, self.request_id, close)

    def expire(self) -> None:
        """Cancels the current step because its time limit has passed."""
        self.timed_out = True
        elapsed_s = self.deadline_s - self.started_s
        self.write_blocked = self.exchange.write_blocked_s() > WRITE_BLOCKED_SHARE * elapsed_s
        if self.task is not None:
            self.task.cancel()

    def on_caller_disconnect(self) -> None:
        """Cancels the request unless it is unrepeatable and may already be running.

        The response to such a request is read to its end, so that a duplicate gets it instead of
        `unknown`.
        """
        if self.task is not None and (self.rule is not None or not self.may_have_run):
            self.task.cancel()

    def consume_timeout(self) -> bool:
        """Clears a timeout set by `expire` and returns whether to handle the cancellation as one.

        Returns False without a timeout, and if the caller of a retryable request has disconnected.
        """
        if not self.timed_out:
            return False
        self.timed_out = False
        if self.task is not None:
            self.task.uncancel()
        return not (self.exchange.disconnected and self.rule is not None)
