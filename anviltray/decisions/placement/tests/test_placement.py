"""Guards against placements that lose requests; simulates the load patterns of the policy."""

import heapq
import random

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.instances import InstanceDirectory
from anviltray.decisions.placement import (
    ACCEPTED_AFTER_S,
    HealthTracker,
    Locality,
    Placed,
    Placement,
    PlacementRequest,
    Shed,
)
from anviltray.declarations import Instance

ZONES = {"suva": "viti", "lautoka": "viti", "labasa": "vanua"}


def instance(number, zone="suva", slots=6):
    return Instance(f"i-{number}", 0, "s", f"10.0.0.{number}:80", zone, "v1", slots, False, 0.0)


def request(
    retryable=False, may_explore=False, priority=0, remaining_s=5.0, exclude=(), target_s=10.0
):
    return PlacementRequest(
        "s", retryable, may_explore, priority, remaining_s, target_s, frozenset(exclude)
    )


class Host:
    """Placement of one host with its own observations."""

    def __init__(self, seed=1):
        self.tracker = HealthTracker()
        self.directory = InstanceDirectory()
        self.placement = Placement(
            Locality("viti", "suva"), ZONES, self.tracker, self.directory, self, random.Random(seed)
        )
        self.reusable = set()  # Addresses with an idle connection.

    def can_reuse(self, address, unrepeatable):
        return address in self.reusable

    def choose(self, now_s, placement_request, instances):
        return self.placement.choose(now_s, placement_request, instances)

    def load(self, key, outstanding):
        for _ in range(outstanding):
            self.tracker.on_request_started(0.0, key)

    def observe(self, now_s, key, unhealthy):
        for _ in range(4):
            if unhealthy:
                self.tracker.on_request_started(0.0, key)
                self.tracker.on_request_ended(now_s, key, "s", ExchangeOutcome.BROKEN, 0.01)
            else:
                self.tracker.on_request_accepted(now_s, key)


@pytest.mark.parametrize(
    ("prepare", "instances", "expected"),
    [
        # The local zone, then the local region, then other regions.
        ({}, [instance(1, "labasa"), instance(2, "lautoka"), instance(3)], "i-3"),
        ({}, [instance(1, "labasa"), instance(2, "lautoka")], "i-2"),
        # A full zone overflows to the local region, a full region to other regions.
        ({"load": {"i-3": 9}}, [instance(1, "labasa"), instance(2, "lautoka"), instance(3)], "i-2"),
        (
            {"load": {"i-3": 12, "i-2": 12}},
            [instance(1, "labasa"), instance(2, "lautoka"), instance(3)],
            "i-1",
        ),
        # The less loaded one of two.
        ({"load": {"i-1": 4}}, [instance(1), instance(2)], "i-2"),
        # An unhealthy instance costs more than distance and a queue.
        ({"unhealthy": ["i-1"]}, [instance(1), instance(2, "labasa")], "i-2"),
        (
            {"unhealthy": ["i-1"], "healthy": ["i-2"], "load": {"i-2": 8}},
            [instance(1), instance(2)],
            "i-2",
        ),
        # An unhealthy instance is better than none.
        ({"unhealthy": ["i-1"]}, [instance(1)], "i-1"),
    ],
)
def test_choice(prepare, instances, expected):
    host = Host()
    for key, outstanding in prepare.get("load", {}).items():
        host.load(key, outstanding)
    for state in ("unhealthy", "healthy"):
        for key in prepare.get(state, ()):
            host.observe(1.0, key, state == "unhealthy")
    assert host.choose(1.0, request(), instances).instance.id == expected


def test_an_instance_that_is_warming_up_gets_half_of_the_load():
    host = Host()
    host.directory.register(0.0, instance(1)._replace(warmup_s=3.0))
    host.load("i-1", 2)
    host.load("i-2", 3)
    assert host.choose(1.0, request(), [instance(1), instance(2)]).instance.id == "i-2"
    assert host.choose(4.0, request(), [instance(1), instance(2)]).instance.id == "i-1"


