"""Tells whether the other end of a connection still receives."""

import asyncio
import socket
import struct

# `tcpi_unacked` in segments and `tcpi_last_ack_recv` in ms of `struct tcp_info` in linux/tcp.h.
_ACKNOWLEDGEMENTS = struct.Struct("=24xI28xI")
# The acknowledgement of a handshake just before the first segment says nothing of that segment. The
# kernel counts in ticks of up to 10 ms.
_HANDSHAKE_S = 0.02


def is_acknowledged(transport: asyncio.BaseTransport | None, elapsed_s: float) -> bool:
    """Tells whether the peer's kernel has received what was sent in the last `elapsed_s`.

    While a long body is on its way some segments are always unacknowledged, so a recent
    acknowledgement is enough. The answer is True where the system cannot tell, so that only proof
    speaks against a peer.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None:
        return True
    try:
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _ACKNOWLEDGEMENTS.size)
    except OSError:
        return True
    if len(information) < _ACKNOWLEDGEMENTS.size:
        return True
    segments, acknowledged_ms = _ACKNOWLEDGEMENTS.unpack(information)
    return bool(segments == 0 or acknowledged_ms / 1000 < elapsed_s - _HANDSHAKE_S)
