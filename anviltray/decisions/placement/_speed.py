"""Estimates how slow each instance is compared with the others of its service.

Load pattern: some instances of a service are 4 to 12 times slower than others, for seconds or for
good, or cold after their start. Their health checks pass and their responses are complete, only
late. One host sends an instance less than one request per second, so the hosts of a zone share what
they measure.
"""

import math

# Weight of one response in an estimate; the times of single requests vary by a factor of 2.
_RESPONSE_WEIGHT = 0.25
# Half-life of an estimate without responses, after which a slow instance is tried again.
_HALF_LIFE_S = 5.0
# Logarithms of slowness below this are within the variation of requests and count as none.
_DEAD_BAND = math.log(1.6)
_MAX_SLOWNESS = 12.0
_MAX_LOG = math.log(_MAX_SLOWNESS) + _DEAD_BAND
_SERVICE_WEIGHT = 0.05  # Weight of one response in the mean of a service.


class ServiceSpeed:
    """Mean logarithm of the service times of one service at all its instances."""

    __slots__ = ("_mean_log", "_responses")

    def __init__(self) -> None:
        self._mean_log = 0.0
        self._responses = 0

    def add(self, response_s: float, load: float) -> float:
        """Adds a response and returns the logarithm of its time relative to the mean.

        A request to an instance with more than one request per slot has waited for the others.
        """
        log = math.log(max(response_s, 1e-4) / max(1.0, load))
        self._responses += 1
        if self._responses == 1:
            self._mean_log = log
        # Slow instances must not raise the mean much.
        difference = max(-1.0, min(1.0, log - self._mean_log))
        self._mean_log += max(_SERVICE_WEIGHT, 1 / self._responses) * difference
        return log - self._mean_log


class InstanceSlowness:
    """Service time of one instance relative to the mean of its service.

    Example: after several responses that took four times the mean, `factor` returns about 2.5;
    10 s without a response later, 1.0.
    """

    __slots__ = ("_log", "_updated_s", "unreported_count", "unreported_log")

    def __init__(self) -> None:
        self._log = 0.0
        self._updated_s = 0.0
        self.unreported_log = 0.0  # Sum for responses that the other hosts have not received yet.
        self.unreported_count = 0

    def add(self, now_s: float, log_ratio: float, count: int = 1) -> None:
        """Adds `count` responses whose times had this mean logarithm relative to the service's."""
        weight = 1 - (1 - _RESPONSE_WEIGHT) ** count
        bounded = max(-_MAX_LOG, min(_MAX_LOG, log_ratio))
        self._log = self._decayed(now_s)
        self._log += weight * (bounded - self._log)
        self._updated_s = now_s

    def factor(self, now_s: float) -> float:
        """Returns the factor by which a request probably takes longer; at least 1."""
        if self._log <= _DEAD_BAND:
            return 1.0
        return math.exp(max(0.0, self._decayed(now_s) - _DEAD_BAND))

    def _decayed(self, now_s: float) -> float:
        return float(self._log * 0.5 ** (max(0.0, now_s - self._updated_s) / _HALF_LIFE_S))
