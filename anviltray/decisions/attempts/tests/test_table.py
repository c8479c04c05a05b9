"""Guards against a second run of one identifier and against a false not-run."""

import pytest

from anviltray.decisions.attempts import (
    AttemptTable,
    Expired,
    Forward,
    InProgress,
    NotInFlight,
    RecordedOutcome,
    Reject,
    RejectReason,
    Replay,
    Start,
    StoredResponse,
)
from anviltray.settings import AttemptSettings

SETTINGS = AttemptSettings(
    epoch_s=10.0, epochs_kept=2, entry_limit=3, replay_limit_bytes=8, replay_total_bytes=12
)
MALFORMED = Reject(RejectReason.MALFORMED)
NOT_ISSUED = Reject(RejectReason.NOT_ISSUED)
FULL = Reject(RejectReason.FULL)


def table(**changes):
    return AttemptTable("n1", 0xAB, SETTINGS._replace(**changes))


def same(result, expected):
    """Also compares types, because named tuples with equal fields compare equal."""
    return type(result) is type(expected) and result == expected


def serve(attempts, now_s, *request_ids, stored=None):
    for request_id in request_ids:
        attempts.on_arrival(now_s, request_id)
        attempts.finish(now_s, request_id, "done", stored)


def response(body=b"ok"):
    return StoredResponse(201, (), body)


FIRST_ARRIVALS = {
    "n1.ab.5.x": Start("n1.ab.5.x"),
    "n1.ab.4." + "x" * 64: Start("n1.ab.4." + "x" * 64),
    "n1.ab.3.x": Expired(),
    "n1.ab.6.x": NOT_ISSUED,
    "n1.ab.5.-1": Expired(),
    "n1.ac.5.x": Expired(),
    "n2.ac.5.x": Forward("n2", 0xAC),
    "n2.ac.ffffffffff.x": Forward("n2", 0xAC),
    "": MALFORMED,
    "n1.ab.5.x\n": MALFORMED,
    "n1.ab.4." + "x" * 65: MALFORMED,
    "n1.ab." + "1" * 17 + ".x": MALFORMED,
}
WRONG = (
    "n1.AB.5.x n1.0ab.5.x n1.ab.05.x n1.ab.5. n1.ab.5 n1.ab.5.x.y n1.ab.5.é n1.ab.-5.x N1.ab.5.x"
)
FIRST_ARRIVALS.update(dict.fromkeys(WRONG.split(), MALFORMED))


@pytest.mark.parametrize("request_id", FIRST_ARRIVALS)
def test_first_arrival(request_id):
    """Guards against starts for another node and rejections of requests that may have run."""
    assert same(table().on_arrival(55.0, request_id), FIRST_ARRIVALS[request_id])


def test_prefix_and_epoch_follow_the_clock_and_never_go_back():
    attempts = table()
    assert attempts.prefix(55.0) == "n1.ab.5."
    assert attempts.prefix(160.0) == "n1.ab.10."
    assert attempts.prefix(55.0) == "n1.ab.10."


@pytest.mark.parametrize(
    ("outcome", "stored", "result"),
    [
        ("done", response(), Replay(response())),
        ("done", response(b"123456789"), RecordedOutcome("done")),
        ("done", None, RecordedOutcome("done")),
        ("unknown", response(), RecordedOutcome("unknown")),
        ("not-run", None, RecordedOutcome("not-run")),
    ],
)
def test_duplicate_gets_the_recorded_outcome(outcome, stored, result):
    attempts = table()
    assert same(attempts.on_arrival(50.0, "n1.ab.5.x"), Start("n1.ab.5.x"))
    assert same(attempts.on_arrival(51.0, "n1.ab.5.x"), InProgress())
    attempts.finish(52.0, "n1.ab.5.x", outcome, stored)
    assert same(attempts.on_arrival(69.9, "n1.ab.5.x"), result)
    assert same(attempts.on_arrival(70.0, "n1.ab.5.x"), Expired())
    assert len(attempts) == 0


def test_running_request_outlives_its_epoch():
    attempts = table()
    attempts.on_arrival(50.0, "n1.ab.5.x")
    assert same(attempts.on_arrival(500.0, "n1.ab.5.x"), InProgress())
    attempts.finish(501.0, "n1.ab.5.x", "done", response())
    assert same(attempts.on_arrival(502.0, "n1.ab.5.x"), Expired())
    assert len(attempts) == 0


