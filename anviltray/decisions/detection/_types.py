"""Detector types and the registry of detectors."""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

from anviltray.decisions._registry import Registry
from anviltray.decisions._types import ExchangeOutcome


class Sensitivity(NamedTuple):
    """How much evidence a service requires before an upstream is ejected."""

    threshold: float  # Log-likelihood ratio from which an upstream is ejected.
    survival_floor: float  # Lower limit of the tail probability of a single latency or age.
    latency_tolerance: float  # Latencies up to this factor of the usual ones are no evidence.
    error_share_floor: float  # Lower limit of the error share expected of a healthy upstream.
    ejection_s: float  # Length of the first ejection.


# A cumulative sum of ratios raises about one false alarm in exp(threshold) observations. A day at
# 400 requests/s has 3.5e7 = exp(17.4) observations. The margin above that covers sums over several
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
    reachable: bool  # False after several consecutive connection failures.
    good_responses: int  # Successful responses of usual latency since the last reset.
    last_response_s: float  # Time of the last good response.


class Detector(Protocol):
    """Collects evidence about all upstreams of one service at one node.

    Exchange numbers are unique within the process. `evaluate` returns the readings of upstreams
    with a ratio above 0 or with exchanges since the last call; others have ratio 0.
    """

    def set_upstreams(self, addresses: Collection[str]) -> None:
        """Sets the upstreams; evidence about all others is dropped."""

    def set_sensitivity(self, sensitivity: Sensitivity) -> None:
        """Sets the sensitivity; evidence and learned distributions are kept."""

    def on_exchange_started(
        self, now_s: float, address: str, number: int, fresh_connection: bool
    ) -> None:
        """Records the start of an exchange."""

    def on_first_byte(self, now_s: float, number: int) -> None:
        """Records the arrival of the first byte of the response."""

    def on_exchange_ended(self, now_s: float, number: int, outcome: ExchangeOutcome) -> None:
        """Records the end of an exchange."""

    def set_warming(self, now_s: float, address: str, until_s: float) -> None:
        """Ignores the latencies of an upstream until `until_s`."""

    def reset(self, now_s: float, address: str) -> None:
        """Drops the evidence about one upstream, including that of exchanges in flight."""

    def reset_all(self, now_s: float) -> None:
        """Drops all evidence of exchanges that started before `now_s`."""

    def evaluate(self, now_s: float) -> dict[str, Reading]:
        """Returns the current evidence by address."""

    def describe(self, now_s: float, address: str) -> dict[str, object]:
        """Returns the components of the evidence about one upstream for operators."""


detectors: Registry[Callable[[Sensitivity], Detector]] = Registry("detector")
