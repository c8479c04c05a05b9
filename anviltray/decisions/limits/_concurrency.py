"""Adaptive limit on the requests that one node has in flight to one service."""

from anviltray.decisions._types import ExchangeOutcome

_DECREASE = 0.9  # Factor of the multiplicative decrease.
# Requests added per round of a full window. Shortly after congestion the increase is slower: with
# one per round, half of all attempts at twice the capacity were refused by the upstreams.
_INCREASE = 1.0
_INCREASE_AFTER_CONGESTION = 0.05
_AFTER_CONGESTION_S = 2.0
_CONGESTED_RATIO = 3.0  # Ratio of recent to usual latency above which congestion is assumed.
_RECENT_WEIGHT = 0.1  # Weight of one latency in the recent mean, which covers about ten requests.
# The usual latency rises slowly, so that an overload does not become the baseline.
_USUAL_RISE_WEIGHT = 0.002
_USUAL_FALL_WEIGHT = 0.05
_MIN_DECREASE_INTERVAL_S = 0.05  # Responses to one burst cause a single decrease.
# Upper bound as a multiple of the node's share; callers may concentrate on a few nodes.
_MAX_SHARE_FACTOR = 4.0


def _max_limit(share: float) -> float:
    return max(_MAX_SHARE_FACTOR * share, share + 4)


class ConcurrencyLimit:
    """AIMD limit that starts from a multiple of the node's share of the slots.

    It increases additively while it is fully used. It decreases multiplicatively after a refusal, a
    timeout or a rise of latency, at most once per usual latency.
    """

    def __init__(self, initial_latency_s: float, start_factor: float) -> None:
        self._start_factor = start_factor
        self._share = 1.0
        self._limit = 1.0
        self._usual_latency_s = initial_latency_s
        self._recent_latency_s = initial_latency_s
        self._measured = False
        self._decreased_s = float("-inf")
        self._congested_s = float("-inf")

    @property
    def value(self) -> float:
        """Maximum number of requests in flight."""
        return self._limit

    @property
    def latency_s(self) -> float:
        """Recent mean latency of successful requests."""
        return self._recent_latency_s

    def set_share(self, share: float) -> None:
        """Sets the node's share of the slots; the limit changes in proportion."""
        share = max(1.0, share)
        if self._congested_s == float("-inf"):
            self._limit = min(share * self._start_factor, _max_limit(share))
        else:
            self._limit = max(1.0, self._limit * share / self._share)
        self._share = share

    def on_exchange_ended(
        self, now_s: float, latency_s: float, outcome: ExchangeOutcome, in_flight: int
    ) -> None:
        """Adapts the limit to the end of one exchange, which `in_flight` includes."""
        if outcome in (ExchangeOutcome.REFUSED, ExchangeOutcome.TIMED_OUT):
            self._decrease(now_s)
        elif outcome is ExchangeOutcome.OK:
            self._update_latency(latency_s)
            if self._recent_latency_s > _CONGESTED_RATIO * self._usual_latency_s:
                self._decrease(now_s)
            elif in_flight >= self._limit - 1:
                max_limit = _max_limit(self._share)
                recently_congested = now_s - self._congested_s < _AFTER_CONGESTION_S
                step = (
                    _INCREASE_AFTER_CONGESTION if recently_congested else _INCREASE
                ) / self._limit
                self._limit = min(max_limit, self._limit + step)

    def _update_latency(self, latency_s: float) -> None:
        if not self._measured:
            self._measured = True
            self._usual_latency_s = self._recent_latency_s = latency_s
            return
        self._recent_latency_s += _RECENT_WEIGHT * (latency_s - self._recent_latency_s)
        weight = _USUAL_RISE_WEIGHT if latency_s > self._usual_latency_s else _USUAL_FALL_WEIGHT
        self._usual_latency_s += weight * (latency_s - self._usual_latency_s)

    def _decrease(self, now_s: float) -> None:
        self._congested_s = now_s
        if now_s - self._decreased_s < max(self._usual_latency_s, _MIN_DECREASE_INTERVAL_S):
            return
        self._decreased_s = now_s
        self._limit = max(1.0, self._limit * _DECREASE)
