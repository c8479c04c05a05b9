"""Encodes the body of a directory response."""

import json
from collections.abc import Sequence


def encode_addresses(addresses: Sequence[str], lifetime_s: float) -> bytes:
    """Returns the JSON body that lists addresses for callers to connect to."""
    return json.dumps({"addresses": list(addresses), "ttlS": lifetime_s}).encode()
