"""Guards against placements that lose requests, and replays the loads that the policy answers."""

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
    """Placement of one host with its own view."""

    def __init__(self, seed=1):
        self.board = HealthTracker()
        self.directory = InstanceDirectory()
        self.placement = Placement(
            Locality("viti", "suva"), ZONES, self.board, self.directory, random.Random(seed)
        )

    def choose(self, now_s, wanted, instances):
        return self.placement.choose(now_s, wanted, instances)

    def load(self, key, outstanding):
        for _ in range(outstanding):
            self.board.on_request_started(key)

    def believe(self, now_s, key, sick):
        for _ in range(4):
            if sick:
                self.board.on_request_started(key)
                self.board.on_request_ended(now_s, key, "s", ExchangeOutcome.BROKEN, 0.01)
            else:
                self.board.on_request_accepted(now_s, key)


@pytest.mark.parametrize(
    ("prepare", "instances", "expected"),
    [
        # The own zone, then the own region, then the rest.
        ({}, [instance(1, "labasa"), instance(2, "lautoka"), instance(3)], "i-3"),
        ({}, [instance(1, "labasa"), instance(2, "lautoka")], "i-2"),
        # A full zone sends requests to the region, a full region beyond.
        ({"load": {"i-3": 9}}, [instance(1, "labasa"), instance(2, "lautoka"), instance(3)], "i-2"),
        (
            {"load": {"i-3": 12, "i-2": 12}},
            [instance(1, "labasa"), instance(2, "lautoka"), instance(3)],
            "i-1",
        ),
        # The less loaded one of two.
        ({"load": {"i-1": 4}}, [instance(1), instance(2)], "i-2"),
        # A sick instance is worse than a long way and a queue.
        ({"sick": ["i-1"]}, [instance(1), instance(2, "labasa")], "i-2"),
        (
            {"sick": ["i-1"], "sound": ["i-2"], "load": {"i-2": 8}},
            [instance(1), instance(2)],
            "i-2",
        ),
        # If all are sick, one of them is better than none.
        ({"sick": ["i-1"]}, [instance(1)], "i-1"),
    ],
)
def test_choice(prepare, instances, expected):
    host = Host()
    for key, outstanding in prepare.get("load", {}).items():
        host.load(key, outstanding)
    for sick in ("sick", "sound"):
        for key in prepare.get(sick, ()):
            host.believe(1.0, key, sick == "sick")
    assert host.choose(1.0, request(), instances).instance.id == expected


def test_a_cold_instance_gets_half():
    host = Host()
    host.directory.register(0.0, instance(1)._replace(warmup_s=3.0))
    host.load("i-1", 2)
    host.load("i-2", 3)
    assert host.choose(1.0, request(), [instance(1), instance(2)]).instance.id == "i-2"
    assert host.choose(4.0, request(), [instance(1), instance(2)]).instance.id == "i-1"


def test_only_requests_that_may_explore_test_a_sick_instance():
    host = Host()
    host.believe(1.0, "i-1", True)
    host.believe(1.0, "i-2", False)
    both = [instance(1), instance(2)]
    assert host.choose(3.0, request(), both).instance.id == "i-2"
    assert host.choose(3.0, request(retryable=True), both).instance.id == "i-2"
    tested = host.choose(3.0, request(retryable=True, may_explore=True), both)
    assert (tested.instance.id, tested.explores) == ("i-1", True)
    again = host.choose(3.1, request(retryable=True, may_explore=True), both)
    assert again.instance.id == "i-2"  # One test at a time.


def test_without_idempotent_requests_another_one_tests_after_the_sick_phase():
    host = Host()
    host.believe(1.0, "i-1", True)
    both = [instance(1), instance(2)]
    wanted = request()._replace(no_other_explorers=True)
    for now_s, expected in [(2.0, "i-2"), (8.5, "i-2"), (10.0, "i-1"), (10.1, "i-2")]:
        host.believe(now_s, "i-2", False)
        assert host.choose(now_s, wanted, both).instance.id == expected, now_s


@pytest.mark.parametrize(
    ("outstanding", "remaining_s", "turned_away"),
    [
        (0, 5.0, []),
        (30, 5.0, []),
        (45, 5.0, [2]),
        (58, 5.0, [1, 2]),
        (80, 5.0, [0, 1, 2]),
        # A caller with little time is refused for a queue, not for the work of other requests.
        (0, 0.3, []),
        (12, 0.3, [0, 1, 2]),
    ],
)
def test_what_cannot_be_served_in_time_is_turned_away_least_urgent_first(
    outstanding, remaining_s, turned_away
):
    host = Host()
    host.load("i-1", outstanding)
    found = [
        priority
        for priority in range(3)
        if isinstance(
            host.choose(1.0, request(priority=priority, remaining_s=remaining_s), [instance(1)]),
            Shed,
        )
    ]
    assert found == turned_away


