"""Borrows retries from the other hosts of the zone by datagram."""

import asyncio
from random import Random

from anviltray.decisions.retries import LoanRequest, RetryPool
from anviltray.edge._state import EdgeState
from anviltray.messages import RetryLoan, RetryLoanRequest
from anviltray.zone import ZoneExchange

# Round trips inside a zone take a millisecond; a lost datagram must not delay the retry for long.
_REPLY_TIMEOUT_S = 0.02


class RetryLoans:
    """Exchanges the datagrams of the zone's retry pool (see `decisions.retries`).

    Example: `await loans.borrow("level")` is true if another host has given up a retry for this
    one, which `EdgeState.retry_budget("level")` then has in addition to its own.
    """

    def __init__(self, host: str, state: EdgeState, exchange: ZoneExchange, rng: Random) -> None:
        self._host = host
        self._state = state
        self._exchange = exchange
        self._loop = asyncio.get_running_loop()
        self._clock = state.clock
        self._pool = RetryPool(state.retry_budget, rng)
        self._replies: dict[int, asyncio.Future[bool]] = {}
        exchange.register_handler(RetryLoanRequest, self._handle_request)
        exchange.register_handler(RetryLoan, self._handle_loan)

    def has_prospect(self, service: str) -> bool:
        """Returns whether another host may have a retry to lend."""
        return self._pool.has_prospect(self._clock.now_s(), service)

    async def borrow(self, service: str) -> bool:
        """Asks other hosts one after the other for a retry; returns whether one has lent it."""
        if not self.has_prospect(service):
            return False
        peers = [host.beacon.host for host in self._exchange.alive()]
        for lender in self._pool.choose_lenders(peers):
            if await self._ask(self._pool.request(self._clock.now_s(), service, lender)):
                return True
        self._pool.on_exhausted(self._clock.now_s(), service)
        return False

    async def _ask(self, request: LoanRequest) -> bool:
        reply: asyncio.Future[bool] = self._loop.create_future()
        self._replies[request.number] = reply
        self._exchange.send(
            request.lender, RetryLoanRequest(self._host, request.number, request.service)
        )
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return False
        finally:
            del self._replies[request.number]

    def _handle_request(self, message: RetryLoanRequest) -> None:
        configuration = self._state.configuration
        if configuration is None or message.service not in configuration.services:
            return
        retries = self._pool.lend(self._clock.now_s(), message.service)
        self._exchange.send(message.host, RetryLoan(self._host, message.number, retries))

    def _handle_loan(self, message: RetryLoan) -> None:
        received = self._pool.receive(
            self._clock.now_s(), message.number, message.host, message.retries
        )
        reply = self._replies.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(received)
