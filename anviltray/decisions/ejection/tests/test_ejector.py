"""Guards against ejected healthy upstreams, unhealthy ones in use and use of outdated messages."""

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.messages import Ejection, encode_message

A, B, C = "10.0.0.0:80", "10.0.0.1:80", "10.0.0.2:80"
ALL_PEERS = ("n1", "n2", "n3")


def shed(bench, address):
    bench.exchange(address, 0.001, ExchangeOutcome.REFUSED)


def disconnect_caller(bench, address):
    exchange = bench.ejector.on_exchange_started(bench.now_s - 3.0, "s", address, False)
    bench.ejector.on_first_byte(bench.now_s - 2.98, exchange)
    bench.ejector.on_exchange_ended(bench.now_s, exchange, ExchangeOutcome.ABANDONED)


def cold_start(bench, address):
    bench.exchange(address, 0.3)
    bench.ejector.on_cold_response(bench.now_s, address)


def fail_probes(bench, address):
    bench.ejector.on_probe_result(bench.now_s, address, False)
    bench.exchange(address)


def lose_reused_connections(bench, address):
    bench.ejector.on_exchange_started(bench.now_s, "s", address, False)
    bench.exchange(address, fresh=True)


def read_slowly(bench, address):
    exchange = bench.ejector.on_exchange_started(bench.now_s - 0.02, "s", address, True)
    bench.ejector.on_first_byte(bench.now_s, exchange)


@pytest.mark.parametrize(
    "act", [shed, disconnect_caller, cold_start, fail_probes, lose_reused_connections, read_slowly]
)
def test_no_evidence(bench, act):
    """Guards against ejections for load, cold starts, slow callers, probes or dead connections."""
    if act is cold_start:
        bench.ejector.on_cold_response(bench.now_s, A)
    bench.traffic(5.0, {A: lambda address: act(bench, address)})
    assert bench.state(A) == "healthy"
    assert len(bench.routed()) == 8


@pytest.mark.parametrize("fault", ["stall", "fail", "refuse_connection", "slow"])
def test_fault_is_detected(bench, fault):
    """Guards against a fault that a node with 40 requests/s to the upstream does not detect."""
    bench.traffic(0.6, {A: getattr(bench, fault)})
    assert bench.state(A) == "avoided"
    assert A not in bench.routed()
    assert [change.address for change in bench.changes] == [A]


def test_lone_node_ejects(make_bench):
    bench = make_bench(nodes=("n0",))
    bench.traffic(1.0, {A: bench.stall})
    assert bench.state(A) == "ejected"


def test_careful_needs_more_evidence_than_fast(make_bench, make_service):
    times_s = []
    for sensitivity in ("fast", "balanced", "careful"):
        bench = make_bench(make_service(sensitivity=sensitivity))
        start_s = bench.now_s
        while bench.state(A) == "healthy":
            bench.traffic(0.05, {A: bench.stall}, each=1)
        times_s.append(bench.now_s - start_s)
    assert times_s == sorted(times_s)
    assert times_s[0] < times_s[2]


@pytest.mark.parametrize("fault", ["stall", "fail", "refuse_connection", "slow"])
def test_local_fault_is_not_attributed_to_upstreams(bench, fault):
    """Guards against ejections by a node whose own network fails."""
    bench.traffic(3.0, dict.fromkeys(bench.addresses, getattr(bench, fault)))
    bench.traffic(3.0)
    assert bench.changes == []
    assert len(bench.routed()) == 8


def test_in_flight_age_during_own_pause_is_no_evidence(bench):
    exchanges = [bench.stall(address) for address in (A, A, A, A, B, B, B, B) * 3]
    bench.update(20.0)
    for exchange in exchanges:
        bench.ejector.on_exchange_ended(bench.now_s, exchange, ExchangeOutcome.TIMED_OUT)
    bench.traffic(1.0)
    assert bench.changes == []


@pytest.mark.parametrize("first_call", ["update", "started"])
def test_expired_ejection_does_not_outlast_a_pause(bench, first_call):
    """Guards against a resumed process that uses expired state."""
    bench.traffic(1.0, {A: bench.fail})
    assert A not in bench.routed()
    bench.now_s += 100.0
    if first_call == "update":
        bench.update()
    else:
        bench.stall(B)
    assert A in bench.routed()


def test_peers_evidence_from_before_a_pause_is_dropped(bench):
    for node in ALL_PEERS:
        bench.peer(node, {A: 40.0})
    bench.now_s += 1.0
    bench.stall(B)
    bench.update()
    assert bench.changes == []


