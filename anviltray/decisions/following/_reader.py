"""Elects the hosts that read the store, so that each availability zone has few readers.

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
# Hosts of a zone that wait for a new configuration at the same time. A second one delivers it while
# the zone has not noticed yet that the first one is lost.
CONFIGURATION_READERS = 2


class StoreView(NamedTuple):
    """Reported reachability of the store from one host of the zone, including this one."""

    host: str  # IP address of the host.
    reaches_store: bool  # Its last call to the store succeeded.
    is_overdue: bool = False  # Its next beacon should have arrived.


def read_rank(host: str, views: Iterable[StoreView], read_age_s: float = 0.0) -> int:
    """Returns the position of `host` in the order in which the hosts of the zone read the store.

    All hosts compute the same order. The hosts that do not reach the store come after those that
    do, and none of them waits for configurations. Once the first host should have read, those whose
    beacons are overdue come last too: if many hosts are lost at once, the others need not wait for
    the turns of each of them. Before that, a lost beacon changes nothing.
    """
    late = read_age_s >= READ_INTERVAL_S + FAILOVER_S
    views = tuple(
        view._replace(reaches_store=view.reaches_store and not (late and view.is_overdue))
        for view in views
    )
    reachable = sorted((view.host for view in views if view.reaches_store), key=_hash)
    if host in reachable:
        return reachable.index(host)
    unreachable = sorted((view.host for view in views if not view.reaches_store), key=_hash)
    return max(len(reachable), CONFIGURATION_READERS) + unreachable.index(host)


def read_after_s(rank: int) -> float:
    """Returns the age of the latest read of the zone at which a host reads the registrations.

    No two hosts fail over at the same time, whether they reach the store or not.

    Example: for the ranks 0, 1 and 2 the results are 0.7, 1.18 and 1.26.
    """
    if rank == 0:
        return READ_INTERVAL_S
    return READ_INTERVAL_S + FAILOVER_S + rank * FAILOVER_STAGGER_S


def _hash(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
