"""Compares what the hosts of a zone have read without sending it.

Load pattern: hundreds of hosts that get the same changes by datagram. A host that misses one for
whatever cause is not found by its position in the log, which moves on with the next change.
"""

from typing import NamedTuple

import xxhash

_BITS = (1 << 63) - 1  # Messages carry signed integers of 64 bits.
# Time until a host whose registrations few others share reads them anew, and until the others do.
# The first ones usually settle it: their peers then fetch what they have read.
_MINORITY_DELAY_S = 0.25
_MAJORITY_DELAY_S = 2.0
# Added for each live host, so that the calls of a whole zone are spread.
_DELAY_PER_HOST_S = 0.05
# Interval between two such reads of one host; differences that remain are no fault of its own.
RELOAD_INTERVAL_S = 10.0


class RegistrationDigest:
    """Sum of the hashes of all registrations, kept up to date with each change.

    Equal registrations have equal digests whatever the order of their changes.

    Example: `digest.set("i-1", b"ready")`, later `digest.discard("i-1")`.
    """

    def __init__(self) -> None:
        self.value = 0  # Below 2 ** 63.
        self._hashes: dict[str, int] = {}

    def set(self, key: str, content: bytes) -> None:
        """Sets the content of a key."""
        self.discard(key)
        hashed = xxhash.xxh3_64_intdigest(key.encode("utf-8", "replace") + b"\0" + content)
        self._hashes[key] = hashed
        self.value = (self.value + hashed) & _BITS

    def discard(self, key: str) -> None:
        """Removes a key, if it is there."""
        self.value = (self.value - self._hashes.pop(key, 0)) & _BITS


class PeerDigests(NamedTuple):
    """How many live hosts at the same position have the registrations of this host."""

    same: int
    different: int

    @property
    def differ(self) -> bool:
        """Whether any host has others."""
        return self.different > 0

    def reload_delay_s(self, random: float) -> float:
        """Returns after how many seconds to read all registrations, for a `random` below 1."""
        if self.same < self.different:
            return _MINORITY_DELAY_S * random
        hosts = self.same + self.different
        return _MAJORITY_DELAY_S + _DELAY_PER_HOST_S * hosts * random
