"""Latency distribution of one service and the evidence in one latency or age."""

from math import exp, log, log2

# Eight bins to an octave from 0.25 ms to about 2 min. An age is rounded down to its bin, so with
# wider bins a stall is seen later.
_LOWEST_S = 0.00025
_BINS_PER_OCTAVE = 8
_BIN_COUNT = 152
_SCALE = _BINS_PER_OCTAVE / log(2)
_OFFSET = -log(_LOWEST_S) * _SCALE

# A wide prior (median 100 ms) keeps a stall visible before the distribution is known. A larger
# weight would hide the tail of the first thousands of samples.
_PRIOR_WEIGHT = 5.0
_PRIOR_MEDIAN_S = 0.1
_PRIOR_SIGMA = 1.5

# Counts are halved at this number of samples, so that the distribution follows slow changes.
_SAMPLE_LIMIT = 16384.0

# Exponent of the alternative: an unhealthy upstream's tail probabilities are distributed as
# u ** 0.3, concentrated at the slow end, without assuming a shape of the latencies.
_EXPONENT = 0.3

# The tables are recomputed after this share of new samples, and at this interval in any case.
_REFRESH_SHARE = 0.05
_REFRESH_S = 10.0


class LatencyModel:
    """Learned distribution of one duration, with lookup tables of log-likelihood ratios.

    The ratio of a finished exchange is exact for the learned distribution: its expectation under
    the healthy hypothesis is 1, so sums of logarithms have the usual false alarm bounds. The ratio
    of an exchange in flight uses the larger of the tail probability at its age and the expected
    number of older exchanges in flight, so that a service with long polls does not look stalled.
    A duration is divided by the tolerance first: being a little slower than usual is no fault.
    """

    def __init__(self, survival_floor: float, tolerance: float) -> None:
        self._counts = _prior_counts()
        self._total = _PRIOR_WEIGHT
        self._pending = 0
        self._rate = 0.0
        self._tabulated_s: float | None = None
        self.finished_scores: list[float] = []
        self.age_scores: list[float] = []
        self.quiet_age_s = 0.0
        self.tune(survival_floor, tolerance)

    def tune(self, survival_floor: float, tolerance: float) -> None:
        """Sets how much one duration may prove; the learned distribution stays."""
        self._floor = survival_floor
        self._shift = round(log2(tolerance) * _BINS_PER_OCTAVE)
        self._tabulate()

    @staticmethod
    def bin(duration_s: float) -> int:
        """Returns the index of a duration in the score tables."""
        if duration_s <= _LOWEST_S:
            return 0
        index = int(log(duration_s) * _SCALE + _OFFSET)
        return index if index < _BIN_COUNT else _BIN_COUNT - 1

    def add(self, index: int) -> None:
        """Counts a duration of a healthy upstream."""
        self._counts[index] += 1.0
        self._total += 1.0
        self._pending += 1

    def refresh(self, now_s: float, upstreams: int) -> None:
        """Recomputes the tables, at most once a second, if there are enough new samples."""
        if self._tabulated_s is None:
            self._tabulated_s = now_s
            return
        elapsed_s = now_s - self._tabulated_s
        if elapsed_s < 1.0 or not self._pending:
            return
        if elapsed_s < _REFRESH_S and self._pending < _REFRESH_SHARE * self._total:
            return
        rate = self._pending / elapsed_s / max(upstreams, 1)
        self._rate += (rate - self._rate) * (1.0 - exp(-elapsed_s / 10.0))
        self._pending = 0
        self._tabulated_s = now_s
        if self._total > _SAMPLE_LIMIT:
            prior = _prior_counts()
            self._counts = [
                max(count / 2, least) for count, least in zip(self._counts, prior, strict=True)
            ]
            self._total = sum(self._counts)
        self._tabulate()

    def quantile(self, share: float) -> float:
        """Returns the upper bound in seconds of the bin that holds a quantile."""
        below = 0.0
        for index, count in enumerate(self._counts):
            below += count
            if below >= share * self._total:
                return _lower_edge_s(index + 1)
        return _lower_edge_s(_BIN_COUNT)

    def _tabulate(self) -> None:
        survival = [0.0] * (_BIN_COUNT + 1)
        older = [0.0] * (_BIN_COUNT + 1)
        for index in range(_BIN_COUNT - 1, -1, -1):
            survival[index] = survival[index + 1] + self._counts[index] / self._total
            width_s = _lower_edge_s(index + 1) - _lower_edge_s(index)
            mean = (survival[index] + survival[index + 1]) / 2
            older[index] = older[index + 1] + self._rate * mean * width_s
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
        self.quiet_age_s = _lower_edge_s(first)


def _lower_edge_s(index: int) -> float:
    return _LOWEST_S * 2.0 ** (index / _BINS_PER_OCTAVE) if index else 0.0


def _density_score(tail: float) -> float:
    return log(_EXPONENT) + (_EXPONENT - 1.0) * log(tail)


def _finished_score(upper: float, lower: float, floor: float) -> float:
    """Returns the log of the mean alternative density between two tail probabilities."""
    if upper - lower < floor:
        return _density_score(max(upper, floor))
    ratio = (upper**_EXPONENT - lower**_EXPONENT) / (upper - lower)
    return min(log(ratio), _density_score(floor))


def _prior_counts() -> list[float]:
    spread = _PRIOR_SIGMA / log(2) * _BINS_PER_OCTAVE
    middle = log2(_PRIOR_MEDIAN_S / _LOWEST_S) * _BINS_PER_OCTAVE
    weights = [exp(-(((i + 0.5 - middle) / spread) ** 2) / 2) for i in range(_BIN_COUNT)]
    scale = _PRIOR_WEIGHT / sum(weights)
    return [weight * scale for weight in weights]
