"""Waiting for a condition by polling."""

import asyncio
from collections.abc import Callable


class ConditionTimeout(AssertionError):
    """The condition did not become true in time."""


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = 60.0, interval_s: float = 0.02
) -> float:
    """Waits until `condition()` is true and returns the seconds waited, on the clock of the loop.

    Raises ConditionTimeout after `timeout_s`. On a VirtualClockLoop, the only real time spent is
    that of the tasks that run in the meantime.
    """
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not condition():
        if loop.time() - start_s >= timeout_s:
            raise ConditionTimeout(f"the condition did not become true within {timeout_s:g} s")
        await asyncio.sleep(interval_s)
    return loop.time() - start_s
