"""Types and the registry of detectors."""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

from anviltray.decisions._registry import Registry
from anviltray.decisions._types import ExchangeOutcome


class Sensitivity(NamedTuple):
    """How much evidence a service requires before an upstream is taken out."""

    threshold: float  # Log-likelihood ratio that removes an upstream.
    survival_floor: float  # Least probability that a single latency or age is given.
    latency_tolerance: float  # Factor on the usual latency that is no evidence.
    error_share_floor: float  # Least share of errors that is expected of a healthy upstream.
    ejection_s: float  # Length of a first ejection.


# A cumulative sum of ratios raises about one false alarm in exp(threshold) observations. A day of
# 400 requests/s has 3.5e7 = exp(17.4) of them. The margin above that covers the sum over several
# nodes and latencies that are not independent.
SENSITIVITIES = {
    "fast": Sensitivity(16.0, 1e-3, 1.5, 0.01, 5.0),
    "balanced": Sensitivity(22.0, 2e-3, 2.0, 0.01, 5.0),
    "careful": Sensitivity(32.0, 3e-3, 2.0, 0.02, 10.0),
}


class Reading(NamedTuple):
    """Evidence of this node about one upstream."""

    log_likelihood_ratio: float  # Natural logarithm, at least 0.
    samples: int  # Exchanges finished or in flight since the ratio was last 0.
    reachable: bool  # False after several failed connections in a row.
    answers: int  # Good answers in time since the upstream was last reset.
    answered_s: float  # Time of the last good answer.


class Detector(Protocol):
    """Evidence about all upstreams of one service, gathered by one node.

    Exchange numbers are unique within the process. `survey` returns the readings of upstreams
    with a ratio above 0 or with exchanges since the last call; an absent one has ratio 0.
    """

    def watch(self, addresses: Collection[str]) -> None:
        """Sets the upstreams; evidence about others is dropped."""

    def tune(self, sensitivity: Sensitivity) -> None:
        """Changes the sensitivity and keeps what is known."""

    def started(self, now_s: float, address: str, number: int, fresh_connection: bool) -> None:
        """An exchange was sent."""

    def first_byte(self, now_s: float, number: int) -> None:
        """The first byte of the response arrived."""

    def ended(self, now_s: float, number: int, outcome: ExchangeOutcome) -> None:
        """An exchange is over."""

    def warming(self, now_s: float, address: str, until_s: float) -> None:
        """Latencies of an upstream are no evidence until `until_s`."""

    def reset(self, now_s: float, address: str) -> None:
        """Drops the evidence about one upstream, also that of exchanges in flight."""

    def discard(self, now_s: float) -> None:
        """Drops all evidence of exchanges that started before `now_s`."""

    def survey(self, now_s: float) -> dict[str, Reading]:
        """Returns the current evidence by address."""

    def describe(self, now_s: float, address: str) -> dict[str, object]:
        """Returns the parts of the evidence about one upstream for an operator."""


detectors: Registry[Callable[[Sensitivity], Detector]] = Registry("detector")
