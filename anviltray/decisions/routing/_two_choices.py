"""Power of two random choices by load, in tiers from the local zone to other regions."""

from bisect import bisect
from collections.abc import Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.limits import LinkBudget, TrafficClass
from anviltray.decisions.routing._interface import NodeLocality, routers
from anviltray.decisions.routing._load_tracker import (
    NEVER_S,
    LoadTracker,
    ServiceMeans,
    UpstreamRecord,
)
from anviltray.decisions.routing._subset import (
    choose_subset,
    connection_limit,
    node_rank,
    subset_size,
)

# Age at which the weight of a load report or latency reaches zero; the mean of the service has the
# remaining weight. If the weight never reached zero, an upstream whose last report was slightly
# worse would starve.
_REPORT_LIFETIME_S = 0.2
_LATENCY_LIFETIME_S = 10.0
# Smaller differences in cost are ties, which the first draw wins. Otherwise an upstream that is
# worse only by rounding would never be chosen again, and its last report would never be corrected.
_TIE_THRESHOLD = 0.02
_LATENCY_RATIOS = (0.5, 8.0)  # Bounds of the latency of an upstream relative to the mean.
# Load of the local zone from which the rest of the region is considered. Traffic between zones is
# cheap, so requests overflow before the zone is full.
_ZONE_FULL = 0.8
# Load from which the local region counts as full. Traffic to other regions is expensive: at a load
# of 90 %, 20 % of the attempts left the region with a threshold of 0.95, and 7 % with 0.97. With
# 0.99, a real shortage failed 6 % of the requests before traffic overflowed to other regions.
_REGION_FULL = 0.97
# Minimum weight of one sample in the smoothed utilization of a tier, and the interval after which a
# sample replaces the average. At a load of 70 %, single samples exceed the thresholds above by
# chance.
_UTILIZATION_WEIGHT = 0.02
_UTILIZATION_PERIOD_S = 2.0
_DRAW_ATTEMPTS = 8  # Random draws of an eligible upstream before all are examined.
# Shares of an upstream's connections for the nodes of its zone, of its region and of all regions.
_CONNECTION_SHARES = (0.5, 0.25, 0.25)


class _Candidate(NamedTuple):
    upstream: RoutableUpstream
    record: UpstreamRecord


class _Tier:
    """Upstreams of one locality tier."""

    def __init__(self, candidates: list[_Candidate]) -> None:
        self.candidates = candidates
        capacities = [item.upstream.slots * item.upstream.weight for item in candidates]
        self.bounds = list(accumulate(capacities))
        self.total = self.bounds[-1]
        self.last = len(candidates) - 1
        self.utilization = 0.0  # Smoothed share of slots in use, sampled from first draws.
        self.sampled_s = 0.0  # Time of the last sample.

    def sample(self, now_s: float, load: float) -> None:
        """Adds the load of a randomly drawn candidate to the utilization."""
        weight = min(
            1.0, max(_UTILIZATION_WEIGHT, (now_s - self.sampled_s) / _UTILIZATION_PERIOD_S)
        )
        self.sampled_s = now_s
        self.utilization += weight * (min(1.0, load) - self.utilization)


class _Plan(NamedTuple):
    generation: int
    nodes_generation: int
    tiers: tuple[_Tier | None, ...]  # Local zone, local region, other regions.
    connections: dict[str, int]  # Connections that this node may open to each upstream.
    means: ServiceMeans  # Used in place of missing and expired values.