def test_only_requests_that_may_explore_are_sent_to_an_unhealthy_instance():
    host = Host()
    host.observe(1.0, "i-1", True)
    host.observe(1.0, "i-2", False)
    both = [instance(1), instance(2)]
    assert host.choose(3.0, request(), both).instance.id == "i-2"
    assert host.choose(3.0, request(retryable=True), both).instance.id == "i-2"
    explored = host.choose(3.0, request(retryable=True, may_explore=True), both)
    assert (explored.instance.id, explored.explores) == ("i-1", True)
    again = host.choose(3.1, request(retryable=True, may_explore=True), both)
    assert again.instance.id == "i-2"  # One exploration per interval.


def test_unrepeatable_requests_explore_after_the_unhealthy_phase():
    host = Host()
    host.observe(1.0, "i-1", True)
    # Enough other instances are in use, so that the floor does not require a request to i-1.
    others = [instance(number) for number in range(2, 5)]
    placement_request = request()._replace(unrepeatable=True, first_attempt=True)
    for now_s, explores in [(2.0, False), (8.5, False), (10.0, True), (10.1, False)]:
        for other in others:
            assert host.choose(now_s, request(), [other]).instance == other
            host.observe(now_s, other.id, False)
        chosen = host.choose(now_s, placement_request, [instance(1), *others])
        assert (chosen.instance.id == "i-1") == explores, now_s


@pytest.mark.parametrize(
    ("outstanding", "remaining_s", "shed"),
    [
        (0, 5.0, []),
        (30, 5.0, []),
        (45, 5.0, [2]),
        (58, 5.0, [1, 2]),
        (80, 5.0, [0, 1, 2]),
        # A short deadline leads to shedding because of a queue, not because of the service time.
        (0, 0.3, []),
        (12, 0.3, [0, 1, 2]),
    ],
)
def test_requests_that_would_be_late_are_shed_by_priority(outstanding, remaining_s, shed):
    host = Host()
    host.load("i-1", outstanding)
    shed_priorities = [
        priority
        for priority in range(3)
        if isinstance(
            host.choose(1.0, request(priority=priority, remaining_s=remaining_s), [instance(1)]),
            Shed,
        )
    ]
    assert shed_priorities == shed


@pytest.mark.parametrize(
    ("outstanding", "shed"), [(5, []), (15, [2]), (20, [1, 2]), (30, [0, 1, 2])]
)
def test_queues_stay_within_the_target_latency(outstanding, shed):
    host = Host()
    host.load("i-1", outstanding)
    shed_priorities = [
        priority
        for priority in range(3)
        if isinstance(
            host.choose(1.0, request(priority=priority, target_s=0.8), [instance(1)]), Shed
        )
    ]
    assert shed_priorities == shed


UNREPEATABLE = {"unrepeatable": True, "first_attempt": True}


@pytest.mark.parametrize(
    ("changes", "evidence_age_s", "expected"),
    [
        ({"retryable": True}, 1.0, "i-1"),
        # Idempotent requests come first; without them, the others explore.
        (UNREPEATABLE, 1.0, None),
        (UNREPEATABLE, 1.6, "i-1"),
        (UNREPEATABLE | {"unserved_share": 0.3}, 1.0, None),
        (UNREPEATABLE | {"unserved_share": 0.3}, 1.6, "i-1"),
        # An idempotent request that has no attempts left, and one of unknown effect.
        ({}, 2.0, None),
        ({"unserved_share": 0.3}, 2.0, None),
        (UNREPEATABLE | {"first_attempt": False}, 2.0, None),
        ({"retryable": True, "unserved_share": 0.3}, 1.0, "i-1"),
    ],
)
def test_a_request_that_would_be_shed_explores_unless_it_would_be_lost(
    changes, evidence_age_s, expected
):
    host = Host()
    host.observe(3.0 - evidence_age_s, "i-1", True)
    host.observe(2.9, "i-2", False)
    host.load("i-2", 24)
    placement_request = request(target_s=0.8)._replace(**changes)
    placed = host.choose(3.0, placement_request, [instance(1), instance(2)])
    chosen = None if isinstance(placed, Shed) else placed.instance.id
    assert chosen == expected


