"""Guards against instances that return errors quickly and thereby attract the load of a zone.

Two of nine instances fail most requests immediately, which leaves them with the fewest requests in
flight; the others fail one request in 80.
"""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement.tests.replay import ZoneSimulation

ERRING = {"i-2": 0.95, "i-5": 0.6}
ERRING_S = (10.0, 16.0)
HEALTHY_ERROR_SHARE = 0.012
INSTANCES = 9
DETECTION_S = 1.0  # An instance gets four requests from the zone in one second.


class ErringSimulation(ZoneSimulation):
    def outcome(self, now_s, key):
        share = HEALTHY_ERROR_SHARE
        if key in ERRING and ERRING_S[0] <= now_s < ERRING_S[1]:
            share = ERRING[key]
        if self.rng.random() < share:
            return ExchangeOutcome.SERVER_ERROR
        return super().outcome(now_s, key)

    def error_share(self, start_s, end_s):
        """Returns the share of requests sent in an interval that failed with a server error."""
        sent = [outcome for at_s, _, outcome in self.sends if start_s <= at_s < end_s]
        return sent.count(ExchangeOutcome.SERVER_ERROR) / len(sent)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("rate_s", [40.0, 80.0])
def test_few_requests_are_sent_to_instances_that_return_errors(seed, rate_s):
    simulation = ErringSimulation(seed, rate_s, INSTANCES)
    start_s, end_s = ERRING_S
    assert simulation.error_share(start_s + DETECTION_S, end_s) <= 0.05
    # A healthy instance with occasional errors stays in use.
    used_later = [key for at_s, key, _ in simulation.sends if at_s > end_s + 10]
    assert len(set(used_later)) == INSTANCES
    assert simulation.error_share(end_s + 10, 40.0) <= 0.02
