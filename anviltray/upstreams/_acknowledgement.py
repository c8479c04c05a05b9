"""Tells whether the other end of a connection still receives."""

import asyncio
import socket
import struct

# `tcpi_unacked` of `struct tcp_info` in linux/tcp.h, behind eight fields of one byte, four of four.
_UNACKNOWLEDGED = struct.Struct("=24xI")


def is_acknowledged(transport: asyncio.BaseTransport | None) -> bool:
    """Tells whether the peer's kernel has acknowledged all segments that were sent.

    The answer is True where the system cannot tell, so that only proof speaks against a peer.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None:
        return True
    try:
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _UNACKNOWLEDGED.size)
    except OSError:
        return True
    if len(information) < _UNACKNOWLEDGED.size:
        return True
    (segments,) = _UNACKNOWLEDGED.unpack(information)
    return bool(segments == 0)
