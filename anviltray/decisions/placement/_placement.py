"""Chooses the instance for a request or sheds the request.

Load pattern: many hosts share the few slots of each instance, all instances of a small service in
one zone may be full or unhealthy, and bursts exceed the capacity of all instances. Requests to
other zones cost traffic, queueing costs the caller time.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import NamedTuple, Protocol

from anviltray.decisions.placement._evidence import HealthTracker, InstanceHealth
from anviltray.declarations import Instance

# Costs in units of one mean service time: load below the capacity of an instance, and the distance
# to the local availability zone, the local region and other regions.
_BUSY_COST = 0.3
_DISTANCE_COST = (0.0, 0.3, 0.7)
# Cost of a new connection, which takes round trips and briefly a slot of the instance. It is below
# the cost of distance and of one waiting request, so that it only decides between instances with
# similar load in the same zone.
_CONNECT_COST = 0.25
_COST_NOISE = 0.05
# Cost of certain failure in the same unit. A failed request that is not retryable is lost; a
# retryable one takes another attempt.
_NON_RETRYABLE_FAILURE_COST = 8.0
_RETRYABLE_FAILURE_COST = 1.5
_WARMUP_SPEED = 0.5  # Relative speed of an instance that is warming up.
# Idempotent requests explore instances that are unhealthy with more than this probability and of
# which there was no evidence and no exploration within the interval.
_EXPLORE_MIN_PROBABILITY = 0.15
_EXPLORE_INTERVAL_S = 1.6
# Requests that must not be repeated explore only what the idempotent ones have not explored for
# this long. The average unhealthy phase is over by then, and without exploration the instance
# would stay out of use.
_UNREPEATABLE_EXPLORE_INTERVAL_S = 8.0
# The same while fewer instances than the floor are in use. Instances whose unhealthy phase is over
# must be found before requests fail, as a sudden loss leaves no time to find them.
_FLOOR_EXPLORE_INTERVAL_S = 3.0
# An instance without a request for longer than this is not in use.
_IN_USE_S = 2.0
# Above this share of unserved requests, exploration happens after a shorter interval, does not
# depend on the retry budget and includes instances that are just less attractive than others. Most
# healthy instances must be in use within two seconds when 10 % of the requests of a service are not
# served; the share is an average over several seconds, so it crosses this threshold first.
_DEGRADED_UNSERVED_SHARE = 0.07
_DEGRADED_EXPLORE_INTERVAL_S = 1.2
# The same for requests that must not be repeated. It is longer, so that idempotent requests explore
# first where there are enough of them.
_DEGRADED_UNREPEATABLE_INTERVAL_S = 1.3
# Requests that must not be repeated do not explore an instance in this case that resets connections
# with a higher probability, which falls below it 2.8 s after two resets in a row. Without the limit
# a service with few idempotent requests loses one request in 25 to exploration. The limit ends
# before the share of unserved requests is a tenth, as most healthy instances must be in use then.
_MAX_RESET_PROBABILITY = 0.75
_MAX_LIMITED_UNSERVED_SHARE = 0.078
# Share of the requests that explore in this case. All hosts see at the same time that an instance
# is due, and what the first request finds out takes a moment to reach the others.
_DEGRADED_EXPLORE_SHARE = 0.5
# An instance with a higher probability of errors is not explored sooner than this after its latest
# error or late response: these are rarer than resets, so the belief is mostly right. It must be in
# use again six seconds after its recovery.
_MAX_ERROR_PROBABILITY = 0.15
_ERROR_EXPLORE_INTERVAL_S = 4.5
# A broken exchange can be a lost response of a healthy instance. This many in a row show a phase of
# resets, in which most further requests would be lost too. An instance of a degraded service is
# then explored this long after the latest one; it must be in use again four seconds after the end
# of its phase.
_RESETS_OF_A_PHASE = 2
_RESET_EXPLORE_INTERVAL_S = 1.7
# A request that would be shed explores an uncertain instance instead after this interval.
_SHED_EXPLORE_INTERVAL_S = 0.8
# Maximum share of the remaining time that the expected response time may take, by priority. Under
# overload the requests of lower priority are shed first.
_DEADLINE_SHARES = (0.9, 0.75, 0.6)
# Maximum multiple of the target latency, by priority. A longer queue at the instances does not
# raise throughput and only delays all requests; callers retry after a shed request.
_TARGET_FACTORS = (2.0, 1.5, 1.2)
_SERVICE_TIME_SHARE = 0.5  # Upper bound of the assumed service time, relative to the allowed time.
# Instances of one distance that a choice looks at. A random sample of this size has some of the
# least loaded ones, and hosts with the same observations do not all choose the same one.
_SAMPLE_SIZE = 64
_MIN_RETRY_AFTER_S = 0.2
_RETRY_JITTER = 0.5  # Jitter relative to the delay, which spreads the retries of callers.


class Locality(NamedTuple):
    """Location of this host."""

    region: str  # Region of the host.
    zone: str  # Availability zone of the host.


class PlacementRequest(NamedTuple):
    """Properties of a request that its placement depends on."""

    service: str  # Service name.
    retryable: bool  # Whether another attempt is possible after a failure.
    may_explore: bool  # Whether it may be sent to an uncertain instance to probe its health.
    priority: int  # 0 is the most urgent.
    remaining_s: float  # Time until the deadline of the caller.
    target_s: float  # Target latency of the route.
    exclude: frozenset[str] = frozenset()  # Instances that were tried before.
    first_attempt: bool = False  # Whether it has not been sent to any instance yet.
    unserved_share: float = 0.0  # Share of the service's recent requests that were not served.
    unrepeatable: bool = False  # Whether it must not run twice, whatever attempts are left.
    # Requests per slot above which it does not go to an instance. It then explores or is shed.
    max_load: float = math.inf


class Placed(NamedTuple):
    """The request is sent to an instance."""

    instance: Instance  # Instance that gets the request.
    load: float  # Requests per slot including this one.
    unhealthy_probability: float  # Probability that the instance is unhealthy.
    evidence_age_s: float  # Age of the latest evidence about it.
    explores: bool  # Whether the request probes an uncertain instance.


class Shed(NamedTuple):
    """The request is rejected because no instance is expected to serve it in time."""

    retry_after_s: float  # Delay after which capacity is expected.
    expected_s: float  # Expected response time at the best instance.
    candidates: int  # Number of instances considered.


class InstanceView(Protocol):
    """Provides what instances have stated about themselves."""

    def is_warming(self, now_s: float, key: str) -> bool:
        """See `InstanceDirectory.is_warming`."""

    def backoff_until_s(self, instance: Instance) -> float:
        """See `InstanceDirectory.backoff_until_s`."""


class ConnectionView(Protocol):
    """Provides the idle connections to instances."""

    def can_reuse(self, address: str, unrepeatable: bool) -> bool:
        """See `UpstreamClient.can_reuse`."""


class _Exploration(NamedTuple):
    """Which instances a request may explore."""

    interval_s: float = math.inf  # Minimum time since the latest evidence or exploration.
    min_probability: float = _EXPLORE_MIN_PROBABILITY  # Lowest probability to be unhealthy.
    # Minimum time since the latest error or late response of an instance that probably errs.
    error_interval_s: float = 0.0
    # Minimum time since the latest broken exchange of an instance that had several in a row.
    reset_interval_s: float = 0.0
    max_probability: float = 1.0  # Highest probability to reset connections.
    # Whether `interval_s` is the time since the latest request instead of the latest evidence,
    # which may be a response to an earlier request.
    unused: bool = False


class _Candidate(NamedTuple):
    instance: Instance
    health: InstanceHealth
    load: float  # Requests per slot at normal speed, including this one.
    cost: float  # Cost of load, distance and failure in mean service times.


class _Entry(NamedTuple):
    instance: Instance
    health: InstanceHealth


_Tiers = tuple[tuple[_Entry, ...], ...]


class _ServiceTiers(NamedTuple):
    instances: Sequence[Instance]  # Usable instances of a service.
    tiers: _Tiers  # The same instances by distance: own zone, own region, other regions.


class Placement:
    """Chooses instances for the requests of one host."""

    def __init__(
        self,
        locality: Locality,
        zone_regions: dict[str, str],
        tracker: HealthTracker,
        instances: InstanceView,
        connections: ConnectionView,
        rng: Random,
        floor_share: float = 0.7,
    ) -> None:
        """`floor_share` is the share of a service's instances in the zone to keep in use."""
        self._locality = locality
        self._zone_regions = zone_regions
        self._tracker = tracker
        self._instances = instances
        self._connections = connections
        self._rng = rng
        self._floor_share = floor_share
        self._tiers_by_service: dict[str, _ServiceTiers] = {}

    def choose(
        self, now_s: float, request: PlacementRequest, instances: Sequence[Instance]
    ) -> Placed | Shed:
        """Returns the best of the usable `instances` of the service, or sheds the request."""
        all_tiers = self._tiers(request.service, instances)
        tiers = tuple(self._sample(entries) for entries in all_tiers)
        explored = self._explore(
            now_s, request, tiers[0], self._exploration(now_s, request, tiers[0])
        )
        if explored is not None:
            return _placed(now_s, explored, explores=True)
        best = self._best_of(now_s, request, tiers)
        if best is None and tiers != all_tiers:
            best = self._best_of(now_s, request, all_tiers)
        if best is None:
            return Shed(self._retry_after_s(self._wait_s(now_s, request, instances)), 0.0, 0)
        priority = max(0, min(request.priority, 2))
        allowed_s = min(
            request.remaining_s * _DEADLINE_SHARES[priority],
            request.target_s * _TARGET_FACTORS[priority],
        )
        expected_s = self._expected_s(request.service, best, allowed_s)
        if expected_s > allowed_s or best.load > request.max_load:
            interval_s = _forced_interval_s(request, _SHED_EXPLORE_INTERVAL_S)
            # A request that only waits otherwise is not worth an attempt that will fail.
            waits = expected_s <= allowed_s
            exploration = _Exploration(
                interval_s, max_probability=_max_reset_probability(request) if waits else 1.0
            )
            explored = self._explore(now_s, request, tiers[0], exploration)
            if explored is not None:
                return _placed(now_s, explored, explores=True)
            excess_s = expected_s - allowed_s
            excluded = sum(instance.id in request.exclude for instance in instances)
            return Shed(self._retry_after_s(excess_s), expected_s, len(instances) - excluded)
        return _placed(now_s, best, explores=False)

    def _tiers(self, service: str, instances: Sequence[Instance]) -> _Tiers:
        """Returns the instances by distance; they are grouped again only if they have changed."""
        known = self._tiers_by_service.get(service)
        if known is not None and known.instances is instances:
            return known.tiers
        entries = [_Entry(instance, self._tracker.health(instance.id)) for instance in instances]
        tiers = tuple(
            tuple(entry for entry in entries if self._distance(entry.instance) == distance)
            for distance in range(len(_DISTANCE_COST))
        )
        self._tiers_by_service[service] = _ServiceTiers(instances, tiers)
        return tiers

    def _sample(self, entries: tuple[_Entry, ...]) -> tuple[_Entry, ...]:
        """Returns the entries, or consecutive ones from a random place if there are many."""
        if len(entries) <= _SAMPLE_SIZE:
            return entries
        start = self._rng.randrange(len(entries))
        sample = entries[start : start + _SAMPLE_SIZE]
        return sample + entries[: _SAMPLE_SIZE - len(sample)]

    def _best_of(self, now_s: float, request: PlacementRequest, tiers: _Tiers) -> _Candidate | None:
        best: _Candidate | None = None
        for distance, entries in enumerate(tiers):
            distance_cost = _DISTANCE_COST[distance]
            if best is None or best.cost > distance_cost:
                best = self._best(now_s, request, entries, distance_cost, best)
        return best

    def _best(
        self,
        now_s: float,
        request: PlacementRequest,
        entries: Sequence[_Entry],
        distance_cost: float,
        best: _Candidate | None,
    ) -> _Candidate | None:
        """Returns the best of the instances at one distance if it is better than `best`.

        The exact cost is only computed for those that may be better by a lower bound of it.
        """
        limit = math.inf if best is None else best.cost
        failure_cost = _failure_cost(request)
        random = self._rng.random
        for instance, health in entries:
            load = (health.total_outstanding + 1) / instance.slots
            min_cost = distance_cost + _BUSY_COST * load
            if load > 1:
                min_cost += load - 1
            # Noise, because hosts with the same observations would all choose the same instance.
            noise = _COST_NOISE * random()
            min_cost += failure_cost * health.min_unhealthy_probability + noise
            if (
                min_cost < limit
                and instance.id not in request.exclude
                and self._accepts(now_s, instance, health)
            ):
                candidate = self._candidate(now_s, request, instance, health, distance_cost, noise)
                if candidate.cost < limit:
                    best, limit = candidate, candidate.cost
        return best

    def _candidate(
        self,
        now_s: float,
        request: PlacementRequest,
        instance: Instance,
        health: InstanceHealth,
        distance_cost: float = 0.0,
        noise: float = 0.0,
    ) -> _Candidate:
        slots = float(instance.slots)
        if self._instances.is_warming(now_s, instance.id):
            slots *= _WARMUP_SPEED
        load = (health.total_outstanding + 1) / slots + health.refusal_load(now_s)
        cost = max(0.0, load - 1) + _BUSY_COST * load
        cost += distance_cost + _failure_cost(request) * health.unhealthy_probability(now_s)
        if not self._connections.can_reuse(instance.address, request.unrepeatable):
            cost += _CONNECT_COST
        return _Candidate(instance, health, load, cost + noise)

    def _accepts(self, now_s: float, instance: Instance, health: InstanceHealth) -> bool:
        """Returns whether the instance takes a request now, by its own statements."""
        if health.rate_limit is not None and health.rate_limit.is_exhausted(now_s):
            return False
        return self._instances.backoff_until_s(instance) <= now_s

    def _wait_s(
        self, now_s: float, request: PlacementRequest, instances: Sequence[Instance]
    ) -> float:
        """Returns the time until the first instance that was not tried takes requests again."""
        waits_s = [
            self._instances.backoff_until_s(instance) - now_s
            for instance in instances
            if instance.id not in request.exclude
        ]
        return min(waits_s, default=0.0)

    def _distance(self, instance: Instance) -> int:
        if instance.zone == self._locality.zone:
            return 0
        return 1 if self._zone_regions.get(instance.zone) == self._locality.region else 2

    def _exploration(
        self, now_s: float, request: PlacementRequest, entries: Sequence[_Entry]
    ) -> _Exploration:
        """Returns which instances the request may explore in place of the best one."""
        degraded = request.unserved_share > _DEGRADED_UNSERVED_SHARE
        if degraded and self._rng.random() < _DEGRADED_EXPLORE_SHARE:
            interval_s = (
                _SHED_EXPLORE_INTERVAL_S if request.may_explore else _DEGRADED_EXPLORE_INTERVAL_S
            )
            interval_s = _forced_interval_s(request, interval_s)
            if interval_s < math.inf:
                return _Exploration(
                    interval_s,
                    0.0,
                    _ERROR_EXPLORE_INTERVAL_S,
                    _RESET_EXPLORE_INTERVAL_S,
                    _max_reset_probability(request),
                    unused=True,
                )
        if request.may_explore:
            return _Exploration(_EXPLORE_INTERVAL_S)
        if request.unrepeatable and request.first_attempt:
            below_floor = self._is_below_floor(now_s, entries)
            return _Exploration(
                _FLOOR_EXPLORE_INTERVAL_S if below_floor else _UNREPEATABLE_EXPLORE_INTERVAL_S
            )
        return _Exploration()

    def _is_below_floor(self, now_s: float, entries: Sequence[_Entry]) -> bool:
        """Returns whether too few of the instances of the zone are in use."""
        in_use = sum(now_s - entry.health.last_used_s < _IN_USE_S for entry in entries)
        return in_use < math.ceil(self._floor_share * len(entries))

    def _explore(
        self,
        now_s: float,
        request: PlacementRequest,
        entries: Sequence[_Entry],
        exploration: _Exploration,
    ) -> _Candidate | None:
        """Returns the uncertain instance with the oldest evidence, or None if none is due."""
        interval_s = exploration.interval_s
        if interval_s == math.inf:
            return None
        due = []
        for instance, health in entries:
            if now_s - health.last_explored_s <= interval_s:
                continue
            if not self._accepts(now_s, instance, health):
                continue
            last_s = health.last_used_s if exploration.unused else health.last_evidence_s
            if now_s - last_s <= interval_s or instance.id in request.exclude:
                continue
            if health.unhealthy_probability(now_s) <= exploration.min_probability:
                continue
            if health.reset_probability(now_s) > exploration.max_probability:
                continue
            if self._may_have_recovered(now_s, health, exploration):
                candidate = self._candidate(now_s, request, instance, health)
                if candidate.load <= 1:
                    due.append(candidate)
        if not due:
            return None
        # At the start of a fleet there is no evidence, so each host takes another instance.
        explored = min(due, key=lambda item: (item.health.last_evidence_s, self._rng.random()))
        explored.health.last_explored_s = now_s
        return explored

    def _may_have_recovered(
        self, now_s: float, health: InstanceHealth, exploration: _Exploration
    ) -> bool:
        """Returns whether the latest faults of an instance are old enough to explore it."""
        recent_error = now_s - health.last_error_s <= exploration.error_interval_s
        if recent_error and health.error_probability(now_s) > _MAX_ERROR_PROBABILITY:
            return False
        recent_reset = now_s - health.last_reset_s <= exploration.reset_interval_s
        return not recent_reset or health.resets_in_row < _RESETS_OF_A_PHASE

    def _expected_s(self, service: str, candidate: _Candidate, allowed_s: float) -> float:
        """Returns the expected response time.

        Only the queueing time counts in full. The service time is bounded by a share of the
        allowed time, because it is unknown for one request: a request with a short deadline must
        not be shed because other requests of the service take long.
        """
        mean_s = self._tracker.mean_latency_s(service)
        return max(0.0, candidate.load - 1) * mean_s + min(mean_s, _SERVICE_TIME_SHARE * allowed_s)

    def _retry_after_s(self, delay_s: float) -> float:
        delay_s = max(_MIN_RETRY_AFTER_S, delay_s)
        return delay_s * (1 + _RETRY_JITTER * self._rng.random())


def _forced_interval_s(request: PlacementRequest, interval_s: float) -> float:
    """Returns the interval of exploration regardless of the retry budget; infinite if not allowed.

    `interval_s` is that of a retryable request. One that must not be repeated waits for those: its
    caller can retry after a shed request, but not after a broken exchange.
    """
    if request.retryable:
        return interval_s
    if request.unrepeatable and request.first_attempt:
        return max(interval_s, _DEGRADED_UNREPEATABLE_INTERVAL_S)
    return math.inf


def _max_reset_probability(request: PlacementRequest) -> float:
    """Returns the probability of resets above which a request does not explore an instance."""
    if request.retryable or request.unserved_share > _MAX_LIMITED_UNSERVED_SHARE:
        return 1.0
    return _MAX_RESET_PROBABILITY


def _failure_cost(request: PlacementRequest) -> float:
    return _RETRYABLE_FAILURE_COST if request.retryable else _NON_RETRYABLE_FAILURE_COST


def _placed(now_s: float, candidate: _Candidate, *, explores: bool) -> Placed:
    health = candidate.health
    health.last_used_s = now_s
    return Placed(
        candidate.instance,
        candidate.load,
        health.unhealthy_probability(now_s),
        now_s - health.last_evidence_s,
        explores,
    )
