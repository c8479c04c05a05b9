"""Routers that measurements compare with; they ignore load, places and the link."""

from collections.abc import Sequence
from random import Random

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.limits import LinkBudget
from anviltray.decisions.routing._board import LoadTracker
from anviltray.decisions.routing._interface import NodeLocality, routers


class _Baseline:
    """What the baselines share."""

    def __init__(
        self,
        region: str,
        zone: str,
        load_board: LoadTracker,
        rng: Random,
        *,
        node: str = "",
        link: LinkBudget | None = None,
    ) -> None:
        self._rng = rng
        self._turns: dict[str, int] = {}  # Next position by service; only the round robin uses it.

    def connections(self, service: str, address: str) -> int:
        """Returns the connections of an instance: baselines do not share them."""
        return 400

    def set_nodes(self, nodes: Sequence[NodeLocality]) -> None:
        """Does nothing: every node uses every upstream."""


@routers.register("round_robin")
class RoundRobinRouter(_Baseline):
    """Takes the upstreams of a service in turn from a random start."""

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
        turn = self._turns.get(routable.service)
        if turn is None:
            turn = self._rng.randrange(max(1, count))
        for step in range(count):
            upstream = routable.upstreams[(turn + step) % count]
            if upstream.address not in exclude:
                self._turns[routable.service] = (turn + step + 1) % count
                return upstream
        return None


@routers.register("random")
class RandomRouter(_Baseline):
    """Takes any upstream with equal probability."""

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
