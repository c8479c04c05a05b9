"""Guards against checks of the soak that miss a broken rule or report one that is kept."""

import pytest

from standins.soak import Bounds, Observations, check
from standins.soak._rules import (
    STORE,
    UNFINISHED,
    Arrival,
    Departure,
    Disturbance,
    InstanceFault,
    KeyPeriod,
    Rejection,
    SentRequest,
)

HOST = "127.1.1.1"


def sent(number, at_s=0.0, leaving="", status=200, idempotent=False):
    return SentRequest(
        f"c{number}", "desk", HOST, at_s, at_s + 0.1, status, leaving, 2.0, idempotent
    )


def arrival(number, at_s=0.0, instance="i-1", deadline_s=1.0, executed=True):
    return Arrival(at_s, f"c{number}", "desk", instance, HOST, deadline_s, executed)


def repeated(count):
    """Returns 100 requests, of which the first `count` reach a second instance."""
    requests = [sent(number, idempotent=True) for number in range(100)]
    arrivals = [arrival(number, 0.1) for number in range(100)]
    arrivals += [arrival(number, 0.2, "i-2") for number in range(count)]
    return requests, arrivals, [], []


def run_on(instances, requests):
    """Returns requests that each run on so many instances."""
    arrivals = [
        arrival(number, 0.1, f"i-{instance}")
        for number in range(requests)
        for instance in range(instances)
    ]
    return [sent(number, idempotent=True) for number in range(requests)], arrivals, [], []


def handed_on(deadline_s, count, *disturbances):
    arrivals = [arrival(number, 0.1, deadline_s=deadline_s) for number in range(count)]
    return [sent(number) for number in range(count)], arrivals, [], list(disturbances)


def rejected(count, at_s, *disturbances):
    """Returns requests at `at_s` to an instance that has asked at 1 s for none for 3 s."""
    requests = [sent(number, at_s) for number in range(count)]
    arrivals = [arrival(number, at_s, executed=False) for number in range(count)]
    return requests, arrivals, [Rejection(1.0, "i-1", HOST, 3.0)], list(disturbances)


def told_at_1_s(at_s, *disturbances):
    """Returns a request at `at_s` to an instance that has said that it is leaving."""
    requests = [sent(1, 0.9, "i-1"), sent(2, at_s)]
    return requests, [arrival(1, 0.9), arrival(2, at_s)], [], list(disturbances)


def left_at_1_s(at_s, *disturbances):
    """Returns a request at `at_s` to an instance that the store has removed."""
    return [sent(1, at_s)], [arrival(1, at_s)], [], list(disturbances), [], [Departure("i-1", 1.0)]


def answered(status, count=1, executed=True, idempotent=False, disturbances=()):
    """Returns requests that got `status`, 0 for none, and reached an instance."""
    requests = [sent(number, 5.0, "", status, idempotent) for number in range(count)]
    arrivals = [arrival(number, 5.05, executed=executed) for number in range(count)]
    return requests, arrivals, [], list(disturbances)


OTHER_HOST = "127.1.1.2"


def come_back(second, arrivals, status=503, second_host=HOST, idempotent=False):
    """Returns a request sent at 1 s, answered with `status`, and at 2 s with the same identifier.

    The second attempt, `second`, is the status, or the status and the instance that is leaving.
    Arrivals are time, host, instance and whether it was executed.
    """
    second_status, leaving = second if isinstance(second, tuple) else (second, "")
    requests = [
        sent(1, 1.0, "", status, idempotent),
        sent(1, 2.0, leaving, second_status, idempotent)._replace(host=second_host),
    ]
    found = [
        arrival(1, at_s, instance, executed=executed)._replace(host=host)
        for at_s, host, instance, executed in arrivals
    ]
    return requests, found, [], []


def many(count, requests, arrivals, *disturbances):
    """Returns so many times the requests and arrivals, each time with another identifier."""
    return (
        [each._replace(request_id=f"c{number}") for number in range(count) for each in requests],
        [each._replace(request_id=f"c{number}") for number in range(count) for each in arrivals],
        [],
        list(disturbances),
    )


def come_back_often(count, second_host=HOST, repeats=0):
    """Returns requests that come back; of the second attempts some reach another instance too."""
    requests, arrivals, *others = many(
        count,
        [sent(1, 1.0, "", 503, True), sent(1, 2.0, "", 503, True)._replace(host=second_host)],
        [
            arrival(1, 1.05, executed=False),
            arrival(1, 2.05, "i-2", executed=False)._replace(host=second_host),
        ],
    )
    arrivals += [
        arrival(number, 2.1, "i-3", executed=False)._replace(host=second_host)
        for number in range(repeats)
    ]
    return requests, arrivals, *others


