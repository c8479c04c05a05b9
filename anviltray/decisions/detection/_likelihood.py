"""Likelihood-ratio detector over failures, latencies and the age of exchanges in flight."""

from collections.abc import Collection
from math import exp, log

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.detection._latency import LatencyModel
from anviltray.decisions.detection._types import Detector, Reading, Sensitivity, detectors

# Share of errors at an unhealthy upstream; a lower one is found too, only later.
_UNHEALTHY_ERROR_SHARE = 0.5
_ERROR_SHARE_LIMIT = 0.4
_ERROR_SHARE_MEMORY = 1000.0

# Finished evidence loses half its weight in this time, so that a quiet service forgets.
_HALF_LIFE_S = 10.0
_DECAY_STEP_S = 0.5

# Above this ratio the latencies of an upstream are not learned as healthy.
_SUSPECT = 3.0

# Evidence of one upstream beyond this adds nothing to a decision.
_RATIO_LIMIT = 60.0

# A reused connection that breaks is often one that the upstream closed while idle.
_REUSED_BROKEN_WEIGHT = 0.5

# Refused connections in a row after which an upstream counts as unreachable.
_UNREACHABLE_FAILURES = 2

_OK = ExchangeOutcome.OK
_NEUTRAL = frozenset({ExchangeOutcome.REFUSED, ExchangeOutcome.ABANDONED})


