"""One request of a caller while it is served."""

import asyncio
from typing import Any

from anviltray.callers import CallerExchange, RequestBody, RequestHead
from anviltray.declarations import PrefixRoute


class EdgeCall:
    """The state of one request."""

    __slots__ = (
        "_task",
        "body",
        "cancellable",
        "exchange",
        "expires_s",
        "head",
        "history",
        "received_s",
        "route",
        "service",
        "timed_out",
    )

    def __init__(
        self,
        exchange: CallerExchange,
        head: RequestHead,
        body: RequestBody,
        route: PrefixRoute,
        service: str,
        now_s: float,
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.body = body
        self.route = route
        self.service = service
        self.received_s = now_s
        # The caller gives up at its deadline, and the operator wants an answer at the timeout.
        self.expires_s = now_s + min(head.deadline_s, route.timeout_s)
        self.history: list[dict[str, Any]] = []  # The sends and what decided them, for the log.
        self.timed_out = False
        # An unrepeatable request that may be running is not stopped when its caller leaves.
        self.cancellable = True
        self._task = asyncio.current_task()

    def remaining_s(self, now_s: float) -> float:
        """Returns the time until the request has to be answered."""
        return self.expires_s - now_s

    def expire(self) -> None:
        """Ends the current step because the time is over."""
        self.timed_out = True
        if self._task is not None:
            self._task.cancel()

    def caller_left(self) -> None:
        """Ends the request if that is safe."""
        if self.cancellable and self._task is not None:
            self._task.cancel()

    def take_time_out(self) -> bool:
        """Tells whether a cancellation came from `expire`, and clears it."""
        if not self.timed_out:
            return False
        if self._task is not None:
            self._task.uncancel()
        return True
