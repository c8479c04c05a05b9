"""Guards against requests that wait behind less urgent ones or behind those of a busy account."""

import pytest

from anviltray.decisions.waiting import WaitingQueue, WaitingRequest

LATER_S = 100.0


def waiting(*names, weight=lambda account: 1.0):
    """Returns a queue with one request for each name, such as "a0": account "a", priority 0."""
    queue = WaitingQueue(weight)
    for ticket, name in enumerate(names):
        queue.add(WaitingRequest(ticket, name[0], int(name[1]), LATER_S, LATER_S))
    return queue


def start_all(queue, names, now_s=0.0):
    order = []
    while (head := queue.head(now_s)) is not None:
        queue.start(head)
        order.append(names[head.ticket])
    return order


@pytest.mark.parametrize(
    ("names", "order"),
    [
        # Urgent requests first, but every fourth start goes to whoever had least.
        ("a1 b0 a0 b1", "b0 a0 a1 b1"),
        ("a0 a0 a0 a0 a0 b2", "a0 a0 a0 b2 a0 a0"),
        ("a2 a0 a0 a0 a0 a0 a0 b1", "a0 a0 a0 b1 a0 a0 a0 a2"),
        # Accounts of one priority take turns, whatever they send.
        ("a0 a0 a0 a0 b0 c0", "a0 b0 c0 a0 a0 a0"),
        # An account that joins later has not saved up turns.
        ("a0 a0 b0 b0", "a0 b0 a0 b0"),
    ],
)
def test_order(names, order):
    names = names.split()
    assert start_all(waiting(*names), names) == order.split()


def test_less_urgent_requests_start_after_many_that_started_before():
    queue = waiting(*["a2"] * 20)
    start_all(queue, ["a2"] * 20)
    for ticket in range(100, 110):
        queue.add(WaitingRequest(ticket, "b", 0, LATER_S, LATER_S))
    queue.add(WaitingRequest(200, "a", 2, LATER_S, LATER_S))
    order = []
    while (head := queue.head(0.0)) is not None:
        queue.start(head)
        order.append(head.priority)
    assert order.index(2) <= 4


def test_accounts_are_served_in_proportion_to_what_they_are_owed():
    names = ["a0"] * 20 + ["b0"] * 20
    queue = waiting(*names, weight=lambda account: 3.0 if account == "a" else 1.0)
    first = start_all(queue, names)[:16]
    assert 11 <= first.count("a0") <= 13


def test_request_that_misses_its_target_comes_after_those_that_can_meet_it():
    queue = WaitingQueue()
    for ticket, in_target_until_s in enumerate((1.0, 3.0, 3.0)):
        queue.add(WaitingRequest(ticket, "a", 0, in_target_until_s, LATER_S))
    assert start_all(queue, [0, 1, 2], now_s=2.0) == [1, 2, 0]


@pytest.mark.parametrize("removed", [[0], [0, 1], [1], [2], [0, 1, 2, 3]])
def test_removed_requests_do_not_start(removed):
    names = ["a0", "a0", "b0", "a1"]
    queue = waiting(*names)
    for ticket in removed:
        assert queue.remove(ticket)
        assert not queue.remove(ticket)
    assert len(queue) == 4 - len(removed)
    started = []
    while (head := queue.head(0.0)) is not None:
        queue.start(head)
        started.append(head.ticket)
    assert sorted(started) == sorted({0, 1, 2, 3} - set(removed))
    # The queue can be used again after it was empty.
    queue.add(WaitingRequest(9, "a", 0, LATER_S, LATER_S))
    assert queue.head(0.0).ticket == 9


@pytest.mark.parametrize(
    ("priority", "account", "ahead"),
    [(0, "a", 4), (0, "c", 2), (1, "a", 5), (2, "c", 5)],
)
def test_requests_ahead(priority, account, ahead):
    queue = waiting("a0", "a0", "a0", "b0", "a1")
    assert queue.ahead_of(priority, account) == pytest.approx(ahead, abs=1.0)


def test_repeats_of_one_account_do_not_delay_the_others():
    queue = waiting("b0", *["a0"] * 3)
    before = queue.ahead_of(0, "c")
    for ticket in range(10, 60):
        queue.add(WaitingRequest(ticket, "a", 0, LATER_S, LATER_S))
    assert queue.ahead_of(0, "c") == before