def test_a_degraded_service_uses_instances_again_whose_responses_are_recent():
    host = Host()
    both = [instance(1), instance(2)]
    placement_request = request(retryable=True)._replace(unserved_share=0.3)
    assert host.choose(1.0, placement_request, both[:1]).instance.id == "i-1"
    # The response to the request of second 1 comes right before the next request.
    host.load("i-1", 1)
    host.tracker.on_request_ended(2.4, "i-1", "s", ExchangeOutcome.OK, 1.4)
    host.observe(2.4, "i-2", False)
    host.reusable.add(instance(2).address)
    chosen = [host.choose(2.5, placement_request, both) for _ in range(8)]
    assert [placed.instance.id for placed in chosen if placed.explores] == ["i-1"]


@pytest.mark.parametrize(
    ("in_use", "evidence_age_s", "explores"),
    [(5, 2.5, False), (5, 3.5, True), (6, 3.5, False), (6, 7.5, False), (6, 8.5, True)],
)
def test_instances_are_explored_sooner_below_the_floor(in_use, evidence_age_s, explores):
    host = Host()
    instances = [instance(number) for number in range(8)]
    placement_request = request()._replace(unrepeatable=True, first_attempt=True)
    for number in range(in_use, 8):
        host.observe(10.0 - evidence_age_s, f"i-{number}", True)
    for number in range(in_use):
        host.choose(9.5, request(), [instances[number]])
        host.observe(9.5, f"i-{number}", False)
    assert host.choose(10.0, placement_request, instances).explores == explores


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"may_explore": True, "retryable": True},
        {"first_attempt": True, "unrepeatable": True},
        {"first_attempt": True, "unrepeatable": True, "unserved_share": 0.3},
        {"may_explore": True, "retryable": True, "unserved_share": 0.3},
    ],
)
def test_no_request_goes_to_an_instance_that_wants_none_for_a_time(changes):
    """Neither as the best instance nor to explore it, whatever was seen of the others."""
    host = Host()
    instances = [instance(number) for number in range(3)]
    placement_request = request()._replace(**changes)
    host.directory.set_backoff(0.0, instances[0], 20.0)
    host.observe(0.0, "i-1", unhealthy=True)
    for step in range(100):
        placed = host.choose(0.1 * step, placement_request, instances)
        assert isinstance(placed, Placed)
        assert placed.instance.id != "i-0"
    assert "i-0" in {host.choose(20.0, placement_request, instances).instance.id for _ in range(20)}


def test_request_is_shed_until_the_first_instance_takes_requests_again():
    host = Host()
    instances = [instance(number) for number in range(3)]
    for each, wait_s in zip(instances, (3.0, 9.0, 6.0), strict=True):
        host.directory.set_backoff(0.0, each, wait_s)
    shed = host.choose(1.0, request(), instances)
    assert isinstance(shed, Shed)
    assert 2.0 <= shed.retry_after_s <= 3.0
    # The first one was tried already.
    shed = host.choose(1.0, request(exclude=["i-0"]), instances)
    assert 5.0 <= shed.retry_after_s <= 7.5
    assert host.choose(3.0, request(), instances).instance.id == "i-0"


@pytest.mark.parametrize("instances", [[], [instance(1)]])
def test_no_candidates_left(instances):
    decision = Host().choose(1.0, request(exclude=["i-1"]), instances)
    assert isinstance(decision, Shed)
    assert decision.retry_after_s > 0


# Simulations

HOSTS = 12
DURATION_S = 40.0
REPORT_DELAY_S = 0.03
SERVICE_S = 0.4


