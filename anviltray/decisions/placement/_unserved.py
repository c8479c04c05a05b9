"""Rate of the recent requests of an availability zone, and the share that was not served.

Load pattern: when a service fails or sheds many requests, healthy instances also appear unhealthy.
Uncertain instances must then be explored sooner, or the load stays on too few instances. In a large
zone each host serves too few requests of a service to see this alone, so the hosts add up what they
report to each other.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from anviltray.messages import ServiceOutcomes

# Half-life of the exponential decay. The share has to follow a change within a few seconds.
_HALF_LIFE_S = 2.5
# Number of served requests that is added to the total, so that one failure does not dominate.
_ASSUMED_SERVED = 8.0


class _Counts(NamedTuple):
    total: float  # Decayed number of requests.
    unserved: float  # Decayed number of requests that were shed or failed.
    updated_s: float  # Time to which both were decayed.


_NO_REQUESTS = _Counts(0.0, 0.0, 0.0)


class UnservedShare:
    """Tracks the share of unserved requests for each service of one zone.

    Example: after eight requests of which four failed at the same moment, `share` returns 0.25. The
    hosts of a zone exchange what `pop_outcomes` returns.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._unreported: dict[str, ServiceOutcomes] = {}

    def on_request_ended(self, now_s: float, service: str, served: bool) -> None:
        """Counts a request of this host as served or unserved."""
        requests, unserved = 1, int(not served)
        self._add(now_s, service, requests, unserved)
        unreported = self._unreported.get(service)
        if unreported is not None:
            requests += unreported.requests
            unserved += unreported.unserved
        self._unreported[service] = ServiceOutcomes(service, requests, unserved)

    def pop_outcomes(self) -> tuple[ServiceOutcomes, ...]:
        """Returns the requests since the last call, to be sent to the other hosts of the zone."""
        outcomes = tuple(self._unreported.values())
        self._unreported.clear()
        return outcomes

    def on_peer_outcomes(self, now_s: float, services: Iterable[ServiceOutcomes]) -> None:
        """Adds the requests of another host; ignores counts that contradict each other."""
        for outcomes in services:
            if 0 <= outcomes.unserved <= outcomes.requests:
                self._add(now_s, outcomes.service, outcomes.requests, outcomes.unserved)

    def share(self, now_s: float, service: str) -> float:
        """Returns the share of unserved requests of a service, from 0 to 1."""
        counts = self._decayed(now_s, service)
        return counts.unserved / (counts.total + _ASSUMED_SERVED)

    def request_rate_s(self, now_s: float) -> float:
        """Returns the requests per second of the whole zone to all services."""
        total = sum(self._decayed(now_s, service).total for service in self._counts)
        return total * math.log(2) / _HALF_LIFE_S

    def keep_only(self, services: Iterable[str]) -> None:
        """Drops the counts of services that no longer exist."""
        self._counts = {name: self._counts[name] for name in services if name in self._counts}

    def _add(self, now_s: float, service: str, requests: int, unserved: int) -> None:
        counts = self._decayed(now_s, service)
        self._counts[service] = _Counts(counts.total + requests, counts.unserved + unserved, now_s)

    def _decayed(self, now_s: float, service: str) -> _Counts:
        counts = self._counts.get(service, _NO_REQUESTS)
        factor = 0.5 ** ((now_s - counts.updated_s) / _HALF_LIFE_S)
        return _Counts(counts.total * factor, counts.unserved * factor, now_s)
