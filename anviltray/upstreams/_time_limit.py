"""Time limit for waiting on an upstream that leaves out delays of the own process."""

import asyncio
from types import TracebackType

# Steps of a limit. A step whose timer is late counts as one step only.
_STEPS = 8


class ResponsiveTimeLimit:
    """Time limit that passes only while the event loop runs its timers on time.

    A late event loop finds a timer due together with the events that came before it, and cancels
    the waiting task although what it waits for has arrived. Here a delay of any length uses up at
    most an eighth of the limit.

    Raises TimeoutError from the block when the limit, in seconds, has passed.

    Example: `async with ResponsiveTimeLimit(0.4): await open_connection()`.
    """

    def __init__(self, limit_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._step_s = limit_s / _STEPS
        self._steps_left = _STEPS
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._start_step()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, error, traceback)

    def _start_step(self) -> None:
        self._timer = self._loop.call_later(self._step_s, self._end_step)

    def _end_step(self) -> None:
        self._steps_left -= 1
        if self._steps_left > 0:
            self._start_step()
        else:
            self._timeout.reschedule(self._loop.time())


__all__ = ["ResponsiveTimeLimit"]
