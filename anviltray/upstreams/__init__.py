"""HTTP client for upstreams: connection pool, and headers and endpoints of their protocol."""

from anviltray.upstreams._client import (
    ExchangeObserver,
    NullObserver,
    UpstreamClient,
    UpstreamRequest,
    UpstreamResponse,
)
from anviltray.upstreams._connector import ConnectionUse
from anviltray.upstreams._dialect import MISDIRECTED, Dialect, Signals
from anviltray.upstreams._errors import (
    ConnectFailed,
    ConnectionsExhausted,
    ExchangeBroken,
    ForeignResponse,
    InvalidResponse,
    UpstreamError,
)
from anviltray.upstreams._fields import HOP_BY_HOP, connection_options

__all__ = [
    "HOP_BY_HOP",
    "MISDIRECTED",
    "ConnectFailed",
    "ConnectionUse",
    "ConnectionsExhausted",
    "Dialect",
    "ExchangeBroken",
    "ExchangeObserver",
    "ForeignResponse",
    "InvalidResponse",
    "Signals",
    "NullObserver",
    "UpstreamClient",
    "UpstreamError",
    "UpstreamRequest",
    "UpstreamResponse",
    "connection_options",
]
