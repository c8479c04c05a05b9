"""Share of the recent requests of a service that were not served.

Load pattern: when a service fails or sheds many requests, healthy instances also appear unhealthy.
Uncertain instances must then be explored sooner, or the load stays on too few instances.
"""

from typing import NamedTuple

# Half-life of the exponential decay. A host serves about one request per second of a small service,
# and the share has to follow a change within a few seconds.
_HALF_LIFE_S = 2.5
# Number of served requests that is added to the total, so that one failure does not dominate.
_ASSUMED_SERVED = 8.0


class _Counts(NamedTuple):
    total: float  # Decayed number of requests.
    unserved: float  # Decayed number of requests that were shed or failed.
    updated_s: float  # Time to which both were decayed.


_NO_REQUESTS = _Counts(0.0, 0.0, 0.0)


class UnservedShare:
    """Tracks the share of unserved requests for each service of one host.

    Example: after eight requests of which four failed at the same moment, `share` returns 0.25.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def on_request_ended(self, now_s: float, service: str, served: bool) -> None:
        """Counts a request as served or unserved."""
        counts = self._decayed(now_s, service)
        self._counts[service] = _Counts(counts.total + 1, counts.unserved + (not served), now_s)

    def share(self, now_s: float, service: str) -> float:
        """Returns the share of unserved requests of a service, from 0 to 1."""
        counts = self._decayed(now_s, service)
        return counts.unserved / (counts.total + _ASSUMED_SERVED)

    def _decayed(self, now_s: float, service: str) -> _Counts:
        counts = self._counts.get(service, _NO_REQUESTS)
        factor = 0.5 ** ((now_s - counts.updated_s) / _HALF_LIFE_S)
        return _Counts(counts.total * factor, counts.unserved * factor, now_s)
