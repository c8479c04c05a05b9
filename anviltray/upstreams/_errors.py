"""Errors of the upstream client."""


class UpstreamError(Exception):
    """An exchange failed.

    `written` is False only if certainly no byte of the request was written to a connection.
    """

    written = True


class ConnectFailed(UpstreamError):
    """No connection could be opened."""

    written = False


class ConnectionsExhausted(UpstreamError):
    """All connections to the instance that this node may have are in use."""

    written = False


class ExchangeBroken(UpstreamError):
    """The connection failed or the response was truncated after the request was started."""


class InvalidResponse(UpstreamError):
    """The response of the upstream cannot be forwarded as a complete response."""


class ForeignResponse(InvalidResponse):
    """The response does not say that it belongs to the request."""
