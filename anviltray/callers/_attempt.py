"""One attempt of a request at one upstream."""

from collections.abc import Callable

from anviltray.callers._context import CallerContext
from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.attempts import AttemptEvent, RequestAttempts
from anviltray.upstreams import ConnectionUse


class Attempt:
    """Reports each phase of one exchange exactly once to the decision objects.

    It is the observer passed to `UpstreamClient.send`. `written` is False as long as it is certain
    that no byte of the request was written.
    """

    __slots__ = (
        "_attempts",
        "_context",
        "_exchange",
        "_loop_time",
        "_service",
        "_started_s",
        "address",
        "first_byte_s",
        "fresh",
        "latency_s",
        "load",
        "number",
        "outcome",
        "written",
    )

    def __init__(
        self,
        context: CallerContext,
        attempts: RequestAttempts,
        service: str,
        address: str,
        loop_time: Callable[[], float],
    ) -> None:
        self._attempts = attempts
        self.number = attempts.start()
        self._context = context
        self._service = service
        self._loop_time = loop_time
        self._exchange: int | None = None
        self._started_s = loop_time()
        self.address = address
        self.fresh = False
        self.written = False
        self.first_byte_s: float | None = None
        self.latency_s = 0.0
        self.load: float | None = None
        self.outcome = ExchangeOutcome.ABANDONED

    def on_connection(self, fresh: bool) -> None:
        """Called when a pooled connection is chosen or a new one is about to be opened."""
        context = self._context
        self.fresh = fresh
        self._started_s = now = self._loop_time()
        self._exchange = context.ejector.on_exchange_started(
            now, self._service, self.address, fresh
        )
        context.load_tracker.on_exchange_started(self.address)

    def on_write_start(self, use: ConnectionUse, acknowledged: Callable[[], bool]) -> None:
        """Called before the first byte of the request is written."""
        self.written = True
        self._attempts.record(self.number, AttemptEvent.WRITE)

    def on_skipped(self) -> None:
        """Called when a response to an earlier request was skipped; it says nothing of this one."""

    def on_first_byte(self) -> None:
        """Called when the head of the response has been received."""
        self.first_byte_s = now = self._loop_time()
        if self._exchange is not None:
            self._context.ejector.on_first_byte(now, self._exchange)

    def record(self, event: AttemptEvent) -> None:
        """Records an event of this attempt in the state machine of the request's attempts."""
        self._attempts.record(self.number, event)

    def finish(self, outcome: ExchangeOutcome) -> None:
        """Reports the end of the exchange; further calls have no effect.

        The latency is the time to the head of the response, since a slow caller can delay the body.
        """
        exchange = self._exchange
        if exchange is None:
            return
        self._exchange = None
        self.outcome = outcome
        now = self._loop_time()
        self.latency_s = (self.first_byte_s or now) - self._started_s
        self._context.ejector.on_exchange_ended(now, exchange, outcome)
        self._context.load_tracker.on_exchange_ended(now, self.address, self.latency_s, self.load)
