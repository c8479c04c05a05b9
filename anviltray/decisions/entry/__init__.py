"""Which entry addresses a caller gets."""

from anviltray.decisions.entry._addresses import entry_addresses

__all__ = ["entry_addresses"]
