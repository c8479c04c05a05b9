"""Bounded subsets of upstreams per node, even over the nodes."""

from collections.abc import Sequence
from math import ceil

import xxhash

LARGEST_SUBSET = 64  # upstreams of one tier; bounds connections and memory of a node.
SMALLEST_SUBSET = 2  # two random choices and a retry need two upstreams.
# Connections that a node wants to one upstream. A slot that the node may use needs one; a few more
# cover closed ones.
CONNECTIONS_WANTED = 4


def subset_size(nodes: int, upstreams: int, connections: int) -> int:
    """Returns how many of `upstreams` each of `nodes` uses.

    `connections` is what one upstream accepts from all of them together. With few nodes the answer
    is all upstreams.
    """
    affordable = connections * upstreams // (CONNECTIONS_WANTED * max(1, nodes))
    return min(upstreams, max(SMALLEST_SUBSET, min(LARGEST_SUBSET, affordable)))


def connection_limit(nodes: int, upstreams: int, size: int, connections: int) -> int:
    """Returns how many connections a node may open to each upstream of its subset.

    At least one, so the sum exceeds `connections` if more nodes than that use one upstream.
    """
    users = ceil(max(1, nodes) * size / max(1, upstreams))
    return max(1, connections // users)


def node_rank(nodes: Sequence[str], node: str) -> int | None:
    """Returns the place of `node` in the order of a hash, or None if it is not in `nodes`."""
    if node not in nodes:
        return None
    own = _order(node)
    return sum(_order(other) < own for other in nodes)


def choose_subset(
    addresses: Sequence[str], rank: int, nodes: int, size: int, salt: str
) -> tuple[str, ...]:
    """Returns the upstreams that the node of `rank` out of `nodes` uses.

    Upstreams are put on a circle in the order of a hash, and each node takes `size` of them from
    its place on. All upstreams have the same number of users up to one. When a node or an upstream
    comes or goes, each arc moves by at most one place. `salt`, such as the service name, varies
    the places between services.
    """
    if size >= len(addresses):
        return tuple(addresses)
    circle = sorted(addresses, key=_order)
    turn = _order(salt)[0] * len(circle) >> 64
    first = rank * len(circle) // nodes + turn
    return tuple(sorted(circle[(first + step) % len(circle)] for step in range(size)))


def _order(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
