"""Guards against instances that vanish and still count as working on what they are sent."""

import asyncio

import pytest

from anviltray.decisions.placement import ACKNOWLEDGEMENT_TIMEOUT_S, HealthTracker, Placed
from anviltray.decisions.placement.tests.test_placement import instance
from anviltray.edge._send import SendRecorder
from anviltray.testing import run_with_virtual_clock

EARLY_S = 0.1


@pytest.mark.parametrize(
    ("acknowledged_after_s", "low", "high"),
    [
        (0.0, 0.0, 0.1),
        # A segment was lost on the way and sent again.
        (0.25, 0.0, 0.1),
        # The instance or its link has vanished.
        (float("inf"), 0.9, 1.0),
    ],
)
def test_a_request_counts_as_accepted_once_it_was_received(acknowledged_after_s, low, high):
    async def main():
        loop = asyncio.get_running_loop()
        board = HealthTracker()
        recorder = SendRecorder(board, "keeper", Placed(instance(1), 0.2, 0.3, 1.0, False))
        start_s = loop.time()
        before = board.health("i-1").fault_probability(start_s)
        recorder.on_write_start(lambda: loop.time() - start_s >= acknowledged_after_s)
        await asyncio.sleep(EARLY_S)
        if acknowledged_after_s > EARLY_S:
            assert board.health("i-1").fault_probability(loop.time()) == pytest.approx(before)
        await asyncio.sleep(ACKNOWLEDGEMENT_TIMEOUT_S)
        sickness = board.health("i-1").fault_probability(loop.time())
        assert low <= sickness <= high

    run_with_virtual_clock(main())
