"""Selection of the node addresses that a caller connects to."""

from anviltray.decisions.entry._addresses import entry_addresses

__all__ = ["entry_addresses"]
