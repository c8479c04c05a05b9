"""Chooses the instance for a request, or turns the request away.

Load pattern: a few slots per instance for many hosts, a zone whose share of a small service is
full or sick, and bursts above the capacity of all instances. Leaving the zone costs bytes, waiting
costs the caller time.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple, Protocol

from anviltray.decisions.placement._evidence import HealthTracker, InstanceHealth
from anviltray.declarations import Instance

# Costs in units of one mean service time: an instance that is merely busy, the own region and other
# regions instead of the own availability zone.
_BUSY_COST = 0.3
_DISTANCE_COST = (0.0, 0.3, 0.7)
# Cost of certain failure. A failed request that must not be repeated is lost; another one takes an
# extra send.
_LOSS_COST = 8.0
_REPEAT_COST = 1.5
_WARMING_SPEED = 0.5  # An instance works at this speed after its start.
# Idempotent requests test instances that are sick with at least this probability and of which
# nothing was heard for the pause.
_EXPLORE_SICKNESS = 0.15
_EXPLORE_PAUSE_S = 0.8
# Where no idempotent request could test an instance, another one does after this pause. The mean
# sick phase is over by then, and without a test the instance would not return to service.
_BLIND_PAUSE_S = 8.0
# Above this share of unserved requests tests need no room in the retry budget and come after this
# pause. Operators ask for most sound instances in use within two seconds when a tenth of the
# requests of a service is not served.
_FLOOR_UNSERVED = 0.1
_FLOOR_PAUSE_S = 1.2
# A request that would be turned away tests a doubtful instance instead after this pause.
_SPARE_PAUSE_S = 0.8
# Part of the time left that the expected response time may take, by priority: when there is not
# room for all, the less urgent requests are turned away first.
_PATIENCE = (0.9, 0.75, 0.6)
# The same for the target latency. A longer queue at the instances serves no more requests, only all
# of them late; a caller that is refused comes back.
_TARGET_FACTOR = (2.0, 1.5, 1.2)
_WORK_SHARE = 0.5  # The work is taken for no more than this part of the allowed time.
_LEAST_RETRY_AFTER_S = 0.2
_RETRY_SPREAD = 0.5  # Retries are spread over this part of the delay, so that they do not collide.


class Locality(NamedTuple):
    """Where this host is."""

    region: str  # Region of the host.
    zone: str  # Availability zone of the host.


class PlacementRequest(NamedTuple):
    """What the choice depends on."""

    service: str  # Service name.
    retryable: bool  # Whether another send is possible after a failure.
    may_explore: bool  # Whether it may go to a doubtful instance to learn its state.
    priority: int  # 0 is the most urgent.
    remaining_s: float  # Time until the caller gives up.
    target_s: float  # Time in which a response is worth most to the caller.
    exclude: frozenset[str] = frozenset()  # Instances that were tried.
    no_other_explorers: bool = False  # The service has no retryable requests that could explore.
    unserved_share: float = 0.0  # Part of the service's recent requests that was not served.


class Placed(NamedTuple):
    """The request goes to an instance."""

    instance: Instance  # Where it goes.
    load: float  # Requests per slot there, with this one.
    fault_probability: float  # Probability that the instance is sick.
    evidence_age_s: float  # Age of the newest evidence about it.
    explores: bool  # The request tests the state of the instance.


class Shed(NamedTuple):
    """The request cannot be served in time."""

    retry_after_s: float  # When there should be room.
    expected_s: float  # Expected response time at the best instance.
    candidates: int  # Instances that were considered.


class WarmupView(Protocol):
    """Tells whether an instance is still slow after its start."""

    def is_warming(self, now_s: float, key: str) -> bool:
        """See `InstanceDirectory.is_warming`."""


class _Candidate(NamedTuple):
    instance: Instance
    evidence: InstanceHealth
    load: float  # Requests per slot at normal speed, with this one.
    cost: float  # Load, distance and doubt in units of one mean service time.


class Placement:
    """Placement for one host."""

    def __init__(
        self,
        place: Locality,
        zone_regions: dict[str, str],
        board: HealthTracker,
        warmth: WarmupView,
        rng: Random,
    ) -> None:
        self._place = place
        self._zone_regions = zone_regions
        self._board = board
        self._warmth = warmth
        self._rng = rng

    def choose(
        self, now_s: float, request: PlacementRequest, instances: Sequence[Instance]
    ) -> Placed | Shed:
        """Returns where a request goes, of the usable `instances` of its service."""
        candidates = [
            self._candidate(now_s, request, instance)
            for instance in instances
            if instance.id not in request.exclude
        ]
        if not candidates:
            return Shed(self._retry_after_s(_LEAST_RETRY_AFTER_S), 0.0, 0)
        tested = self._explore(now_s, candidates, _explore_pause_s(request))
        if tested is not None:
            return _placed(now_s, tested, explores=True)
        best = min(candidates, key=lambda candidate: candidate.cost)
        rank = min(request.priority, 2)
        allowed_s = min(
            request.remaining_s * _PATIENCE[rank], request.target_s * _TARGET_FACTOR[rank]
        )
        expected_s = self._expected_s(request.service, best.load, allowed_s)
        if expected_s > allowed_s:
            pause_s = _SPARE_PAUSE_S if _may_test(request) else math.inf
            tested = self._explore(now_s, candidates, pause_s)
            if tested is not None:
                return _placed(now_s, tested, explores=True)
            excess_s = expected_s - allowed_s
            return Shed(self._retry_after_s(excess_s), expected_s, len(candidates))
        return _placed(now_s, best, explores=False)

    def _candidate(self, now_s: float, request: PlacementRequest, instance: Instance) -> _Candidate:
        evidence = self._board.health(instance.id)
        slots = float(instance.slots)
        if self._warmth.is_warming(now_s, instance.id):
            slots *= _WARMING_SPEED
        load = (evidence.total_outstanding + 1) / slots + evidence.refusal_load(now_s)
        cost = max(0.0, load - 1) + _BUSY_COST * load + _DISTANCE_COST[self._distance(instance)]
        failure_cost = _REPEAT_COST if request.retryable else _LOSS_COST
        cost += failure_cost * evidence.fault_probability(now_s)
        # The smallest differences must not decide, or hosts with equal views would choose alike.
        return _Candidate(instance, evidence, load, cost + 0.05 * self._rng.random())

    def _distance(self, instance: Instance) -> int:
        if instance.zone == self._place.zone:
            return 0
        return 1 if self._zone_regions.get(instance.zone) == self._place.region else 2

    def _explore(
        self, now_s: float, candidates: Sequence[_Candidate], pause_s: float
    ) -> _Candidate | None:
        """Returns the doubtful instance of the own zone that was heard of least recently."""
        if pause_s == math.inf:
            return None
        due = [
            item
            for item in candidates
            if item.instance.zone == self._place.zone
            and item.load <= 1
            and now_s - max(item.evidence.explored_s, item.evidence.updated_s) > pause_s
            and item.evidence.fault_probability(now_s) > _EXPLORE_SICKNESS
        ]
        if not due:
            return None
        tested = min(due, key=lambda item: item.evidence.updated_s)
        tested.evidence.explored_s = now_s
        return tested

    def _expected_s(self, service: str, load: float, allowed_s: float) -> float:
        """Returns the expected response time.

        The work of one request is not known, so that a caller with little time is not refused
        because other requests of the service take long; only the wait before it counts in full.
        """
        mean_s = self._board.mean_latency_s(service)
        return max(0.0, load - 1) * mean_s + min(mean_s, _WORK_SHARE * allowed_s)

    def _retry_after_s(self, delay_s: float) -> float:
        delay_s = max(_LEAST_RETRY_AFTER_S, delay_s)
        return delay_s * (1 + _RETRY_SPREAD * self._rng.random())


def _may_test(request: PlacementRequest) -> bool:
    """Tells whether a request may go to a doubtful instance without room in the retry budget.

    One that must not be repeated does so only if its service has no others, since its caller can
    come back after a refusal but not after a broken exchange.
    """
    return request.retryable or request.no_other_explorers


def _explore_pause_s(request: PlacementRequest) -> float:
    """Returns how long nothing must have been heard of an instance that the request may test."""
    if request.may_explore:
        return _EXPLORE_PAUSE_S
    if request.unserved_share > _FLOOR_UNSERVED and _may_test(request):
        return _FLOOR_PAUSE_S
    return _BLIND_PAUSE_S if request.no_other_explorers else math.inf


def _placed(now_s: float, candidate: _Candidate, *, explores: bool) -> Placed:
    evidence = candidate.evidence
    return Placed(
        candidate.instance,
        candidate.load,
        evidence.fault_probability(now_s),
        now_s - evidence.updated_s,
        explores,
    )
