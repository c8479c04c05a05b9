"""Addresses for the servers of a test."""

import secrets
import socket


def free_address(host: str | None = None) -> str:
    """Returns "IP:port" with a port of a loopback address that is free at the moment.

    Without `host` the address is one of 127.0.0.2 to 127.0.0.254: outgoing connections take their
    ports from 127.0.0.1 and could take the port before the server of the test does.
    """
    if host is None:
        host = f"127.0.0.{2 + secrets.randbelow(253)}"
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"
