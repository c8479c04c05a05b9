"""Guards against unreachable or silent instances whose pending requests count in their favour."""

import asyncio

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import ACKNOWLEDGEMENT_TIMEOUT_S, HealthTracker, Placed
from anviltray.decisions.placement.tests.test_placement import instance
from anviltray.decisions.retries import LateStage
from anviltray.edge._attempt import AttemptRecorder
from anviltray.testing import run_with_virtual_clock
from anviltray.upstreams import ConnectionUse

FIRST_CHECK_S = 0.1
USE = ConnectionUse(connection=1, exchange=1)


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
        recorder.on_write_start(USE, lambda: loop.time() - start_s >= acknowledged_after_s)
        await asyncio.sleep(FIRST_CHECK_S)
        if acknowledged_after_s > FIRST_CHECK_S:
            assert tracker.health("i-1").unhealthy_probability(loop.time()) == pytest.approx(before)
        await asyncio.sleep(ACKNOWLEDGEMENT_TIMEOUT_S)
        probability = tracker.health("i-1").unhealthy_probability(loop.time())
        assert low <= probability <= high

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("ended_after_s", "outcome", "reported_at_s", "low", "high"),
    [
        # Healthy instances are late at times.
        (0.4, ExchangeOutcome.OK, [], 0.0, 0.01),
        (0.7, ExchangeOutcome.OK, [0.5], 0.0, 0.01),
        (1.5, ExchangeOutcome.OK, [0.5, 1.0], 0.0, 0.01),
        # No response: the evidence is reported while the request is still waiting.
        (2.0, ExchangeOutcome.TIMED_OUT, [0.5, 1.0], 0.3, 1.0),
        (2.0, ExchangeOutcome.ABANDONED, [0.5, 1.0], 0.3, 1.0),
    ],
)
def test_missing_response_is_evidence_before_the_request_ends(
    ended_after_s, outcome, reported_at_s, low, high
):
    stages = (LateStage(0.5, 2.5), LateStage(1.0, 2.3))

    async def main():
        loop = asyncio.get_running_loop()
        tracker = HealthTracker()
        placed = Placed(instance(1), 0.2, 0.3, 1.0, False)
        recorder = AttemptRecorder(tracker, "keeper", placed, stages)
        reports_s = []
        recorder.on_evidence = lambda: reports_s.append(loop.time() - recorder.started_s)
        recorder.on_write_start(USE, lambda: True)
        await asyncio.sleep(ended_after_s)
        recorder.finish(outcome)
        await asyncio.sleep(1.0)  # No stage is reported after the end.
        assert reports_s[: len(reported_at_s)] == pytest.approx(reported_at_s, abs=0.01)
        assert low <= tracker.health("i-1").error_probability(ended_after_s) <= high
        assert tracker.health("i-1").outstanding == 0

    run_with_virtual_clock(main())
