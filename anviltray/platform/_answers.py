"""Bodies of the interfaces that the fleet offers to the platform and its callers."""

import json
from collections.abc import Sequence


def encode_addresses(addresses: Sequence[str], lifetime_s: float) -> bytes:
    """Returns the answer to a caller that asks where to connect."""
    return json.dumps({"addresses": list(addresses), "ttlS": lifetime_s}).encode()
