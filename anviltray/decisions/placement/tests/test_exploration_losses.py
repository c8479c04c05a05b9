"""Guards against requests that are lost to explore instances that still reset most requests."""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import _placement
from anviltray.decisions.placement.tests.replay import ZoneSimulation
from anviltray.decisions.placement.tests.test_floor import windows_below_floor

SEEDS = range(5)


def replay(rate_s, count, hosts):
    """Returns the share of lost requests and the windows below the floor.

    No request of the service may be repeated, so nothing else explores.
    """
    lost = sent = windows = 0
    for seed in SEEDS:
        simulation = ZoneSimulation(seed, rate_s, count, 0.003, hosts, 3, 0.0)
        windows += len(windows_below_floor(simulation))
        sent += len(simulation.sends)
        lost += sum(outcome is ExchangeOutcome.BROKEN for _, _, outcome in simulation.sends)
    return lost / sent, windows


@pytest.mark.parametrize(("rate_s", "count", "hosts"), [(55.0, 13, 14), (18.0, 6, 6)])
def test_fewer_requests_are_lost_to_exploration(monkeypatch, rate_s, count, hosts):
    limited, windows = replay(rate_s, count, hosts)
    monkeypatch.setattr(_placement, "_MAX_LIMITED_UNSERVED_SHARE", -1.0)
    unlimited, unlimited_windows = replay(rate_s, count, hosts)
    assert limited < unlimited
    assert windows <= unlimited_windows