def come_back_to_instances(count, first, second):
    """Returns requests that come back and run on `first`, then on `second` other instances."""
    return many(
        count,
        [sent(1, 1.0, "", 503, True), sent(1, 2.0, "", 200, True)],
        [arrival(1, 1.05, f"i-1-{number}") for number in range(first)]
        + [arrival(1, 2.05, f"i-2-{number}") for number in range(second)],
    )


def come_back_with_deadline(first_s, second_s):
    """Returns requests that come back after 1 of 2 s, with the time handed on by the host."""
    return many(
        21,
        [sent(1, 1.0, "", 503), sent(1, 2.0)._replace(deadline_s=1.0)],
        [
            arrival(1, 1.0, deadline_s=first_s, executed=False),
            arrival(1, 2.0, deadline_s=second_s),
        ],
    )


def come_back_later_with_new_deadline(handed_on_s):
    """Returns requests that come back with more time than the attempt before has left."""
    return many(
        21,
        [sent(1, 1.0, "", 503)._replace(deadline_s=1.0), sent(1, 2.0)],
        [
            arrival(1, 1.0, deadline_s=handed_on_s, executed=False),
            arrival(1, 2.0, deadline_s=2.0),
        ],
    )


def come_back_and_lose(count, executed_at_s, *disturbances):
    """Returns requests that come back and then get no response, executed at some time."""
    return many(
        count,
        [sent(1, 1.0, "", 503, True), sent(1, 2.0, "", 0, True)],
        [arrival(1, executed_at_s)],
        *disturbances,
    )


def come_back_to_leaving_instance(*arrivals, host=HOST, misdirected=False):
    """Returns a request at 0.5 and 3.1 s, to an instance that said at 1 s that it is leaving."""
    requests = [
        sent(1, 0.9, "i-1"),
        sent(2, 0.5, status=503, idempotent=True)._replace(ended_s=3.0),
        sent(2, 3.1, idempotent=True)._replace(host=host),
    ]
    found = [
        arrival(2, at_s)._replace(host=from_host, misdirected=misdirected)
        for at_s, from_host in arrivals
    ]
    return requests, [arrival(1, 0.9), *found], [], []


def failed(count, total=0, arrivals=(), status=502, idempotent=False, disturbances=(), faults=()):
    """Returns requests that got `status` at 5.1 s and had the arrivals, with others that did not.

    Arrivals are the instance and whether it executed the request.
    """
    requests = [sent(number, 5.0, "", status, idempotent) for number in range(count)]
    requests += [sent(number, 5.0) for number in range(count, total)]
    found = [
        arrival(number, 5.05, instance, executed=executed)
        for number in range(count)
        for instance, executed in arrivals
    ]
    found += [arrival(number, 5.05) for number in range(count, total)]
    return requests, found, [], list(disturbances), list(faults)


def fault(from_s, until_s, instance="i-1", service="desk"):
    return InstanceFault(instance, service, from_s, until_s)


def run_again(idempotent, executed=True):
    arrivals = [arrival(1, 0.1), arrival(1, 0.2, "i-2", executed=executed)]
    return [sent(1, idempotent=idempotent)], arrivals, [], []


