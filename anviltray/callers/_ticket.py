"""Queue entry of a request that waits for admission."""

import asyncio

from anviltray.callers._context import Admission
from anviltray.decisions import ExchangeOutcome


class AdmissionTicket:
    """Entry in the queue of `Admission`, on which the request waits."""

    __slots__ = ("_abandoned", "_future", "_result")

    def __init__(self) -> None:
        self._future: asyncio.Future[bool] | None = None
        self._result: bool | None = None
        self._abandoned = False

    async def wait(self) -> bool:
        """Returns True once the request may start, or False once it has expired in the queue."""
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
        """Whether the request holds a slot."""
        return self._result is True

    def resolve(self, admitted: bool) -> bool:
        """Ends the wait; returns False if the request was cancelled and cannot use the slot."""
        if self._abandoned:
            return False
        self._result = admitted
        if self._future is not None and not self._future.done():
            self._future.set_result(admitted)
        return True


def release_slot(
    admission: Admission,
    now_s: float,
    ticket: AdmissionTicket,
    latency_s: float,
    outcome: ExchangeOutcome,
) -> None:
    """Frees the slot of an admitted request and starts the queued ones that may use it."""
    admitted = list(admission.release(now_s, ticket, latency_s, outcome))
    while admitted:
        next_ticket = admitted.pop(0)
        if not next_ticket.resolve(True):
            admitted += admission.release(now_s, next_ticket, 0.0, ExchangeOutcome.ABANDONED)
