"""Guards against hosts that send requests into a queue which hosts of other zones have filled.

All zones send to the instances of one zone, because their own are full or gone. The hosts of each
zone know at once what their own zone has in flight, and learn twice a second of the others.
"""

import heapq
import random

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import HealthTracker, Shed
from anviltray.decisions.placement.tests.test_placement import Host, instance, request

SLOTS, SERVICE_S, TARGET_S = 3, 0.6, 1.0
REPORT_INTERVAL_S = 0.5
DURATION_S = 30.0


def trackers(outstanding):
    """Returns the trackers of the zone of i-1 and of another zone with requests in flight there."""
    own, other = HealthTracker(), HealthTracker()
    for _ in range(outstanding):
        other.on_request_started(0.0, "i-1")
    own.on_zone_loads(1.0, "labasa", other.loads(["i-1"]))
    return own, other


@pytest.mark.parametrize("outstanding", [0, 1, 5])
def test_requests_of_another_zone_are_counted_until_it_stops_reporting(outstanding):
    own, _ = trackers(outstanding)
    assert own.health("i-1").total_outstanding == outstanding
    assert own.health("i-1").local_outstanding == 0
    own.expire_zone_reports(1.5)
    assert own.health("i-1").total_outstanding == outstanding
    own.expire_zone_reports(3.0)
    assert own.health("i-1").total_outstanding == 0


def test_a_new_report_replaces_the_one_before():
    own, other = trackers(3)
    other.on_request_started(0.0, "i-2")
    for _ in range(3):
        other.on_request_ended(1.2, "i-1", "s", ExchangeOutcome.OK, 0.2)
    own.on_zone_loads(1.5, "labasa", other.loads(["i-1", "i-2"]))
    assert own.health("i-1").total_outstanding == 0
    assert own.health("i-2").total_outstanding == 1
    assert own.instances_used_by("labasa") == {"i-2"}


def test_a_zone_is_not_told_about_its_own_requests():
    own, other = trackers(3)
    own.on_request_started(0.0, "i-1")
    own.on_request_accepted(1.0, "i-1")
    for receiver, outstanding in [("labasa", 1), ("nadi", 4)]:
        assert [belief.outstanding for belief in own.beliefs(1.0, ["i-1"], receiver)] == [
            outstanding
        ]
    other.on_zone_beliefs(1.0, "suva", own.beliefs(1.0, ["i-1"], "labasa"))
    assert other.health("i-1").total_outstanding == 4


class ZonesSimulation:
    """One host for each zone, in front of the instances of the first zone."""

    def __init__(self, seed, zones, rate_s, count, reports):
        rng = random.Random(seed)
        hosts = [Host(seed * 100 + number) for number in range(zones)]
        instances = [instance(number, slots=SLOTS) for number in range(count)]
        keys = [item.id for item in instances]
        free_s = {key: [0.0] * SLOTS for key in keys}
        self.times_s, self.shed, events, now_s = [], 0, [], 0.0
        for order in range(10_000_000):
            now_s += rng.expovariate(rate_s)
            if now_s > DURATION_S:
                break
            heapq.heappush(events, (now_s, order, "arrive", rng.randrange(zones), None, 0.0))
        for step in range(int(DURATION_S / REPORT_INTERVAL_S) if reports else 0):
            heapq.heappush(events, (step * REPORT_INTERVAL_S, -1, "report", step, None, 0.0))
        while events:
            now_s, order, kind, number, key, elapsed_s = heapq.heappop(events)
            if kind == "report":
                owner = hosts[0].tracker
                for zone, host in enumerate(hosts[1:], 1):
                    owner.on_zone_loads(now_s, str(zone), host.tracker.loads(keys))
                for zone, host in enumerate(hosts[1:], 1):
                    host.tracker.on_zone_beliefs(now_s, "0", owner.beliefs(now_s, keys, str(zone)))
                for host in hosts:
                    host.tracker.expire_zone_reports(now_s)
            elif kind == "arrive":
                chosen = hosts[number].choose(now_s, request(target_s=TARGET_S), instances)
                if isinstance(chosen, Shed):
                    self.shed += 1
                    continue
                key = chosen.instance.id
                hosts[number].tracker.on_request_started(0.0, key)
                start_s = max(now_s, heapq.heappop(free_s[key]))
                end_s = start_s + SERVICE_S * rng.uniform(0.5, 1.5)
                heapq.heappush(free_s[key], end_s)
                self.times_s.append(end_s - now_s)
                heapq.heappush(events, (now_s + 0.06, order, "accept", number, key, 0.0))
                heapq.heappush(events, (end_s, order, "end", number, key, end_s - now_s))
            elif kind == "accept":
                hosts[number].tracker.on_request_accepted(now_s, key)
            else:
                hosts[number].tracker.on_request_ended(
                    now_s, key, "s", ExchangeOutcome.OK, elapsed_s
                )

    @property
    def in_time(self):
        """Number of requests that got their response within the target latency."""
        return sum(elapsed_s <= TARGET_S for elapsed_s in self.times_s)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate_s", [40.0, 60.0])
def test_more_requests_are_served_in_time_when_zones_report_their_load(rate_s, seed):
    informed = ZonesSimulation(seed, 4, rate_s, 4, reports=True)
    blind = ZonesSimulation(seed, 4, rate_s, 4, reports=False)
    assert informed.in_time > blind.in_time
