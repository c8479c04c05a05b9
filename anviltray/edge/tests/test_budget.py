"""Guards against a fleet that sends more repeats than all its hosts together may.

Replays a burst: the rate of requests rises and falls, and every request would be sent once more.
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


def rate_s(now_s, calm_s, burst):
    return calm_s * (burst if 15 <= now_s < 18 else 1.0)


def load_settings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(TEXT)
    return load_host_settings(path)


def start_fleet(settings, rng, *, granted=False):
    async def make():
        upstreams = SimpleNamespace(set_nodes=lambda *counts: None)
        return [EdgeState(settings, upstreams, rng) for _ in range(HOSTS)]

    states = asyncio.run(make())
    for state in states:
        state.set_fleet_size(HOSTS)
        if granted:
            state.grant_slack()
    return states


def assert_within_budget(settings, rate, restart_interval_s=math.inf):
    """Replays 40 s in which each request would be sent once more; `rate(now_s)` is per second."""
    rng = random.Random(1)
    states = start_fleet(settings, rng, granted=True)
    requests, repeats = [], []
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
            repeats.append(now_s)
    for step in range(0, 300):
        start_s = step / 10
        counted = max(in_window(requests, start_s - back_s) for back_s in (0.0, 5.0, 10.0))
        assert in_window(repeats, start_s) <= SHARE * counted + SLACK


@pytest.mark.parametrize("calm_s", [5.0, 60.0, 250.0])
@pytest.mark.parametrize("burst", [1.0, 1.9, 6.0])
def test_repeats_of_the_fleet(tmp_path, calm_s, burst):
    settings = load_settings(tmp_path)
    assert_within_budget(settings, lambda now_s: rate_s(now_s, calm_s, burst))


@pytest.mark.parametrize("calm_s", [5.0, 60.0, 250.0])
@pytest.mark.parametrize("restart_interval_s", [2.0, 4.0, 9.0])
def test_repeats_of_a_fleet_that_restarts(tmp_path, calm_s, restart_interval_s):
    """A new process does not know what its predecessor has spent of the slack."""
    settings = load_settings(tmp_path)
    assert_within_budget(settings, lambda now_s: calm_s, restart_interval_s)
