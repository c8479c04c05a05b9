"""Errors of the upstream client."""


class UpstreamError(Exception):
    """An exchange failed.

    `written` is False only if it is certain that no byte of the request reached a connection.
    """

    written = True


class ConnectFailed(UpstreamError):
    """No connection could be opened."""

    written = False


class ConnectionsExhausted(UpstreamError):
    """The node's share of the connections of this instance is in use."""

    written = False


class ExchangeBroken(UpstreamError):
    """The connection failed, or the response was cut short, after the request was begun."""


class InvalidResponse(UpstreamError):
    """The upstream answered with something that cannot be passed on as a whole response."""
