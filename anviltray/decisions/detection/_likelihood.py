"""Likelihood-ratio detector over failures, latencies and the age of exchanges in flight."""

from collections.abc import Collection
from math import exp, log

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.detection._latency import LatencyModel
from anviltray.decisions.detection._types import Detector, Reading, Sensitivity, detectors

# Assumed share of errors at an unhealthy upstream; a lower share is detected too, but later.
_UNHEALTHY_ERROR_SHARE = 0.5
_MAX_ERROR_SHARE = 0.4
_ERROR_SHARE_WINDOW = 1000.0

# Evidence of finished exchanges decays with this half-life, so that it also expires for a service
# without traffic.
_HALF_LIFE_S = 10.0
_DECAY_STEP_S = 0.5

# Above this ratio the samples of an upstream are not learned as healthy.
_SUSPECT_RATIO = 3.0

# Upper limit of the ratio of one upstream; more evidence does not change any decision.
_MAX_RATIO = 60.0

# Weight of a broken reused connection: often the upstream has only closed it while it was idle.
_REUSED_BROKEN_WEIGHT = 0.5

# Consecutive connection failures after which an upstream counts as unreachable.
_UNREACHABLE_FAILURES = 2

_OK = ExchangeOutcome.OK
_NEUTRAL_OUTCOMES = frozenset({ExchangeOutcome.REFUSED, ExchangeOutcome.ABANDONED})