# Each report is a node, ratio, incarnation, sequence number and age, separated by spaces.
@pytest.mark.parametrize(
    ("reports", "ejected"),
    [
        pytest.param("n1 60 1 1 0", False, id="one-node-is-not-many"),
        pytest.param("n1 20 1 1 0, n2 20 1 1 0", True, id="two-nodes"),
        pytest.param("n1 60 1 1 0, n2 3 1 1 0", False, id="one-and-noise"),
        pytest.param("n1 5 1 1 0, n2 5 1 1 0, n3 5 1 1 0", False, id="sum-below-threshold"),
        pytest.param("n1 9 1 1 0, n2 9 1 1 0, n3 9 1 1 0", True, id="weak-evidence-adds-up"),
        pytest.param("n1 20 1 1 3, n2 20 1 1 0", False, id="too-old"),
        pytest.param("n1 20 1 1 0, n0 20 1 1 0", False, id="own-echo"),
        pytest.param("n1 20 1 5 0, n2 20 1 1 0, n1 0.5 1 4 0", True, id="older-sequence"),
        pytest.param("n1 0.5 2 1 0, n2 20 1 1 0, n1 20 1 9 0.5", False, id="older-incarnation"),
        pytest.param("n1 0.5 1 9 0.5, n2 20 1 1 0, n1 20 2 1 0", True, id="newer-incarnation"),
        pytest.param(
            "n1 0.5 1 9 0.5, n1 0.5 2 1 0.2, n2 20 1 1 0, n1 20 1 10 0", False, id="replaced"
        ),
    ],
)
def test_peers_evidence(bench, reports, ejected):
    """Guards against ejections by too few nodes and against outdated messages that take effect."""
    for report in reports.split(", "):
        node, ratio, incarnation, sequence, age_s = report.split()
        bench.peer(node, {A: float(ratio)}, int(incarnation), int(sequence), float(age_s))
    bench.update()
    assert (bench.state(A) == "ejected") is ejected


def test_evidence_of_a_node_that_has_left_is_dropped(bench):
    bench.peer("n1", {A: 20.0})
    bench.peer("n2", {A: 20.0})
    bench.ejector.remove_peer(bench.now_s, "n1")
    bench.update()
    assert bench.state(A) == "healthy"


def test_evidence_of_a_peer_that_stops_sending_expires(bench):
    bench.peer("n1", {A: 20.0})
    bench.traffic(2.6)
    bench.peer("n2", {A: 20.0})
    bench.update()
    assert bench.state(A) == "healthy"


def test_upstream_unreachable_from_here_is_avoided_but_not_ejected(bench):
    """Guards against a one-way partition of one node that ejects an upstream at all nodes."""
    for _ in range(20):
        bench.traffic(0.1, {A: bench.refuse_connection})
        for node in ALL_PEERS:
            bench.peer(node, {A: -2.0})
    assert bench.state(A) == "avoided"
    row = next(row for row in bench.ejector.rows("s", bench.now_s) if row["address"] == A)
    assert row["reachable"] is False
    assert not any(isinstance(m, Ejection) and m.addresses for m in bench.messages)


def test_node_with_good_responses_contradicts_its_peers(bench):
    """Guards against two nodes with a broken path that eject an upstream at all nodes."""
    bench.messages.clear()
    for _ in range(5):
        bench.peer("n1", {A: 30.0})
        bench.traffic(0.1)
    entries = [entry for message in bench.messages for entry in message.upstreams]
    assert {entry.address for entry in entries} == {A}
    assert all(entry.log_likelihood_ratio < 0 for entry in entries)


def test_readmission_starts_small_and_relapses_grow(bench):
    """Guards against an unhealthy upstream that gets full traffic after each ejection."""
    lengths_s = []
    for _ in range(3):
        while bench.state(A) == "healthy" or bench.state(A) == "returning":
            bench.traffic(0.05, {A: bench.fail})
        start_s = bench.now_s
        while bench.state(A) != "returning":
            bench.traffic(0.05, {A: bench.fail})
        lengths_s.append(bench.now_s - start_s)
        weights = {item.address: item.weight for item in bench.ejector.routable("s").upstreams}
        assert weights[A] == 0.05
    assert lengths_s[1] > 1.5 * lengths_s[0]
    assert lengths_s[2] > 1.5 * lengths_s[1]
    bench.traffic(1.0)
    assert bench.state(A) == "healthy"


