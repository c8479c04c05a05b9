"""Replays instances that accept requests and do not respond, with and without second attempts."""

import math
import random
from statistics import NormalDist

import pytest

from anviltray.decisions.retries import ResponseTimeModel, ResponseTimes, hedge_rules

TARGET_S, DEADLINE_S, MEDIAN_S, SPREAD = 1.0, 2.5, 0.32, 0.45
STALLED_SHARE = 0.05  # Of the attempts; one of 20 instances stalls at any time.


@pytest.mark.parametrize("share", [0.3, 0.05, 0.01])
def test_quantiles_are_those_of_the_log_normal_distribution(share):
    expected_s = MEDIAN_S * math.exp(SPREAD * NormalDist().inv_cdf(1 - share))
    model = ResponseTimeModel(math.log(MEDIAN_S), SPREAD)
    assert model.exceeded_after_s(share) == pytest.approx(expected_s, rel=0.005)


@pytest.mark.parametrize("rule", sorted(hedge_rules))
@pytest.mark.parametrize("median_s", [0.01, 0.3, 5.0])
def test_delay_follows_the_response_times_of_the_route(rule, median_s):
    rng = random.Random(1)
    times = ResponseTimes(rule)
    for _ in range(50):
        times.record("level", TARGET_S, rng.lognormvariate(math.log(median_s), SPREAD))
    assert 1.3 < times.hedge_delay_s("level", TARGET_S, 0.01) / median_s < 4.0
    times.keep_only(frozenset())
    assert times.model("level", TARGET_S).responses == 0


def test_suspected_instance_is_given_less_time():
    times = ResponseTimes("belief")
    delays_s = [times.hedge_delay_s("level", TARGET_S, p) for p in (0.0, 0.01, 0.05, 0.3, 1.0)]
    assert delays_s == sorted(delays_s, reverse=True)
    assert delays_s[0] > 1.5 * delays_s[-1]


class Replay:
    """Requests of one host; a suspicion marks most attempts at stalled instances."""

    def __init__(self, rule, seed, count=4000):
        rng = random.Random(seed)
        times = ResponseTimes(rule) if rule else None
        self.extra = self.served = self.in_time = 0
        for _ in range(count):
            stalled = rng.random() < STALLED_SHARE
            suspicion = 0.2 if rng.random() < (0.5 if stalled else 0.02) else 0.01
            response_s = rng.lognormvariate(math.log(MEDIAN_S), SPREAD)
            first_s = math.inf if stalled else response_s
            end_s = first_s
            if times is not None:
                delay_s = times.hedge_delay_s("level", TARGET_S, suspicion)
                if first_s > delay_s:
                    self.extra += 1
                    second_s = delay_s + rng.lognormvariate(math.log(MEDIAN_S), SPREAD)
                    end_s = min(first_s, second_s)
                    times.record("level", TARGET_S, end_s)
                else:
                    times.record("level", TARGET_S, first_s)
            self.served += end_s < DEADLINE_S
            self.in_time += end_s < TARGET_S
        self.extra_share = self.extra / count
        self.failed_share = 1 - self.served / count
        self.in_time_share = self.in_time / count


@pytest.mark.parametrize("seed", range(3))
def test_stalled_instances_fail_few_requests_for_few_second_attempts(seed):
    without, quantile, belief = (Replay(rule, seed) for rule in (None, "quantile", "belief"))
    assert without.failed_share > 0.04
    for hedged in (quantile, belief):
        assert hedged.failed_share < 0.01
        assert hedged.in_time_share > without.in_time_share + 0.01
        assert hedged.extra_share < 0.16  # The budget of the platform, less its reserve.
    assert belief.in_time_share > quantile.in_time_share - 0.005
    assert belief.extra_share < quantile.extra_share + 0.02
