"""Waiting for a condition with a time-out."""

import asyncio
import math
from collections.abc import Callable


async def poll_until(
    condition: Callable[[], bool], timeout_s: float = math.inf, interval_s: float = 0.01
) -> None:
    """Returns as soon as `condition()` holds; raises TimeoutError after `timeout_s`."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not condition():
        if loop.time() >= deadline_s:
            raise TimeoutError(f"condition did not hold within {timeout_s} s")
        await asyncio.sleep(interval_s)
