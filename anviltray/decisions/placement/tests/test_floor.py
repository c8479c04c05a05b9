"""Guards against healthy instances that get no requests while requests of the service are shed.

Simulates an overloaded zone whose instances have unhealthy phases and whose requests are not
retryable. In a large zone each host serves few requests of the service, and at the start of the
traffic nothing is known about the instances.
"""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement.tests.replay import FAULT_S, ZoneSimulation, is_healthy_from
from anviltray.decisions.placement.tests.test_placement import DURATION_S, Host, instance, request

# A service must use at least this share of its healthy instances in every window in which the share
# of unserved requests lies between the bounds.
FLOOR_SHARE = 0.7
WINDOW_S = 2.0
UNSERVED_BOUNDS = (0.1, 0.5)


# Faults with errors, in which three of eight instances fail most requests; an instance counts as
# healthy six seconds after the end of its fault.
ERRING = frozenset({"i-1", "i-2", "i-3"})
ERRING_S = ((5.0, 10.0), (20.0, 24.0))
ERROR_SHARE = 0.9
RECOVERY_S = 6.0


class ErringFaults(ZoneSimulation):
    """Adds faults with errors to the unhealthy phases."""

    def outcome(self, now_s, key):
        erring = any(start_s <= now_s < end_s for start_s, end_s in ERRING_S)
        if key in ERRING and erring and self.rng.random() < ERROR_SHARE:
            return ExchangeOutcome.SERVER_ERROR
        return super().outcome(now_s, key)


def has_recovered(key, start_s):
    """Returns whether no fault of an instance ends up to `RECOVERY_S` before the window."""
    return key not in ERRING or not any(
        fault_start_s < start_s + WINDOW_S and start_s < fault_end_s + RECOVERY_S
        for fault_start_s, fault_end_s in ERRING_S
    )


def windows_below_floor(simulation, recovered=lambda key, start_s: True):
    """Returns the starts of the windows in which too few healthy instances get requests."""
    starts_s = []
    for step in range(int(DURATION_S - WINDOW_S) * 10):
        start_s = step / 10
        served_in_window = [
            served for at_s, served in simulation.arrivals if 0 <= at_s - start_s < WINDOW_S
        ]
        unserved = served_in_window.count(False) / max(1, len(served_in_window))
        healthy = {
            key
            for key, phases in simulation.phases.items()
            if is_healthy_from(phases, start_s - 2.0)
        }
        healthy = {
            key
            for key in healthy
            if is_healthy_from(simulation.phases[key], start_s + WINDOW_S)
            and recovered(key, start_s)
        }
        used = {
            key for at_s, key, _ in simulation.sends if 0 <= at_s - start_s < WINDOW_S
        } & healthy
        low, high = UNSERVED_BOUNDS
        if low < unserved < high and 0 < len(used) < FLOOR_SHARE * len(healthy):
            starts_s.append(start_s)
    return starts_s


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("rate_s", "count", "lost_share", "hosts", "slots", "idempotent"),
    [
        (150.0, 8, 0.0, 12, 6, 0.0),  # Above the capacity of the healthy instances.
        (220.0, 8, 0.0, 12, 6, 0.0),  # A burst.
        (40.0, 8, 0.15, 12, 6, 0.0),  # Healthy instances lose some responses.
        (40.0, 8, 0.15, 24, 6, 0.0),
        (37.0, 9, 0.1, 24, 3, 0.0),
        (37.0, 9, 0.1, 48, 3, 0.0),
        # Many instances with few requests each.
        (55.0, 26, 0.08, 14, 3, 0.0),
        # Few hosts serve the zone, and minor routes have idempotent requests.
        (37.0, 9, 0.1, 5, 3, 0.0),
        (37.0, 9, 0.1, 5, 3, 0.03),
        (40.0, 8, 0.15, 7, 4, 0.05),
        (40.0, 8, 0.15, 7, 4, 0.12),
        (40.0, 8, 0.15, 7, 4, 0.2),
        (40.0, 8, 0.15, 7, 4, 0.4),
    ],
)
def test_healthy_instances_keep_getting_requests(
    seed, rate_s, count, lost_share, hosts, slots, idempotent
):
    simulation = ZoneSimulation(seed, rate_s, count, lost_share, hosts, slots, idempotent)
    assert windows_below_floor(simulation) == []


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("idempotent", [0.0, 0.2])
def test_instances_get_requests_again_after_an_error_phase(seed, idempotent):
    simulation = ErringFaults(seed, 40.0, 8, 0.15, 7, 4, idempotent)
    assert windows_below_floor(simulation, has_recovered) == []


@pytest.mark.parametrize("seed", range(3))
def test_hosts_that_know_nothing_start_with_different_instances(seed):
    instances = [instance(number) for number in range(9)]
    first = request()._replace(unrepeatable=True, first_attempt=True)
    chosen = {
        Host(seed * 100 + number).choose(0.0, first, instances).instance.id for number in range(23)
    }
    assert len(chosen) >= FLOOR_SHARE * len(instances)


@pytest.mark.parametrize(
    ("resets", "accepted", "explored_after_s"),
    [
        (1, False, 1.3),  # Perhaps the lost response of a healthy instance.
        (2, False, 1.7),
        (5, False, 1.7),
        (5, True, 1.3),
    ],
)
def test_instance_with_resets_in_a_row_is_explored_later(resets, accepted, explored_after_s):
    def explores(after_s):
        host = Host()
        for _ in range(resets):
            host.tracker.on_request_started(10.0, "i-0")
            host.tracker.on_request_ended(10.0, "i-0", "s", ExchangeOutcome.BROKEN, FAULT_S)
        if accepted:
            host.tracker.on_request_accepted(10.0, "i-0")
        # The other instance has free slots and recent evidence.
        host.tracker.on_request_accepted(10.0 + after_s, "i-1")
        first = request()._replace(unrepeatable=True, first_attempt=True, unserved_share=0.2)
        instances = [instance(0), instance(1)]
        # Half of the requests to a degraded service explore.
        placed = [host.choose(10.0 + after_s, first, instances) for _ in range(20)]
        return any(item.explores and item.instance.id == "i-0" for item in placed)

    assert not explores(explored_after_s - 0.1)
    assert explores(explored_after_s + 0.1)
