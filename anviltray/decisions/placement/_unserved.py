"""Which part of the recent requests of a service was not served.

Load pattern: a service loses or refuses many requests, and doubt about its instances spreads to
sound ones. The doubtful ones then have to be tested sooner, or the load stays on too few instances.
"""

from typing import NamedTuple

# A request counts half after this time. A host serves about one request a second of a small
# service, and the share has to follow a change within a few seconds.
_HALF_LIFE_S = 2.5
# Requests that are assumed to have been served, so that one failure is no trend.
_ASSUMED_SERVED = 8.0


class _Counts(NamedTuple):
    total: float  # Decayed number of requests.
    unserved: float  # Those of them that were refused or failed.
    updated_s: float  # Time to which both were decayed.


_NOTHING = _Counts(0.0, 0.0, 0.0)


class UnservedShare:
    """Shares of the services of one host.

    Example: after eight requests of which four failed at the same moment, `share` returns 0.25.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def on_request_ended(self, now_s: float, service: str, served: bool) -> None:
        """Counts a request that was answered."""
        counts = self._decayed(now_s, service)
        self._counts[service] = _Counts(counts.total + 1, counts.unserved + (not served), now_s)

    def share(self, now_s: float, service: str) -> float:
        """Returns the share from 0 to 1."""
        counts = self._decayed(now_s, service)
        return counts.unserved / (counts.total + _ASSUMED_SERVED)

    def _decayed(self, now_s: float, service: str) -> _Counts:
        counts = self._counts.get(service, _NOTHING)
        kept = 0.5 ** ((now_s - counts.updated_s) / _HALF_LIFE_S)
        return _Counts(counts.total * kept, counts.unserved * kept, now_s)
