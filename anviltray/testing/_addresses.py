"""Addresses for the servers of a test."""

import socket


def free_address(host: str = "127.0.0.1") -> str:
    """Returns "IP:port" with a port of a loopback address that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"