@pytest.mark.parametrize(
    ("observed", "broken"),
    [
        (repeated(84), set()),
        (repeated(85), {"retry-budget"}),
        (run_on(2, 20), set()),
        (run_on(3, 3), set()),
        (run_on(3, 4), {"instance-limit"}),
        (handed_on(2.4, 30), set()),
        (handed_on(2.5, 20), set()),
        (handed_on(2.5, 21), {"deadline"}),
        (handed_on(None, 21), {"deadline"}),
        (handed_on(2.5, 21, Disturbance(HOST, -4.0, -2.8)), set()),
        (handed_on(2.5, 21, Disturbance(HOST, -4.0, -3.0)), {"deadline"}),
        (handed_on(2.5, 21, Disturbance("i-1", -4.0, -2.8)), set()),
        (handed_on(2.5, 21, Disturbance("i-2", -4.0, -2.8)), {"deadline"}),
        (rejected(3, 1.4), set()),
        (rejected(2, 1.6), set()),
        (rejected(3, 1.6), {"retry-after"}),
        (rejected(3, 3.9), {"retry-after"}),
        (rejected(3, 4.1), set()),
        (rejected(3, 1.6, Disturbance(HOST, 2.0, 3.0)), set()),
        (rejected(3, 1.6, Disturbance("127.1.1.2", 2.0, 3.0)), {"retry-after"}),
        (answered(503), {"not-executed"}),
        (answered(429), {"not-executed"}),
        (answered(408), {"not-executed"}),
        (answered(421), {"not-executed"}),
        (answered(503, executed=False), set()),
        (answered(503, idempotent=True), set()),
        (answered(502), set()),
        (run_again(idempotent=False), {"executed-once"}),
        (run_again(idempotent=False, executed=False), set()),
        (run_again(idempotent=True), set()),
        (answered(0, 3), set()),
        (answered(0, 4), {"lost"}),
        (answered(0, 4, executed=False), set()),
        (answered(0, 4, disturbances=[Disturbance(HOST, 1.0, 2.0)]), set()),
        (answered(0, 4, disturbances=[Disturbance(HOST, 1.0, 1.9)]), {"lost"}),
        (told_at_1_s(2.9), set()),
        (told_at_1_s(3.1), {"leaving"}),
        (told_at_1_s(5.0, Disturbance(HOST, 2.0, 3.0)), set()),
        # An identifier that comes back after a refusal.
        (come_back(200, [(1.05, HOST, "i-1", False), (2.05, HOST, "i-1", True)]), set()),
        (come_back(503, [(1.05, HOST, "i-1", False), (2.05, HOST, "i-1", True)]), {"not-executed"}),
        (come_back(429, [(1.05, HOST, "i-1", False), (2.05, HOST, "i-1", False)]), set()),
        (come_back(502, [(1.05, HOST, "i-1", True)]), {"not-executed"}),
        (come_back(502, [(1.95, HOST, "i-1", True)]), {"not-executed"}),
        (come_back(502, [(2.05, HOST, "i-1", True)]), set()),
        (come_back(UNFINISHED, [(2.05, HOST, "i-1", True)]), set()),
        (come_back(200, [(1.05, HOST, "i-1", True)], idempotent=True), set()),
        # Sent late by the host of the first attempt, while the second is at another one.
        (come_back(502, [(2.05, HOST, "i-1", True)], 503, OTHER_HOST), {"not-executed"}),
        (come_back(502, [(2.05, OTHER_HOST, "i-1", True)], 503, OTHER_HOST), set()),
        (
            come_back(200, [(1.05, HOST, "i-1", True), (2.05, HOST, "i-2", True)], 502),
            {"executed-once"},
        ),
        (
            come_back(200, [(1.05, HOST, "i-1", True), (2.05, HOST, "i-2", True)]),
            {"not-executed", "executed-once"},
        ),
        (come_back_often(150), set()),
        (come_back_often(150, OTHER_HOST), set()),
        (come_back_often(150, repeats=124), set()),
        (come_back_often(150, repeats=125), {"retry-budget"}),
        (come_back_to_instances(4, 2, 2), set()),
        (come_back_to_instances(4, 1, 3), {"instance-limit"}),
        (come_back_to_instances(4, 3, 1), {"instance-limit"}),
        (come_back_with_deadline(2.4, 1.4), set()),
        (come_back_with_deadline(2.6, 1.4), {"deadline"}),
        (come_back_with_deadline(2.4, 1.6), {"deadline"}),
        (come_back_later_with_new_deadline(1.4), set()),
        (come_back_later_with_new_deadline(1.6), {"deadline"}),
        (come_back_and_lose(4, 2.05), {"lost"}),
        (come_back_and_lose(3, 2.05), set()),
        (come_back_and_lose(4, 1.05), set()),
        (come_back_and_lose(4, 2.05, Disturbance(HOST, 1.0, 1.5)), set()),
        (come_back_to_leaving_instance((0.6, HOST)), set()),
        (come_back_to_leaving_instance((3.0, HOST)), set()),
        (come_back_to_leaving_instance((3.2, HOST)), {"leaving"}),
        (come_back_to_leaving_instance((3.2, HOST), host=OTHER_HOST), set()),
        (come_back_to_leaving_instance((3.2, HOST), misdirected=True), set()),
        (left_at_1_s(3.0), set()),
        (left_at_1_s(3.1), {"left"}),
        # The store goes back later, or the host or the store is disturbed when it has to learn it.
        (left_at_1_s(9.0, Disturbance(STORE, 3.5, 4.0)), {"left"}),
        (left_at_1_s(9.0, Disturbance(STORE, 2.5, 4.0)), set()),
        (left_at_1_s(9.0, Disturbance(HOST, 4.0, 5.0)), set()),
        # Failures that need not be.
        (failed(5), set()),
        (failed(6), {"needless-failure"}),
        (failed(7, 1000), set()),
        (failed(8, 1000), {"needless-failure"}),
        (failed(6, arrivals=[("i-1", False)]), {"needless-failure"}),
        (failed(6, arrivals=[("i-1", False), ("i-2", True)]), set()),
        (failed(6, status=504), set()),
        (failed(6, status=503), set()),
        (failed(6, idempotent=True), set()),
        (failed(6, disturbances=[Disturbance(HOST, 1.0, 2.0)]), set()),
        (failed(6, disturbances=[Disturbance(HOST, 1.0, 1.9)]), {"needless-failure"}),
        (failed(6, disturbances=[Disturbance(OTHER_HOST, 1.0, 2.0)]), {"needless-failure"}),
        (failed(6, faults=[fault(4.0, 5.0)]), set()),
        (failed(6, faults=[fault(5.1, 6.0)]), set()),
        (failed(6, faults=[fault(4.0, 4.9)]), {"needless-failure"}),
        (failed(6, faults=[fault(5.2, 6.0)]), {"needless-failure"}),
        (failed(6, faults=[fault(4.0, 6.0, service="shelf")]), {"needless-failure"}),
        (failed(6, arrivals=[("i-1", False)], faults=[fault(4.0, 6.0)]), set()),
        (
            failed(6, arrivals=[("i-1", False)], faults=[fault(4.0, 6.0, "i-2")]),
            {"needless-failure"},
        ),
    ],
)
def test_broken_rules_are_reported(observed, broken):
    seen = Observations()
    seen.sent, seen.arrivals, seen.rejections, seen.disturbances = observed[:4]
    seen.instance_faults = observed[4] if len(observed) > 4 else []
    seen.departures = observed[5] if len(observed) > 5 else []
    assert {violation.rule for violation in check(seen, Bounds())} == broken


