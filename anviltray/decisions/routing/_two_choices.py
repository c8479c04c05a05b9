"""Two random choices by load, in tiers from the own zone to other regions."""

from bisect import bisect
from collections.abc import Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.limits import LinkBudget, TrafficClass
from anviltray.decisions.routing._board import NEVER_S, LoadTracker, ServiceMeans, UpstreamRecord
from anviltray.decisions.routing._interface import NodeLocality, routers
from anviltray.decisions.routing._subset import (
    choose_subset,
    connection_limit,
    node_rank,
    subset_size,
)

# Trust in a report or latency falls to zero at this age; the rest is the mean of the service. A
# trust that never reached zero would starve an upstream whose last report was slightly worse.
_REPORT_LIFETIME_S = 0.2
_LATENCY_LIFETIME_S = 10.0
# Costs closer than this are equal, and the first draw wins. Without it an upstream that is worse by
# rounding only would never be chosen again, and nothing would correct its last report.
_TIE = 0.02
_LATENCY_RATIOS = (0.5, 8.0)  # bounds of an upstream's latency against the mean.
# Load from which the next tier of the own region is considered. Leaving the zone costs little, so
# it happens before the zone is full.
_ZONE_FULL = 0.8
# Load from which the own region counts as unable to take more. Other regions cost money: at 0.95
# and 90 % load 20 % of the attempts crossed, at 0.97 7 %; at 0.99 a real shortage lost 6 % of the
# requests before they crossed.
_REGION_FULL = 0.97
# Weight of one sample in the smoothed load of a tier, and the time after which a sample counts in
# full. A single sample exceeds the limits above by chance at a load of 70 %.
_USE_WEIGHT = 0.02
_USE_PERIOD_S = 2.0
_SAMPLES = 8  # tries to find an upstream that is not excluded before all are examined.
# Share of an upstream's connections for the nodes of its zone, its region and everywhere.
_CONNECTION_SHARES = (0.5, 0.25, 0.25)


class _Candidate(NamedTuple):
    upstream: RoutableUpstream
    record: UpstreamRecord


class _Tier:
    """Upstreams at the same distance."""

    def __init__(self, candidates: list[_Candidate]) -> None:
        self.candidates = candidates
        capacities = [item.upstream.slots * item.upstream.weight for item in candidates]
        self.bounds = list(accumulate(capacities))
        self.total = self.bounds[-1]
        self.last = len(candidates) - 1
        self.use = 0.0  # Smoothed share of slots in use, from the first draws.
        self.used_s = 0.0  # Time of the last sample.

    def sample(self, now_s: float, load: float) -> None:
        """Adds the load of a random candidate."""
        weight = min(1.0, max(_USE_WEIGHT, (now_s - self.used_s) / _USE_PERIOD_S))
        self.used_s = now_s
        self.use += weight * (min(1.0, load) - self.use)


class _Plan(NamedTuple):
    generation: int
    nodes_generation: int
    tiers: tuple[_Tier | None, ...]  # Own zone, own region, other regions.
    connections: dict[str, int]  # Connections that this node may open to each upstream.
    means: ServiceMeans  # What unknown and old values are replaced by.


