"""Capacity floor: which suspected upstreams may be removed."""

from collections.abc import Collection, Sequence
from math import ceil
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from anviltray.declarations import Service


class Candidate(NamedTuple):
    """One upstream that is neither draining nor taken out of service by an operator."""

    address: str  # IP:port of the upstream.
    slots: int  # Requests that it runs at the same time.
    healthy_capacity: bool  # Reachable, not warming up and not half-open.
    suspicion: int  # Quantised suspicion; 0 if the upstream is not to be removed.


def floor_slots(service: Service) -> int:
    """Returns the healthy capacity in slots that ejection must leave to a service."""
    declared = sum(upstream.slots for upstream in service.upstreams)
    # The tolerance keeps 0.1 * 30 from being rounded up to 4.
    return max(service.floor_slots, ceil(service.floor_share * declared - 1e-9))


def select_removals(
    candidates: Sequence[Candidate], floor: int, ejected_by_peers: Collection[str] = ()
) -> frozenset[str]:
    """Returns the addresses that are removed.

    The counted slots that remain are at least `floor`; if all candidates together have fewer,
    nothing is removed. The most suspected upstreams are removed first and ties are broken by hash,
    so that nodes with equal evidence make equal choices. Upstreams in `ejected_by_peers` that are
    not suspected here count as removed capacity.

    Example: of three upstreams with 4 slots each and suspicions 3, 2 and 0, a floor of 8 removes
    only the first.
    """
    capacity = sum(candidate.slots for candidate in candidates if candidate.healthy_capacity)
    if capacity < floor:
        return frozenset()
    ejected_elsewhere = sum(
        candidate.slots
        for candidate in candidates
        if candidate.healthy_capacity
        and not candidate.suspicion
        and candidate.address in ejected_by_peers
    )
    spare = capacity - floor - ejected_elsewhere
    removed = []
    for candidate in sorted(
        (candidate for candidate in candidates if candidate.suspicion), key=_rank
    ):
        cost = candidate.slots if candidate.healthy_capacity else 0
        if cost <= spare or not cost:
            spare -= cost
            removed.append(candidate.address)
    # With a floor of 0 the last upstream could be removed.
    if removed and len(removed) == len(candidates):
        removed.pop()
    return frozenset(removed)


def _rank(candidate: Candidate) -> tuple[int, int]:
    return -candidate.suspicion, xxh3_64_intdigest(candidate.address.encode())
