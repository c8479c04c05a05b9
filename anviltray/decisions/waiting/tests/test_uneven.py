"""Replays uneven demand and uneven instances.

Guards against requests that wait in a full zone while another one has room, zones that all choose
the same free instances, and instances that get too much or too little for their speed.
"""

import math
from collections import Counter

import pytest

from anviltray.decisions.placement import _placement
from anviltray.decisions.waiting.tests.replay import CrowdedZone, Kind, in_target, served
from anviltray.decisions.waiting.tests.replay_zones import ZONE_NAMES, UnevenZones

BID = (Kind("bid", 1.0, 1, 0.110, 0.5),)
ORDERS = (Kind("order", 1.0, 1, 0.222, 0.8),)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(("kinds", "rate_s"), [(BID, 110.0), (ORDERS, 55.0)])
def test_waves_of_demand_are_served_by_other_zones(monkeypatch, kinds, rate_s, seed):
    """Peaks of 55 % above the mean exceed the capacity of a zone, one zone after the other."""
    open_zones = UnevenZones(seed, rate_s, 8, kinds)
    monkeypatch.setattr(_placement, "_DISTANCE_COST", (0.0, math.inf, math.inf))
    closed = UnevenZones(seed, rate_s, 8, kinds)
    assert open_zones.share(in_target) > 0.98 > closed.share(in_target) + 0.02
    assert open_zones.instance_rejections < 0.002 * len(open_zones.results)


@pytest.mark.parametrize("seed", range(2))
def test_two_full_zones_do_not_overrun_the_third(seed):
    zones = UnevenZones(seed, 150.0, 8, BID, spare=8, swing=0.0)
    assert zones.share(in_target) > 0.98
    assert zones.instance_rejections < 0.005 * len(zones.results)
    # The flow into the zone with room is steady, without jumps from one report to the next.
    steps = Counter(int(now_s / 0.5) for now_s, _, to in zones.remote if to == ZONE_NAMES[0])
    counts = [steps[step] for step in range(10, 78)]
    mean = sum(counts) / len(counts)
    assert max(counts) < 2.5 * mean


class JoiningInstance(CrowdedZone):
    """The last instance joins the others after ten seconds."""

    def place(self, now_s, number, call, max_load=math.inf):
        if now_s < 10.0:
            every, self.instances = self.instances, self.instances[:-1]
            try:
                return super().place(now_s, number, call, max_load)
            finally:
                self.instances = every
        return super().place(now_s, number, call, max_load)


@pytest.mark.parametrize("seed", range(3))
def test_instance_that_joins_has_its_share_within_two_seconds(seed):
    zone = JoiningInstance(seed, [(40.0, 120.0)], 9, BID, True)
    starts = {key: sum(12.0 <= at_s < 20.0 for at_s in zone.started[key]) for key in zone.started}
    joined = starts.pop("i-8")
    assert joined > 0.6 * sum(starts.values()) / len(starts)
    assert zone.share(served) > 0.98