@pytest.mark.parametrize(
    ("outstanding", "turned_away"), [(5, []), (15, [2]), (20, [1, 2]), (30, [0, 1, 2])]
)
def test_queues_stay_within_the_target_latency(outstanding, turned_away):
    host = Host()
    host.load("i-1", outstanding)
    found = [
        priority
        for priority in range(3)
        if isinstance(
            host.choose(1.0, request(priority=priority, target_s=0.8), [instance(1)]), Shed
        )
    ]
    assert found == turned_away


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"retryable": True}, "i-1"),
        ({"no_other_explorers": True}, "i-1"),
        # It must not be repeated, and the service has idempotent requests for tests.
        ({}, None),
        ({"unserved_share": 0.3}, None),
        ({"retryable": True, "unserved_share": 0.3}, "i-1"),
    ],
)
def test_what_would_be_turned_away_tests_an_instance_unless_it_would_be_lost(changes, expected):
    host = Host()
    host.believe(1.0, "i-1", True)
    host.believe(2.9, "i-2", False)
    host.load("i-2", 24)
    wanted = request(target_s=0.8)._replace(**changes)
    chosen = host.choose(3.0, wanted, [instance(1), instance(2)])
    found = None if isinstance(chosen, Shed) else chosen.instance.id
    assert found == expected


@pytest.mark.parametrize("instances", [[], [instance(1)]])
def test_nothing_left_to_try(instances):
    answer = Host().choose(1.0, request(exclude=["i-1"]), instances)
    assert isinstance(answer, Shed)
    assert answer.retry_after_s > 0


# Replays

HOSTS = 12
DURATION_S = 40.0
NEWS_DELAY_S = 0.03
SERVICE_S = 0.4


def replay(policy, seed, rate_s=50.0, idempotent_share=0.2, count=9):
    """Replays a zone whose instances reset 85 % of requests in phases; returns failed shares.

    Phases last 9 s, and sound ones 20 s in the mean. Each host knows its own requests at once and
    what the others report after a delay. The result has the share of requests that must not be
    repeated and failed, and of the extra sends.
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
        if kind == "news":
            host, observations = data
            for number, other in enumerate(hosts):
                if number != host:
                    other.board.on_peer_observations(now_s, str(host), observations)
            continue
        if kind == "accepted":
            hosts[data[0]].board.on_request_accepted(now_s, data[1])
        elif kind == "ended":
            number, key, outcome = data
            hosts[number].board.on_request_ended(now_s, key, "s", outcome, SERVICE_S)
        else:
            number = rng.randrange(HOSTS)
            idempotent = rng.random() < idempotent_share
            total += 1
            unrepeatable += not idempotent
            exclude = frozenset()
            for tries_left in (1, 0):
                wanted = request(
                    idempotent and tries_left == 1, idempotent and tries_left == 1, exclude=exclude
                )
                chosen = policy(hosts[number], now_s, wanted, instances)
                key = chosen.instance.id
                hosts[number].board.on_request_started(key)
                broken = _is_sick(phases[key], now_s) and rng.random() < 0.85
                if not broken:
                    order += 1
                    accepted_s = now_s + ACCEPTED_AFTER_S
                    heapq.heappush(events, (accepted_s, order, "accepted", (number, key)))
                    order += 1
                    end = (number, key, ExchangeOutcome.OK)
                    heapq.heappush(events, (now_s + SERVICE_S, order, "ended", end))
                    break
                hosts[number].board.on_request_ended(now_s, key, "s", ExchangeOutcome.BROKEN, 0.001)
                if not idempotent:
                    failed += 1
                    break
                exclude = frozenset({key})
                extra += tries_left
        observations = hosts[number].board.pop_observations()
        if observations:
            order += 1
            heapq.heappush(events, (now_s + NEWS_DELAY_S, order, "news", (number, observations)))
    return failed / unrepeatable, extra / total


def _phases(rng):
    """Returns the times at which an instance changes, and whether it starts sick."""
    sick = rng.random() < 9 / 29
    times, now_s, state = [], 0.0, sick
    while now_s < DURATION_S:
        now_s += rng.expovariate(1 / 9 if state else 1 / 20)
        times.append(now_s)
        state = not state
    return sick, times


def _is_sick(phases, now_s):
    sick, times = phases
    return sick ^ (sum(time <= now_s for time in times) % 2 == 1)


def by_evidence(host, now_s, wanted, instances):
    return host.choose(now_s, wanted, instances)


def by_load(host, now_s, wanted, instances):
    left = [item for item in instances if item.id not in wanted.exclude]
    best = min(
        left, key=lambda item: (host.board.health(item.id).total_outstanding, random.random())
    )
    return Placed(best, 0.0, 0.0, 0.0, False)


@pytest.mark.parametrize("seed", range(3))
def test_phases_of_resets_cost_few_requests(seed):
    failed, extra = replay(by_evidence, seed)
    assert failed <= 0.04
    assert extra <= 0.2  # The retry budget of the fleet.
    assert replay(by_load, seed)[0] > 4 * failed
