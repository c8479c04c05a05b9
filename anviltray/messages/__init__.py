"""Messages between nodes: immutable types and their CBOR codec.

Example: `decode_message(encode_message(Ping(sequence=1, target="n1")))` returns an equal Ping.
"""

from anviltray.messages import _generated
from anviltray.messages._codec import decode_message, encode_message
from anviltray.messages._fields import MessageError
from anviltray.messages._generated import *

__all__ = ["MessageError", "decode_message", "encode_message"]
__all__ += _generated.__all__
