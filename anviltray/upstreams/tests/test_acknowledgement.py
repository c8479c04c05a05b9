"""Guards against proof of a vanished upstream where the system cannot tell."""

import struct

import pytest

from anviltray.upstreams._acknowledgement import is_acknowledged


class Socket:
    def __init__(self, information):
        self.information = information

    def getsockopt(self, level, option, length):
        if isinstance(self.information, OSError):
            raise self.information
        return self.information[:length]


class Transport:
    def __init__(self, sock, closing=False):
        self.sock, self.closing = sock, closing

    def get_extra_info(self, name):
        return self.sock

    def is_closing(self):
        return self.closing


ELAPSED_S = 0.3


def tcp_info(unacknowledged, acknowledged_ms=5000):
    """Returns the start of `struct tcp_info` with its two fields among others."""
    return struct.pack("=8B4I9I", *[7] * 8, *[9] * 4, unacknowledged, *[5] * 7, acknowledged_ms)


@pytest.mark.parametrize(
    ("transport", "expected"),
    [
        (Transport(Socket(tcp_info(0))), True),
        (Transport(Socket(tcp_info(2))), False),
        # The handshake of a new connection, just before the request.
        (Transport(Socket(tcp_info(2, acknowledged_ms=300))), False),
        (Transport(Socket(tcp_info(2, acknowledged_ms=290))), False),
        # A long body is on its way.
        (Transport(Socket(tcp_info(9, acknowledged_ms=10))), True),
        (Transport(Socket(tcp_info(2)), closing=True), True),
        (Transport(Socket(OSError("not supported"))), True),
        (Transport(Socket(b"short")), True),
        (Transport(None), True),
    ],
)
def test_only_unacknowledged_segments_are_proof(transport, expected):
    assert is_acknowledged(transport, ELAPSED_S) is expected
