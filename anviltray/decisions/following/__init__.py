"""Election of the host that reads the store on behalf of its availability zone."""

from anviltray.decisions.following._reader import (
    READ_INTERVAL_S,
    StoreView,
    read_after_s,
)

__all__ = ["READ_INTERVAL_S", "StoreView", "read_after_s"]
