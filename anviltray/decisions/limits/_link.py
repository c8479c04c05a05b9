"""Byte budget of one node for the paid link to other regions."""

from enum import IntEnum

_BURST_S = 1.0  # Size of the bucket in seconds of the node's rate.
_USAGE_WINDOW_S = 5.0  # Time constant of the reported usage.


class TrafficClass(IntEnum):
    """Priority classes of the bytes on the link, most important first."""

    CONTROL = 0
    UNREPEATABLE = 1
    OTHER = 2


# Share of the bucket that a class leaves to the more important ones. Control traffic leaves nothing
# and is never rejected, because configuration and membership must cross the link at any load.
_RESERVES = {TrafficClass.CONTROL: 0.0, TrafficClass.UNREPEATABLE: 0.1, TrafficClass.OTHER: 0.4}


class LinkBudget:
    """Token bucket for this node's equal share of the link."""

    def __init__(self, budget_bytes_s: float, nodes: int = 1) -> None:
        self._budget_bytes_s = budget_bytes_s
        self._rate_bytes_s = budget_bytes_s / max(1, nodes)
        self._available_bytes = self._rate_bytes_s * _BURST_S
        self._updated_s: float | None = None
        self._used_bytes = 0.0

    def set_nodes(self, now_s: float, nodes: int) -> None:
        """Sets the number of nodes of this region, which share the link."""
        self._refill(now_s)
        self._rate_bytes_s = self._budget_bytes_s / max(1, nodes)
        self._available_bytes = min(self._available_bytes, self._rate_bytes_s * _BURST_S)

    def try_acquire(self, now_s: float, traffic_class: TrafficClass, size_bytes: int) -> bool:
        """Takes bytes from the bucket and returns True, or returns False if they are not allowed.

        Bytes that would use the reserve of a more important class are not allowed. A request larger
        than the bucket is allowed only when the bucket is full, and only up to twice the size of
        the bucket, so that large requests are possible but rare.
        """
        self._refill(now_s)
        bucket_bytes = self._rate_bytes_s * _BURST_S
        remaining_bytes = self._available_bytes - size_bytes
        can_overdraw = self._available_bytes >= bucket_bytes and remaining_bytes >= -bucket_bytes
        if (
            traffic_class is not TrafficClass.CONTROL
            and remaining_bytes < _RESERVES[traffic_class] * bucket_bytes
            and not can_overdraw
        ):
            return False
        self.charge(now_s, size_bytes)
        return True

    def charge(self, now_s: float, size_bytes: int) -> None:
        """Counts bytes that were sent without `try_acquire`, such as a response."""
        self._refill(now_s)
        self._available_bytes -= size_bytes
        self._used_bytes += size_bytes

    def usage_bytes_s(self, now_s: float) -> float:
        """Returns the recent usage of this node in bytes per second, for the load digest."""
        self._refill(now_s)
        return self._used_bytes / _USAGE_WINDOW_S

    def _refill(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._updated_s = now_s
        bucket_bytes = self._rate_bytes_s * _BURST_S
        self._available_bytes = min(
            bucket_bytes, self._available_bytes + elapsed_s * self._rate_bytes_s
        )
        self._used_bytes *= max(0.0, 1 - elapsed_s / _USAGE_WINDOW_S)
