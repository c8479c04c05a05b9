"""Baseline routers for measurements; they ignore load, locality and the link budget."""

from collections.abc import Sequence
from random import Random

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.limits import LinkBudget
from anviltray.decisions.routing._interface import NodeLocality, routers
from anviltray.decisions.routing._load_tracker import LoadTracker


class _Baseline:
    """Common base of the baseline routers."""

    def __init__(
        self,
        region: str,
        zone: str,
        load_tracker: LoadTracker,
        rng: Random,
        *,
        node: str = "",
        link: LinkBudget | None = None,
    ) -> None:
        self._rng = rng
        self._next_index: dict[str, int] = {}  # Next index by service; used by round robin only.

    def connections(self, service: str, address: str) -> int:
        """Returns the connection limit of an instance; it is not divided among nodes."""
        return 400

    def set_nodes(self, nodes: Sequence[NodeLocality]) -> None:
        """Does nothing, since every node uses all upstreams."""


@routers.register("round_robin")
class RoundRobinRouter(_Baseline):
    """Cycles through the upstreams of a service from a random start."""

    def choose(
        self,
        routable: RoutableSet,
        now_s: float,
        exclude: frozenset[str],
        unrepeatable: bool,
        size_bytes: int,
    ) -> RoutableUpstream | None:
        """Returns the next upstream that is not excluded."""
        count = len(routable.upstreams)
        index = self._next_index.get(routable.service)
        if index is None:
            index = self._rng.randrange(max(1, count))
        for step in range(count):
            upstream = routable.upstreams[(index + step) % count]
            if upstream.address not in exclude:
                self._next_index[routable.service] = (index + step + 1) % count
                return upstream
        return None


@routers.register("random")
class RandomRouter(_Baseline):
    """Chooses each upstream with equal probability."""

    def choose(
        self,
        routable: RoutableSet,
        now_s: float,
        exclude: frozenset[str],
        unrepeatable: bool,
        size_bytes: int,
    ) -> RoutableUpstream | None:
        """Returns a random upstream that is not excluded."""
        upstreams: Sequence[RoutableUpstream] = routable.upstreams
        if exclude:
            upstreams = [item for item in upstreams if item.address not in exclude]
        return upstreams[int(self._rng.random() * len(upstreams))] if upstreams else None
