"""Deterministic subsetting: each node uses a bounded subset, evenly spread over the upstreams."""

from collections.abc import Sequence
from math import ceil

import xxhash

MAX_SUBSET_SIZE = 64  # Per tier; limits the connections and memory of a node.
MIN_SUBSET_SIZE = 2  # Two random choices and a retry need two upstreams.
# Connections of a node to one upstream that the subset size allows for: one for each slot that the
# node may use, and a few to replace closed ones.
CONNECTIONS_PER_UPSTREAM = 4


def subset_size(nodes: int, upstreams: int, connections: int) -> int:
    """Returns how many of `upstreams` each of `nodes` uses.

    `connections` is the number that one upstream accepts from all nodes together. With few nodes,
    each one uses all upstreams.
    """
    affordable = connections * upstreams // (CONNECTIONS_PER_UPSTREAM * max(1, nodes))
    return min(upstreams, max(MIN_SUBSET_SIZE, min(MAX_SUBSET_SIZE, affordable)))


def connection_limit(nodes: int, upstreams: int, size: int, connections: int) -> int:
    """Returns how many connections a node may open to each upstream of its subset.

    The limit is at least 1, so the total exceeds `connections` if more nodes than that use the
    same upstream.
    """
    users = ceil(max(1, nodes) * size / max(1, upstreams))
    return max(1, connections // users)


def node_rank(nodes: Sequence[str], node: str) -> int | None:
    """Returns the rank of `node` in `nodes` by hash, or None if it is not among them."""
    if node not in nodes:
        return None
    own_key = _hash_key(node)
    return sum(_hash_key(other) < own_key for other in nodes)


def choose_subset(
    addresses: Sequence[str], rank: int, nodes: int, size: int, salt: str
) -> tuple[str, ...]:
    """Returns the subset of upstreams for the node of rank `rank` out of `nodes`.

    Upstreams are arranged on a hash ring, and each node uses `size` consecutive ones from a
    position that depends on its rank. The numbers of users per upstream differ by at most one. When
    a node or an upstream is added or removed, each arc moves by at most one position. `salt`, such
    as the service name, varies the positions between services.
    """
    if size >= len(addresses):
        return tuple(addresses)
    ring = sorted(addresses, key=_hash_key)
    offset = _hash_key(salt)[0] * len(ring) >> 64
    first = rank * len(ring) // nodes + offset
    return tuple(sorted(ring[(first + step) % len(ring)] for step in range(size)))


def _hash_key(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name
