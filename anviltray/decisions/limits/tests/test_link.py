"""Guards against a link budget that starves important traffic or is exceeded."""

import pytest

from anviltray.decisions.limits import LinkBudget, TrafficClass


def drain(budget, traffic_class, size=10, now_s=0.0):
    taken = 0
    while taken < 2000 and budget.try_acquire(now_s, traffic_class, size):
        taken += size
    return taken


@pytest.mark.parametrize(
    ("traffic_class", "taken"),
    [(TrafficClass.OTHER, 600), (TrafficClass.UNREPEATABLE, 900), (TrafficClass.CONTROL, 2000)],
)
def test_reserves(traffic_class, taken):
    budget = LinkBudget(1000.0)
    assert drain(budget, traffic_class) == taken


def test_less_important_bytes_leave_room_for_more_important_ones():
    budget = LinkBudget(1000.0)
    assert drain(budget, TrafficClass.OTHER) == 600
    assert drain(budget, TrafficClass.UNREPEATABLE) == 300
    assert not budget.try_acquire(0.0, TrafficClass.OTHER, 1)


@pytest.mark.parametrize(("nodes", "per_second"), [(1, 1000), (4, 250), (48, 20)])
def test_share_follows_the_number_of_nodes(nodes, per_second):
    budget = LinkBudget(1000.0)
    budget.set_nodes(0.0, nodes)
    drain(budget, TrafficClass.UNREPEATABLE, 1)
    taken = sum(drain(budget, TrafficClass.UNREPEATABLE, 1, 1.0 + step / 10) for step in range(100))
    assert taken == pytest.approx(10.9 * 1000 / nodes, rel=0.1)


@pytest.mark.parametrize(("size", "passes"), [(600, True), (1500, True), (2001, False)])
def test_large_request_passes_only_from_a_full_bucket(size, passes):
    budget = LinkBudget(1000.0)
    assert budget.try_acquire(0.0, TrafficClass.OTHER, size) is passes
    if passes:
        assert not budget.try_acquire(0.0, TrafficClass.OTHER, size)


def test_usage_is_reported():
    budget = LinkBudget(1000.0)
    for step in range(300):
        budget.charge(step * 0.1, 20)
    assert budget.usage_bytes_s(30.0) == pytest.approx(200, rel=0.1)
