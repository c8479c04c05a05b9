"""Latency distribution of one service and the evidence of one latency or age."""

from math import exp, log, log2

# Eight bins per octave from 0.25 ms to about 2 min. An age is rounded down to its bin; wider bins
# would delay the detection of a stall.
_MIN_DURATION_S = 0.00025
_BINS_PER_OCTAVE = 8
_BIN_COUNT = 152
_SCALE = _BINS_PER_OCTAVE / log(2)
_OFFSET = -log(_MIN_DURATION_S) * _SCALE

# With a wide prior (median 100 ms) a stall is detected before the distribution has been learned. A
# larger weight would hide the tail of the first thousands of samples.
_PRIOR_WEIGHT = 5.0
_PRIOR_MEDIAN_S = 0.1
_PRIOR_SIGMA = 1.5

# Counts are halved above this number of samples, so that the distribution follows slow changes.
_SAMPLE_LIMIT = 16384.0

# Exponent of the alternative hypothesis: the tail probabilities of an unhealthy upstream are
# distributed as u ** 0.3, concentrated at the slow end. No shape of the latencies is assumed.
_ALTERNATIVE_EXPONENT = 0.3

# The tables are recomputed after this share of new samples, or after this interval if there are
# any new samples.
_REFRESH_SHARE = 0.05
_REFRESH_S = 10.0


class LatencyModel:
    """Learned distribution of one duration, with lookup tables of log-likelihood ratios.

    The ratio of a finished exchange is exact for the learned distribution: its expectation under
    the healthy hypothesis is 1, so sums of its logarithms have the usual false alarm bounds. The
    ratio of an exchange in flight uses the larger of the tail probability at its age and the
    expected number of older exchanges in flight, so that a service with long polls does not appear
    stalled. Durations are divided by the tolerance first, so that slightly slower responses are no
    evidence.
    """

    def __init__(self, survival_floor: float, tolerance: float) -> None:
        self._counts = _prior_counts()
        self._total = _PRIOR_WEIGHT
        self._new_samples = 0
        self._arrival_rate = 0.0
        self._tables_built_s: float | None = None
        self.finished_scores: list[float] = []
        self.age_scores: list[float] = []
        self.zero_score_age_s = 0.0
        self.configure(survival_floor, tolerance)

    def configure(self, survival_floor: float, tolerance: float) -> None:
        """Sets the limits on the evidence of one duration; the learned distribution is kept.

        Tail probabilities are at least `survival_floor`; durations are divided by `tolerance`.
        """
        self._floor = survival_floor
        self._shift = round(log2(tolerance) * _BINS_PER_OCTAVE)
        self._rebuild_tables()

    @staticmethod
    def bin_index(duration_s: float) -> int:
        """Returns the index of a duration in the score tables."""
        if duration_s <= _MIN_DURATION_S:
            return 0
        index = int(log(duration_s) * _SCALE + _OFFSET)
        return index if index < _BIN_COUNT else _BIN_COUNT - 1

    def add_sample(self, index: int) -> None:
        """Adds a duration of a healthy upstream, given by its bin, to the distribution."""
        self._counts[index] += 1.0
        self._total += 1.0
        self._new_samples += 1

    def refresh(self, now_s: float, upstreams: int) -> None:
        """Recomputes the tables if there are enough new samples, at most once per second."""
        if self._tables_built_s is None:
            self._tables_built_s = now_s
            return
        elapsed_s = now_s - self._tables_built_s
        if elapsed_s < 1.0 or not self._new_samples:
            return
        if elapsed_s < _REFRESH_S and self._new_samples < _REFRESH_SHARE * self._total:
            return
        rate = self._new_samples / elapsed_s / max(upstreams, 1)
        self._arrival_rate += (rate - self._arrival_rate) * (1.0 - exp(-elapsed_s / 10.0))
        self._new_samples = 0
        self._tables_built_s = now_s
        if self._total > _SAMPLE_LIMIT:
            prior = _prior_counts()
            self._counts = [
                max(count / 2, minimum) for count, minimum in zip(self._counts, prior, strict=True)
            ]
            self._total = sum(self._counts)
        self._rebuild_tables()

    def quantile(self, share: float) -> float:
        """Returns the upper edge in seconds of the bin that contains a quantile."""
        below = 0.0
        for index, count in enumerate(self._counts):
            below += count
            if below >= share * self._total:
                return _lower_edge_s(index + 1)
        return _lower_edge_s(_BIN_COUNT)

    def _rebuild_tables(self) -> None:
        survival = [0.0] * (_BIN_COUNT + 1)
        older = [0.0] * (_BIN_COUNT + 1)
        for index in range(_BIN_COUNT - 1, -1, -1):
            survival[index] = survival[index + 1] + self._counts[index] / self._total
            width_s = _lower_edge_s(index + 1) - _lower_edge_s(index)
            mean = (survival[index] + survival[index + 1]) / 2
            older[index] = older[index + 1] + self._arrival_rate * mean * width_s
        finished = [
            _finished_score(min(survival[index], 1.0), survival[index + 1], self._floor)
            for index in range(_BIN_COUNT)
        ]
        ages = [
            max(0.0, _density_score(min(1.0, max(survival[i], older[i], self._floor))))
            for i in range(_BIN_COUNT)
        ]
        shift = self._shift
        self.finished_scores = [finished[0]] * shift + finished[: _BIN_COUNT - shift]
        self.age_scores = [0.0] * shift + ages[: _BIN_COUNT - shift]
        first = next((i for i, score in enumerate(self.age_scores) if score > 0), _BIN_COUNT)
        self.zero_score_age_s = _lower_edge_s(first)


def _lower_edge_s(index: int) -> float:
    return _MIN_DURATION_S * 2.0 ** (index / _BINS_PER_OCTAVE) if index else 0.0


def _density_score(tail: float) -> float:
    return log(_ALTERNATIVE_EXPONENT) + (_ALTERNATIVE_EXPONENT - 1.0) * log(tail)


def _finished_score(upper: float, lower: float, floor: float) -> float:
    """Returns the log of the mean alternative density between two tail probabilities."""
    if upper - lower < floor:
        return _density_score(max(upper, floor))
    ratio = (upper**_ALTERNATIVE_EXPONENT - lower**_ALTERNATIVE_EXPONENT) / (upper - lower)
    return min(log(ratio), _density_score(floor))


def _prior_counts() -> list[float]:
    spread = _PRIOR_SIGMA / log(2) * _BINS_PER_OCTAVE
    middle = log2(_PRIOR_MEDIAN_S / _MIN_DURATION_S) * _BINS_PER_OCTAVE
    weights = [exp(-(((i + 0.5 - middle) / spread) ** 2) / 2) for i in range(_BIN_COUNT)]
    scale = _PRIOR_WEIGHT / sum(weights)
    return [weight * scale for weight in weights]
