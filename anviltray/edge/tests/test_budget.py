"""Guards against a fleet whose hosts together exceed the retry budget of the platform.

Replays bursts of requests that all would be retried once.
"""

import asyncio
import math
import random
from bisect import bisect_left
from types import SimpleNamespace

import pytest

from anviltray.edge._state import EdgeState
from anviltray.platform import load_host_settings
from anviltray.platform.tests.test_host_settings import TEXT

HOSTS = 48
WINDOW_S = 10.0
SHARE, SLACK = 0.2, 64


def in_window(times, start_s):
    return bisect_left(times, start_s + WINDOW_S) - bisect_left(times, start_s)


def burst_rate(now_s, base_rate, burst_factor):
    return base_rate * (burst_factor if 15 <= now_s < 18 else 1.0)


def load_settings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(TEXT)
    return load_host_settings(path)


def start_fleet(settings, rng, *, slack_enabled=False):
    async def create_states():
        upstreams = SimpleNamespace(set_node_count=lambda *counts: None)
        return [EdgeState(settings, upstreams, rng) for _ in range(HOSTS)]

    states = asyncio.run(create_states())
    for state in states:
        state.set_fleet_size(HOSTS)
        if slack_enabled:
            state.enable_slack()
    return states


def assert_within_budget(settings, rate, restart_interval_s=math.inf):
    """Replays 40 s in which each request is to be retried once, at `rate(now_s)` requests/s."""
    rng = random.Random(1)
    states = start_fleet(settings, rng, slack_enabled=True)
    requests, retries = [], []
    now_s, restart_s = 0.0, restart_interval_s
    while now_s < 40.0:
        now_s += rng.expovariate(rate(now_s))
        if now_s >= restart_s:
            restart_s += restart_interval_s
            states = start_fleet(settings, rng)
        budget = rng.choice(states).retry_budget("keeper")
        budget.record_request(now_s)
        requests.append(now_s)
        if budget.try_acquire(now_s):
            retries.append(now_s)
    for step in range(0, 300):
        start_s = step / 10
        counted = max(in_window(requests, start_s - back_s) for back_s in (0.0, 5.0, 10.0))
        assert in_window(retries, start_s) <= SHARE * counted + SLACK


@pytest.mark.parametrize("base_rate", [5.0, 60.0, 250.0])
@pytest.mark.parametrize("burst_factor", [1.0, 1.9, 6.0])
def test_fleet_stays_within_retry_budget_during_bursts(tmp_path, base_rate, burst_factor):
    settings = load_settings(tmp_path)
    assert_within_budget(settings, lambda now_s: burst_rate(now_s, base_rate, burst_factor))


@pytest.mark.parametrize("base_rate", [5.0, 60.0, 250.0])
@pytest.mark.parametrize("restart_interval_s", [2.0, 4.0, 9.0])
def test_restarting_fleet_stays_within_retry_budget(tmp_path, base_rate, restart_interval_s):
    """A restarted process does not know how much retry slack its predecessor has spent."""
    settings = load_settings(tmp_path)
    assert_within_budget(settings, lambda now_s: base_rate, restart_interval_s)
