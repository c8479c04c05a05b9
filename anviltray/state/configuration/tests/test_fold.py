"""Guards against different states after reading the same log, and against reverted changes."""

import cbor2
import pytest

from anviltray.declarations import Route, Service
from anviltray.messages import SCHEMA_VERSION, SnapshotPart
from anviltray.state.configuration import (
    Applied,
    Fold,
    FoldStopped,
    NewerSchema,
    OutOfOrder,
    RecordError,
    Rejected,
    SnapshotAssembler,
    decode_record,
    encode_record,
    encode_state,
    remove_service,
    set_floor,
    set_upstream_state,
    split_state,
)
from anviltray.state.configuration import _fold as fold_module
from anviltray.state.configuration._records import to_record, to_service
from anviltray.state.tests.services import make_service, put

ISSUER = {"who": "ana", "why": "test", "issued_unix_s": 0.0}


def run(*commands):
    """Returns a fold and the result of each command."""
    fold = Fold()
    return fold, [fold.apply(i, encode_record(command)) for i, command in enumerate(commands)]


def test_records_have_the_fields_of_the_declarations():
    assert to_record(make_service())._fields == Service._fields
    for record, declared in zip(to_record(make_service()), make_service(), strict=True):
        if isinstance(declared, tuple) and declared:
            assert record[0]._fields == declared[0]._fields
    assert to_service(to_record(make_service())) == make_service()


@pytest.mark.parametrize(
    ("second", "reason"),
    [
        (put(make_service(slots=9), based_on=0), ""),
        (put(make_service(slots=9), based_on=-1), "conflict"),
        (remove_service("desk", based_on=0, **ISSUER), ""),
        (remove_service("yard", based_on=0, **ISSUER), "no service"),
        (set_floor("desk", 3, 0.25, based_on=0, **ISSUER), ""),
        (set_floor("desk", 3, 0.25, based_on=-1, **ISSUER), "conflict"),
        (set_floor("desk", -1, 0.25, based_on=0, **ISSUER), "below 0"),
        (set_floor("desk", 3, 1.5, based_on=0, **ISSUER), "between 0 and 1"),
        (set_upstream_state("desk", "10.0.0.1:80", "draining", based_on=0, **ISSUER), ""),
        (
            set_upstream_state("desk", "10.0.0.9:80", "draining", based_on=0, **ISSUER),
            "no upstream",
        ),
        (set_upstream_state("desk", "10.0.0.1:80", "gone", based_on=0, **ISSUER), "unknown"),
        (put(make_service("yard")), ""),
        (put(make_service("yard", prefix="/desk/")), "belongs to desk"),
        (put(make_service("yard", slots=0)), "no slots"),
        (put(make_service("yard"))._replace(service="other"), "definition"),
        (put(make_service("yard"))._replace(kind="later"), "no service"),
        (put(make_service(), based_on=0)._replace(kind="later"), "kind"),
    ],
)
def test_second_command(second, reason):
    fold, (first, result) = run(put(make_service()), second)
    assert isinstance(first, Applied)
    if reason:
        assert isinstance(result, Rejected) and reason in result.reason
        assert fold.services == {"desk": make_service()}
    else:
        assert result == Applied(1, second.command_id, second.service, False)
    assert fold.version == 1
    assert fold.history[1].rejection == (result.reason if reason else "")


def test_conflict_with_a_removed_service(monkeypatch):
    monkeypatch.setattr(fold_module, "REMOVED_LIMIT", 1)
    commands = [
        put(make_service()),
        remove_service("desk", based_on=0, **ISSUER),
        put(make_service(), based_on=0),
        put(make_service("yard")),
        remove_service("yard", based_on=3, **ISSUER),
        put(make_service(), based_on=0),
        put(make_service(), based_on=4),
    ]
    _, results = run(*commands)
    kinds = [isinstance(result, Applied) for result in results]
    assert kinds == [True, True, False, True, True, False, True]


def test_duplicate_counts_once_and_keeps_its_first_outcome():
    accepted, rejected = put(make_service(slots=9)), put(make_service(slots=8))
    fold, results = run(accepted, rejected, accepted, rejected)
    assert results[2] == Applied(2, accepted.command_id, "desk", True)
    assert results[3] == results[1]._replace(version=3)
    assert fold.services["desk"].upstreams[0].slots == 9
    assert len(fold.history) == 2


def test_duplicate_outside_the_history_changes_nothing(monkeypatch):
    monkeypatch.setattr(fold_module, "HISTORY_LIMIT", 1)
    first = put(make_service(slots=9))
    fold, results = run(first, put(make_service(slots=8), based_on=0), first)
    assert isinstance(results[2], Rejected)
    assert fold.services["desk"].upstreams[0].slots == 8
    assert len(fold.history) == 1


def tampered(change):
    items = cbor2.loads(encode_record(put(make_service())))
    change(items)
    return cbor2.dumps(items)


