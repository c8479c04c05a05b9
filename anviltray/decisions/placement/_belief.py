"""The probability that an instance is in a faulty phase."""

import math
from typing import NamedTuple

_LOG_ODDS_LIMIT = 6.0  # Bounds a belief, so that a change is noticed after few requests.


class PhaseModel(NamedTuple):
    """Two states that an instance changes between at random."""

    faulty_s: float  # Mean time in the faulty state.
    sound_s: float  # Mean time in the sound state.

    @property
    def faulty_share(self) -> float:
        """Share of time in the faulty state, which is believed without evidence."""
        return self.faulty_s / (self.faulty_s + self.sound_s)

    @property
    def relaxation_s(self) -> float:
        """Time after which a belief without news has lost most of its weight."""
        return 1 / (1 / self.faulty_s + 1 / self.sound_s)


class PhaseBelief:
    """Belief that an instance is in the faulty state of a model.

    Evidence is a log-likelihood ratio of faulty against sound, so that evidence of several hosts
    adds up. Example: with a faulty share of a half, `learn(now_s, math.log(3))` leads to a
    probability of 0.75, which moves back to 0.5 with time.
    """

    __slots__ = ("_log_odds", "_model", "updated_s")

    def __init__(self, model: PhaseModel) -> None:
        self._model = model
        share = model.faulty_share
        self._log_odds = math.log(share / (1 - share))
        self.updated_s = float("-inf")  # Newest evidence.

    def probability(self, now_s: float) -> float:
        """Returns the probability of the faulty state."""
        share = self._model.faulty_share
        believed = 1 / (1 + math.exp(-self._log_odds))
        kept = math.exp(-max(0.0, now_s - self.updated_s) / self._model.relaxation_s)
        return share + (believed - share) * kept

    def learn(self, now_s: float, log_likelihood_ratio: float) -> None:
        """Adds evidence; above 0 it speaks for the faulty state."""
        self._set(now_s, _log_odds(self.probability(now_s)) + log_likelihood_ratio)

    def adopt(self, now_s: float, probability: float) -> None:
        """Takes a probability from elsewhere; a number that is none changes nothing."""
        if 0 < probability < 1:
            self._set(now_s, _log_odds(probability))

    def _set(self, now_s: float, log_odds: float) -> None:
        self._log_odds = max(-_LOG_ODDS_LIMIT, min(_LOG_ODDS_LIMIT, log_odds))
        self.updated_s = now_s


def _log_odds(probability: float) -> float:
    return math.log(probability / (1 - probability))
