"""Addresses of the form IP:port."""

import ipaddress

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def is_endpoint(text: str) -> bool:
    """Returns whether `text` is of the form IP:port, so that it also fits into a URL.

    Brackets are required around an IPv6 address and allowed nowhere else (RFC 3986, 3.2.2). A zone
    identifier of IPv6 is no part of an address.

    Example: `[::1]:80` is an endpoint, `::1:80` is none.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS) or "%" in host:
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            ipaddress.IPv6Address(host[1:-1])
        else:
            ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT
