"""Addresses for the servers of a test."""

import secrets
import socket

# Below the usual range of ephemeral ports: an outgoing connection could be assigned a port of that
# range between its selection here and the start of the server.
_MIN_PORT = 12_000
_MAX_PORT = 32_000

_returned: set[str] = set()


def free_address(host: str | None = None) -> str:
    """Returns "IP:port" of a free loopback address that was not returned before.

    Without `host` the address is one of 127.0.0.2 to 127.0.0.254.
    """
    while True:
        ip = host if host is not None else f"127.0.0.{2 + secrets.randbelow(253)}"
        port = _MIN_PORT + secrets.randbelow(_MAX_PORT - _MIN_PORT)
        address = f"{ip}:{port}"
        if address in _returned:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        _returned.add(address)
        return address
