"""Guards against unreachable instances whose pending requests count as accepted."""

import asyncio

import pytest

from anviltray.decisions.placement import ACKNOWLEDGEMENT_TIMEOUT_S, HealthTracker, Placed
from anviltray.decisions.placement.tests.test_placement import instance
from anviltray.edge._attempt import AttemptRecorder
from anviltray.testing import run_with_virtual_clock

FIRST_CHECK_S = 0.1


@pytest.mark.parametrize(
    ("acknowledged_after_s", "low", "high"),
    [
        (0.0, 0.0, 0.1),
        # A segment was lost and retransmitted.
        (0.25, 0.0, 0.1),
        # The instance or its link is down.
        (float("inf"), 0.9, 1.0),
    ],
)
def test_request_counts_as_accepted_only_if_acknowledged(acknowledged_after_s, low, high):
    async def main():
        loop = asyncio.get_running_loop()
        tracker = HealthTracker()
        recorder = AttemptRecorder(tracker, "keeper", Placed(instance(1), 0.2, 0.3, 1.0, False))
        start_s = loop.time()
        before = tracker.health("i-1").unhealthy_probability(start_s)
        recorder.on_write_start(lambda: loop.time() - start_s >= acknowledged_after_s)
        await asyncio.sleep(FIRST_CHECK_S)
        if acknowledged_after_s > FIRST_CHECK_S:
            assert tracker.health("i-1").unhealthy_probability(loop.time()) == pytest.approx(before)
        await asyncio.sleep(ACKNOWLEDGEMENT_TIMEOUT_S)
        probability = tracker.health("i-1").unhealthy_probability(loop.time())
        assert low <= probability <= high

    run_with_virtual_clock(main())
