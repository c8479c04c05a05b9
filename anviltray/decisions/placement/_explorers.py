"""Tells whether a service gets enough idempotent requests to explore its instances.

Load pattern: nearly all requests to a service must not be repeated, but a minor route sends it an
idempotent one now and then. If exploration is left to those, most healthy instances get nothing
after a start or after an unhealthy phase.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Half-life of the exponential decay. Shares of routes between services change within seconds.
_HALF_LIFE_S = 10.0
# Share of idempotent requests above which the others need not explore.
_MIN_IDEMPOTENT_SHARE = 0.1


class _Counts(NamedTuple):
    total: float  # Decayed number of requests.
    idempotent: float  # Decayed number of idempotent ones.
    updated_s: float  # Time to which both were decayed.


_NO_REQUESTS = _Counts(0.0, 0.0, 0.0)


class IdempotentShare:
    """Tracks the idempotent requests of this host to each service.

    Example: after one idempotent request of twenty, `has_explorers` is false.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def on_request(self, now_s: float, service: str, idempotent: bool) -> None:
        """Counts a request."""
        counts = self._counts.get(service, _NO_REQUESTS)
        factor = 0.5 ** ((now_s - counts.updated_s) / _HALF_LIFE_S)
        self._counts[service] = _Counts(
            counts.total * factor + 1, counts.idempotent * factor + idempotent, now_s
        )

    def has_explorers(self, service: str) -> bool:
        """Returns whether idempotent requests suffice to explore the instances of a service."""
        counts = self._counts.get(service, _NO_REQUESTS)
        return counts.idempotent > _MIN_IDEMPOTENT_SHARE * counts.total

    def keep_only(self, services: Iterable[str]) -> None:
        """Drops the counts of services that no longer exist."""
        self._counts = {name: self._counts[name] for name in services if name in self._counts}