class _Watch:
    """Evidence about one upstream."""

    __slots__ = (
        "address",
        "answered_s",
        "answers",
        "connect_failures",
        "failures",
        "fresh_answer_s",
        "ignore_before_s",
        "latencies",
        "samples",
        "streaming",
        "waiting",
        "warm_s",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.failures = 0.0  # Cumulative sum over outcomes.
        self.latencies = 0.0  # Cumulative sum over latencies.
        self.samples = 0
        self.answers = 0
        self.answered_s = float("-inf")
        self.connect_failures = 0
        self.fresh_answer_s = float("-inf")  # Last answer on a connection opened for it.
        self.ignore_before_s = float("-inf")  # Exchanges started earlier are no evidence.
        self.warm_s = float("-inf")  # Latencies are no evidence before this time.
        self.waiting: dict[int, _Exchange] = {}  # Before the first byte, oldest first.
        self.streaming: dict[int, _Exchange] = {}  # Within the body.


class _Exchange:
    """One exchange in flight."""

    __slots__ = ("fresh", "late", "started_s", "watch")

    def __init__(self, watch: _Watch, started_s: float, fresh: bool) -> None:
        self.watch = watch
        self.started_s = started_s
        self.fresh = fresh
        self.late = False  # The answer took longer than usual.


class LikelihoodRatioDetector:
    """Cumulative sums of log-likelihood ratios per upstream, one over outcomes, one over latencies.

    The age of exchanges in flight adds to the sum over latencies for as long as they last. The
    larger of both sums is the ratio of the upstream. Refusals, exchanges that the caller left and
    latencies of a warming upstream change nothing. Latency is that until the first byte, or that
    of the whole exchange if `until_first_byte` is not set. The body is no evidence: a slow caller
    looks like a stalled body.
    """

    def __init__(self, sensitivity: Sensitivity, until_first_byte: bool) -> None:
        self._sensitivity = sensitivity
        self._until_first_byte = until_first_byte
        self._watches: dict[str, _Watch] = {}
        self._touched: dict[str, _Watch] = {}
        self._exchanges: dict[int, _Exchange] = {}
        self._model = LatencyModel(sensitivity.survival_floor, sensitivity.latency_tolerance)
        self._errors = 0.0
        self._outcomes = 0.0
        self._decayed_s: float | None = None
        self._common = False
        self._failure_score = 0.0
        self._success_score = 0.0
        self._set_outcome_scores()

    def watch(self, addresses: Collection[str]) -> None:
        wanted = set(addresses)
        for address in self._watches.keys() - wanted:
            self._touched.pop(address, None)
            watch = self._watches.pop(address)
            for number in (*watch.waiting, *watch.streaming):
                del self._exchanges[number]
        for address in sorted(wanted - self._watches.keys()):
            self._watches[address] = _Watch(address)

    def tune(self, sensitivity: Sensitivity) -> None:
        self._sensitivity = sensitivity
        self._model.tune(sensitivity.survival_floor, sensitivity.latency_tolerance)
        self._set_outcome_scores()

    def started(self, now_s: float, address: str, number: int, fresh_connection: bool) -> None:
        watch = self._watches.get(address)
        if watch is not None:
            exchange = _Exchange(watch, now_s, fresh_connection)
            self._exchanges[number] = watch.waiting[number] = exchange
            self._touched[address] = watch

    def first_byte(self, now_s: float, number: int) -> None:
        exchange = self._exchanges.get(number)
        if exchange is None:
            return
        watch = exchange.watch
        if exchange.fresh:
            watch.fresh_answer_s = now_s
        watch.connect_failures = 0
        if self._until_first_byte and number in watch.waiting:
            del watch.waiting[number]
            watch.streaming[number] = exchange
            if exchange.started_s >= watch.ignore_before_s:
                self._timed(now_s, exchange)

    def ended(self, now_s: float, number: int, outcome: ExchangeOutcome) -> None:
        exchange = self._exchanges.pop(number, None)
        if exchange is None:
            return
        watch = exchange.watch
        waited = watch.waiting.pop(number, None) is not None
        if not waited:
            del watch.streaming[number]
        if outcome in _NEUTRAL:
            return
        stale = exchange.started_s < watch.ignore_before_s
        if outcome is not _OK:
            if not stale:
                self._failed(now_s, exchange, outcome, waited)
            return
        if exchange.fresh:
            watch.fresh_answer_s = now_s
        watch.connect_failures = 0
        if stale:
            return
        self._outcomes += 1.0
        watch.samples += 1
        total = watch.failures + self._success_score
        watch.failures = total if total > 0.0 else 0.0
        if waited:
            self._timed(now_s, exchange)
        if not exchange.late:
            watch.answers += 1
            watch.answered_s = now_s

    def _timed(self, now_s: float, exchange: _Exchange) -> None:
        """Takes the latency of a response."""
        model = self._model
        watch = exchange.watch
        if now_s < watch.warm_s:
            return
        index = model.bin(now_s - exchange.started_s)
        score = model.finished_scores[index]
        if self._common or (watch.failures < _SUSPECT and watch.latencies < _SUSPECT):
            model.add(index)
        exchange.late = score > 0.0
        total = watch.latencies + score
        watch.latencies = total if total > 0.0 else 0.0

    def _failed(
        self, now_s: float, exchange: _Exchange, outcome: ExchangeOutcome, waited: bool
    ) -> None:
        watch = exchange.watch
        watch.samples += 1
        score = self._failure_score
        if outcome is ExchangeOutcome.BROKEN and not exchange.fresh:
            score *= _REUSED_BROKEN_WEIGHT
        if outcome is ExchangeOutcome.CONNECT_FAILED:
            watch.connect_failures += 1
        if outcome is ExchangeOutcome.TIMED_OUT and waited and now_s >= watch.warm_s:
            model = self._model
            watch.latencies += model.age_scores[model.bin(now_s - exchange.started_s)]
        if watch.failures < _SUSPECT or self._common:
            self._errors += 1.0
            self._outcomes += 1.0
        watch.failures = min(watch.failures + score, _RATIO_LIMIT)
        watch.latencies = min(watch.latencies, _RATIO_LIMIT)

    def warming(self, now_s: float, address: str, until_s: float) -> None:
        watch = self._watches.get(address)
        if watch is not None:
            watch.warm_s = until_s
            watch.latencies = 0.0

    def reset(self, now_s: float, address: str) -> None:
        watch = self._watches.get(address)
        if watch is not None:
            self._clear(watch, now_s)

    def discard(self, now_s: float) -> None:
        for watch in self._watches.values():
            self._clear(watch, now_s)

    @staticmethod
    def _clear(watch: _Watch, now_s: float) -> None:
        watch.failures = watch.latencies = 0.0
        watch.samples = watch.answers = watch.connect_failures = 0
        watch.ignore_before_s = now_s

    def survey(self, now_s: float) -> dict[str, Reading]:
        self._model.refresh(now_s, len(self._watches))
        factor = self._decay(now_s)
        readings: dict[str, Reading] = {}
        suspects = 0
        for address, watch in list(self._touched.items()):
            flying, count = 0.0, 0
            if watch.waiting:
                flying, count = self._in_flight(now_s, watch)
            ratio = flying
            if watch.failures or watch.latencies:
                watch.failures *= factor
                watch.latencies *= factor
                ratio = max(watch.failures, watch.latencies + flying)
            ratio = min(ratio, _RATIO_LIMIT)
            if ratio < 0.05:
                watch.samples = 0
                if not watch.waiting and not watch.streaming:
                    watch.failures = watch.latencies = 0.0
                    del self._touched[address]
            suspects += ratio > _SUSPECT
            readings[address] = Reading(
                ratio,
                watch.samples + count,
                watch.connect_failures < _UNREACHABLE_FAILURES,
                watch.answers,
                watch.answered_s,
            )
        self._common = suspects * 2 > len(self._watches)
        return readings

    def _decay(self, now_s: float) -> float:
        if self._decayed_s is None:
            self._decayed_s = now_s
        elapsed_s = now_s - self._decayed_s
        if elapsed_s < _DECAY_STEP_S:
            return 1.0
        self._decayed_s = now_s
        if self._outcomes > _ERROR_SHARE_MEMORY:
            self._errors /= 2
            self._outcomes /= 2
        self._set_outcome_scores()
        return exp(-log(2) * elapsed_s / _HALF_LIFE_S)

    def _set_outcome_scores(self) -> None:
        share = 2 * self._errors / (self._outcomes + 100.0)
        expected = min(max(share, self._sensitivity.error_share_floor), _ERROR_SHARE_LIMIT)
        self._failure_score = log(_UNHEALTHY_ERROR_SHARE / expected)
        self._success_score = log((1 - _UNHEALTHY_ERROR_SHARE) / (1 - expected))

    def _in_flight(self, now_s: float, watch: _Watch) -> tuple[float, int]:
        """Returns the evidence in the ages of exchanges in flight and their number."""
        if now_s < watch.warm_s:
            return 0.0, 0
        model = self._model
        total = 0.0
        count = 0
        for exchange in watch.waiting.values():
            age_s = now_s - exchange.started_s
            if age_s < model.quiet_age_s or total > _RATIO_LIMIT:
                break
            if exchange.started_s < watch.ignore_before_s:
                continue
            # An answer on a new connection since then: only the reused connection is silent.
            if not exchange.fresh and exchange.started_s < watch.fresh_answer_s:
                continue
            total += model.age_scores[model.bin(age_s)]
            count += 1
        return total, count

    def describe(self, now_s: float, address: str) -> dict[str, object]:
        watch = self._watches.get(address)
        if watch is None:
            return {}
        return {
            "failures": round(watch.failures, 2),
            "latencies": round(watch.latencies, 2),
            "in_flight_age": round(self._in_flight(now_s, watch)[0], 2),
            "samples": watch.samples,
            "in_flight": len(watch.waiting) + len(watch.streaming),
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
