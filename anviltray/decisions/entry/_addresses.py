"""Rendezvous hashing of callers over the nodes."""

from collections.abc import Iterable

import xxhash

from anviltray.messages import Member


def entry_addresses(
    members: Iterable[Member], service: str, region: str, caller: str, count: int
) -> tuple[str, ...]:
    """Returns up to `count` caller addresses of live nodes, best first.

    Nodes of the caller's region come first, each group in the order of a hash of service, caller
    and node, so that callers spread evenly and a node that comes or goes changes only the
    addresses that it gains or loses. At least two availability zones are represented if live nodes
    exist in two and `count` allows it; a zone of the caller's region is preferred for that.
    Returns an empty tuple if no member is alive.
    """
    ranked = sorted(
        (member for member in members if member.status == "alive"),
        key=lambda member: (
            member.region != region,
            -xxhash.xxh3_64_intdigest(f"{service}\0{caller}\0{member.node}".encode()),
            member.caller_address,
        ),
    )
    # Two incarnations of a node may both be listed as alive for a moment.
    unique = list({member.caller_address: member for member in ranked}.values())
    chosen = unique[:count]
    zones = {(member.region, member.zone) for member in chosen}
    if len(zones) == 1 and count >= 2:
        others = (member for member in unique if (member.region, member.zone) not in zones)
        other = next(others, None)
        if other is not None:
            chosen[-1] = other
    return tuple(member.caller_address for member in chosen)
