"""Guards against callers that are sent to hosts that are gone."""

import pytest

from anviltray.messages import HostBeacon, HostPlace
from anviltray.zone import HostTable
from anviltray.zone._hosts import ALIVE_S, ASK_INTERVAL_S

OWN = HostPlace("10.0.0.1", "suva")


def beacon(host="10.0.0.2", incarnation=1, sequence=1, zone="suva", state="ready"):
    return HostBeacon(
        host, incarnation, sequence, zone, f"{host}:80", state, True, 1, 1, 0.0, False
    )


@pytest.mark.parametrize(
    ("first", "second", "at_s", "result"),
    [
        (None, beacon(), 1.0, "new"),
        (beacon(), beacon(sequence=2), 1.0, "known"),
        (beacon(sequence=2), beacon(sequence=1), 1.0, "stale"),
        (beacon(), beacon(sequence=2), 1.0 + ALIVE_S, "new"),
        (beacon(sequence=9), beacon(incarnation=2, sequence=1), 1.0, "restarted"),
        (None, beacon(zone="labasa"), 1.0, "stale"),
        (None, beacon(host=OWN.address), 1.0, "stale"),
    ],
)
def test_beacons(first, second, at_s, result):
    table = HostTable(OWN)
    if first is not None:
        table.take(0.5, first)
    assert table.take(at_s, second) == result


def test_a_silent_host_is_removed_once_and_asked_now_and_then():
    table = HostTable(OWN)
    table.add([HostPlace("10.0.0.2", "suva"), HostPlace("10.0.0.9", "labasa"), OWN])
    table.take(0.0, beacon())
    assert [host.beacon.host for host in table.alive(ALIVE_S - 0.1)] == ["10.0.0.2"]
    assert table.alive(ALIVE_S) == ()
    assert table.take_silent(ALIVE_S) == ("10.0.0.2",)
    assert table.take_silent(ALIVE_S) == ()
    assert table.receivers(10.0) == ("10.0.0.2",)
    assert table.receivers(10.1) == ()
    assert table.receivers(10.0 + ASK_INTERVAL_S) == ("10.0.0.2",)
    assert len(table.places()) == 3