def test_equal_evidence_leads_to_equal_choices(make_bench):
    """Guards against nodes that each eject other upstreams until the floor is reached."""
    suspects = [f"10.0.0.{i}:80" for i in range(6)]
    choices = set()
    for node in ("n0", "n1", "n2", "n3"):
        bench = make_bench(node=node)
        for peer in ("p1", "p2", "p3")[:: 1 if node < "n2" else -1]:
            bench.peer(peer, dict.fromkeys(suspects, 20.0))
        for _ in range(4):
            bench.update()
        choices.add(tuple(bench.routed()))
    assert len(choices) == 1
    assert len(choices.pop()) == 4


def test_ejections_of_peers_count_against_the_floor(bench):
    """Guards against nodes that together eject more than the floor allows."""
    for node in ("n1", "n2"):
        bench.ejector.on_peer_ejection(
            bench.now_s, Ejection(node, 1, 100, "s", tuple(bench.addresses[4:]), 3.0)
        )
    bench.ejector.remove_peer(bench.now_s, "n2")
    bench.traffic(2.0, {A: bench.stall})
    assert A in bench.routed()
    bench.traffic(3.0, {A: bench.stall})
    assert A not in bench.routed()


def test_new_node_adopts_the_ejections_of_most_peers(make_bench):
    bench = make_bench(learn=False)
    for node in ("n1", "n2"):
        bench.ejector.on_peer_ejection(bench.now_s, Ejection(node, 1, 1, "s", (A,), 4.0))
    bench.update()
    assert bench.state(A) == "ejected"
    bench.traffic(4.1)
    assert bench.state(A) == "returning"


def test_messages_are_bounded_and_name_only_significant_upstreams(make_bench, make_service):
    bench = make_bench(make_service(count=40), nodes=("n0", "n1"))
    bench.messages.clear()
    bench.traffic(2.0, dict.fromkeys(bench.addresses[:15], bench.stall))
    assert bench.messages
    for message in bench.messages:
        assert len(encode_message(message)) < 400
        named = message.addresses if isinstance(message, Ejection) else message.upstreams
        assert len(named) <= 8


def test_idle_ejector_sends_nothing_and_keeps_its_set(bench):
    before = bench.ejector.routable("s")
    bench.traffic(1.0)
    bench.traffic(5.0, each=0)
    bench.messages.clear()
    bench.traffic(5.0, each=0)
    assert bench.messages == []
    assert bench.ejector.routable("s") is before


def test_drained_and_draining_upstreams_are_not_routed_to(bench, make_service):
    generation = bench.ejector.routable("s").generation
    service = bench.service
    upstreams = (service.upstreams[0]._replace(state="draining"), *service.upstreams[1:])
    bench.ejector.configure({"s": service._replace(upstreams=upstreams)}, bench.now_s)
    bench.ejector.set_draining(bench.now_s, frozenset({B}))
    assert bench.routed() == bench.addresses[2:]
    assert bench.ejector.routable("s").generation > generation
    bench.ejector.configure({}, bench.now_s)
    assert bench.routed() == []


def test_new_upstream_starts_with_little_traffic(bench, make_service):
    bench.ejector.configure({"s": make_service(count=9)}, bench.now_s)
    weights = [item.weight for item in bench.ejector.routable("s").upstreams]
    assert weights == [1.0] * 8 + [0.25]
    bench.traffic(5.1)
    assert {item.weight for item in bench.ejector.routable("s").upstreams} == {1.0}


@pytest.mark.parametrize("count", [1, 2, 3, 48])
def test_each_upstream_has_two_probers_and_few_change(make_bench, count):
    """Guards against probes by every node, and by none after a node has left."""
    nodes = [f"n{i}" for i in range(count)]
    probers = {}
    for node in nodes:
        ejector = make_bench(node=node, nodes=nodes, learn=False).ejector
        probers[node] = set(ejector.probe_targets(0.0, nodes))
        remaining = [other for other in nodes if other != nodes[-1]]
        if node != nodes[-1]:
            assert probers[node] <= set(ejector.probe_targets(0.0, remaining))
    for address in (A, B, C):
        assert sum(address in targets for targets in probers.values()) == min(count, 2)


def test_explain_names_the_evidence(bench):
    bench.peer("n1", {A: 30.0})
    bench.ejector.on_peer_ejection(bench.now_s, Ejection("n2", 1, 1, "s", (A,), 4.0))
    bench.traffic(1.0, {A: bench.fail})
    rows = bench.ejector.explain(A, bench.now_s)
    sources = "decision, evidence, peer evidence, peer ejection"
    assert ", ".join(row["source"] for row in rows) == sources
    assert rows[0]["state"] == "ejected"
    assert "nodes against" in rows[0]["reason"]
    assert bench.ejector.explain("10.9.9.9:80", bench.now_s) == []
    assert bench.ejector.rows("unknown", bench.now_s) == []
