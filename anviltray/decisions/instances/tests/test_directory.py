"""Guards against requests to removed instances and the loss of instances during store outages."""

import pytest

from anviltray.decisions.instances import Departure, InstanceDirectory
from anviltray.decisions.instances._directory import COPIED_HOLD_S, RENEWAL_GRACE_S
from anviltray.declarations import Instance

ONE = Instance("i-1", 1000, "keeper", "10.0.0.1:80", "viti-suva", "v1", 6, False, 0.0)
TWO = ONE._replace(id="i-2", address="10.0.0.2:80")


def make_directory(*instances):
    directory = InstanceDirectory()
    for instance in instances:
        directory.register(0.0, instance)
    return directory


def usable_ids(directory):
    return [instance.id for instance in directory.usable("keeper")]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([("register", TWO._replace(draining=True))], ["i-1"]),
        ([("deregister", "i-2")], ["i-1"]),
        ([("deregister", "unknown")], ["i-1", "i-2"]),
        ([("register", TWO._replace(service="supply"))], ["i-1"]),
        # A stale record does not reactivate a draining instance, but a restart does.
        ([("register", TWO._replace(draining=True)), ("register", TWO)], ["i-1"]),
        (
            [
                ("register", TWO._replace(draining=True)),
                ("register", TWO._replace(started_unix_ms=2000)),
            ],
            ["i-1", "i-2"],
        ),
        # A stale record that arrives after the removal does not reactivate it either.
        (
            [("register", TWO._replace(draining=True)), ("deregister", "i-2"), ("register", TWO)],
            ["i-1"],
        ),
        (
            [
                ("register", TWO._replace(draining=True)),
                ("deregister", "i-2"),
                ("register", TWO._replace(started_unix_ms=2000)),
            ],
            ["i-1", "i-2"],
        ),
        # An instance that was disconnected registers again.
        ([("deregister", "i-2"), ("register", TWO)], ["i-1", "i-2"]),
        # A record of an earlier start does not replace that of a later one.
        (
            [
                ("register", TWO._replace(started_unix_ms=2000, draining=True)),
                ("register", TWO),
            ],
            ["i-1"],
        ),
        # Another instance has the address until the registration changes.
        ([("misdirected", TWO)], ["i-1"]),
        ([("misdirected", TWO), ("register", TWO)], ["i-1"]),
        ([("misdirected", TWO), ("register", TWO._replace(address="10.0.0.3:80"))], ["i-1", "i-2"]),
        # What an instance says of itself in a response holds against records of the same start.
        ([("leaving", TWO)], ["i-1"]),
        ([("leaving", TWO), ("register", TWO)], ["i-1"]),
        ([("leaving", TWO), ("register", TWO._replace(warmup_s=1.0))], ["i-1"]),
        ([("leaving", TWO), ("deregister", "i-2"), ("register", TWO)], ["i-1"]),
        ([("deregister", "i-2"), ("leaving", TWO), ("register", TWO)], ["i-1"]),
        ([("leaving", TWO), ("register", TWO._replace(started_unix_ms=2000))], ["i-1", "i-2"]),
        (
            [
                ("deregister", "i-2"),
                ("leaving", TWO),
                ("register", TWO._replace(started_unix_ms=2000)),
            ],
            ["i-1", "i-2"],
        ),
        # A late response of an earlier start says nothing about the present one.
        (
            [("register", TWO._replace(started_unix_ms=2000)), ("leaving", TWO)],
            ["i-1", "i-2"],
        ),
    ],
)
def test_usable(steps, expected):
    directory = make_directory(ONE, TWO)
    assert usable_ids(directory) == ["i-1", "i-2"]
    for name, value in steps:
        if name == "misdirected":
            directory.mark_misdirected(value)
        elif name == "leaving":
            directory.mark_leaving(1.0, value)
        else:
            getattr(directory, name)(1.0, value)
    assert usable_ids(directory) == expected


@pytest.mark.parametrize(
    ("events", "kept_until_s"),
    [
        # Without an outage a removal takes effect immediately.
        ([(10.0, "remove")], 10.0),
        # During an outage the registration is kept until the renewal is overdue.
        ([(10.0, "outage"), (11.0, "remove"), (20.0, "recovery")], 20.0 + RENEWAL_GRACE_S),
        # The first read after the outage shows what expired during the outage.
        ([(10.0, "outage"), (20.0, "recovery"), (20.0, "remove")], 20.0 + RENEWAL_GRACE_S),
        # Later removals take effect immediately.
        ([(10.0, "outage"), (20.0, "recovery"), (24.0, "remove")], 24.0),
        # An instance that was draining before the outage is not kept.
        ([(9.0, "drain"), (10.0, "outage"), (11.0, "remove")], 9.0),
        # A renewed registration is kept.
        (
            [(10.0, "outage"), (11.0, "remove"), (20.0, "recovery"), (21.0, "renew")],
            float("inf"),
        ),
    ],
)
def test_expired_registrations(events, kept_until_s):
    directory = make_directory(ONE)
    times = sorted(
        {at_s for at_s, _ in events} | {at_s + 0.5 * n for at_s, _ in events for n in range(20)}
    )
    for now_s in times:
        for at_s, event in events:
            if at_s != now_s:
                continue
            if event == "outage":
                directory.on_store_lost()
            elif event == "recovery":
                directory.on_store_recovered(now_s)
            elif event == "remove":
                directory.deregister(now_s, "i-1")
            elif event == "drain":
                directory.register(now_s, ONE._replace(draining=True))
            else:
                directory.register(now_s, ONE)
        directory.expire(now_s)
        assert bool(usable_ids(directory)) == (now_s < kept_until_s), now_s


