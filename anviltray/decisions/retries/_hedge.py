"""Hedging: when a second attempt may start before the first has failed."""

from anviltray.declarations import RetryRule

# Ratio of the age of an attempt to the usual latency. With 4.4, at 50 % load and with one of 30
# instances stalled, 1 of 39,911 requests failed instead of 17 of 40,029, for 0.1 % more attempts;
# the 99th percentile did not change. A ratio of 2.6 causes 1.8 % more attempts.
HEDGE_RATIO = 4.4
HEDGE_MIN_S = 0.02  # Shorter delays are within the usual latency spread of fast services.


def hedge_delay_s(rule: RetryRule | None, usual_latency_s: float) -> float | None:
    """Returns the age of the first attempt at which a second may start, or None if it must not.

    Only requests whose rule allows hedging are hedged. The second attempt also requires the retry
    budget and `RequestAttempts.can_start`.
    """
    if rule is None or not rule.hedge or rule.attempts < 2:
        return None
    return max(HEDGE_MIN_S, HEDGE_RATIO * usual_latency_s)
