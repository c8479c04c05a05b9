"""Adaptive limit of the requests that one node has in flight to one service."""

from anviltray.decisions._types import ExchangeOutcome

_DECREASE = 0.9  # factor after congestion.
# Requests added per round of a full window. Soon after congestion the limit probes slowly: with one
# per round, half of all attempts at twice the capacity ended in refusals by the upstreams.
_INCREASE = 1.0
_INCREASE_SOON = 0.05
_SOON_S = 2.0
_CONGESTED_RATIO = 3.0  # recent latency against the usual one that counts as congestion.
_RECENT_WEIGHT = 0.1  # of one latency in the recent mean; about ten requests.
# The usual latency follows rises slowly, so that an overload does not become the usual state.
_USUAL_RISE = 0.002
_USUAL_FALL = 0.05
_LEAST_PAUSE_S = 0.05  # between two decreases; responses to one burst count once.
_LARGEST_FACTOR = 4.0  # of the node's share; callers may concentrate on a few nodes.


def _largest(share: float) -> float:
    return max(_LARGEST_FACTOR * share, share + 4)


class ConcurrencyLimit:
    """Starts from a multiple of the node's share of the slots, follows refusals and latency.

    Additive increase while the limit is in use, multiplicative decrease after a refusal, a time-out
    or a rise of latency, at most once per usual latency.
    """

    def __init__(self, initial_latency_s: float, start_factor: float) -> None:
        self._start_factor = start_factor
        self._share = 1.0
        self._limit = 1.0
        self._usual_s = initial_latency_s
        self._recent_s = initial_latency_s
        self._measured = False
        self._decreased_s = float("-inf")
        self._congested_s = float("-inf")

    @property
    def value(self) -> float:
        """Requests that may be in flight."""
        return self._limit

    @property
    def latency_s(self) -> float:
        """Recent mean latency of successful requests."""
        return self._recent_s

    def set_share(self, share: float) -> None:
        """Sets the node's share of the slots; the limit changes in proportion."""
        share = max(1.0, share)
        if self._congested_s == float("-inf"):
            self._limit = min(share * self._start_factor, _largest(share))
        else:
            self._limit = max(1.0, self._limit * share / self._share)
        self._share = share

    def ended(
        self, now_s: float, latency_s: float, outcome: ExchangeOutcome, in_flight: int
    ) -> None:
        """Adapts to the end of one exchange; `in_flight` includes it."""
        if outcome in (ExchangeOutcome.REFUSED, ExchangeOutcome.TIMED_OUT):
            self._decrease(now_s)
        elif outcome is ExchangeOutcome.OK:
            self._learn(latency_s)
            if self._recent_s > _CONGESTED_RATIO * self._usual_s:
                self._decrease(now_s)
            elif in_flight >= self._limit - 1:
                largest = _largest(self._share)
                soon = now_s - self._congested_s < _SOON_S
                step = (_INCREASE_SOON if soon else _INCREASE) / self._limit
                self._limit = min(largest, self._limit + step)

    def _learn(self, latency_s: float) -> None:
        if not self._measured:
            self._measured = True
            self._usual_s = self._recent_s = latency_s
            return
        self._recent_s += _RECENT_WEIGHT * (latency_s - self._recent_s)
        weight = _USUAL_RISE if latency_s > self._usual_s else _USUAL_FALL
        self._usual_s += weight * (latency_s - self._usual_s)

    def _decrease(self, now_s: float) -> None:
        self._congested_s = now_s
        if now_s - self._decreased_s < max(self._usual_s, _LEAST_PAUSE_S):
            return
        self._decreased_s = now_s
        self._limit = max(1.0, self._limit * _DECREASE)
