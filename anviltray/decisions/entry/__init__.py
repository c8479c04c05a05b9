"""Selection of the hosts and nodes that callers connect to."""

from anviltray.decisions.entry._addresses import entry_addresses
from anviltray.decisions.entry._serving import (
    MIN_SERVING_HOSTS,
    REQUESTS_PER_HOST_S,
    RESERVE_HOSTS,
    ServingHosts,
)

__all__ = [
    "MIN_SERVING_HOSTS",
    "REQUESTS_PER_HOST_S",
    "RESERVE_HOSTS",
    "ServingHosts",
    "entry_addresses",
]
