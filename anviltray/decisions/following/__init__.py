"""Which host of an availability zone reads the store for the others."""

from anviltray.decisions.following._reader import (
    READ_INTERVAL_S,
    StoreView,
    read_after_s,
)

__all__ = ["READ_INTERVAL_S", "StoreView", "read_after_s"]
