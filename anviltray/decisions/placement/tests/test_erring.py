"""Guards against instances that answer with errors and so attract the requests of a zone.

Replays a recorded day: two of nine instances answer most requests with an error at once, which
leaves them with the fewest requests in flight; the others answer one request in 80 with one.
"""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement.tests.replay import Replay

ERRING = {"i-2": 0.95, "i-5": 0.6}
ERRING_S = (10.0, 16.0)
SOUND_ERROR_SHARE = 0.012
INSTANCES = 9
LEARNING_S = 1.0  # One second of the zone shows an instance four requests.


class ErringReplay(Replay):
    def outcome(self, now_s, key):
        share = SOUND_ERROR_SHARE
        if key in ERRING and ERRING_S[0] <= now_s < ERRING_S[1]:
            share = ERRING[key]
        if self.rng.random() < share:
            return ExchangeOutcome.SERVER_ERROR
        return super().outcome(now_s, key)

    def error_share(self, start_s, end_s):
        """Returns the share of requests that an instance answered with an error."""
        sent = [outcome for at_s, _, outcome in self.sends if start_s <= at_s < end_s]
        return sent.count(ExchangeOutcome.SERVER_ERROR) / len(sent)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("rate_s", [40.0, 80.0])
def test_few_requests_go_to_instances_that_err(seed, rate_s):
    replay = ErringReplay(seed, rate_s, INSTANCES)
    start_s, end_s = ERRING_S
    assert replay.error_share(start_s + LEARNING_S, end_s) <= 0.05
    # A sound instance that errs now and then stays in use.
    calm = [key for at_s, key, _ in replay.sends if at_s > end_s + 10]
    assert len(set(calm)) == INSTANCES
    assert replay.error_share(end_s + 10, 40.0) <= 0.02
