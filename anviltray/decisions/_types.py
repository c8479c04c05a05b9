"""Types shared by the decision packages."""

from enum import StrEnum
from typing import NamedTuple


class ExchangeOutcome(StrEnum):
    """Outcome of one exchange with an upstream, used as evidence of its health."""

    OK = "ok"  # Complete response that is not a server error.
    SERVER_ERROR = "server_error"  # Complete response with a 5xx status that is not a refusal.
    REFUSED = "refused"  # Explicit refusal before the start, for load or draining; not a failure.
    CONNECT_FAILED = "connect_failed"  # No connection; no byte of the request was written.
    BROKEN = "broken"  # The connection failed after the first byte of the request.
    TIMED_OUT = "timed_out"  # The deadline passed before the response was complete.
    ABANDONED = "abandoned"  # The caller disconnected or was too slow; no evidence.


class RoutableUpstream(NamedTuple):
    """One upstream that is eligible for requests."""

    address: str  # IP:port of the upstream.
    region: str  # Region of the upstream.
    zone: str  # Availability zone of the upstream.
    slots: int  # Number of requests that it runs concurrently.
    weight: float  # Share of its normal traffic, in (0, 1]; below 1 during slow start.


class RoutableSet(NamedTuple):
    """The upstreams of one service that a node routes to."""

    generation: int  # Differs after every change of the set; cache key for routers.
    service: str  # Service name.
    upstreams: tuple[RoutableUpstream, ...]  # Sorted by address.
