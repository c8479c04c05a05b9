"""Chooses the hosts of an availability zone that callers are told to connect to.

Load pattern: hundreds of hosts, each with a few requests per second. A host with so few requests
meets most instances for the first time or after its idle connections have expired, finds out on its
own requests which instances have become unhealthy, and has less than one retry to spend. Fewer
hosts serve the same callers with fewer new connections and fewer failures; the others are ready to
take over.
"""

import math
from collections.abc import Iterable

import xxhash

# Requests per second for each serving host. A host serves many times as many, so it also takes the
# callers of hosts that fail and the first seconds of a burst.
REQUESTS_PER_HOST_S = 8.0
# Serving hosts of a zone with little traffic, so that few callers lose a connection with each host.
MIN_SERVING_HOSTS = 4
# Further hosts in the order that are next to serve, so the zone should know at once if they fail.
RESERVE_HOSTS = 4
# Time for which half of the serving hosts must be enough before their number is reduced.
_SHRINK_DELAY_S = 10.0


class ServingHosts:
    """Serving hosts of one availability zone, as one of its hosts sees them.

    All hosts of a zone rank its ready hosts by the same hash, so they choose the same ones, and a
    host that is added or removed changes one of them. Their number follows the request rate of the
    zone: it rises at once and falls late, since callers drop their connections to a host that is no
    longer listed.

    Example: `ServingHosts().choose(now_s, hosts, 100.0)` returns 13 of 40 hosts.
    """

    def __init__(self) -> None:
        self._count = MIN_SERVING_HOSTS
        self._excess_since_s = math.inf  # Since when half of the hosts would be enough.

    def choose(
        self, now_s: float, hosts: Iterable[str], request_rate_s: float, reserve: int = 0
    ) -> tuple[str, ...]:
        """Returns the serving hosts, out of all ready `hosts`, and up to `reserve` next ones.

        `request_rate_s` is the number of requests per second of the whole zone.
        """
        self._resize(now_s, math.ceil(request_rate_s / REQUESTS_PER_HOST_S))
        ranked = sorted(hosts, key=_rank)
        return tuple(ranked[: self._count + reserve])

    def _resize(self, now_s: float, needed: int) -> None:
        needed = max(MIN_SERVING_HOSTS, needed)
        if needed > self._count:
            self._count = needed
        if 2 * needed > self._count:
            self._excess_since_s = math.inf
        elif self._excess_since_s == math.inf:
            self._excess_since_s = now_s
        elif now_s - self._excess_since_s >= _SHRINK_DELAY_S:
            self._count = needed
            self._excess_since_s = math.inf


def _rank(host: str) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
