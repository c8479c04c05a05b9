"""Detects peers that no longer acknowledge the data of a TCP connection."""

import asyncio
import socket
import struct

# `tcpi_unacked` in `struct tcp_info` of linux/tcp.h, after eight 1-byte and four 4-byte fields.
_TCPI_UNACKED = struct.Struct("=24xI")


def is_acknowledged(transport: asyncio.BaseTransport | None) -> bool:
    """Returns whether the kernel of the peer has acknowledged all sent segments.

    Returns True where the system does not provide this, so only positive evidence counts against
    a peer.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None:
        return True
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCPI_UNACKED.size)
    except OSError:
        return True
    if len(tcp_info) < _TCPI_UNACKED.size:
        return True
    (unacknowledged,) = _TCPI_UNACKED.unpack(tcp_info)
    return bool(unacknowledged == 0)