class _UpstreamState:
    """Evidence about one upstream."""

    __slots__ = (
        "address",
        "connect_failures",
        "failure_sum",
        "fresh_response_s",
        "good_responses",
        "ignore_before_s",
        "last_response_s",
        "latency_sum",
        "samples",
        "streaming",
        "waiting",
        "warming_until_s",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.failure_sum = 0.0  # Cumulative sum over outcomes.
        self.latency_sum = 0.0  # Cumulative sum over latencies.
        self.samples = 0
        self.good_responses = 0
        self.last_response_s = float("-inf")
        self.connect_failures = 0
        self.fresh_response_s = float("-inf")  # Last response on a connection opened for it.
        self.ignore_before_s = float("-inf")  # Exchanges that started earlier are no evidence.
        self.warming_until_s = float("-inf")  # Latencies are no evidence before this time.
        self.waiting: dict[int, _Exchange] = {}  # Waiting for the first byte, oldest first.
        self.streaming: dict[int, _Exchange] = {}  # Receiving the body.


class _Exchange:
    """One exchange in flight."""

    __slots__ = ("fresh", "slow", "started_s", "upstream")

    def __init__(self, upstream: _UpstreamState, started_s: float, fresh: bool) -> None:
        self.upstream = upstream
        self.started_s = started_s
        self.fresh = fresh
        self.slow = False  # Whether the response took longer than usual.


class LikelihoodRatioDetector:
    """Cumulative sums of log-likelihood ratios per upstream, one over outcomes, one over latencies.

    The age of exchanges in flight adds to the sum over latencies for as long as they last. The
    larger of both sums is the ratio of the upstream. Refusals, exchanges abandoned by the caller
    and latencies of an upstream that is warming up are no evidence. Latency is measured until the
    first byte, or until the end of the exchange if `until_first_byte` is not set. The body is no
    evidence, because a slow caller cannot be distinguished from a stalled body.
    """

    def __init__(self, sensitivity: Sensitivity, until_first_byte: bool) -> None:
        self._sensitivity = sensitivity
        self._until_first_byte = until_first_byte
        self._upstreams: dict[str, _UpstreamState] = {}
        self._active: dict[str, _UpstreamState] = {}
        self._exchanges: dict[int, _Exchange] = {}
        self._model = LatencyModel(sensitivity.survival_floor, sensitivity.latency_tolerance)
        self._errors = 0.0
        self._outcomes = 0.0
        self._decayed_s: float | None = None
        self._majority_suspected = False
        self._failure_score = 0.0
        self._success_score = 0.0
        self._update_outcome_scores()

    def set_upstreams(self, addresses: Collection[str]) -> None:
        wanted = set(addresses)
        for address in self._upstreams.keys() - wanted:
            self._active.pop(address, None)
            upstream = self._upstreams.pop(address)
            for number in (*upstream.waiting, *upstream.streaming):
                del self._exchanges[number]
        for address in sorted(wanted - self._upstreams.keys()):
            self._upstreams[address] = _UpstreamState(address)

    def set_sensitivity(self, sensitivity: Sensitivity) -> None:
        self._sensitivity = sensitivity
        self._model.configure(sensitivity.survival_floor, sensitivity.latency_tolerance)
        self._update_outcome_scores()

    def on_exchange_started(
        self, now_s: float, address: str, number: int, fresh_connection: bool
    ) -> None:
        upstream = self._upstreams.get(address)
        if upstream is not None:
            exchange = _Exchange(upstream, now_s, fresh_connection)
            self._exchanges[number] = upstream.waiting[number] = exchange
            self._active[address] = upstream

    def on_first_byte(self, now_s: float, number: int) -> None:
        exchange = self._exchanges.get(number)
        if exchange is None:
            return
        upstream = exchange.upstream
        if exchange.fresh:
            upstream.fresh_response_s = now_s
        upstream.connect_failures = 0
        if self._until_first_byte and number in upstream.waiting:
            del upstream.waiting[number]
            upstream.streaming[number] = exchange
            if exchange.started_s >= upstream.ignore_before_s:
                self._add_latency(now_s, exchange)

    def on_exchange_ended(self, now_s: float, number: int, outcome: ExchangeOutcome) -> None:
        exchange = self._exchanges.pop(number, None)
        if exchange is None:
            return
        upstream = exchange.upstream
        waited = upstream.waiting.pop(number, None) is not None
        if not waited:
            del upstream.streaming[number]
        if outcome in _NEUTRAL_OUTCOMES:
            return
        stale = exchange.started_s < upstream.ignore_before_s
        if outcome is not _OK:
            if not stale:
                self._add_failure(now_s, exchange, outcome, waited)
            return
        if exchange.fresh:
            upstream.fresh_response_s = now_s
        upstream.connect_failures = 0
        if stale:
            return
        self._outcomes += 1.0
        upstream.samples += 1
        total = upstream.failure_sum + self._success_score
        upstream.failure_sum = total if total > 0.0 else 0.0
        if waited:
            self._add_latency(now_s, exchange)
        if not exchange.slow:
            upstream.good_responses += 1
            upstream.last_response_s = now_s

    def _add_latency(self, now_s: float, exchange: _Exchange) -> None:
        """Adds the evidence of one latency and, if the upstream is not suspected, learns it."""
        model = self._model
        upstream = exchange.upstream
        if now_s < upstream.warming_until_s:
            return
        index = model.bin_index(now_s - exchange.started_s)
        score = model.finished_scores[index]
        if self._majority_suspected or (
            upstream.failure_sum < _SUSPECT_RATIO and upstream.latency_sum < _SUSPECT_RATIO
        ):
            model.add_sample(index)
        exchange.slow = score > 0.0
        total = upstream.latency_sum + score
        upstream.latency_sum = total if total > 0.0 else 0.0

    def _add_failure(
        self, now_s: float, exchange: _Exchange, outcome: ExchangeOutcome, waited: bool
    ) -> None:
        upstream = exchange.upstream
        upstream.samples += 1
        score = self._failure_score
        if outcome is ExchangeOutcome.BROKEN and not exchange.fresh:
            score *= _REUSED_BROKEN_WEIGHT
        if outcome is ExchangeOutcome.CONNECT_FAILED:
            upstream.connect_failures += 1
        if outcome is ExchangeOutcome.TIMED_OUT and waited and now_s >= upstream.warming_until_s:
            model = self._model
            upstream.latency_sum += model.age_scores[model.bin_index(now_s - exchange.started_s)]
        if upstream.failure_sum < _SUSPECT_RATIO or self._majority_suspected:
            self._errors += 1.0
            self._outcomes += 1.0
        upstream.failure_sum = min(upstream.failure_sum + score, _MAX_RATIO)
        upstream.latency_sum = min(upstream.latency_sum, _MAX_RATIO)

    def set_warming(self, now_s: float, address: str, until_s: float) -> None:
        upstream = self._upstreams.get(address)
        if upstream is not None:
            upstream.warming_until_s = until_s
            upstream.latency_sum = 0.0

    def reset(self, now_s: float, address: str) -> None:
        upstream = self._upstreams.get(address)
        if upstream is not None:
            self._clear(upstream, now_s)

    def reset_all(self, now_s: float) -> None:
        for upstream in self._upstreams.values():
            self._clear(upstream, now_s)

    @staticmethod
    def _clear(upstream: _UpstreamState, now_s: float) -> None:
        upstream.failure_sum = upstream.latency_sum = 0.0
        upstream.samples = upstream.good_responses = upstream.connect_failures = 0
        upstream.ignore_before_s = now_s

    def evaluate(self, now_s: float) -> dict[str, Reading]:
        self._model.refresh(now_s, len(self._upstreams))
        factor = self._decay(now_s)
        readings: dict[str, Reading] = {}
        suspected_count = 0
        for address, upstream in list(self._active.items()):
            in_flight_ratio, count = 0.0, 0
            if upstream.waiting:
                in_flight_ratio, count = self._in_flight(now_s, upstream)
            ratio = in_flight_ratio
            if upstream.failure_sum or upstream.latency_sum:
                upstream.failure_sum *= factor
                upstream.latency_sum *= factor
                ratio = max(upstream.failure_sum, upstream.latency_sum + in_flight_ratio)
            ratio = min(ratio, _MAX_RATIO)
            if ratio < 0.05:
                upstream.samples = 0
                if not upstream.waiting and not upstream.streaming:
                    upstream.failure_sum = upstream.latency_sum = 0.0
                    del self._active[address]
            suspected_count += ratio > _SUSPECT_RATIO
            readings[address] = Reading(
                ratio,
                upstream.samples + count,
                upstream.connect_failures < _UNREACHABLE_FAILURES,
                upstream.good_responses,
                upstream.last_response_s,
            )
        self._majority_suspected = suspected_count * 2 > len(self._upstreams)
        return readings

    def _decay(self, now_s: float) -> float:
        """Returns the decay factor since the last step; also updates the scores of outcomes."""
        if self._decayed_s is None:
            self._decayed_s = now_s
        elapsed_s = now_s - self._decayed_s
        if elapsed_s < _DECAY_STEP_S:
            return 1.0
        self._decayed_s = now_s
        if self._outcomes > _ERROR_SHARE_WINDOW:
            self._errors /= 2
            self._outcomes /= 2
        self._update_outcome_scores()
        return exp(-log(2) * elapsed_s / _HALF_LIFE_S)

    def _update_outcome_scores(self) -> None:
        share = 2 * self._errors / (self._outcomes + 100.0)
        expected = min(max(share, self._sensitivity.error_share_floor), _MAX_ERROR_SHARE)
        self._failure_score = log(_UNHEALTHY_ERROR_SHARE / expected)
        self._success_score = log((1 - _UNHEALTHY_ERROR_SHARE) / (1 - expected))

    def _in_flight(self, now_s: float, upstream: _UpstreamState) -> tuple[float, int]:
        """Returns the evidence of the ages of exchanges in flight and how many it counts."""
        if now_s < upstream.warming_until_s:
            return 0.0, 0
        model = self._model
        total = 0.0
        count = 0
        for exchange in upstream.waiting.values():
            age_s = now_s - exchange.started_s
            if age_s < model.zero_score_age_s or total > _MAX_RATIO:
                break
            if exchange.started_s < upstream.ignore_before_s:
                continue
            # The upstream has responded on a new connection since, so only the reused one is dead.
            if not exchange.fresh and exchange.started_s < upstream.fresh_response_s:
                continue
            total += model.age_scores[model.bin_index(age_s)]
            count += 1
        return total, count

    def describe(self, now_s: float, address: str) -> dict[str, object]:
        upstream = self._upstreams.get(address)
        if upstream is None:
            return {}
        return {
            "failures": round(upstream.failure_sum, 2),
            "latencies": round(upstream.latency_sum, 2),
            "in_flight_age": round(self._in_flight(now_s, upstream)[0], 2),
            "samples": upstream.samples,
            "in_flight": len(upstream.waiting) + len(upstream.streaming),
            "service_p50_s": round(self._model.quantile(0.5), 4),
            "service_p99_s": round(self._model.quantile(0.99), 4),
            "failure_score": round(self._failure_score, 2),
        }


@detectors.register("likelihood_ratio")
def _until_first_byte(sensitivity: Sensitivity) -> Detector:
    return LikelihoodRatioDetector(sensitivity, until_first_byte=True)


@detectors.register("likelihood_ratio_whole")
def _whole_exchange(sensitivity: Sensitivity) -> Detector:
    return LikelihoodRatioDetector(sensitivity, until_first_byte=False)
