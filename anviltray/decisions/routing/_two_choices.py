"""Two random choices by load, in tiers from the own zone to other regions."""

from bisect import bisect
from collections.abc import Iterable, Sequence
from itertools import accumulate
from random import Random
from typing import NamedTuple

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.limits import LinkBudget, LinkUse
from anviltray.decisions.routing._board import LoadBoard, UpstreamRecord
from anviltray.decisions.routing._interface import NodePlace, routers
from anviltray.decisions.routing._subset import choose_subset, node_rank, subset_size

# Trust in a report or latency falls to zero at this age; the rest is the mean of the service. A
# trust that never reached zero would starve an upstream whose last report was slightly worse.
_REPORT_LIFETIME_S = 0.5
_LATENCY_LIFETIME_S = 10.0
# Costs closer than this are equal, and the first draw wins. Without it an upstream that is worse by
# rounding only would never be chosen again, and nothing would correct its last report.
_TIE = 0.02
_LATENCY_RATIOS = (0.5, 8.0)  # bounds of an upstream's latency against the mean.
# Load from which the next tier of the own region is considered. Leaving the zone costs little, so
# it happens before the zone is full.
_ZONE_FULL = 0.8
# Load from which the own region counts as unable to take more; other regions cost money.
_REGION_FULL = 0.95
_USE_LIFETIME_S = 0.1  # between two scans of a tier's load.
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
        self.use = 0.0
        self.use_until_s = float("-inf")


class _Plan(NamedTuple):
    generation: int
    nodes_generation: int
    tiers: tuple[_Tier | None, ...]  # Own zone, own region, other regions.


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
        load_board: LoadBoard,
        rng: Random,
        *,
        node: str = "",
        link: LinkBudget | None = None,
        instance_connections: int = 400,
    ) -> None:
        self._place = NodePlace(node, region, zone)
        self._board = load_board
        self._rng = rng
        self._link = link
        self._instance_connections = instance_connections
        self._nodes: tuple[NodePlace, ...] = ()
        # Own rank among the nodes that share each tier, and their number.
        self._ranks: tuple[tuple[int, int] | None, ...] = (None, None, None)
        self._nodes_generation = 0
        self._plans: dict[str, _Plan] = {}

    def set_nodes(self, nodes: Sequence[NodePlace]) -> None:
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
        service = routable.service
        zone, region, far = plan.tiers
        best, load = self._best(zone, service, now_s, exclude)
        if region is not None and load >= _ZONE_FULL:
            other, other_load = self._best(region, service, now_s, exclude)
            if other is not None and other_load < load:
                best, load = other, other_load
        if far is not None and (best is None or self._is_full(plan, load, service, now_s)):
            other, other_load = self._best(far, service, now_s, exclude)
            if other is not None and other_load < load:
                use = LinkUse.UNREPEATABLE if unrepeatable else LinkUse.OTHER
                if self._link is None or self._link.take(now_s, use, size_bytes):
                    best = other
        return best.upstream if best is not None else None

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
        tiers = tuple(
            self._tier(group, index, routable.service) if group else None
            for index, group in enumerate(groups)
        )
        return _Plan(routable.generation, self._nodes_generation, tiers)

    def _rank(self, index: int) -> tuple[int, int] | None:
        region, zone = self._place.region, self._place.zone
        nodes = [
            place.node
            for place in self._nodes
            if index == 2 or (place.region == region and (index == 1 or place.zone == zone))
        ]
        rank = node_rank(nodes, self._place.node)
        return None if rank is None else (rank, len(nodes))

    def _tier(self, group: list[RoutableUpstream], index: int, service: str) -> _Tier:
        addresses = tuple(upstream.address for upstream in group)
        place = self._ranks[index]
        if place is not None:
            rank, nodes = place
            connections = int(self._instance_connections * _CONNECTION_SHARES[index])
            size = subset_size(nodes, len(group), connections)
            addresses = choose_subset(addresses, rank, nodes, size, service)
        used = set(addresses)
        return _Tier(
            [
                _Candidate(upstream, self._board.record(upstream.address))
                for upstream in group
                if upstream.address in used
            ]
        )

    def _best(
        self, tier: _Tier | None, service: str, now_s: float, exclude: frozenset[str]
    ) -> tuple[_Candidate | None, float]:
        """Returns the better of two candidates and its load; infinite load if there is none."""
        if tier is None:
            return None, float("inf")
        first = self._draw(tier, exclude)
        if first is None:
            return None, float("inf")
        second = self._draw(tier, exclude | {first.upstream.address})
        first_load = self._load(first, service, now_s)
        if second is None:
            return first, first_load
        second_load = self._load(second, service, now_s)
        first_cost = self._cost(first, first_load, service, now_s)
        second_cost = self._cost(second, second_load, service, now_s)
        if second_cost < first_cost - _TIE:
            return second, second_load
        return first, first_load

    def _draw(self, tier: _Tier, exclude: frozenset[str]) -> _Candidate | None:
        for _ in range(_SAMPLES):
            point = self._rng.random() * tier.total
            candidate = tier.candidates[min(bisect(tier.bounds, point), len(tier.candidates) - 1)]
            if candidate.upstream.address not in exclude:
                return candidate
        left = [item for item in tier.candidates if item.upstream.address not in exclude]
        return left[int(self._rng.random() * len(left))] if left else None

    def _load(self, candidate: _Candidate, service: str, now_s: float) -> float:
        """Returns the estimated share of slots in use."""
        record = candidate.record
        slots = candidate.upstream.slots
        if record.reported_s == float("-inf"):
            return (record.outstanding + record.peer_outstanding) / slots
        trust = max(0.0, 1 - (now_s - record.reported_s) / _REPORT_LIFETIME_S)
        mean = self._board.means(service).reported
        reported = trust * record.reported + (1 - trust) * mean
        return reported + (record.outstanding - record.outstanding_at_report) / slots

    def _cost(self, candidate: _Candidate, load: float, service: str, now_s: float) -> float:
        """Returns the load after one more request, scaled by the upstream's relative latency."""
        record = candidate.record
        mean_s = self._board.means(service).latency_s
        cost = load + 1 / candidate.upstream.slots
        if record.latency_s <= 0 or mean_s <= 0:
            return cost
        trust = max(0.0, 1 - (now_s - record.measured_s) / _LATENCY_LIFETIME_S)
        low, high = _LATENCY_RATIOS
        ratio = min(high, max(low, record.latency_s / mean_s))
        return cost * (1 + trust * (ratio - 1))

    def _is_full(self, plan: _Plan, load: float, service: str, now_s: float) -> bool:
        """Tells whether the own region has no room; `load` is that of its best candidate."""
        if load < _REGION_FULL:
            return False
        local = [tier for tier in plan.tiers[:2] if tier is not None]
        return all(self._use(tier, service, now_s) >= _REGION_FULL for tier in local)

    def _use(self, tier: _Tier, service: str, now_s: float) -> float:
        """Returns the mean load of a tier; scanned rarely because the scan costs more."""
        if now_s >= tier.use_until_s:
            tier.use = _mean(
                (self._load(item, service, now_s), item.upstream.slots) for item in tier.candidates
            )
            tier.use_until_s = now_s + _USE_LIFETIME_S
        return tier.use


def _mean(weighted: Iterable[tuple[float, float]]) -> float:
    total = 0.0
    weights = 0.0
    for value, weight in weighted:
        total += min(1.0, value) * weight
        weights += weight
    return total / weights if weights else 0.0
