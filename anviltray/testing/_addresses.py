"""Addresses for the servers of a test."""

import random
import socket

# Below the usual range of ports that the kernel gives to outgoing connections; a port of that
# range could be taken between the choice here and the start of the server.
_LOWEST_PORT = 12_000
_HIGHEST_PORT = 32_000

_random = random.SystemRandom()
_given: set[str] = set()


def free_address(host: str = "127.0.0.1") -> str:
    """Returns "IP:port" of a loopback address that is free and was not returned before."""
    while True:
        port = _random.randint(_LOWEST_PORT, _HIGHEST_PORT)
        address = f"{host}:{port}"
        if address in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _given.add(address)
        return address
