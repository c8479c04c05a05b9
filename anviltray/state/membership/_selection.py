"""Rendezvous hashing, which assigns tasks to nodes and selects the peers of a node."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from anviltray.messages import Member


def rendezvous_score(key: str, node: str) -> int:
    """Returns the weight of `node` for `key`; the node with the highest weight comes first."""
    return xxhash.xxh3_64_intdigest(f"{key}|{node}".encode())


def rendezvous_rank(key: str, own: str, nodes: Iterable[str]) -> int:
    """Returns the position of `own` among `nodes` in the rendezvous order of `key`, from 0."""
    own_score = rendezvous_score(key, own)
    return sum(1 for node in nodes if node != own and rendezvous_score(key, node) > own_score)


class Location(NamedTuple):
    """Region and availability zone of a host."""

    region: str  # Region of the host.
    zone: str  # Availability zone of the host.


def select_peers(
    own: str, location: Location, members: Iterable[Member], count: int
) -> tuple[str, ...]:
    """Returns up to `count` nodes to connect to, half of them in the own zone.

    A quarter is in other zones of the region, and a quarter in other regions, which take turns. So
    the graph stays connected when a zone or a region fails, while most connections avoid the
    paid link between regions. If a group is too small, the best remaining nodes are added.
    """
    ranked = sorted(
        (member for member in members if member.node != own),
        key=lambda member: rendezvous_score(own, member.node),
        reverse=True,
    )
    zone: list[str] = []
    region: list[str] = []
    others: dict[str, list[str]] = {}
    for member in ranked:
        if member.region != location.region:
            others.setdefault(member.region, []).append(member.node)
        elif member.zone == location.zone:
            zone.append(member.node)
        else:
            region.append(member.node)
    quarter = max(1, count // 4)
    chosen = _interleave(others)[:quarter] + region[:quarter]
    chosen += zone[: max(0, count - len(chosen))]
    selected = set(chosen)
    chosen += [member.node for member in ranked if member.node not in selected]
    return tuple(chosen[:count])


def _interleave(groups: Mapping[str, list[str]]) -> list[str]:
    """Returns the first node of each group, then the second node of each, and so on."""
    ordered = [groups[name] for name in sorted(groups)]
    longest = max((len(nodes) for nodes in ordered), default=0)
    return [nodes[index] for index in range(longest) for nodes in ordered if index < len(nodes)]
