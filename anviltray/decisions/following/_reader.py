"""Chooses the host that reads the store, so that a zone pays for one reader.

Load pattern: every call to the store costs, and all hosts start, lose the store and get it back at
the same moment. Without a choice, 48 hosts that each read once a second would make most of the
calls that the store allows.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

# Age of the newest read of the zone at which its reader reads again. Two reads and a takeover stay
# within the two seconds that a draining instance may still get requests.
READ_INTERVAL_S = 0.7
# Age beyond the interval from which other hosts take over, and the distance between two of them.
TAKEOVER_S = 0.4
STAGGER_S = 0.08


class StoreView(NamedTuple):
    """What one host of the zone, also this one, said about its contact with the store."""

    host: str  # IP address of the host.
    reaches_store: bool  # Its last call to the store succeeded.


def read_after_s(own: str, views: Iterable[StoreView]) -> float:
    """Returns the age of the zone's newest read at which the host `own` reads itself.

    The hosts that reach the store come in an order that all of them compute alike. A host that does
    not reach the store tries as the last one, so that it notices its return.

    Example: with three healthy hosts the results are 0.7, 1.18 and 1.26.
    """
    views = tuple(views)
    healthy = sorted((view.host for view in views if view.reaches_store), key=_order)
    rank = healthy.index(own) if own in healthy else len(views)
    if rank == 0:
        return READ_INTERVAL_S
    return READ_INTERVAL_S + TAKEOVER_S + rank * STAGGER_S


def _order(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