DRAINING = TWO._replace(draining=True)
LATER = TWO._replace(started_unix_ms=2000)
HELD_UNTIL_S = 10.0 + COPIED_HOLD_S


@pytest.mark.parametrize(
    ("before", "copied", "usable_from_s"),
    [
        ([("deregister", "i-2")], TWO, HELD_UNTIL_S),
        ([("deregister", "i-2")], LATER, 10.0),
        ([], TWO, 10.0),
        ([("register", DRAINING)], TWO, float("inf")),
        ([("register", DRAINING), ("deregister", "i-2")], TWO, float("inf")),
        ([("register", DRAINING), ("deregister", "i-2")], LATER, 10.0),
        # It lapsed and returned before the store went back.
        ([("deregister", "i-2"), ("register", TWO)], TWO, 10.0),
        # Without a start in the record, one start looks like another.
        (
            [
                ("register", TWO._replace(started_unix_ms=0, id="i-3")),
                ("deregister", "i-3"),
            ],
            TWO._replace(started_unix_ms=0, id="i-3"),
            HELD_UNTIL_S,
        ),
        # Another instance has the address by now.
        (
            [("deregister", "i-2"), ("register", LATER._replace(id="i-4"))],
            TWO._replace(id="i-5"),
            HELD_UNTIL_S,
        ),
    ],
)
def test_copied_record_of_an_instance_that_has_left_is_held_back(before, copied, usable_from_s):
    directory = make_directory(ONE, TWO)
    for name, value in before:
        getattr(directory, name)(9.0, value)
    if copied.id not in directory.hold_copies(10.0, [copied]):
        directory.register(10.0, copied)
    for now_s in (10.0, HELD_UNTIL_S - 0.1, HELD_UNTIL_S):
        directory.expire(now_s)
        assert (copied.id in usable_ids(directory)) == (now_s >= usable_from_s), now_s


@pytest.mark.parametrize(
    ("name", "value", "usable"),
    [
        ("register", TWO, True),
        ("register", DRAINING, False),
        ("deregister", "i-2", False),
        ("add_departures", {"i-2": Departure(1000, 9.0, True)}, False),
    ],
)
def test_what_the_store_says_later_ends_the_hold(name, value, usable):
    directory = make_directory(ONE, TWO)
    directory.deregister(9.0, "i-2")
    assert directory.hold_copies(10.0, [TWO]) == {"i-2"}
    getattr(directory, name)(11.0, value)
    directory.expire(HELD_UNTIL_S)
    assert ("i-2" in usable_ids(directory)) == usable


@pytest.mark.parametrize(
    ("departure", "usable"),
    [
        (Departure(1000, 9.0, False), False),
        (Departure(1000, 9.0, True), False),
        (Departure(999, 9.0, True), True),
    ],
)
def test_departure_that_a_peer_has_seen_holds_here(departure, usable):
    directory = make_directory(ONE, TWO)
    directory.add_departures(10.0, {"i-2": departure})
    assert ("i-2" in usable_ids(directory)) == usable


def test_renewal_is_not_overdue_before_a_read_would_have_shown_it():
    directory = make_directory(ONE)
    directory.on_store_went_back(10.0)
    directory.deregister(10.5, "i-1")
    due_s = 10.0 + RENEWAL_GRACE_S
    assert directory.expire(due_s, last_read_s=11.5) == ()
    assert directory.expire(due_s, last_read_s=due_s) == ("i-1",)


def test_replace_all_removes_instances_that_are_not_listed():
    directory = make_directory(ONE, TWO)
    directory.replace_all(1.0, [TWO])
    assert usable_ids(directory) == ["i-2"]


def test_an_instance_warms_up_after_each_start():
    directory = make_directory()
    directory.register(5.0, ONE._replace(warmup_s=3.0))
    directory.register(6.0, ONE._replace(warmup_s=2.0))
    assert directory.is_warming(7.9, "i-1")
    assert not directory.is_warming(8.0, "i-1")
    directory.register(20.0, ONE._replace(started_unix_ms=2000, warmup_s=3.0))
    assert directory.is_warming(22.0, "i-1")


RESTARTED = ONE._replace(started_unix_ms=2000)


@pytest.mark.parametrize(
    ("waits", "until_s"),
    [
        ([(0.0, ONE, 4.0)], 4.0),
        # A shorter wait that is named later does not replace a longer one.
        ([(0.0, ONE, 4.0), (1.0, ONE, 1.0)], 4.0),
        ([(0.0, ONE, 4.0), (1.0, ONE, 6.0)], 7.0),
        ([(0.0, TWO, 4.0)], float("-inf")),
        # A new start ends the wait, and a late response of the earlier start does not count.
        ([(0.0, ONE, 4.0), (0.5, RESTARTED, 1.0)], float("-inf")),
        ([(0.0, RESTARTED, 4.0), (0.5, ONE, 1.0)], float("-inf")),
    ],
)
def test_backoff_holds_for_one_start_until_the_longest_wait_ends(waits, until_s):
    directory = make_directory(ONE, TWO)
    for now_s, instance, duration_s in waits:
        directory.set_backoff(now_s, instance, duration_s)
    assert directory.backoff_until_s(ONE) == until_s


def test_backoff_outlives_a_registration_that_lapses_and_returns():
    directory = make_directory(ONE)
    assert directory.set_backoff(0.0, ONE, 4.0)
    assert not directory.set_backoff(1.0, ONE, 4.0)
    directory.deregister(1.0, "i-1")
    directory.register(2.0, ONE)
    directory.expire(4.9)
    assert directory.backoff_until_s(ONE) == 5.0
    directory.expire(5.0)
    assert directory.set_backoff(5.0, ONE, 1.0)
