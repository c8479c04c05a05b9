"""Byte budget of one node for all its peers."""

import asyncio
import heapq
from itertools import count


class ByteBudget:
    """Token bucket that serves waiting senders by priority, then in order.

    A sender waits for its turn, when the bucket is not empty, and then charges what it sends; the
    bucket may go below zero by one message. Waiting before the choice of the message lets a more
    urgent one overtake. The burst is the budget of `burst_s` seconds.
    """

    def __init__(self, bytes_per_s: float, burst_s: float) -> None:
        self._rate = bytes_per_s
        self._burst = bytes_per_s * burst_s
        self._tokens = self._burst
        self._updated_s: float | None = None
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._order = count()
        self._timer: asyncio.TimerHandle | None = None

    def charge(self, size: int) -> None:
        """Takes `size` bytes."""
        self._refill()
        self._tokens -= size

    async def turn(self, priority: int) -> None:
        """Waits until the bucket is not empty; the lowest `priority` goes first."""
        self._refill()
        if not self._waiting and self._tokens > 0:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), future))
        self._serve()
        await future
        # The next one is served after this one has charged its message.
        asyncio.get_running_loop().call_soon(self._serve)

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._updated_s is not None:
            earned = (now_s - self._updated_s) * self._rate
            self._tokens = min(self._burst, self._tokens + earned)
        self._updated_s = now_s

    def _serve(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._refill()
        while self._waiting and self._waiting[0][2].done():
            heapq.heappop(self._waiting)
        if not self._waiting:
            return
        if self._tokens > 0:
            heapq.heappop(self._waiting)[2].set_result(None)
            return
        loop = asyncio.get_running_loop()
        # The small addition keeps rounding from waking it a moment too early.
        self._timer = loop.call_later(-self._tokens / self._rate + 1e-4, self._serve)
