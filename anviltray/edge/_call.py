"""State of one caller request while it is being served."""

import asyncio
from typing import Any

from anviltray.callers import CallerExchange, RequestBody, RequestHead
from anviltray.decisions.limits import AllottedRequest
from anviltray.edge._admission import AdmittedRequest
from anviltray.edge._clock import ElapsedClock


class EdgeCall:
    """One request in progress, with its deadline, cancellation and attempt history."""

    __slots__ = (
        "_clock",
        "account",
        "admitted",
        "allotted",
        "body",
        "cancellable",
        "exchange",
        "expires_s",
        "head",
        "history",
        "interrupted",
        "priority",
        "problem",
        "received_s",
        "rejected",
        "route",
        "sent",
        "service",
        "task",
        "timed_out",
    )

    def __init__(
        self,
        exchange: CallerExchange,
        head: RequestHead,
        body: RequestBody,
        admitted: AdmittedRequest,
        clock: ElapsedClock,
        received_s: float,
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.body = body
        self.set_admitted(admitted)
        self._clock = clock
        self.received_s = received_s  # Time of arrival by the clock.
        # The earlier of the caller's deadline and the route timeout set by the operator.
        self.expires_s = self.received_s + min(head.deadline_s, self.route.timeout_s)
        self.history: list[dict[str, Any]] = []  # Waits, attempts and their inputs, for the log.
        self.problem = ""  # Name of the problem that the host responded with itself, for the log.
        self.timed_out = False
        self.interrupted = False  # Whether the host has ended the request because it stops.
        self.sent = False  # Whether an attempt may have reached an instance.
        self.rejected = False  # Whether all instances that were reached have rejected it.
        self.allotted: AllottedRequest | None = None  # Its part of the account's allotted rate.
        # False while a non-idempotent request may be running; it then continues without its caller.
        self.cancellable = True
        self.task = asyncio.current_task()

    def set_admitted(self, admitted: AdmittedRequest) -> None:
        """Applies what the configuration says about the request, also when it has changed."""
        self.admitted = admitted
        self.route = admitted.route
        self.service = admitted.service
        self.account = admitted.account
        self.priority = admitted.priority

    @property
    def attempted(self) -> bool:
        """Whether the request was, or is being, sent to an instance."""
        return any("instance" in entry for entry in self.history)

    @property
    def may_have_executed(self) -> bool:
        """Whether an instance may have executed the request, or may still do so."""
        return self.sent and not self.rejected

    def elapsed_s(self) -> float:
        """Returns the time since the request was received, in seconds."""
        return self._clock.now_s() - self.received_s

    def remaining_s(self) -> float:
        """Returns the time until the request expires, in seconds; negative afterwards."""
        return self.expires_s - self._clock.now_s()

    def expire(self) -> None:
        """Cancels the request because its deadline has passed."""
        self.timed_out = True
        if self.task is not None:
            self.task.cancel()

    def interrupt(self) -> None:
        """Cancels the request because the host ends."""
        self.interrupted = True
        if self.task is not None:
            self.task.cancel()

    def on_disconnect(self) -> None:
        """Cancels the request of a disconnected caller if it is cancellable.

        A request whose body can no longer become complete is cancelled in any case.
        """
        if (self.cancellable or self.exchange.more_body) and self.task is not None:
            self.task.cancel()

    def clear_cancellation(self) -> bool:
        """Returns whether `expire` or `interrupt` caused the cancellation, and if so clears it."""
        if not (self.timed_out or self.interrupted):
            return False
        if self.task is not None:
            self.task.uncancel()
        return True