@pytest.mark.parametrize(
    ("payload", "error"),
    [
        (b"", RecordError),
        (b"\xff\x00", RecordError),
        (cbor2.dumps([]), RecordError),
        (cbor2.dumps({"a": 1}), RecordError),
        (tampered(lambda items: items.append(1)), RecordError),
        (tampered(lambda items: items.__setitem__(1, 99)), RecordError),
        (tampered(lambda items: items.__setitem__(2, 5)), RecordError),
        (tampered(lambda items: items.__setitem__(0, SCHEMA_VERSION - 1)), RecordError),
        (tampered(lambda items: items.__setitem__(0, SCHEMA_VERSION + 1)), NewerSchema),
        (encode_record(SnapshotPart(0, "", 0, 1, b"")), None),
    ],
)
def test_unreadable_record_stops_the_fold(payload, error):
    if error is not None:
        with pytest.raises(error):
            decode_record(payload)
    fold, _ = run(put(make_service()))
    for attempt in (payload, encode_record(put(make_service("yard")))):
        with pytest.raises(FoldStopped):
            fold.apply(1, attempt)
    assert fold.version == 0 and fold.stop_reason and fold.services == {"desk": make_service()}


@pytest.mark.parametrize("offset", [0, 2, -1])
def test_a_record_out_of_order_is_refused(offset):
    fold, _ = run(put(make_service()))
    with pytest.raises(OutOfOrder):
        fold.apply(offset, encode_record(put(make_service("yard"))))


def long_fold():
    commands = [put(make_service(f"s{i}")) for i in range(20)]
    commands += [remove_service("s3", based_on=30, **ISSUER), put(make_service("s4"), based_on=0)]
    return run(*commands)[0]


@pytest.mark.parametrize("chunk_bytes", [1, 100, 1 << 20])
def test_snapshot_restores_the_same_state(chunk_bytes):
    fold, copy = long_fold(), Fold()
    parts = list(split_state(fold.state(), chunk_bytes))
    assert max(len(part.payload) for part in parts) <= chunk_bytes
    assembler = SnapshotAssembler()
    states = [assembler.add(part) for part in reversed(parts)]
    assert states[:-1] == [None] * (len(parts) - 1)
    assert copy.load(states[-1])
    assert (copy.version, copy.digest, copy.history) == (fold.version, fold.digest, fold.history)
    assert encode_state(copy.state()) == encode_state(fold.state())
    following = encode_record(put(make_service("s3"), based_on=3))
    assert fold.apply(22, following) == copy.apply(22, following)
    assert copy.digest == fold.digest
    assert copy.routes.route("", "/s7/x") == make_service("s7")


def test_an_older_snapshot_changes_nothing():
    fold = long_fold()
    old, _ = run(put(make_service()))
    before = encode_state(fold.state())
    assert not fold.load(old.state()) and not fold.load(fold.state())
    assert encode_state(fold.state()) == before


def test_parts_of_two_snapshots_are_not_mixed():
    old, _ = run(put(make_service()))
    new = long_fold()
    old_parts, new_parts = (list(split_state(f.state(), 64)) for f in (old, new))
    assembler = SnapshotAssembler()
    results = [assembler.add(part) for part in old_parts[:-1] + new_parts[:-1]]
    results += [assembler.add(old_parts[-1]), assembler.add(new_parts[0])]
    assert results == [None] * len(results)
    assert assembler.add(new_parts[-1]).version == new.version


@pytest.mark.parametrize(
    "change",
    [
        {"payload": b"damaged"},
        {"chunk_index": -1},
        {"chunk_index": 1},
        {"version": 99},
        {"digest": "00"},
    ],
    ids=str,
)
def test_a_damaged_snapshot_is_refused(change):
    (part,) = split_state(long_fold().state(), 1 << 20)
    with pytest.raises(RecordError):
        SnapshotAssembler().add(part._replace(**change))


def test_digest_depends_on_state_not_on_time_or_order_of_services():
    first, _ = run(put(make_service("a"), command_id="1"), put(make_service("b"), command_id="2"))
    again, _ = run(put(make_service("a"), command_id="1"), put(make_service("b"), command_id="2"))
    other, _ = run(put(make_service("a"), command_id="1"), put(make_service("c"), command_id="2"))
    assert first.digest == again.digest != other.digest


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("any", "/stock", "stock"),
        ("any", "/stock/1", "stock"),
        ("any", "/stock/", "stock"),
        ("any", "/stocks", "root"),
        ("any", "/stock/order/7", "order"),
        ("any", "/stock/orders", "stock"),
        ("shop.example", "/stock", "shop"),
        ("SHOP.example:8080", "/stock/2", "shop"),
        ("shop.example", "/stock/order", "order"),
        ("[::1]:80", "/six", "six"),
        ("any", "/six", "root"),
        ("any", "/", "root"),
        ("any", "", "root"),
        ("any", "//stock", "root"),
    ],
)
def test_route(host, path, expected):
    routes = {
        "root": Route("/", ""),
        "stock": Route("/stock", ""),
        "order": Route("/stock/order/", ""),
        "shop": Route("/stock", "shop.example"),
        "six": Route("/six", "[::1]"),
    }
    fold, _ = run(*(put(make_service(name)._replace(routes=(r,))) for name, r in routes.items()))
    assert fold.routes.route(host, path).name == expected


def test_routes_follow_changes():
    fold, _ = run(
        put(make_service()),
        put(make_service(prefix="/counter"), based_on=0),
        put(make_service("yard", prefix="/desk")),
        remove_service("desk", based_on=1, **ISSUER),
    )
    assert fold.routes.route("", "/counter") is None
    assert fold.routes.route("", "/desk").name == "yard"
    assert len(fold.routes) == 1
