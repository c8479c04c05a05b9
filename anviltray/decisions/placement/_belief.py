"""Bayesian estimate of the probability that an instance is in an unhealthy phase."""

import math
from typing import NamedTuple

_LOG_ODDS_LIMIT = 6.0  # Limits confidence, so that few requests suffice to reverse a belief.


class PhaseModel(NamedTuple):
    """Markov model of an instance that alternates between unhealthy and healthy phases."""

    unhealthy_s: float  # Mean duration of an unhealthy phase.
    healthy_s: float  # Mean duration of a healthy phase.

    @property
    def unhealthy_share(self) -> float:
        """Share of time in the unhealthy state; the prior probability."""
        return self.unhealthy_s / (self.unhealthy_s + self.healthy_s)

    @property
    def relaxation_s(self) -> float:
        """Time constant with which a belief decays to the prior when there is no new evidence."""
        return 1 / (1 / self.unhealthy_s + 1 / self.healthy_s)


class PhaseBelief:
    """Estimated probability that an instance is in the unhealthy state of a model.

    Evidence is the log-likelihood ratio of unhealthy to healthy, so evidence from several hosts can
    be summed. Example: with an unhealthy share of 0.5, `add_evidence(now_s, math.log(3))` gives a
    probability of 0.75, which then decays exponentially to 0.5.
    """

    __slots__ = ("_last", "_relaxation_s", "_share", "updated_s")

    def __init__(self, model: PhaseModel) -> None:
        self._share = model.unhealthy_share
        self._relaxation_s = model.relaxation_s
        self._last = self._share  # Probability at the time of the latest evidence.
        self.updated_s = float("-inf")  # Time of the latest evidence.

    def probability(self, now_s: float) -> float:
        """Returns the probability of the unhealthy state."""
        weight = math.exp(min(0.0, self.updated_s - now_s) / self._relaxation_s)
        return self._share + (self._last - self._share) * weight

    @property
    def lower_bound(self) -> float:
        """Probability that cannot be undercut without new evidence."""
        return min(self._last, self._share)

    def add_evidence(self, now_s: float, log_likelihood_ratio: float) -> None:
        """Adds evidence; a positive ratio makes the unhealthy state more probable."""
        self._set(now_s, _log_odds(self.probability(now_s)) + log_likelihood_ratio)

    def set_probability(self, now_s: float, probability: float) -> None:
        """Replaces the estimate; ignores values outside the open interval from 0 to 1."""
        if 0 < probability < 1:
            self._set(now_s, _log_odds(probability))

    def _set(self, now_s: float, log_odds: float) -> None:
        bounded = max(-_LOG_ODDS_LIMIT, min(_LOG_ODDS_LIMIT, log_odds))
        self._last = 1 / (1 + math.exp(-bounded))
        self.updated_s = now_s


def _log_odds(probability: float) -> float:
    return math.log(probability / (1 - probability))
