"""Guards against instances that get more requests than the limit that they name.

Several hosts of one zone send more than an instance takes and hear of each other's requests late.
"""

import heapq
import math
import random

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import RequestRateLimit, Shed, limit_share
from anviltray.decisions.placement.tests.test_placement import Host, instance, request

DURATION_S = 20.0
REPORT_INTERVAL_S = 0.2
REPORT_DELAY_S = 0.05
RESPONSE_S = 0.25
# An instance gets at most this multiple of its limit, and some more, in any window.
EXCESS = 1.5
EXCESS_REQUESTS = 5
WINDOW_S = 4.0


def replay(seed, limit_per_s, rate_s, hosts):
    """Returns the times at which a zone of hosts sends requests to the only instance."""
    rng = random.Random(seed)
    fleet = [Host(seed * 100 + number) for number in range(hosts)]
    instances = [instance(1, slots=4)]
    events, sends = [], []

    def push(at_s, kind, *arguments):
        heapq.heappush(events, (at_s, rng.random(), kind, arguments))

    def report(now_s, number):
        observations = fleet[number].tracker.pop_observations()
        if observations:
            push(now_s + REPORT_DELAY_S, "receive", number, observations)

    for number in range(hosts):
        push(REPORT_INTERVAL_S * number / hosts, "report", number)
    push(0.0, "arrive")
    while events:
        now_s, _, kind, arguments = heapq.heappop(events)
        if kind == "arrive" and now_s < DURATION_S:
            push(now_s + rng.expovariate(rate_s), "arrive")
            number = rng.randrange(hosts)
            placed = fleet[number].choose(now_s, request(target_s=0.8), instances)
            if not isinstance(placed, Shed):
                fleet[number].tracker.on_request_started(now_s, "i-1")
                sends.append(now_s)
                push(now_s + RESPONSE_S, "respond", number)
        elif kind == "respond":
            (number,) = arguments
            tracker = fleet[number].tracker
            tracker.on_limit(now_s, "i-1", limit_per_s)
            tracker.on_request_ended(now_s, "i-1", "s", ExchangeOutcome.OK, RESPONSE_S)
            if tracker.urgent:
                report(now_s, number)
        elif kind == "report" and now_s < DURATION_S:
            push(now_s + REPORT_INTERVAL_S, "report", *arguments)
            report(now_s, *arguments)
        elif kind == "receive":
            sender, observations = arguments
            for number, host in enumerate(fleet):
                if number != sender:
                    host.tracker.on_peer_observations(now_s, str(sender), observations)
    return sends


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("limit_per_s", "rate_s", "hosts"),
    [(7.0, 20.0, 7), (7.0, 12.0, 13), (2.0, 12.0, 7), (0.5, 12.0, 7), (0.0, 12.0, 7)],
)
def test_a_zone_keeps_within_the_limit_of_an_instance(seed, limit_per_s, rate_s, hosts):
    sends = replay(seed, limit_per_s, rate_s, hosts)
    # The first response arrives after `RESPONSE_S`; the rule holds some time later.
    later = [at_s for at_s in sends if at_s > 1.0]
    most = max(sum(0 <= at_s - start_s < WINDOW_S for at_s in later) for start_s in later)
    assert most <= EXCESS * limit_per_s * WINDOW_S + EXCESS_REQUESTS
    # What the instance takes is used.
    used = sum(5.0 <= at_s < DURATION_S for at_s in sends) / (DURATION_S - 5.0)
    assert used >= 0.7 * limit_share(True, 4) * limit_per_s


def test_requests_go_to_another_instance_while_the_limit_is_reached():
    host = Host()
    both = [instance(1), instance(2, "lautoka")]
    host.tracker.on_limit(1.0, "i-1", 1.0)
    chosen = []
    for _ in range(3):
        placed = host.choose(1.0, request(), both)
        host.tracker.on_request_started(1.0, placed.instance.id)
        chosen.append(placed.instance.id)
    assert chosen == ["i-1", "i-2", "i-2"]
    assert host.choose(2.2, request(), both).instance.id == "i-1"


def test_the_limit_ends_with_a_response_without_it():
    host = Host()
    host.tracker.on_limit(1.0, "i-1", 0.5)
    host.tracker.on_request_started(1.0, "i-1")
    assert isinstance(host.choose(1.1, request(), [instance(1)]), Shed)
    other = Host()
    other.tracker.on_peer_observations(1.2, "10.0.0.1", host.tracker.pop_observations())
    assert isinstance(other.choose(1.2, request(), [instance(1)]), Shed)
    host.tracker.on_limit(1.3, "i-1", math.inf)
    other.tracker.on_peer_observations(1.4, "10.0.0.1", host.tracker.pop_observations())
    for free in (host, other):
        assert free.choose(1.4, request(), [instance(1)]).instance.id == "i-1"


@pytest.mark.parametrize("zones", [1, 2, 4, 8])
def test_all_zones_together_stay_below_the_allowed_excess(zones):
    total = limit_share(True, zones) + (zones - 1) * limit_share(False, zones)
    assert 0.8 <= total <= 1.1


def test_requests_beyond_the_limit_are_made_up_for():
    limit = RequestRateLimit(0.0, 4.0)
    limit.on_requests(0.0, 6)
    assert limit.is_exhausted(1.0)
    assert not limit.is_exhausted(1.25)
    limit.on_requests(1.25, 1000)
    assert not limit.is_exhausted(3.6)  # The debt is bounded.
