"""Settings and results of admission control.

Distinguish results with `isinstance` or `match`: named tuples of two types with equal fields
compare equal.
"""

from typing import NamedTuple


class AdmissionSettings(NamedTuple):
    """Bounds of admission control for one service at one node."""

    queue_limit: int = 128  # Maximum number of queued requests.
    wait_limit_s: float = 0.25  # Maximum expected wait; a longer queue only adds latency.
    retry_after_limit_s: float = 30.0  # Maximum Retry-After.
    initial_latency_s: float = 0.05  # Assumed service time before the first response.
    # The limit starts from this multiple of the node's share of the slots. Callers may concentrate
    # on a few nodes; starting from the share rejected requests although upstreams had free slots.
    start_factor: float = 4.0


class Admitted(NamedTuple):
    """The request may start now."""


class Queued(NamedTuple):
    """The request waits until `release` or `expire` returns its ticket."""


class Rejected(NamedTuple):
    """The request is not admitted and was not run."""

    retry_after_s: float  # Time after which the queue is expected to have capacity.


AdmissionResult = Admitted | Queued | Rejected
