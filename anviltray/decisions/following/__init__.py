"""Which hosts read the store for their availability zone, and what its responses are worth."""

from anviltray.decisions.following._digest import (
    RELOAD_INTERVAL_S,
    PeerDigests,
    RegistrationDigest,
)
from anviltray.decisions.following._positions import (
    UNKNOWN_POSITION,
    StorePosition,
    Verdict,
    judge_read,
)
from anviltray.decisions.following._reader import (
    CONFIGURATION_READERS,
    READ_INTERVAL_S,
    StoreView,
    read_after_s,
    read_rank,
)

__all__ = [
    "CONFIGURATION_READERS",
    "PeerDigests",
    "READ_INTERVAL_S",
    "RELOAD_INTERVAL_S",
    "RegistrationDigest",
    "StorePosition",
    "StoreView",
    "UNKNOWN_POSITION",
    "Verdict",
    "judge_read",
    "read_after_s",
    "read_rank",
]
