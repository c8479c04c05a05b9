"""Guards against a choice of serving hosts that is too small, unstable or differs between hosts."""

import pytest

from anviltray.decisions.entry import (
    MIN_SERVING_HOSTS,
    REQUESTS_PER_HOST_S,
    RESERVE_HOSTS,
    ServingHosts,
)

HOSTS = [f"10.1.0.{number}:8144" for number in range(40)]


def choose(hosts, rate_s, now_s=0.0, serving=None):
    return (serving or ServingHosts()).choose(now_s, hosts, rate_s)


@pytest.mark.parametrize(
    ("hosts", "rate_s", "expected"),
    [
        (0, 0.0, 0),
        (1, 0.0, 1),
        (MIN_SERVING_HOSTS + 5, 0.0, MIN_SERVING_HOSTS),
        (40, REQUESTS_PER_HOST_S * 10, 10),
        (40, REQUESTS_PER_HOST_S * 10 + 1, 11),
        (40, REQUESTS_PER_HOST_S * 1000, 40),
    ],
)
def test_the_number_follows_the_request_rate(hosts, rate_s, expected):
    assert len(set(choose(HOSTS[:hosts], rate_s))) == expected


@pytest.mark.parametrize("rate_s", [10.0, 100.0, 200.0])
def test_all_hosts_choose_the_same_whatever_the_order(rate_s):
    assert choose(HOSTS, rate_s) == choose(HOSTS[::-1], rate_s)


@pytest.mark.parametrize("removed", range(0, 40, 7))
def test_one_host_more_or_less_changes_at_most_one_serving_host(removed):
    before = set(choose(HOSTS, 80.0))
    after = set(choose(HOSTS[:removed] + HOSTS[removed + 1 :], 80.0))
    assert len(after - before) <= 1
    assert before - after <= {HOSTS[removed]}


@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        # A burst counts at once.
        ([(0.0, 80.0), (1.0, 240.0)], 30),
        # A pause between two bursts moves no callers.
        ([(0.0, 240.0), (1.0, 10.0), (9.0, 10.0)], 30),
        ([(0.0, 240.0), (1.0, 10.0), (9.0, 240.0), (12.0, 10.0)], 30),
        ([(0.0, 240.0), (1.0, 10.0), (11.0, 10.0)], MIN_SERVING_HOSTS),
        # Neither does a rate that falls a little.
        ([(0.0, 240.0), (1.0, 130.0), (60.0, 130.0)], 30),
    ],
)
def test_the_number_rises_at_once_and_falls_late(rates, expected):
    serving = ServingHosts()
    for now_s, rate_s in rates:
        chosen = choose(HOSTS, rate_s, now_s, serving)
    assert len(chosen) == expected


def test_the_reserve_follows_the_serving_hosts():
    serving = choose(HOSTS, 80.0)
    with_reserve = ServingHosts().choose(0.0, HOSTS, 80.0, RESERVE_HOSTS)
    assert with_reserve[: len(serving)] == serving
    assert len(with_reserve) == len(serving) + RESERVE_HOSTS
    # Whichever serving host fails, the one that takes its place was in the reserve.
    for failed in serving:
        assert set(choose([host for host in HOSTS if host != failed], 80.0)) <= set(with_reserve)
