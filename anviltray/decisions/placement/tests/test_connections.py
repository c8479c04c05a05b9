"""Replays a zone whose hosts send few requests to instances with few slots.

Load pattern: many hosts in front of a small service, so that each host sends less than one request
per second and an idle connection seldom meets the next request unless it is preferred.
"""

import heapq
import random
from collections import Counter

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.entry import ServingHosts
from anviltray.decisions.placement.tests.test_placement import Host, instance, request

HOSTS, INSTANCES, SLOTS = 11, 3, 3
IDLE_LIMIT_S, DURATION_S = 5.0, 120.0


@pytest.mark.parametrize(
    ("outstanding", "reusable", "expected"),
    [
        ({}, [2], 2),
        # A slot that is in use does not outweigh a connection, a request that must wait does.
        ({2: 2}, [2], 2),
        ({2: 6}, [2], 1),
        ({}, [1, 2], 1),
        # Neither is a request sent to another zone only to save a connection.
        ({}, [3], 1),
    ],
)
def test_idle_connection_decides_between_similar_instances(outstanding, reusable, expected):
    host = Host()
    instances = [instance(1), instance(2), instance(3, "lautoka")]
    host.load("i-2", 0)
    for number, count in outstanding.items():
        host.load(f"i-{number}", count)
    host.reusable = {f"10.0.0.{number}:80" for number in reusable}
    if len(reusable) > 1:
        host.load("i-2", 3)
    assert host.choose(1.0, request(), instances).instance.id == f"i-{expected}"


def replay(rate_s, service_s, seed, host_count=HOSTS, instance_count=INSTANCES):
    """Returns new connections per request, the mean time in the system and the peak imbalance."""
    rng = random.Random(seed)
    hosts = [Host(seed * 100 + number) for number in range(host_count)]
    instances = [instance(number, slots=SLOTS) for number in range(instance_count)]
    free_s = {item.id: [0.0] * SLOTS for item in instances}
    idle = [{} for _ in hosts]  # Times of release of the idle connections, by address.
    events, requests, opened, total_s, sent = [], 0, 0, 0.0, Counter()
    now_s = 0.0
    while now_s < DURATION_S:
        now_s += rng.expovariate(rate_s)
        events.append((now_s, len(events), rng.randrange(host_count), None))
    heapq.heapify(events)
    order = len(events)
    while events:
        now_s, _, number, ended = heapq.heappop(events)
        host = hosts[number]
        if ended is None:
            recent = {
                address: times
                for address, times in idle[number].items()
                if times and now_s - times[-1] <= IDLE_LIMIT_S
            }
            host.reusable = set(recent)
            chosen = host.choose(now_s, request(), instances).instance
            requests += 1
            sent[chosen.id] += 1
            if chosen.address in recent:
                recent[chosen.address].pop()
            else:
                opened += 1
            host.tracker.on_request_started(0.0, chosen.id)
            start_s = max(now_s, heapq.heappop(free_s[chosen.id]))
            end_s = start_s + service_s * rng.uniform(0.5, 1.5)
            heapq.heappush(free_s[chosen.id], end_s)
            total_s += end_s - now_s
            order += 1
            heapq.heappush(events, (end_s, order, number, (chosen, end_s - now_s)))
        else:
            chosen, latency_s = ended
            idle[number].setdefault(chosen.address, []).append(now_s)
            host.tracker.on_request_ended(now_s, chosen.id, "s", ExchangeOutcome.OK, latency_s)
        observations = host.tracker.pop_observations()
        for peer in hosts:
            if peer is not host:
                peer.tracker.on_peer_observations(now_s, str(number), observations)
    return opened / requests, total_s / requests, max(sent.values()) * instance_count / requests


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate_s", [9.0, 16.0])
def test_connections_are_reused_without_a_queue(rate_s, seed):
    opened_share, mean_s, imbalance = replay(rate_s, 0.25, seed)
    assert opened_share < 1 / 6
    assert mean_s < 1.15 * 0.25
    assert imbalance < 2.0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("ready", "rate_s"), [(11, 19.0), (38, 85.0)])
def test_serving_hosts_open_fewer_connections_than_all_hosts(ready, rate_s, seed):
    """The sizes are those of a zone of 11 and of 38 hosts with 9 and 30 instances of a service."""
    addresses = [f"10.1.0.{number}:80" for number in range(ready)]
    serving = len(ServingHosts().choose(0.0, addresses, rate_s))
    instance_count = ready * 4 // 5
    opened_share, _, _ = replay(rate_s, 0.25, seed, serving, instance_count)
    opened_share_of_all, _, _ = replay(rate_s, 0.25, seed, ready, instance_count)
    assert opened_share < opened_share_of_all
    assert opened_share < 1 / 6
