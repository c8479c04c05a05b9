"""Election of the hosts that read the store on behalf of its availability zone."""

from anviltray.decisions.following._reader import (
    CONFIGURATION_READERS,
    READ_INTERVAL_S,
    StoreView,
    read_after_s,
    read_rank,
)

__all__ = [
    "CONFIGURATION_READERS",
    "READ_INTERVAL_S",
    "StoreView",
    "read_after_s",
    "read_rank",
]
