"""Types that the decisions share."""

from enum import StrEnum
from typing import NamedTuple


class ExchangeOutcome(StrEnum):
    """How one exchange with an upstream ended, as evidence about the upstream."""

    OK = "ok"  # Whole response that is no server error.
    SERVER_ERROR = "server_error"  # Whole response with a 5xx status other than a refusal.
    REFUSED = "refused"  # Explicit refusal before start for load or drain; no sickness.
    CONNECT_FAILED = "connect_failed"  # No connection; no byte of the request was written.
    BROKEN = "broken"  # The connection failed after the first byte of the request.
    TIMED_OUT = "timed_out"  # The deadline passed without a whole response.
    ABANDONED = "abandoned"  # The caller left or was too slow; says nothing of the upstream.


class RoutableUpstream(NamedTuple):
    """One upstream that may get requests now."""

    address: str  # IP:port of the upstream.
    region: str  # Region of the upstream.
    zone: str  # Availability zone of the upstream.
    slots: int  # Requests that it runs at the same time.
    weight: float  # Share of its normal traffic from above 0 to 1, below 1 in slow start.


class RoutableSet(NamedTuple):
    """The upstreams of one service that a node routes to."""

    generation: int  # Changes with every change of the set, so that routers can cache by it.
    service: str  # Service name.
    upstreams: tuple[RoutableUpstream, ...]  # Sorted by address.
