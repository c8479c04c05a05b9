"""Event loop with a virtual clock, which advances only when nothing else is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar("_Result")
_Events = list[tuple[selectors.SelectorKey, int]]


class DeadlockError(Exception):
    """All tasks are waiting, but no timer is set and no socket becomes ready."""


class _VirtualClockSelector(selectors.DefaultSelector):
    """Advances the clock instead of sleeping when no socket is ready."""

    settle_s = 0.0
    now_s = 0.0

    def select(self, timeout: float | None = None) -> _Events:
        events = super().select(0)
        if events or (timeout is not None and timeout <= 0):
            return events
        if self.settle_s > 0:
            # The kernel may deliver data sent by this process with a short delay.
            events = super().select(self.settle_s)
            if events:
                return events
        if timeout is None:
            raise DeadlockError("all tasks are waiting, but no timer is set and no socket is ready")
        self.now_s += timeout
        return []


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock that starts at 0.

    `settle_s` is the real time to wait for sockets to become ready before the clock advances; use 0
    for tests without sockets. The loop does not wait for threads.
    """

    def __init__(self, settle_s: float = 0.0) -> None:
        self._virtual_selector = _VirtualClockSelector()
        self._virtual_selector.settle_s = settle_s
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now_s


def run_with_virtual_clock(main: Coroutine[Any, Any, _Result], settle_s: float = 0.0) -> _Result:
    """Runs a coroutine on a VirtualClockLoop and returns its result.

    Example: `run_with_virtual_clock(asyncio.sleep(3600, "done"))` returns "done" at once.
    """
    with asyncio.Runner(loop_factory=lambda: VirtualClockLoop(settle_s)) as runner:
        return runner.run(main)