@routers.register("two_choices")
class TwoChoicesRouter:
    """Draws two upstreams in proportion to their usable capacity and takes the less loaded one.

    The draw bounds what an upstream in slow start gets to twice its share, however idle it looks,
    so nodes do not all rush to one that has just returned. One router serves all services of a
    node; its cost per decision grows with the logarithm of the number of upstreams.
    """

    def __init__(
        self,
        region: str,
        zone: str,
        load_board: LoadTracker,
        rng: Random,
        *,
        node: str = "",
        link: LinkBudget | None = None,
        instance_connections: int = 400,
    ) -> None:
        self._place = NodeLocality(node, region, zone)
        self._board = load_board
        self._rng = rng
        self._link = link
        self._instance_connections = instance_connections
        self._nodes: tuple[NodeLocality, ...] = ()
        # Own rank among the nodes that share each tier, and their number.
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
        """Returns the upstream for one request, or None if no allowed one is left."""
        plan = self._plans.get(routable.service)
        if (
            plan is None
            or plan.generation != routable.generation
            or plan.nodes_generation != self._nodes_generation
        ):
            plan = self._plans[routable.service] = self._build(routable)
        means = plan.means
        zone, region, far = plan.tiers
        best, load = self._best(zone, means, now_s, exclude)
        if region is not None and load >= _ZONE_FULL:
            other, other_load = self._best(region, means, now_s, exclude)
            if other is not None and other_load < load:
                best, load = other, other_load
        if far is not None and (best is None or _is_full(plan, load)):
            other, other_load = self._best(far, means, now_s, exclude)
            if other is not None and other_load < load:
                use = TrafficClass.UNREPEATABLE if unrepeatable else TrafficClass.OTHER
                if self._link is None or self._link.try_acquire(now_s, use, size_bytes):
                    best = other
        return best.upstream if best is not None else None

    def connections(self, service: str, address: str) -> int:
        """Returns how many connections this node may open to an upstream.

        The shares of all nodes that use an upstream stay within what it accepts as long as each
        can have one. Zero for an upstream that this node does not use.
        """
        plan = self._plans.get(service)
        return plan.connections.get(address, 0) if plan is not None else 0

    def _build(self, routable: RoutableSet) -> _Plan:
        self._board.set_members(
            routable.service, (upstream.address for upstream in routable.upstreams)
        )
        groups: tuple[list[RoutableUpstream], ...] = ([], [], [])
        for upstream in routable.upstreams:
            if upstream.region != self._place.region:
                groups[2].append(upstream)
            else:
                groups[0 if upstream.zone == self._place.zone else 1].append(upstream)
        connections: dict[str, int] = {}
        tiers = tuple(
            self._tier(group, index, routable.service, connections) if group else None
            for index, group in enumerate(groups)
        )
        means = self._board.means(routable.service)
        return _Plan(routable.generation, self._nodes_generation, tiers, connections, means)

    def _rank(self, index: int) -> tuple[int, int] | None:
        region, zone = self._place.region, self._place.zone
        nodes = [
            place.node
            for place in self._nodes
            if index == 2 or (place.region == region and (index == 1 or place.zone == zone))
        ]
        rank = node_rank(nodes, self._place.node)
        return None if rank is None else (rank, len(nodes))

    def _tier(
        self,
        group: list[RoutableUpstream],
        index: int,
        service: str,
        connections: dict[str, int],
    ) -> _Tier:
        """Returns the part of a group that this node uses and adds its connections."""
        addresses = tuple(upstream.address for upstream in group)
        limit = self._instance_connections
        place = self._ranks[index]
        if place is not None:
            rank, nodes = place
            share = int(self._instance_connections * _CONNECTION_SHARES[index])
            size = subset_size(nodes, len(group), share)
            limit = connection_limit(nodes, len(group), size, share)
            addresses = choose_subset(addresses, rank, nodes, size, service)
        connections.update(dict.fromkeys(addresses, limit))
        return _Tier(
            [
                _Candidate(upstream, self._board.record(upstream.address))
                for upstream in group
                if upstream.address in connections
            ]
        )

    def _best(
        self, tier: _Tier | None, means: ServiceMeans, now_s: float, exclude: frozenset[str]
    ) -> tuple[_Candidate | None, float]:
        """Returns the better of two candidates and its load; infinite load if there is none."""
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
        if _cost(second, second_load, means, now_s) < first_cost - _TIE:
            return second, second_load
        return first, first_load

    def _draw(self, tier: _Tier, exclude: frozenset[str], skip: str) -> _Candidate | None:
        candidates = tier.candidates
        for _ in range(_SAMPLES):
            point = self._rng.random() * tier.total
            candidate = candidates[min(bisect(tier.bounds, point), tier.last)]
            address = candidate.upstream.address
            if address != skip and address not in exclude:
                return candidate
        left = [
            item
            for item in candidates
            if item.upstream.address != skip and item.upstream.address not in exclude
        ]
        return left[int(self._rng.random() * len(left))] if left else None


def _load(candidate: _Candidate, means: ServiceMeans, now_s: float) -> float:
    """Returns the estimated share of slots in use."""
    record = candidate.record
    slots = candidate.upstream.slots
    if record.reported_s == NEVER_S:
        return (record.outstanding + record.peer_outstanding) / slots
    load = means.reported + (record.outstanding - record.outstanding_at_report) / slots
    trust = 1 - (now_s - record.reported_s) / _REPORT_LIFETIME_S
    return load + trust * (record.reported - means.reported) if trust > 0 else load


def _cost(candidate: _Candidate, load: float, means: ServiceMeans, now_s: float) -> float:
    """Returns the load after one more request, scaled by the upstream's relative latency."""
    record = candidate.record
    cost = load + 1 / candidate.upstream.slots
    trust = 1 - (now_s - record.measured_s) / _LATENCY_LIFETIME_S
    if trust <= 0 or means.latency_s <= 0:
        return cost
    low, high = _LATENCY_RATIOS
    ratio = record.latency_s / means.latency_s
    ratio = low if ratio < low else high if ratio > high else ratio
    return cost * (1 + trust * (ratio - 1))


def _is_full(plan: _Plan, load: float) -> bool:
    """Tells whether the own region has no room; `load` is that of its best candidate."""
    if load < _REGION_FULL:
        return False
    return all(tier.use >= _REGION_FULL for tier in plan.tiers[:2] if tier is not None)
