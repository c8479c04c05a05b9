"""Header fields that belong to one connection and are not passed on (RFC 9110, 7.6.1)."""

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

# Fields that a Connection header must not remove: without them the message would change meaning.
_PROTECTED = frozenset({b"content-length", b"host"})


def connection_options(connection: bytes) -> frozenset[bytes]:
    """Returns the fields that the value of a Connection header names as hop-by-hop."""
    names = {token.strip().lower() for token in connection.split(b",")}
    return frozenset(names - _PROTECTED)
