"""Guards against requests to instances that left, and against losing those that only lapsed."""

import pytest

from anviltray.decisions.instances import InstanceDirectory
from anviltray.decisions.instances._directory import RENEWAL_S
from anviltray.declarations import Instance

ONE = Instance("i-1", 1000, "keeper", "10.0.0.1:80", "viti-suva", "v1", 6, False, 0.0)
TWO = ONE._replace(id="i-2", address="10.0.0.2:80")


def directory(*instances):
    made = InstanceDirectory()
    for instance in instances:
        made.register(0.0, instance)
    return made


def usable(made):
    return [instance.id for instance in made.usable("keeper")]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([("register", TWO._replace(draining=True))], ["i-1"]),
        ([("deregister", "i-2")], ["i-1"]),
        ([("deregister", "unknown")], ["i-1", "i-2"]),
        ([("register", TWO._replace(service="supply"))], ["i-1"]),
        # A stale record does not bring a leaving instance back, its next start does.
        ([("register", TWO._replace(draining=True)), ("register", TWO)], ["i-1"]),
        (
            [
                ("register", TWO._replace(draining=True)),
                ("register", TWO._replace(started_unix_ms=2000)),
            ],
            ["i-1", "i-2"],
        ),
        # Nor does a stale record that arrives after the registration has ended.
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
        # An instance that was cut off registers again when it is back.
        ([("deregister", "i-2"), ("register", TWO)], ["i-1", "i-2"]),
        # Nor does the record of an earlier start replace that of a later one.
        (
            [
                ("register", TWO._replace(started_unix_ms=2000, draining=True)),
                ("register", TWO),
            ],
            ["i-1"],
        ),
        # The address belongs to another instance until the registration changes.
        ([("misdirected", TWO)], ["i-1"]),
        ([("misdirected", TWO), ("register", TWO)], ["i-1"]),
        ([("misdirected", TWO), ("register", TWO._replace(address="10.0.0.3:80"))], ["i-1", "i-2"]),
    ],
)
def test_usable(steps, expected):
    made = directory(ONE, TWO)
    assert usable(made) == ["i-1", "i-2"]
    for name, value in steps:
        if name == "misdirected":
            made.mark_misdirected(value)
        else:
            getattr(made, name)(1.0, value)
    assert usable(made) == expected


@pytest.mark.parametrize(
    ("events", "kept_until_s"),
    [
        # Without an outage a removal counts at once.
        ([(10.0, "remove")], 10.0),
        # During an outage it is kept until the renewal is overdue after the return.
        ([(10.0, "lost"), (11.0, "remove"), (20.0, "back")], 20.0 + RENEWAL_S),
        # What lapsed unseen during the outage is learned from the first read after it.
        ([(10.0, "lost"), (20.0, "back"), (20.0, "remove")], 20.0 + RENEWAL_S),
        # Later removals are meant.
        ([(10.0, "lost"), (20.0, "back"), (24.0, "remove")], 24.0),
        # An instance that was draining before is not coming back.
        ([(9.0, "drain"), (10.0, "lost"), (11.0, "remove")], 9.0),
        # A renewal ends the wait.
        (
            [(10.0, "lost"), (11.0, "remove"), (20.0, "back"), (21.0, "renew")],
            float("inf"),
        ),
    ],
)
def test_lapsed_registrations(events, kept_until_s):
    made = directory(ONE)
    times = sorted(
        {at_s for at_s, _ in events} | {at_s + 0.5 * n for at_s, _ in events for n in range(20)}
    )
    for now_s in times:
        for at_s, event in events:
            if at_s != now_s:
                continue
            if event == "lost":
                made.on_store_lost()
            elif event == "back":
                made.on_store_recovered(now_s)
            elif event == "remove":
                made.deregister(now_s, "i-1")
            elif event == "drain":
                made.register(now_s, ONE._replace(draining=True))
            else:
                made.register(now_s, ONE)
        made.expire(now_s)
        assert bool(usable(made)) == (now_s < kept_until_s), now_s


def test_replace_drops_what_is_not_listed():
    made = directory(ONE, TWO)
    made.replace_all(1.0, [TWO])
    assert usable(made) == ["i-2"]


def test_an_instance_is_slow_after_each_start():
    made = directory()
    made.register(5.0, ONE._replace(warmup_s=3.0))
    made.register(6.0, ONE._replace(warmup_s=2.0))
    assert made.is_warming(7.9, "i-1")
    assert not made.is_warming(8.0, "i-1")
    made.register(20.0, ONE._replace(started_unix_ms=2000, warmup_s=3.0))
    assert made.is_warming(22.0, "i-1")
