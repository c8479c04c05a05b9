"""Interface between the request path and routers."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple, Protocol

from anviltray.decisions._registry import Registry
from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.limits import LinkBudget
from anviltray.decisions.routing._load_tracker import LoadTracker


class NodeLocality(NamedTuple):
    """Location of a live node."""

    node: str  # Node name.
    region: str  # Region of the host.
    zone: str  # Availability zone of the host.


class Router(Protocol):
    """Chooses upstreams for the requests of one node."""

    def choose(
        self,
        routable: RoutableSet,
        now_s: float,
        exclude: frozenset[str],
        unrepeatable: bool,
        size_bytes: int,
    ) -> RoutableUpstream | None:
        """Returns the upstream for one request, or None if all are excluded."""

    def connections(self, service: str, address: str) -> int:
        """Returns how many connections this node may open to an upstream."""

    def set_nodes(self, nodes: Sequence[NodeLocality]) -> None:
        """Sets the live nodes, including this one, that share the upstreams."""


class RouterFactory(Protocol):
    """Builds a router; `node` names this node and `link` limits the traffic to other regions."""

    def __call__(
        self,
        region: str,
        zone: str,
        load_tracker: LoadTracker,
        rng: Random,
        *,
        node: str = "",
        link: LinkBudget | None = None,
    ) -> Router: ...


routers: Registry[RouterFactory] = Registry("router")
