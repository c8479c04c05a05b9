"""Rendezvous hashing: assigns upstreams to the nodes that probe them."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rendezvous_rank(node: str, nodes: Iterable[str], address: str) -> int:
    """Returns how many of `nodes` rank before `node` for an upstream; all nodes agree on it."""
    own_score = _score(node, address)
    return sum(_score(other, address) > own_score for other in nodes if other != node)


def _score(node: str, address: str) -> int:
    return xxh3_64_intdigest(f"{node}|{address}".encode())
