"""Addresses for the servers of a test."""

import secrets
import socket

# Below the usual range of ports that the kernel gives to outgoing connections; a port of that
# range could be taken between the choice here and the start of the server.
_LOWEST_PORT = 12_000
_HIGHEST_PORT = 32_000

_given: set[str] = set()


def free_address(host: str | None = None) -> str:
    """Returns "IP:port" of a loopback address that is free and was not returned before.

    Without `host` the address is one of 127.0.0.2 to 127.0.0.254.
    """
    while True:
        chosen = host if host is not None else f"127.0.0.{2 + secrets.randbelow(253)}"
        port = _LOWEST_PORT + secrets.randbelow(_HIGHEST_PORT - _LOWEST_PORT)
        address = f"{chosen}:{port}"
        if address in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((chosen, port))
            except OSError:
                continue
        _given.add(address)
        return address
