"""Lets requests wait until a host that has just started has loaded its state."""

import asyncio

from anviltray.callers import RequestHead
from anviltray.edge._metrics import EdgeMetrics

# A host that has just started responds to its first requests when it has loaded its state, which
# takes a few tenths of a second. Callers give up after a second or a third of their time if they
# get no sign of progress.
_MAX_WAIT_S = 1.0
_WAIT_SHARE = 1 / 3
_MAX_WAITERS = 200  # Requests that wait at the same time; more are rejected at once.
# A host without its state after this time reaches neither the store nor a peer, so it rejects
# requests at once.
_GRACE_S = 3.0


class LoadWait:
    """Wait for the state of a host; `loaded` is set once it is there."""

    def __init__(self, loaded: asyncio.Event, metrics: EdgeMetrics) -> None:
        self._loaded = loaded
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._waiters = 0
        self._due_s = self._loop.time() + _GRACE_S

    async def wait(self, head: RequestHead) -> None:
        """Waits until the host has loaded its state, at most for a part of the request's time."""
        if self._waiters >= _MAX_WAITERS or self._loop.time() > self._due_s:
            return
        self._waiters += 1
        self._metrics.count("load_waits")
        try:
            async with asyncio.timeout(min(_MAX_WAIT_S, head.deadline_s * _WAIT_SHARE)):
                await self._loaded.wait()
        except TimeoutError:
            pass
        finally:
            self._waiters -= 1
