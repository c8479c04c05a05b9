"""Byte budget of one node for the paid link to other regions."""

from enum import IntEnum

_BURST_S = 1.0  # of the node's rate that may be saved up.
_USE_WINDOW_S = 5.0  # time constant of the reported use.


class TrafficClass(IntEnum):
    """What bytes are for, most important first."""

    CONTROL = 0
    UNREPEATABLE = 1
    OTHER = 2


# Share of the saved-up bytes that a use leaves to the more important ones. Control leaves nothing
# and is never refused, because configuration and membership must cross at any load.
_RESERVES = {TrafficClass.CONTROL: 0.0, TrafficClass.UNREPEATABLE: 0.1, TrafficClass.OTHER: 0.4}


class LinkBudget:
    """Token bucket that holds this node's equal share of the link."""

    def __init__(self, budget_bytes_s: float, nodes: int = 1) -> None:
        self._budget_bytes_s = budget_bytes_s
        self._rate_bytes_s = budget_bytes_s / max(1, nodes)
        self._saved_bytes = self._rate_bytes_s * _BURST_S
        self._updated_s: float | None = None
        self._use_bytes = 0.0

    def set_nodes(self, now_s: float, nodes: int) -> None:
        """Sets the number of nodes of this region, which share the link."""
        self._advance(now_s)
        self._rate_bytes_s = self._budget_bytes_s / max(1, nodes)
        self._saved_bytes = min(self._saved_bytes, self._rate_bytes_s * _BURST_S)

    def try_acquire(self, now_s: float, use: TrafficClass, size_bytes: int) -> bool:
        """Takes bytes from the budget; False if they would touch the reserve of a higher use.

        A request larger than the bucket passes only when the bucket is full and leaves a debt of
        at most one bucket, so that large requests are possible but rare.
        """
        self._advance(now_s)
        bucket_bytes = self._rate_bytes_s * _BURST_S
        left = self._saved_bytes - size_bytes
        full = self._saved_bytes >= bucket_bytes and left >= -bucket_bytes
        if use is not TrafficClass.CONTROL and left < _RESERVES[use] * bucket_bytes and not full:
            return False
        self.charge(now_s, size_bytes)
        return True

    def charge(self, now_s: float, size_bytes: int) -> None:
        """Counts bytes that were sent without asking, such as a response."""
        self._advance(now_s)
        self._saved_bytes -= size_bytes
        self._use_bytes += size_bytes

    def usage_bytes_s(self, now_s: float) -> float:
        """Returns the recent rate of this node in bytes per second, for the load digest."""
        self._advance(now_s)
        return self._use_bytes / _USE_WINDOW_S

    def _advance(self, now_s: float) -> None:
        if self._updated_s is None:
            self._updated_s = now_s
        passed_s = now_s - self._updated_s
        if passed_s <= 0:
            return
        self._updated_s = now_s
        bucket_bytes = self._rate_bytes_s * _BURST_S
        self._saved_bytes = min(bucket_bytes, self._saved_bytes + passed_s * self._rate_bytes_s)
        self._use_bytes *= max(0.0, 1 - passed_s / _USE_WINDOW_S)
