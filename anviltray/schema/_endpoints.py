"""Addresses of the form IP:port."""

import ipaddress
from typing import NamedTuple

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


class Endpoint(NamedTuple):
    """A TCP address that needs no name lookup."""

    ip: str  # IPv4 or IPv6 address, without brackets.
    port: int  # From 1 to 65535.


def parse_endpoint(text: str) -> Endpoint:
    """Returns the parts of "IP:port"; raises ValueError.

    Brackets are required around an IPv6 address and allowed nowhere else (RFC 3986, 3.2.2), so each
    result also fits into a URL. A zone identifier of IPv6 is no part of an address.

    Example: `parse_endpoint("[::1]:80")` is `Endpoint("::1", 80)`.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        raise ValueError(f"{text!r:.60} does not end with a port")
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"{text!r:.60} has a port out of range")
    if host.startswith("[") and host.endswith("]"):
        ip = host[1:-1]
        if "%" in ip:
            raise ValueError(f"{text!r:.60} has a zone identifier")
        ipaddress.IPv6Address(ip)
    else:
        ip = host
        ipaddress.IPv4Address(ip)
    return Endpoint(ip, int(port))


def is_endpoint(text: str) -> bool:
    """Returns whether `text` is of the form IP:port."""
    try:
        parse_endpoint(text)
    except ValueError:
        return False
    return True
