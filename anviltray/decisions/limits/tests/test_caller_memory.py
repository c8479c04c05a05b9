"""Guards against a crowd that uses up the memory, and against ordinary callers paying for it."""

import pytest

from anviltray.decisions.limits import (
    CallerMemory,
    ConnectionLoad,
    choose_to_close,
    divide_descriptors,
)

IDLE_BYTES = 12_000
STALLED = ConnectionLoad("10.0.0.1", 100_000, 88_000, 5.0, False, True)
MOVING = STALLED._replace(stalled_s=0.0)
SMALL = STALLED._replace(held_bytes=13_000, excess_bytes=1_000)
SILENT = STALLED._replace(held_bytes=IDLE_BYTES, excess_bytes=0)
KEPT = SILENT._replace(served=True, stalled_s=9.0)
SERVING = STALLED._replace(closable=False)
OTHER = STALLED._replace(address="10.0.0.2")


@pytest.mark.parametrize(
    ("loads", "free_bytes", "free_connections", "expected"),
    [
        ([SMALL, STALLED, MOVING], 1, 0, [1]),
        ([SMALL, MOVING], 1, 0, [1]),
        ([SMALL, STALLED, MOVING], 150_000, 0, [1, 2]),
        ([STALLED, STALLED._replace(stalled_s=6.0)], 1, 0, [1]),
        ([SERVING, SMALL], 50_000, 0, [1]),
        ([SERVING], 1, 1, []),
        # The address that holds most pays first, also with connections that move more.
        ([OTHER, STALLED, MOVING], 1, 0, [1]),
        ([OTHER, STALLED, SMALL], 150_000, 0, [1, 0]),
        # Without a request, the connections that were never used go first, the oldest first.
        ([KEPT, SILENT, SILENT._replace(stalled_s=6.0)], 0, 2, [2, 1]),
        ([KEPT, SILENT], 0, 2, [1, 0]),
        # A connection that has just been served makes no room for a new one; others do, by age.
        ([KEPT._replace(stalled_s=0.5)], 0, 1, []),
        ([MOVING, SILENT._replace(stalled_s=0.5)], 0, 1, [1]),
        # Closing a small connection that has just been opened would free next to nothing.
        ([SILENT._replace(stalled_s=0.01)], 1, 0, []),
        ([], 1, 1, []),
    ],
)
def test_choice_of_connections(loads, free_bytes, free_connections, expected):
    assert choose_to_close(loads, free_bytes, free_connections) == expected


def test_a_crowd_pays_for_itself_and_ordinary_callers_are_served():
    """Replays a crowd from one address that comes back as soon as it is turned away.

    Each of its connections grows by 16 KB in every 10 ms and stops at 100 KB, while 30 other
    callers keep a connection, on which a small request is complete or being served.
    """
    memory = CallerMemory(4_000_000)
    crowd, ordinary = [], []
    for number in range(30):
        load = ConnectionLoad(f"10.0.1.{number}", 16_000, 4_000, 0.0, True, number % 2 == 0)
        ordinary.append(load)
        memory.used_bytes += load.held_bytes
    for _ in range(500):
        crowd = [
            load._replace(
                held_bytes=min(load.held_bytes + 16_000, 100_000),
                excess_bytes=min(load.excess_bytes + 16_000, 88_000),
                stalled_s=load.stalled_s + 0.01 if load.held_bytes >= 100_000 else 0.0,
            )
            for load in crowd
        ]
        crowd += [ConnectionLoad("10.0.0.1", IDLE_BYTES, 0, 0.0, False, True)] * 5
        memory.used_bytes = sum(load.held_bytes for load in (*crowd, *ordinary))
        chosen = choose_to_close((*ordinary, *crowd), memory.relief_bytes, 0)
        assert all(index >= len(ordinary) for index in chosen)
        closed = {index - len(ordinary) for index in chosen}
        crowd = [load for index, load in enumerate(crowd) if index not in closed]
        memory.used_bytes = sum(load.held_bytes for load in (*crowd, *ordinary))
        assert not memory.is_short


@pytest.mark.parametrize(
    ("limit_bytes", "process_bytes", "budget_bytes"),
    [
        (200_000_000, 50_000_000, 50_000_000),
        (200_000_000, 199_000_000, 12_500_000),
        (200_000_000, 250_000_000, 12_500_000),
    ],
)
def test_budget_is_a_share_of_what_the_process_leaves(limit_bytes, process_bytes, budget_bytes):
    memory = CallerMemory(1)
    memory.set_process(limit_bytes, process_bytes)
    assert memory.budget_bytes == budget_bytes


@pytest.mark.parametrize("limit", [300, 1000, 4100, 20_000])
def test_descriptors_of_all_kinds_fit_into_the_limit(limit):
    plan = divide_descriptors(limit)
    assert sum(plan) <= limit - 200
    assert min(plan) >= 4
    # A request needs a connection to an instance besides the one of its caller.
    assert plan.upstreams >= plan.callers / 2


@pytest.mark.parametrize(("count", "expected"), [(100, 0), (101, 3), (150, 52)])
def test_connections_above_a_limit_make_room_for_some_more(count, expected):
    assert CallerMemory(1).relief_connections(count, 100) == expected
