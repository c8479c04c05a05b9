"""CBOR encoding and decoding of messages."""

import cbor2

from anviltray.messages._fields import MessageError
from anviltray.messages._generated import DECODERS, TAGS, Message


def encode_message(message: Message) -> bytes:
    """Returns the CBOR array [tag, field, ...] of a message."""
    return cbor2.dumps((TAGS[type(message)], *message))


def decode_message(data: bytes) -> Message:
    """Returns the message in `data`; raises MessageError if it is not a valid message."""
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise MessageError(f"invalid CBOR: {error}") from error
    if not isinstance(items, list) or not items:
        raise MessageError("expected a non-empty array")
    decoder = DECODERS.get(items[0]) if type(items[0]) is int else None
    if decoder is None:
        raise MessageError(f"unknown message tag {items[0]!r}")
    return decoder(items[1:])