def simulate(policy, seed, rate_s=50.0, idempotent_share=0.2, count=9):
    """Simulates a zone whose instances reset 85 % of their requests in unhealthy phases.

    Unhealthy phases last 9 s and healthy ones 20 s on average. Hosts receive the observations of
    the others after a delay. Returns the share of failed requests among those that are not
    retryable, and the number of extra attempts per request.
    """
    rng = random.Random(seed)
    hosts = [Host(seed * 100 + number) for number in range(HOSTS)]
    instances = [instance(number) for number in range(count)]
    phases = {item.id: _phases(rng) for item in instances}
    events = []
    now_s = 0.0
    order = 0
    while now_s < DURATION_S:
        now_s += rng.expovariate(rate_s)
        heapq.heappush(events, (now_s, order, "arrival", None))
        order += 1
    failed = unrepeatable = extra = total = 0
    while events:
        now_s, _, kind, data = heapq.heappop(events)
        if kind == "report":
            host, observations = data
            for number, other in enumerate(hosts):
                if number != host:
                    other.tracker.on_peer_observations(now_s, str(host), observations)
            continue
        if kind == "accepted":
            hosts[data[0]].tracker.on_request_accepted(now_s, data[1])
        elif kind == "ended":
            number, key, outcome = data
            hosts[number].tracker.on_request_ended(now_s, key, "s", outcome, SERVICE_S)
        else:
            number = rng.randrange(HOSTS)
            idempotent = rng.random() < idempotent_share
            total += 1
            unrepeatable += not idempotent
            exclude = frozenset()
            for attempts_left in (1, 0):
                placement_request = request(
                    idempotent and attempts_left == 1,
                    idempotent and attempts_left == 1,
                    exclude=exclude,
                )
                placed = policy(hosts[number], now_s, placement_request, instances)
                key = placed.instance.id
                hosts[number].tracker.on_request_started(0.0, key)
                broken = _is_unhealthy(phases[key], now_s) and rng.random() < 0.85
                if not broken:
                    order += 1
                    accepted_s = now_s + ACCEPTED_AFTER_S
                    heapq.heappush(events, (accepted_s, order, "accepted", (number, key)))
                    order += 1
                    end = (number, key, ExchangeOutcome.OK)
                    heapq.heappush(events, (now_s + SERVICE_S, order, "ended", end))
                    break
                hosts[number].tracker.on_request_ended(
                    now_s, key, "s", ExchangeOutcome.BROKEN, 0.001
                )
                if not idempotent:
                    failed += 1
                    break
                exclude = frozenset({key})
                extra += attempts_left
        observations = hosts[number].tracker.pop_observations()
        if observations:
            order += 1
            heapq.heappush(
                events, (now_s + REPORT_DELAY_S, order, "report", (number, observations))
            )
    return failed / unrepeatable, extra / total


def _phases(rng):
    """Returns whether an instance starts unhealthy, and the times at which its state changes."""
    unhealthy = rng.random() < 9 / 29
    times, now_s, state = [], 0.0, unhealthy
    while now_s < DURATION_S:
        now_s += rng.expovariate(1 / 9 if state else 1 / 20)
        times.append(now_s)
        state = not state
    return unhealthy, times


def _is_unhealthy(phases, now_s):
    unhealthy, times = phases
    return unhealthy ^ (sum(time <= now_s for time in times) % 2 == 1)


def choose_by_health(host, now_s, placement_request, instances):
    return host.choose(now_s, placement_request, instances)


def choose_by_load(host, now_s, placement_request, instances):
    remaining = [item for item in instances if item.id not in placement_request.exclude]
    best = min(
        remaining,
        key=lambda item: (host.tracker.health(item.id).total_outstanding, random.random()),
    )
    return Placed(best, 0.0, 0.0, 0.0, False)


@pytest.mark.parametrize("seed", range(3))
def test_unhealthy_phases_fail_few_requests(seed):
    failed, extra = simulate(choose_by_health, seed)
    assert failed <= 0.04
    assert extra <= 0.2  # The retry budget of the fleet.
    assert simulate(choose_by_load, seed)[0] > 4 * failed