@routers.register("two_choices")
class TwoChoicesRouter:
    """Draws two upstreams in proportion to their usable capacity and chooses the less loaded one.

    The draw limits an upstream in slow start to twice its share, however idle it appears, which
    prevents a thundering herd on an upstream that has just recovered. One router serves all
    services of a node; the cost of a decision grows with the logarithm of the number of upstreams.
    """

    def __init__(
        self,
        region: str,
        zone: str,
        load_tracker: LoadTracker,
        rng: Random,
        *,
        node: str = "",
        link: LinkBudget | None = None,
        instance_connections: int = 400,
    ) -> None:
        self._locality = NodeLocality(node, region, zone)
        self._tracker = load_tracker
        self._rng = rng
        self._link = link
        self._instance_connections = instance_connections
        self._nodes: tuple[NodeLocality, ...] = ()
        # For each tier, the rank of this node among the nodes that share it, and their number.
        self._ranks: tuple[tuple[int, int] | None, ...] = (None, None, None)
        self._nodes_generation = 0
        self._plans: dict[str, _Plan] = {}

    def set_nodes(self, nodes: Sequence[NodeLocality]) -> None:
        """Sets the live nodes, including this one, that share the upstreams."""
        new = tuple(sorted(nodes))
        if new != self._nodes:
            self._nodes = new
            self._nodes_generation += 1
            self._ranks = tuple(self._rank(index) for index in range(3))

    def choose(
        self,
        routable: RoutableSet,
        now_s: float,
        exclude: frozenset[str],
        unrepeatable: bool,
        size_bytes: int,
    ) -> RoutableUpstream | None:
        """Returns the upstream for one request, or None if all are excluded."""
        plan = self._plans.get(routable.service)
        if (
            plan is None
            or plan.generation != routable.generation
            or plan.nodes_generation != self._nodes_generation
        ):
            plan = self._plans[routable.service] = self._build(routable)
        means = plan.means
        zone, region, remote = plan.tiers
        best, load = self._best(zone, means, now_s, exclude)
        if region is not None and load >= _ZONE_FULL:
            other, other_load = self._best(region, means, now_s, exclude)
            if other is not None and other_load < load:
                best, load = other, other_load
        if remote is not None and (best is None or _is_full(plan, load)):
            other, other_load = self._best(remote, means, now_s, exclude)
            if other is not None and other_load < load:
                traffic_class = TrafficClass.UNREPEATABLE if unrepeatable else TrafficClass.OTHER
                if self._link is None or self._link.try_acquire(now_s, traffic_class, size_bytes):
                    best = other
        return best.upstream if best is not None else None

    def connections(self, service: str, address: str) -> int:
        """Returns how many connections this node may open to an upstream.

        The limits of all nodes that use an upstream add up to at most what it accepts, unless
        there are more nodes than connections. Returns 0 for an upstream that this node does not
        use.
        """
        plan = self._plans.get(service)
        return plan.connections.get(address, 0) if plan is not None else 0

    def _build(self, routable: RoutableSet) -> _Plan:
        self._tracker.set_members(
            routable.service, (upstream.address for upstream in routable.upstreams)
        )
        groups: tuple[list[RoutableUpstream], ...] = ([], [], [])
        for upstream in routable.upstreams:
            if upstream.region != self._locality.region:
                groups[2].append(upstream)
            else:
                groups[0 if upstream.zone == self._locality.zone else 1].append(upstream)
        connections: dict[str, int] = {}
        tiers = tuple(
            self._tier(group, index, routable.service, connections) if group else None
            for index, group in enumerate(groups)
        )
        means = self._tracker.means(routable.service)
        return _Plan(routable.generation, self._nodes_generation, tiers, connections, means)

    def _rank(self, index: int) -> tuple[int, int] | None:
        region, zone = self._locality.region, self._locality.zone
        nodes = [
            locality.node
            for locality in self._nodes
            if index == 2 or (locality.region == region and (index == 1 or locality.zone == zone))
        ]
        rank = node_rank(nodes, self._locality.node)
        return None if rank is None else (rank, len(nodes))

    def _tier(
        self,
        group: list[RoutableUpstream],
        index: int,
        service: str,
        connections: dict[str, int],
    ) -> _Tier:
        """Returns the subset of a group that this node uses; adds its limits to `connections`."""
        addresses = tuple(upstream.address for upstream in group)
        limit = self._instance_connections
        node_position = self._ranks[index]
        if node_position is not None:
            rank, nodes = node_position
            share = int(self._instance_connections * _CONNECTION_SHARES[index])
            size = subset_size(nodes, len(group), share)
            limit = connection_limit(nodes, len(group), size, share)
            addresses = choose_subset(addresses, rank, nodes, size, service)
        connections.update(dict.fromkeys(addresses, limit))
        return _Tier(
            [
                _Candidate(upstream, self._tracker.record(upstream.address))
                for upstream in group
                if upstream.address in connections
            ]
        )

    def _best(
        self, tier: _Tier | None, means: ServiceMeans, now_s: float, exclude: frozenset[str]
    ) -> tuple[_Candidate | None, float]:
        """Returns the better of two random candidates and its load, or None and infinity."""
        first = None if tier is None else self._draw(tier, exclude, "")
        if tier is None or first is None:
            return None, float("inf")
        first_load = _load(first, means, now_s)
        tier.sample(now_s, first_load)
        second = self._draw(tier, exclude, first.upstream.address)
        if second is None:
            return first, first_load
        second_load = _load(second, means, now_s)
        first_cost = _cost(first, first_load, means, now_s)
        if _cost(second, second_load, means, now_s) < first_cost - _TIE_THRESHOLD:
            return second, second_load
        return first, first_load

    def _draw(self, tier: _Tier, exclude: frozenset[str], skip: str) -> _Candidate | None:
        candidates = tier.candidates
        for _ in range(_DRAW_ATTEMPTS):
            point = self._rng.random() * tier.total
            candidate = candidates[min(bisect(tier.bounds, point), tier.last)]
            address = candidate.upstream.address
            if address != skip and address not in exclude:
                return candidate
        remaining = [
            item
            for item in candidates
            if item.upstream.address != skip and item.upstream.address not in exclude
        ]
        return remaining[int(self._rng.random() * len(remaining))] if remaining else None


def _load(candidate: _Candidate, means: ServiceMeans, now_s: float) -> float:
    """Returns the estimated share of slots in use."""
    record = candidate.record
    slots = candidate.upstream.slots
    if record.reported_s == NEVER_S:
        return (record.outstanding + record.peer_outstanding) / slots
    load = means.reported_load + (record.outstanding - record.outstanding_at_report) / slots
    weight = 1 - (now_s - record.reported_s) / _REPORT_LIFETIME_S
    return load + weight * (record.reported_load - means.reported_load) if weight > 0 else load


def _cost(candidate: _Candidate, load: float, means: ServiceMeans, now_s: float) -> float:
    """Returns the load after one more request, scaled by the upstream's relative latency."""
    record = candidate.record
    cost = load + 1 / candidate.upstream.slots
    weight = 1 - (now_s - record.measured_s) / _LATENCY_LIFETIME_S
    if weight <= 0 or means.latency_s <= 0:
        return cost
    low, high = _LATENCY_RATIOS
    ratio = record.latency_s / means.latency_s
    ratio = low if ratio < low else high if ratio > high else ratio
    return cost * (1 + weight * (ratio - 1))


def _is_full(plan: _Plan, load: float) -> bool:
    """Returns whether the local region is full; `load` is that of its best candidate."""
    if load < _REGION_FULL:
        return False
    return all(tier.utilization >= _REGION_FULL for tier in plan.tiers[:2] if tier is not None)
