"""Hop-by-hop header fields, which are not forwarded (RFC 9110, 7.6.1)."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Fields that a Connection header must not remove, because that would change the message.
_PROTECTED = frozenset({b"content-length", b"host"})


def connection_options(connection: bytes) -> frozenset[bytes]:
    """Returns the hop-by-hop fields that the value of a Connection header lists."""
    names = {token.strip().lower() for token in connection.split(b",")}
    return frozenset(names - _PROTECTED)
