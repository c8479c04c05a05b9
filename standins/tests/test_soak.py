"""Guards against hosts that together break a rule on retries, leaving instances or promises.

The long run is `python -m standins.soak --runs 50`.
"""

import asyncio

import pytest

from standins.soak import (
    FEW_INSTANCES,
    FEW_INSTANCES_WORK_S,
    SoakOptions,
    Topology,
    run_soak,
)

TOPOLOGY = Topology(hosts_per_zone=2)
DISTURBED = ("reject", "reset", "leave", "outage", "terminate", "kill", "suspend")
REFUSED_AGAIN = ("refuse", "copy", "restart")
ANSWERED_WRONGLY = ("fail", "repeat", "silent", "upload", "crash", "cut")


@pytest.mark.parametrize(("seed", "kinds"), [(1, ("reject", "leave", "reset")), (2, DISTURBED)])
def test_rules_are_kept_while_instances_hosts_and_store_are_disturbed(seed, kinds):
    options = SoakOptions(seed, 14.0, 2.0, kinds, TOPOLOGY)
    report = asyncio.run(run_soak(options))
    assert report.violations == ()
    assert report.rejections > 0
    assert report.statuses[200] > 0.5 * report.statuses.total()


def test_no_request_runs_that_was_answered_as_not_executed():
    options = SoakOptions(40, 14.0, 2.0, ANSWERED_WRONGLY, TOPOLOGY)
    report = asyncio.run(run_soak(options))
    assert report.violations == ()
    assert report.statuses[200] > 0.5 * report.statuses.total()


def test_no_request_runs_that_came_again_and_whose_earlier_refusal_was_written_again():
    """Callers keep their identifier, and instances start again at their address.

    With few instances it is more likely that the request comes again on the same connection.
    """
    topology = TOPOLOGY._replace(instances=FEW_INSTANCES, work_s=FEW_INSTANCES_WORK_S)
    report = asyncio.run(run_soak(SoakOptions(43, 14.0, 2.0, REFUSED_AGAIN, topology)))
    assert report.violations == ()
    assert report.statuses[503] > 0
    assert report.statuses[200] > 0.5 * report.statuses.total()
