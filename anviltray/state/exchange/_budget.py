"""Byte budget that one node shares among all its peers."""

import asyncio
import heapq
from itertools import count


class ByteBudget:
    """Token bucket that serves waiting senders by priority, then in order of arrival.

    A sender waits until the bucket is not empty, then chooses a message and charges its size, so
    the bucket may go below zero by one message. The sender chooses the message after waiting, so
    that a more urgent message can overtake. The burst is the budget of `burst_s` seconds.
    """

    def __init__(self, bytes_per_s: float, burst_s: float) -> None:
        self._rate = bytes_per_s
        self._burst = bytes_per_s * burst_s
        self._tokens = self._burst
        self._updated_s: float | None = None
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = count()
        self._timer: asyncio.TimerHandle | None = None

    def charge(self, size: int) -> None:
        """Removes `size` bytes from the bucket, which may become negative."""
        self._refill()
        self._tokens -= size

    async def wait_for_tokens(self, priority: int) -> None:
        """Waits until the bucket is not empty; the sender with the lowest `priority` goes first."""
        self._refill()
        if not self._waiters and self._tokens > 0:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (priority, next(self._sequence), future))
        self._wake_next()
        await future
        # Wakes the next sender after this one has charged its message.
        asyncio.get_running_loop().call_soon(self._wake_next)

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._updated_s is not None:
            refill = (now_s - self._updated_s) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._updated_s = now_s

    def _wake_next(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._refill()
        while self._waiters and self._waiters[0][2].done():
            heapq.heappop(self._waiters)
        if not self._waiters:
            return
        if self._tokens > 0:
            heapq.heappop(self._waiters)[2].set_result(None)
            return
        loop = asyncio.get_running_loop()
        # The small addition keeps rounding errors from firing the timer too early.
        self._timer = loop.call_later(-self._tokens / self._rate + 1e-4, self._wake_next)
