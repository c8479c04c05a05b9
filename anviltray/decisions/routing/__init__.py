"""Routing: selection of the upstream for a request.

Example: `router = routers["two_choices"]("viti", "viti-a", LoadTracker("n1", 7), Random(1))`, then
`router.choose(routable, now_s, frozenset(), unrepeatable=False, size_bytes=400)`.
"""

from anviltray.decisions.routing._baselines import RandomRouter, RoundRobinRouter
from anviltray.decisions.routing._interface import NodeLocality, Router, RouterFactory, routers
from anviltray.decisions.routing._load_tracker import LoadTracker
from anviltray.decisions.routing._subset import (
    choose_subset,
    connection_limit,
    node_rank,
    subset_size,
)
from anviltray.decisions.routing._two_choices import TwoChoicesRouter

__all__ = [
    "LoadTracker",
    "NodeLocality",
    "RandomRouter",
    "RoundRobinRouter",
    "Router",
    "RouterFactory",
    "TwoChoicesRouter",
    "choose_subset",
    "connection_limit",
    "node_rank",
    "routers",
    "subset_size",
]
