"""Guards against retries of unrepeatable requests and against retry storms."""

import pytest

from anviltray.decisions.retries import RetryBudget, hedge_delay_s, rule_for
from anviltray.declarations import RetryRule, Service

READS = RetryRule(("GET", "HEAD"), "/levels", 2, False)
HISTORY_READS = RetryRule(("GET",), "/levels/history/", 4, True)
SERVICE = Service("s", (), (), 0, 0.5, "balanced", 0.999, 1000.0, (READS, HISTORY_READS))


@pytest.mark.parametrize(
    ("method", "path", "rule"),
    [
        ("GET", "/levels", READS),
        ("GET", "/levels?x=/../orders", READS),
        ("HEAD", "/levels/7", READS),
        ("GET", "/levels/history", HISTORY_READS),
        ("GET", "/levels/history/7", HISTORY_READS),
        ("HEAD", "/levels/history/7", READS),
        ("POST", "/levels", None),
        ("get", "/levels", None),
    ],
)
def test_rule_for(method, path, rule):
    assert rule_for(SERVICE, method, path) == rule


def test_root_prefix_matches_every_path():
    rule = RetryRule(("GET",), "/", 2, False)
    assert rule_for(SERVICE._replace(retry_rules=(rule,)), "GET", "/a") == rule


AMBIGUOUS = "/levels/../orders /levels/..;a/orders /levels/%2E%2e/orders /levels/..%2forders"
AMBIGUOUS += r" /levels/%252e%252e/orders /levels\..\orders //levels"


@pytest.mark.parametrize("path", ["", "/levelsx", "/orders", *AMBIGUOUS.split()])
def test_paths_without_a_rule(path):
    """Guards against ambiguous paths that an upstream may read as an unrepeatable request."""
    assert rule_for(SERVICE, "GET", path) is None


@pytest.mark.parametrize(
    ("requests", "allowed"), [(0, 1), (1, 1), (19, 1), (20, 2), (100, 10), (1005, 100)]
)
def test_share_of_a_window(requests, allowed):
    budget = RetryBudget()
    for number in range(requests):
        budget.record_request(number * 9.0 / requests)
    assert [budget.try_acquire(9.0) for _ in range(requests + 2)].count(True) == allowed


def test_budget_slides():
    budget = RetryBudget()
    assert budget.try_acquire(0.0) and not budget.try_acquire(9.9) and budget.try_acquire(10.0)
    assert not budget.try_acquire(11.0) and budget.try_acquire(1000.0)


def test_no_retry_if_another_layer_retries():
    budget = RetryBudget()
    assert not budget.try_acquire(0.0, retries_elsewhere=True)
    assert budget.try_acquire(0.0)


@pytest.mark.parametrize(
    ("rule", "usual_s", "delay_s"),
    [
        (None, 0.1, None),
        (READS, 0.1, None),
        (HISTORY_READS, 0.1, 0.44),
        (HISTORY_READS, 0.001, 0.02),
    ],
)
def test_only_rules_that_allow_it_are_hedged(rule, usual_s, delay_s):
    assert hedge_delay_s(rule, usual_s) == (delay_s and pytest.approx(delay_s))
