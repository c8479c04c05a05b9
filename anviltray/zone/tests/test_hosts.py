"""Guards against a host table that lists lost hosts or accepts out-of-date beacons."""

import pytest

from anviltray.messages import HostBeacon, HostLocality
from anviltray.zone import HostTable
from anviltray.zone._hosts import HOST_TIMEOUT_S, PROBE_INTERVAL_S

OWN = HostLocality("10.0.0.1", "suva")


def beacon(host="10.0.0.2", incarnation=1, sequence=1, zone="suva", state="ready"):
    return HostBeacon(
        host, incarnation, sequence, zone, f"{host}:80", state, True, 1, 1, 0.0, False, 0, 0
    )


@pytest.mark.parametrize(
    ("first", "second", "at_s", "result"),
    [
        (None, beacon(), 1.0, "new"),
        (beacon(), beacon(sequence=2), 1.0, "known"),
        (beacon(sequence=2), beacon(sequence=1), 1.0, "stale"),
        (beacon(), beacon(sequence=2), 1.0 + HOST_TIMEOUT_S, "new"),
        # A standby host sends fewer beacons.
        (beacon(state="standby"), beacon(sequence=2), 1.0 + HOST_TIMEOUT_S, "known"),
        (beacon(state="standby"), beacon(sequence=2), 4.0, "new"),
        (beacon(sequence=9), beacon(incarnation=2, sequence=1), 1.0, "restarted"),
        (None, beacon(zone="labasa"), 1.0, "stale"),
        (None, beacon(host=OWN.address), 1.0, "stale"),
        (None, beacon(host="example.invalid"), 1.0, "stale"),
        (None, beacon()._replace(caller_address="10.0.0.2"), 1.0, "stale"),
        (None, beacon()._replace(caller_address="10.0.0.2:80\r\nx"), 1.0, "stale"),
    ],
)
def test_update_classifies_beacons(first, second, at_s, result):
    table = HostTable(OWN)
    if first is not None:
        table.update(0.5, first)
    assert table.update(at_s, second) == result


def test_lost_host_is_removed_once_and_probed_at_intervals():
    table = HostTable(OWN)
    table.add([HostLocality("10.0.0.2", "suva"), HostLocality("10.0.0.9", "labasa"), OWN])
    table.update(0.0, beacon())
    assert [host.beacon.host for host in table.alive(HOST_TIMEOUT_S - 0.1)] == ["10.0.0.2"]
    assert table.alive(HOST_TIMEOUT_S) == ()
    assert table.remove_expired(HOST_TIMEOUT_S) == ("10.0.0.2",)
    assert table.remove_expired(HOST_TIMEOUT_S) == ()
    assert table.beacon_targets(10.0) == ("10.0.0.2",)
    assert table.beacon_targets(10.1) == ()
    assert table.beacon_targets(10.0 + PROBE_INTERVAL_S) == ("10.0.0.2",)
    assert len(table.localities()) == 3
