"""Response times of each route, and what follows from a response that is late.

Load pattern: an instance accepts requests and never responds, while its health check passes. Its
kernel acknowledges the data, so only the missing response shows the fault. An idempotent request
that waits for it fails at its deadline although another instance could serve it, and so do all
requests that are sent there until the zone knows of the fault.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from anviltray.decisions._registry import Registry

# Assumed before the first response: the median relative to the target latency, and the spread.
_INITIAL_MEDIAN_SHARE = 0.3
_INITIAL_SPREAD = 0.5
_MIN_SPREAD = 0.3
_MIN_WEIGHT = 0.1  # Weight of one response in the moving averages, once there are enough of them.
_LATE_SHARE = 0.05  # Share of responses that the quantile rule regards as late.
# Probability that no response will come above which the belief rule starts a second attempt.
_STALLED_THRESHOLD = 0.2
# Shares of healthy responses that are later than each stage of lateness. One response of the first
# stage does not divert traffic from an instance, two at a time or one of the second stage do.
_LATE_STAGE_SHARES = (0.05, 0.005)
# Probability that a faulty instance does not respond.
_STALL_PROBABILITY = 0.65
# Limits for the share of healthy responses that arrive after the delay. The lower one bounds the
# delay of routes without a suspicion, the upper one the number of second attempts.
_MIN_LATE_SHARE = 0.01
_MAX_LATE_SHARE = 0.3


class ResponseTimeModel(NamedTuple):
    """Log-normal distribution of the response times of a route at healthy instances."""

    log_median: float  # Mean of the natural logarithm of the response times in seconds.
    spread: float  # Standard deviation of that logarithm.
    responses: int = 0  # Number of responses that the model has learned from.

    def exceeded_after_s(self, share: float) -> float:
        """Returns the time in seconds after which `share` of the responses are still missing."""
        return math.exp(self.log_median + self.spread * _normal_quantile(1.0 - share))


class LateStage(NamedTuple):
    """Age of a request without a response at which it is evidence against its instance."""

    after_s: float  # Seconds since the request was sent.
    log_likelihood_ratio: float  # Evidence in addition to that of earlier stages.


HedgeRule = Callable[[ResponseTimeModel, float], float]
hedge_rules: Registry[HedgeRule] = Registry("hedge rule")


@hedge_rules.register("quantile")
def quantile_delay_s(model: ResponseTimeModel, stalled_probability: float) -> float:
    """Returns the time in seconds after which few responses of healthy instances are missing."""
    return model.exceeded_after_s(_LATE_SHARE)


@hedge_rules.register("belief")
def belief_delay_s(model: ResponseTimeModel, stalled_probability: float) -> float:
    """Returns the time in seconds after which it is likely that no response will come.

    By Bayes' theorem, a response that is missing after `t` will not come with the odds of
    `stalled_probability` times `1 / P(healthy response later than t)`.
    """
    prior = min(max(stalled_probability, 1e-6), 1.0 - 1e-6)
    threshold_odds = _STALLED_THRESHOLD / (1.0 - _STALLED_THRESHOLD)
    late_share = prior / (1.0 - prior) / threshold_odds
    return model.exceeded_after_s(min(max(late_share, _MIN_LATE_SHARE), _MAX_LATE_SHARE))


class ResponseTimes:
    """Learns the response times of each route from the requests of this host.

    Example: `times.record("level", 0.5, 0.12)` after a response, and
    `times.hedge_delay_s("level", 0.5, 0.01)` before an attempt at an instance that is unlikely to
    be faulty.
    """

    def __init__(self, rule: str = "belief") -> None:
        self._rule = hedge_rules[rule]
        self._models: dict[str, ResponseTimeModel] = {}

    def model(self, route: str, target_s: float) -> ResponseTimeModel:
        """Returns the model of a route with the target latency `target_s`."""
        initial = ResponseTimeModel(math.log(_INITIAL_MEDIAN_SHARE * target_s), _INITIAL_SPREAD)
        return self._models.get(route, initial)

    def record(self, route: str, target_s: float, response_s: float) -> None:
        """Records the time until a response, or until an attempt without one was given up.

        The times of abandoned attempts count too: without them the model would only see responses
        that arrive before its own delay, and the delay would become shorter and shorter.
        """
        model = self.model(route, target_s)
        weight = max(_MIN_WEIGHT, 1.0 / (model.responses + 2))
        deviation = math.log(max(response_s, 0.001)) - model.log_median
        variance = (1.0 - weight) * (model.spread**2 + weight * deviation**2)
        self._models[route] = ResponseTimeModel(
            model.log_median + weight * deviation,
            max(_MIN_SPREAD, math.sqrt(variance)),
            model.responses + 1,
        )

    def hedge_delay_s(self, route: str, target_s: float, stalled_probability: float) -> float:
        """Returns the age of an attempt in seconds at which a second one may start.

        `stalled_probability` is the probability that the instance does not respond at all.
        """
        return self._rule(self.model(route, target_s), stalled_probability)

    def late_stages(self, route: str, target_s: float, load: float) -> tuple[LateStage, ...]:
        """Returns when a request without a response is evidence against its instance.

        `load` is the number of requests per slot of the instance. A request has to wait if there is
        more than one, which is no evidence.
        """
        model = self.model(route, target_s)
        stages, previous = [], 0.0
        for share in _LATE_STAGE_SHARES:
            evidence = math.log(_STALL_PROBABILITY / share)
            after_s = model.exceeded_after_s(share) * max(1.0, load)
            stages.append(LateStage(after_s, evidence - previous))
            previous = evidence
        return tuple(stages)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drops the models of routes that no longer exist."""
        for route in [route for route in self._models if route not in routes]:
            del self._models[route]


def _normal_quantile(probability: float) -> float:
    """Returns the quantile of the standard normal distribution, within 0.001."""
    low, high = -4.0, 4.0
    while high - low > 0.001:
        middle = (low + high) / 2
        if 0.5 * math.erfc(-middle / math.sqrt(2)) < probability:
            low = middle
        else:
            high = middle
    return (low + high) / 2
