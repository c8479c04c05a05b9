"""One attempt to run a request on an instance: its health evidence and its result."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import logbook

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import (
    ACCEPTED_AFTER_S,
    ACKNOWLEDGEMENT_TIMEOUT_S,
    HealthTracker,
    Placed,
)
from anviltray.decisions.retries import LateStage
from anviltray.upstreams import ConnectionUse

_log = logbook.Logger("anviltray.placement")

_LOGGED_ERROR_LENGTH = 200  # Errors may quote what the instance has sent.
_MAX_LOGGED_AGE_S = 999.0  # Stands for "no evidence yet".


class AttemptRecorder:
    """Exchange observer that reports each phase of an attempt once to the health tracker."""

    __slots__ = (
        "_accepted",
        "_acknowledged",
        "_ended",
        "_health_tracker",
        "_late_evidence",
        "_late_stages",
        "_loop",
        "_service",
        "_timer",
        "connection_use",
        "error",
        "fresh_connection",
        "not_executed",
        "on_evidence",
        "on_unacknowledged",
        "placed",
        "response_status",
        "retry_after_s",
        "skipped_count",
        "started_s",
        "written",
    )

    def __init__(
        self,
        health_tracker: HealthTracker,
        service: str,
        placed: Placed,
        late_stages: Sequence[LateStage] = (),
    ) -> None:
        self._health_tracker = health_tracker
        self._late_stages = list(late_stages)  # Those that have not been reported, in order.
        self._late_evidence = 0.0  # Sum of those that have been reported.
        self._service = service
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._accepted = False
        self._acknowledged: Callable[[], bool] = lambda: True
        self._ended = False
        self.placed = placed
        self.fresh_connection: bool | None = None  # None until a connection was chosen.
        self.connection_use: ConnectionUse | None = None  # None until the first byte is written.
        self.error = ""  # Why the response cannot be used; empty if it can.
        self.response_status = 0  # Status of the response head; 0 until it arrives.
        self.not_executed = False  # Whether the response says that the request has not run.
        self.skipped_count = 0  # Responses to earlier requests that arrived before the response.
        self.retry_after_s = 0.0  # Time for which the instance wants no other request.
        self.written = False  # False only if it is certain that no byte was written.
        # Called when there is evidence that the other hosts of the zone have not received yet.
        self.on_evidence: Callable[[], None] = lambda: None
        # Called if the request is not acknowledged within `ACKNOWLEDGEMENT_TIMEOUT_S`.
        self.on_unacknowledged: Callable[[], None] = lambda: None
        self.started_s = self._loop.time()
        health_tracker.on_request_started(self.started_s, placed.instance.id)

    def on_connection(self, fresh: bool) -> None:
        """Records for the log whether a new connection was opened."""
        self.fresh_connection = fresh

    def on_write_start(self, use: ConnectionUse, acknowledged: Callable[[], bool]) -> None:
        """Starts the timers of the attempt; the first byte is about to be written."""
        self.written = True
        self.connection_use = use
        self.started_s = self._loop.time()
        self._acknowledged = acknowledged
        self._timer = self._loop.call_later(ACCEPTED_AFTER_S, self._check_accepted)

    def on_skipped(self) -> None:
        """Counts a response to an earlier request, for the log."""
        self.skipped_count += 1

    def on_first_byte(self) -> None:
        """Does nothing: the dispatcher reports acceptance once it has checked the response head."""

    def report_accepted(self) -> None:
        """Reports that the instance has accepted the request or responded to it."""
        if not self._accepted and not self._ended:
            self._accepted = True
            self._health_tracker.on_request_accepted(self._loop.time(), self.placed.instance.id)

    def report_limit(self, limit_per_s: float) -> None:
        """Reports the limit that the response names, or infinity if it names none."""
        key = self.placed.instance.id
        if self._health_tracker.on_limit(self._loop.time(), key, limit_per_s):
            _log.info("instance limit changed", extra={"instance": key, "per_s": limit_per_s})
            self.on_evidence()

    def _check_accepted(self) -> None:
        if self._acknowledged():
            self.report_accepted()
            self._await_late_stage()
            return
        now_s = self._loop.time()
        remaining_s = self.started_s + ACKNOWLEDGEMENT_TIMEOUT_S - now_s
        if remaining_s > 0:
            # A lost segment is retransmitted, so check once more at the limit.
            self._timer = self._loop.call_later(remaining_s, self._check_accepted)
        else:
            self._health_tracker.on_request_unacknowledged(now_s, self.placed.instance.id)
            self.on_evidence()
            self.on_unacknowledged()

    def _await_late_stage(self) -> None:
        if self._late_stages:
            due_s = self.started_s + self._late_stages[0].after_s
            self._timer = self._loop.call_at(due_s, self._report_late)

    def _report_late(self) -> None:
        evidence = self._late_stages.pop(0).log_likelihood_ratio
        self._late_evidence += evidence
        self._health_tracker.on_late_response(self._loop.time(), self.placed.instance.id, evidence)
        self.on_evidence()
        self._await_late_stage()

    def placement_fields(self) -> dict[str, Any]:
        """Returns the inputs of the placement for the log."""
        placed = self.placed
        return {
            "instance": placed.instance.id,
            "load": round(placed.load, 2),
            "unhealthy_probability": round(placed.unhealthy_probability, 3),
            "evidence_age_s": round(min(placed.evidence_age_s, _MAX_LOGGED_AGE_S), 2),
            "explores": placed.explores,
        }

    def exchange_fields(self) -> dict[str, Any]:
        """Returns what has happened so far for the log; times are in ms, as in the lines."""
        fields: dict[str, Any] = {}
        if self.retry_after_s:
            fields["retry_after_s"] = self.retry_after_s
        if self.skipped_count:
            fields["skipped_responses"] = self.skipped_count
        if self.error:
            fields["error"] = self.error[:_LOGGED_ERROR_LENGTH]
        if self.response_status:
            fields["response_status"] = self.response_status
            fields["not_executed"] = self.not_executed
        fields["new_connection"] = self.fresh_connection
        if self.connection_use is not None:
            fields |= self.connection_use._asdict()
        fields["ms"] = round((self._loop.time() - self.started_s) * 1000)
        return fields

    def finish(self, outcome: ExchangeOutcome) -> None:
        """Reports the outcome; only the first call has an effect."""
        if self._ended:
            return
        if outcome is ExchangeOutcome.OK:
            self.report_accepted()
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        now_s = self._loop.time()
        if self._late_evidence and outcome is ExchangeOutcome.OK:
            self._health_tracker.on_late_response(
                now_s, self.placed.instance.id, -self._late_evidence
            )
        self._health_tracker.on_request_ended(
            now_s,
            self.placed.instance.id,
            self._service,
            outcome,
            now_s - self.started_s,
        )
        if self._health_tracker.urgent:
            self.on_evidence()


class CompleteResponse(NamedTuple):
    """A response that was received completely."""

    status: int  # HTTP status of the instance.
    headers: list[tuple[bytes, bytes]]  # Names in lower case, without hop-by-hop fields.
    body: bytes  # Complete body.


class NotExecuted(NamedTuple):
    """The instance has certainly not executed the request."""

    reason: str  # "refused", "misdirected", "unreachable" or "no-connection".
    reached_instance: bool = True  # Whether it reached the instance, which counts as an attempt.


class OutcomeUnknown(NamedTuple):
    """The request may have been executed, but no complete response arrived."""

    # "broken", "invalid", "vanished", "overtaken", "no-memory" or "unconfirmed".
    reason: str