def test_full_table_rejects_and_a_rejected_identifier_never_starts():
    """Guards against a delayed copy that starts after the caller has received not-run."""
    attempts = table()
    serve(attempts, 50.0, "n1.ab.5.a", "n1.ab.5.b", "n1.ab.5.c")
    assert same(attempts.on_arrival(51.0, "n1.ab.5.d"), FULL)
    assert same(attempts.on_arrival(51.0, None), FULL)
    assert same(attempts.on_arrival(51.0, "n1.ab.5.a"), RecordedOutcome("done"))
    attempts = table()
    serve(attempts, 40.0, "n1.ab.4.a", "n1.ab.4.b", "n1.ab.4.c")
    assert same(attempts.on_arrival(51.0, "n1.ab.5.d"), FULL)
    assert same(attempts.on_arrival(60.0, "n1.ab.5.d"), FULL)
    assert same(attempts.on_arrival(60.0, "n1.ab.6.d"), Start("n1.ab.6.d"))


def test_identifier_of_a_future_epoch_stays_rejected_when_the_epoch_begins():
    attempts = table()
    assert same(attempts.on_arrival(55.0, "n1.ab.6.x"), NOT_ISSUED)
    assert same(attempts.on_arrival(65.0, "n1.ab.6.x"), NOT_ISSUED)
    assert same(attempts.on_arrival(65.0, "n1.ab.6.y"), Start("n1.ab.6.y"))
    assert same(attempts.on_arrival(85.0, "n1.ab.6.x"), Expired())


def test_flood_of_future_identifiers_uses_bounded_memory():
    attempts = table()
    results = [attempts.on_arrival(55.0, f"n1.ab.ffff.{number}") for number in range(1001)]
    assert {type(result) for result in results} == {Reject, Expired}
    assert len(attempts) == 0


def test_assigned_identifiers_differ_and_find_their_outcome():
    attempts = table()
    first, second = attempts.on_arrival(55.0, None), attempts.on_arrival(55.0, None)
    assert first != second
    assert same(attempts.on_arrival(56.0, first.request_id), InProgress())


def test_stored_responses_are_bounded_and_the_oldest_is_evicted_first():
    attempts = table()
    serve(attempts, 50.0, "n1.ab.5.a", "n1.ab.5.b", stored=response(b"123456"))
    serve(attempts, 50.0, "n1.ab.5.c", stored=response(b"1"))
    assert same(attempts.on_arrival(50.0, "n1.ab.5.a"), RecordedOutcome("done"))
    assert same(attempts.on_arrival(50.0, "n1.ab.5.b"), Replay(response(b"123456")))
    assert same(attempts.on_arrival(50.0, "n1.ab.5.c"), Replay(response(b"1")))


def test_expired_responses_leave_no_memory_behind():
    attempts = table()
    for number in range(100):
        request_id = attempts.on_arrival(number * 10.0, None).request_id
        attempts.finish(number * 10.0, request_id, "done", response(b""))
    assert len(attempts) == len(attempts._replayable) == 2


@pytest.mark.parametrize(
    ("first", "second", "accepted"),
    [
        ("unknown", "not-run", True),
        ("unknown", "done", True),
        ("done", "unknown", False),
        ("not-run", "done", False),
    ],
)
def test_only_an_unknown_outcome_is_replaced(first, second, accepted):
    attempts = table()
    attempts.on_arrival(50.0, "n1.ab.5.x")
    attempts.finish(50.0, "n1.ab.5.x", first, None)
    if accepted:
        attempts.finish(51.0, "n1.ab.5.x", second, None)
    else:
        with pytest.raises(NotInFlight):
            attempts.finish(51.0, "n1.ab.5.x", second, None)
    assert attempts.row("n1.ab.5.x")["state"] == (second if accepted else first)


def test_finish_of_an_identifier_that_never_started_is_an_error():
    with pytest.raises(NotInFlight):
        table().finish(50.0, "n1.ab.5.x", "done", None)
    assert table().row("n1.ab.5.x") is None
