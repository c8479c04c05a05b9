"""Guards against zones in which no host or every host reads the store."""

import itertools

import pytest

from anviltray.decisions.following import (
    CONFIGURATION_READERS,
    READ_INTERVAL_S,
    StoreView,
    read_after_s,
    read_rank,
)
from anviltray.decisions.following._reader import FAILOVER_S

HOSTS = [f"10.0.0.{number}" for number in range(12)]
# Requests to a draining instance are allowed for this long.
DRAIN_S = 2.0


def ages(views):
    return sorted(read_after_s(read_rank(view.host, views)) for view in views)


@pytest.mark.parametrize("count", [1, 2, 12])
def test_one_host_reads_and_the_others_fail_over_one_by_one(count):
    read_ages_s = ages([StoreView(host, True) for host in HOSTS[:count]])
    assert read_ages_s[0] == READ_INTERVAL_S
    assert all(later - earlier > 0.05 for earlier, later in itertools.pairwise(read_ages_s))
    assert len(set(read_ages_s)) == count


@pytest.mark.parametrize("failed", range(12))
def test_a_host_that_does_not_reach_the_store_comes_last(failed):
    views = [StoreView(host, number != failed) for number, host in enumerate(HOSTS)]
    read_ages_s = {view.host: read_after_s(read_rank(view.host, views)) for view in views}
    assert max(read_ages_s, key=read_ages_s.get) == HOSTS[failed]
    assert min(read_ages_s.values()) == READ_INTERVAL_S


@pytest.mark.parametrize(("count", "reached"), [(1, 0), (2, 1), (12, 1), (12, 12)])
def test_few_hosts_wait_for_configurations(count, reached):
    views = [StoreView(host, number < reached) for number, host in enumerate(HOSTS[:count])]
    waiting = [view for view in views if read_rank(view.host, views) < CONFIGURATION_READERS]
    assert len(waiting) == min(reached, CONFIGURATION_READERS)
    assert all(view.reaches_store for view in waiting)


def test_failover_completes_within_the_drain_period():
    read_ages_s = ages([StoreView(host, True) for host in HOSTS])
    # The reader stops right after a read; the second host still reads and reports in time.
    assert read_ages_s[1] < DRAIN_S - 0.5


@pytest.mark.parametrize("reached", [0, 1, 2, 6])
def test_hosts_that_do_not_reach_the_store_fail_over_one_by_one_too(reached):
    read_ages_s = ages([StoreView(host, number < reached) for number, host in enumerate(HOSTS)])
    assert all(later - earlier > 0.05 for earlier, later in itertools.pairwise(read_ages_s))
    # If all hosts that reach the store are lost at once, the next one still reads in time.
    assert READ_INTERVAL_S < read_ages_s[reached] < DRAIN_S - 0.25
    # No host reads later than one place after all others for each reader of configurations.
    assert read_ages_s[-1] <= read_after_s(len(HOSTS) - 1 + CONFIGURATION_READERS)


@pytest.mark.parametrize(
    ("read_age_s", "overdue", "rank"),
    [
        (READ_INTERVAL_S, 10, 10),
        (READ_INTERVAL_S + FAILOVER_S, 10, 0),
        (READ_INTERVAL_S + FAILOVER_S, 3, 7),
        (READ_INTERVAL_S + FAILOVER_S, 0, 10),
    ],
)
def test_hosts_that_seem_lost_do_not_keep_the_others_from_reading(read_age_s, overdue, rank):
    order = sorted(
        HOSTS, key=lambda host: read_rank(host, [StoreView(each, True) for each in HOSTS])
    )
    views = [StoreView(host, True, number < overdue) for number, host in enumerate(order)]
    assert read_rank(order[10], views, read_age_s) == rank
