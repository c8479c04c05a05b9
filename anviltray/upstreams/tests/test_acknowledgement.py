"""Guards against treating missing TCP info as evidence against an upstream."""

import struct

import pytest

from anviltray.upstreams._acknowledgement import is_acknowledged


class Socket:
    def __init__(self, info):
        self.info = info

    def getsockopt(self, level, option, length):
        if isinstance(self.info, OSError):
            raise self.info
        return self.info[:length]


class Transport:
    def __init__(self, sock, closing=False):
        self.sock, self.closing = sock, closing

    def get_extra_info(self, name):
        return self.sock

    def is_closing(self):
        return self.closing


def tcp_info(unacknowledged):
    """Returns the start of `struct tcp_info` up to the number of unacknowledged segments."""
    return struct.pack("=8B4I2I", *[7] * 8, *[9] * 4, unacknowledged, 5)


@pytest.mark.parametrize(
    ("transport", "expected"),
    [
        (Transport(Socket(tcp_info(0))), True),
        (Transport(Socket(tcp_info(2))), False),
        (Transport(Socket(tcp_info(2)), closing=True), True),
        (Transport(Socket(OSError("not supported"))), True),
        (Transport(Socket(b"short")), True),
        (Transport(None), True),
        (None, True),
    ],
)
def test_only_unacknowledged_segments_are_evidence(transport, expected):
    assert is_acknowledged(transport) is expected
