"""Elects the host that reads the store, so that each availability zone has one reader.

Load pattern: calls to the store are billed, and all hosts start, lose the store and regain it at
the same time. Without an election, 48 hosts that each read once per second would use up most of the
call limit of the store.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Age of the latest read of the zone at which the elected reader reads again. Two reads and a
# failover fit into the two seconds in which a draining instance may still get requests.
READ_INTERVAL_S = 0.7
# Additional age after which the other hosts fail over, and the delay between two of them.
FAILOVER_S = 0.4
FAILOVER_STAGGER_S = 0.08


class StoreView(NamedTuple):
    """Reported reachability of the store from one host of the zone, including this one."""

    host: str  # IP address of the host.
    reaches_store: bool  # Its last call to the store succeeded.


def read_after_s(host: str, views: Iterable[StoreView]) -> float:
    """Returns the age of the latest read of the zone at which `host` reads the store.

    All hosts compute the same order of the hosts that reach the store. A host that does not reach
    it comes last and keeps trying, so that it detects when the store is reachable again.

    Example: for three hosts that reach the store the results are 0.7, 1.18 and 1.26.
    """
    views = tuple(views)
    reachable = sorted((view.host for view in views if view.reaches_store), key=_hash)
    rank = reachable.index(host) if host in reachable else len(views)
    if rank == 0:
        return READ_INTERVAL_S
    return READ_INTERVAL_S + FAILOVER_S + rank * FAILOVER_STAGGER_S


def _hash(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
