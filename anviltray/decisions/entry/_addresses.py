"""Rendezvous hashing of callers to nodes."""

from collections.abc import Iterable

import xxhash

from anviltray.messages import Member


def entry_addresses(
    members: Iterable[Member], service: str, region: str, caller: str, count: int
) -> tuple[str, ...]:
    """Returns up to `count` caller addresses of live nodes, best first.

    Nodes of the caller's region come first. Within each group, rendezvous hashing of service,
    caller and node distributes callers evenly, and adding or removing a node changes only the
    results that include it. At least two availability zones are included if there are live nodes in
    two and `count` allows it, preferably of the caller's region. Returns an empty tuple if no
    member is alive.
    """
    ranked = sorted(
        (member for member in members if member.status == "alive"),
        key=lambda member: (
            member.region != region,
            -xxhash.xxh3_64_intdigest(f"{service}\0{caller}\0{member.node}".encode()),
            member.caller_address,
        ),
    )
    # Two incarnations of a node may be listed as alive at the same time for a short while.
    unique = list({member.caller_address: member for member in ranked}.values())
    chosen = unique[:count]
    zones = {(member.region, member.zone) for member in chosen}
    if len(zones) == 1 and count >= 2:
        others = (member for member in unique if (member.region, member.zone) not in zones)
        other = next(others, None)
        if other is not None:
            chosen[-1] = other
    return tuple(member.caller_address for member in chosen)
