"""A request that waits for admission."""

import asyncio

from anviltray.callers._context import Admission
from anviltray.decisions import ExchangeOutcome


class Ticket:
    """What `Admission` queues; the request waits on it."""

    __slots__ = ("_abandoned", "_future", "_result")

    def __init__(self) -> None:
        self._future: asyncio.Future[bool] | None = None
        self._result: bool | None = None
        self._abandoned = False

    async def wait(self) -> bool:
        """Returns True when the request may start and False when its time in the queue is over."""
        if self._result is None:
            self._future = asyncio.get_running_loop().create_future()
            try:
                return await self._future
            except asyncio.CancelledError:
                if self._result is None:
                    self._abandoned = True
                raise
        return self._result

    @property
    def admitted(self) -> bool:
        """Tells whether the request holds a slot."""
        return self._result is True

    def settle(self, admitted: bool) -> bool:
        """Ends the wait; False if the request is gone and cannot use the slot."""
        if self._abandoned:
            return False
        self._result = admitted
        if self._future is not None and not self._future.done():
            self._future.set_result(admitted)
        return True


def release(
    admission: Admission, now_s: float, ticket: Ticket, latency_s: float, outcome: ExchangeOutcome
) -> None:
    """Ends an admitted request and starts the queued ones that may run instead."""
    admitted = list(admission.release(now_s, ticket, latency_s, outcome))
    while admitted:
        next_ticket = admitted.pop(0)
        if not next_ticket.settle(True):
            admitted += admission.release(now_s, next_ticket, 0.0, ExchangeOutcome.ABANDONED)
