"""HTTP client for upstreams: connection pool, and headers and endpoints of their protocol."""

from anviltray.upstreams._client import (
    ExchangeObserver,
    NullObserver,
    UpstreamClient,
    UpstreamRequest,
    UpstreamResponse,
)
from anviltray.upstreams._dialect import MISDIRECTED, Dialect, Signals
from anviltray.upstreams._errors import (
    ConnectFailed,
    ConnectionsExhausted,
    ExchangeBroken,
    InvalidResponse,
    UpstreamError,
)
from anviltray.upstreams._fields import HOP_BY_HOP, connection_options

__all__ = [
    "HOP_BY_HOP",
    "MISDIRECTED",
    "ConnectFailed",
    "ConnectionsExhausted",
    "Dialect",
    "ExchangeBroken",
    "ExchangeObserver",
    "InvalidResponse",
    "Signals",
    "NullObserver",
    "UpstreamClient",
    "UpstreamError",
    "UpstreamRequest",
    "UpstreamResponse",
    "connection_options",
]
