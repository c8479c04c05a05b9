"""Byte budget of one node for all its peers."""

import asyncio
import heapq
from itertools import count


class ByteBudget:
    """Token bucket that serves waiting senders by priority, then in order.

    The burst is the budget of `burst_s` seconds. A message that is larger than the burst passes
    once the bucket is full, and the bucket goes below zero.
    """

    def __init__(self, bytes_per_s: float, burst_s: float) -> None:
        self._rate = bytes_per_s
        self._burst = bytes_per_s * burst_s
        self._tokens = self._burst
        self._updated_s: float | None = None
        self._waiting: list[tuple[int, int, int, asyncio.Future[None]]] = []
        self._order = count()
        self._timer: asyncio.TimerHandle | None = None

    def charge(self, size: int) -> None:
        """Takes `size` bytes at once, for messages that must not wait."""
        self._refill()
        self._tokens -= size

    async def take(self, size: int, priority: int) -> None:
        """Waits until `size` bytes are available; the lowest `priority` goes first."""
        self._refill()
        if not self._waiting and self._fits(size):
            self._tokens -= size
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._order), size, future))
        self._serve()
        await future

    def _fits(self, size: int) -> bool:
        return self._tokens >= min(size, self._burst)

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
        while self._waiting:
            _, _, size, future = self._waiting[0]
            if future.done():
                heapq.heappop(self._waiting)
                continue
            if not self._fits(size):
                missing = min(size, self._burst) - self._tokens
                loop = asyncio.get_running_loop()
                # The small addition keeps rounding from waking it a moment too early.
                self._timer = loop.call_later(missing / self._rate + 1e-4, self._serve)
                return
            heapq.heappop(self._waiting)
            self._tokens -= size
            future.set_result(None)