@pytest.mark.parametrize(
    ("key", "sent_s", "status", "account", "changes", "broken"),
    [
        ("k-new", 15.0, 200, "a", {}, set()),
        ("k-new", 15.0, 200, "b", {}, {"account"}),
        ("k-new", 15.0, 200, "", {}, {"account"}),
        ("k-new", 15.0, 200, "a", {"has_key": True}, {"account"}),
        ("k-none", 15.0, 200, "a", {}, {"account"}),
        ("", 15.0, 200, "", {}, {"account"}),
        ("k-none", 15.0, 401, None, {}, set()),
        # One key is replaced by the other at 10 s.
        ("k-old", 9.0, 401, None, {}, {"key"}),
        ("k-old", 12.0, 200, "a", {}, set()),
        ("k-old", 12.1, 200, "a", {}, {"key"}),
        ("k-old", 12.1, 200, "a", {"executed": False}, set()),
        ("k-old", 12.1, 401, None, {}, set()),
        ("k-new", 12.0, 401, None, {}, set()),
        ("k-new", 12.1, 401, None, {}, {"key"}),
        ("k-new", 12.1, 401, None, {"disturbed": HOST}, set()),
        ("k-new", 12.1, 401, None, {"disturbed": "store"}, set()),
        ("k-new", 12.1, 401, None, {"disturbed": OTHER_HOST}, {"key"}),
    ],
)
def test_rules_on_keys_find_exactly_what_is_broken(key, sent_s, status, account, changes, broken):
    seen = Observations()
    seen.keys = {"k-old": KeyPeriod("a", -10.0, 10.0), "k-new": KeyPeriod("a", 10.0, 99.0)}
    changes = dict(changes)
    disturbed = changes.pop("disturbed", None)
    if disturbed:
        seen.disturbances = [Disturbance(disturbed, 8.0, 9.0)]
    seen.sent = [sent(1, sent_s, status=status)._replace(key=key)]
    if account is not None:
        seen.arrivals = [arrival(1, sent_s + 0.05)._replace(account=account, **changes)]
    assert {each.rule for each in check(seen, Bounds())} == broken
