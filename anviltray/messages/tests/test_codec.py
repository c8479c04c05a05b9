"""Guards against messages that do not survive encoding and malformed bytes that are accepted."""

import cbor2
import pytest

from anviltray.messages import (
    ConfigRecords,
    Evidence,
    LogRecord,
    MessageError,
    Ping,
    UpstreamEvidence,
    decode_message,
    encode_message,
)

MESSAGES = [
    Ping(sequence=1, target="n1"),
    ConfigRecords(4, (LogRecord(5, b"\x00"), LogRecord(6, b"")), 6, "ab"),
    Evidence("n1", 2**63, 7, "s", 0.5, (UpstreamEvidence("10.0.0.1:80", -1.5, 3, True),)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_round_trip(message):
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("sequence", [-(2**63), 0, 2**63, 2**64 - 1])
def test_integers_of_64_bits_with_and_without_a_sign(sequence):
    message = Ping(sequence=sequence, target="n1")
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        cbor2.dumps([]),
        cbor2.dumps({"a": 1}),
        cbor2.dumps([99, 1]),
        cbor2.dumps([[], 1]),
        cbor2.dumps([3, 1]),
        cbor2.dumps([3, "1", "n1"]),
        cbor2.dumps([3, True, "n1"]),
        cbor2.dumps([3, 1, "n1", 0]),
        # Integers of more than 64 bits.
        cbor2.dumps([3, 2**64, "n1"]),
        cbor2.dumps([3, -(2**63) - 1, "n1"]),
    ],
)
def test_malformed_bytes_are_rejected(data):
    with pytest.raises(MessageError):
        decode_message(data)
