"""One send of a request to an instance: its evidence and its result."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import (
    ACCEPTED_AFTER_S,
    ACKNOWLEDGEMENT_TIMEOUT_S,
    HealthTracker,
    Placed,
)


class SendRecorder:
    """Observer of one exchange that reports to the evidence board, each phase once."""

    __slots__ = (
        "_accepted",
        "_acknowledged",
        "_board",
        "_ended",
        "_loop",
        "_service",
        "_timer",
        "on_vanished",
        "placed",
        "started_s",
        "written",
    )

    def __init__(self, board: HealthTracker, service: str, placed: Placed) -> None:
        self._board = board
        self._service = service
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._accepted = False
        self._acknowledged: Callable[[], bool] = lambda: True
        self._ended = False
        self.placed = placed
        self.written = False  # False as long as it is certain that no byte was written.
        # Called if the instance does not receive the request in time.
        self.on_vanished: Callable[[], None] = lambda: None
        self.started_s = self._loop.time()
        board.on_request_started(placed.instance.id)

    def on_connection(self, fresh: bool) -> None:
        """A connection is chosen, or a new one is about to be opened."""

    def on_write_start(self, acknowledged: Callable[[], bool]) -> None:
        """The first byte of the request is about to be written."""
        self.written = True
        self.started_s = self._loop.time()
        self._acknowledged = acknowledged
        self._timer = self._loop.call_later(ACCEPTED_AFTER_S, self._still_in_flight)

    def on_first_byte(self) -> None:
        """The head of the response has arrived."""

    def accepted(self) -> None:
        """The instance works on the request or has answered it."""
        if not self._accepted and not self._ended:
            self._accepted = True
            self._board.on_request_accepted(self._loop.time(), self.placed.instance.id)

    def _still_in_flight(self) -> None:
        if self._acknowledged():
            self.accepted()
            limit_s = self._board.overdue_after_s(self._service)
            self._timer = self._loop.call_later(limit_s, self._overdue)
            return
        now_s = self._loop.time()
        left_s = self.started_s + ACKNOWLEDGEMENT_TIMEOUT_S - now_s
        if left_s > 0:
            # A lost segment is sent again, so the same question is asked a little later.
            self._timer = self._loop.call_later(left_s, self._still_in_flight)
        else:
            self._board.on_request_unacknowledged(now_s, self.placed.instance.id)
            self.on_vanished()

    def _overdue(self) -> None:
        self._board.on_request_overdue(self._loop.time(), self.placed.instance.id)

    def ended(self, outcome: ExchangeOutcome) -> None:
        """Reports the end; further calls change nothing."""
        if self._ended:
            return
        if outcome is ExchangeOutcome.OK:
            self.accepted()
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        now_s = self._loop.time()
        self._board.on_request_ended(
            now_s, self.placed.instance.id, self._service, outcome, now_s - self.started_s
        )


class WholeResponse(NamedTuple):
    """A response that was received to its end."""

    status: int  # HTTP status of the instance.
    headers: list[tuple[bytes, bytes]]  # Names in lower case, without fields of the connection.
    body: bytes  # Whole body.


class NotRun(NamedTuple):
    """It is certain that the instance has not run the request."""

    reason: str  # "refused", "misdirected", "unreachable" or "no-connection".
    arrived: bool = True  # Whether the request reached the instance, which then counts as a send.


class Unknown(NamedTuple):
    """The request may have run, and no whole response came."""

    reason: str  # "broken" or "invalid".
