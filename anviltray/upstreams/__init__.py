"""The upstream client: connections, and the dialect that upstreams understand."""

from anviltray.upstreams._client import (
    ExchangeObserver,
    SilentObserver,
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
from anviltray.upstreams._fields import HOP_BY_HOP, nominated

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
    "SilentObserver",
    "UpstreamClient",
    "UpstreamError",
    "UpstreamRequest",
    "UpstreamResponse",
    "nominated",
]
