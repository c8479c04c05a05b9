"""Guards against estimates of speed that follow single requests, load, or stale measurements."""

import math

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import HealthTracker
from anviltray.decisions.placement._speed import InstanceSlowness, ServiceSpeed


@pytest.mark.parametrize(
    ("ratios", "after_s", "low", "high"),
    [
        ([], 0.0, 1.0, 1.0),
        ([4.0], 0.0, 1.0, 1.0),  # One slow response is no evidence.
        ([4.0] * 6, 0.0, 1.7, 4.0),
        ([12.0] * 8, 0.0, 5.0, 12.0),
        ([12.0] * 8, 15.0, 1.0, 1.0),
        ([0.5, 2.0] * 6, 0.0, 1.0, 1.0),
        ([0.1] * 8, 0.0, 1.0, 1.0),
        ([12.0] * 4 + [1.0] * 6, 0.0, 1.0, 1.0),
        ([1e9] * 40, 0.0, 1.0, 12.1),
    ],
)
def test_slowness(ratios, after_s, low, high):
    slowness = InstanceSlowness()
    for ratio in ratios:
        slowness.add(1.0, math.log(ratio))
    assert low <= slowness.factor(1.0 + after_s) <= high


def test_time_in_the_queue_of_an_instance_is_not_slowness():
    speed = ServiceSpeed()
    for _ in range(20):
        speed.add(0.1, 0.5)
    assert speed.add(0.3, 3.0) == pytest.approx(0.0, abs=0.01)
    assert speed.add(0.8, 1.0) == pytest.approx(math.log(8), abs=0.1)


def test_hosts_share_what_they_measure():
    own, peer = HealthTracker(), HealthTracker()
    for tracker in (own, peer):
        for _ in range(40):
            tracker.on_request_started(1.0, "fast")
            tracker.on_request_ended(1.0, "fast", "s", ExchangeOutcome.OK, 0.1, 0.5)
    own.pop_observations()
    for _ in range(6):
        own.on_request_started(1.0, "slow")
        own.on_request_ended(1.0, "slow", "s", ExchangeOutcome.OK, 0.8, 0.5)
    peer.on_peer_observations(1.0, "10.0.0.2", own.pop_observations())
    assert peer.health("slow").slowness.factor(1.0) > 2.0
    assert peer.health("fast").slowness.factor(1.0) == 1.0
    assert all(each.responses == 0 for each in own.pop_observations())
