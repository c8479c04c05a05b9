"""Clock of a host that counts the time in which the host was suspended."""

import asyncio
import time
from collections.abc import Callable


def _suspended_s() -> float:
    """Returns the seconds in which the machine has been suspended since it was booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class ElapsedClock:
    """Time since the start of the event loop's clock, with the time of suspensions.

    The clock of the event loop stands still while the host is suspended, but deadlines of callers,
    windows of the retry budget and loans end all the same. Timers and evidence use the clock of the
    event loop.

    Example: after a suspension of 5 s, `now_s` is 5 s ahead of the clock of the event loop.
    """

    def __init__(self, suspended_s: Callable[[], float] = _suspended_s) -> None:
        self._loop = asyncio.get_running_loop()
        self._suspended_s = suspended_s
        self._before_s = suspended_s()  # Suspensions before this clock was created.

    def now_s(self) -> float:
        """Returns the current time in seconds."""
        return self._loop.time() + max(0.0, self._suspended_s() - self._before_s)
