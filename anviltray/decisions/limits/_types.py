"""Settings and results of the admission.

Tell results apart with `isinstance` or `match`: named tuples of two types with equal fields
compare equal.
"""

from typing import NamedTuple


class AdmissionSettings(NamedTuple):
    """Bounds of the admission of one service at one node."""

    queue_limit: int = 128  # Requests that wait at the same time.
    wait_limit_s: float = 0.25  # Longest expected wait; a longer queue only adds latency.
    retry_after_limit_s: float = 30.0  # Largest Retry-After.
    initial_latency_s: float = 0.05  # Assumed service time before the first response.
    # The limit starts from this multiple of the node's share of the slots. Callers may concentrate
    # on few nodes; a start from the share refused requests while upstreams had free slots.
    start_factor: float = 4.0


class Admitted(NamedTuple):
    """The request may start now."""


class Queued(NamedTuple):
    """The request waits until `release` or `expire` returns its ticket."""


class Refused(NamedTuple):
    """The request was not run."""

    retry_after_s: float  # Time after which the queue is expected to have room.


AdmissionResult = Admitted | Queued | Refused
