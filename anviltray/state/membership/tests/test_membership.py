"""Guards against removed healthy nodes, dead nodes that stay, and uneven connections."""

import random
from collections import Counter

import pytest

from anviltray.messages import Member
from anviltray.platform import HostEntry
from anviltray.settings import build_settings
from anviltray.state.membership import (
    DIGEST_BUCKETS,
    Location,
    Membership,
    rendezvous_rank,
    select_peers,
)

SETTINGS = build_settings(
    {
        "node": "n0",
        "region": "viti",
        "zone": "a",
        "caller_address": "10.0.0.1:80",
        "peer_address": "10.0.0.1:81",
        "operator_address": "10.0.0.1:82",
        "platform": {"kind": "memory"},
    }
).exchange


def member(name, incarnation=1, revision=0, status="alive", region="viti", zone="a"):
    return Member(name, incarnation, revision, status, region, zone, f"{name}:80", f"{name}:81")


def membership(*others):
    result = Membership(member("n0"), SETTINGS, random.Random(1))
    result.merge(0.0, others)
    return result


def host(name, state="live"):
    return HostEntry(f"{name}:80", "node", state, "viti", "a", f"{name}:81", name)


@pytest.mark.parametrize(
    ("known", "update", "result"),
    [
        (("alive", 1, 0), ("suspect", 1, 0), ("suspect", 1, 0)),
        (("suspect", 1, 0), ("alive", 1, 0), ("suspect", 1, 0)),
        (("suspect", 1, 0), ("alive", 1, 1), ("alive", 1, 1)),
        (("alive", 1, 1), ("suspect", 1, 0), ("alive", 1, 1)),
        (("alive", 1, 1), ("dead", 1, 0), ("alive", 1, 1)),
        (("dead", 1, 0), ("alive", 1, 0), ("dead", 1, 0)),
        (("dead", 1, 0), ("alive", 1, 1), ("alive", 1, 1)),
        (("alive", 1, 0), ("leaving", 1, 1), ("leaving", 1, 1)),
        (("leaving", 1, 1), ("alive", 1, 2), ("leaving", 1, 2)),
        (("alive", 1, 2), ("leaving", 1, 1), ("leaving", 1, 2)),
        (("leaving", 1, 1), ("suspect", 1, 1), ("leaving", 1, 1)),
        (("leaving", 1, 1), ("dead", 1, 1), ("dead", 1, 1)),
        (("leaving", 1, 1), ("alive", 2, 2), ("alive", 2, 2)),
        (("dead", 1, 0), ("alive", 2, 1), ("alive", 2, 1)),
        (("alive", 2, 1), ("suspect", 1, 0), ("alive", 2, 1)),
        (("alive", 1, 0), ("unheard-of", 1, 9), ("alive", 1, 0)),
    ],
)
def test_views_of_a_node_merge_to_the_newer_one(known, update, result):
    view = membership(member("n1", known[1], 0, "alive"))
    view.merge(0.0, [member("n1", known[1], known[2], known[0])])
    view.merge(0.0, [member("n1", update[1], update[2], update[0])])
    assert view.members["n1"] == member("n1", result[1], result[2], result[0])


def test_an_older_view_is_corrected():
    view = membership(member("n1", revision=3))
    merge = view.merge(0.0, [member("n1", revision=1, status="dead"), member("n0", revision=-1)])
    assert merge.changed == ()
    assert merge.corrections == (member("n1", revision=3), view.own)


@pytest.mark.parametrize(
    ("update", "revision"),
    [
        (member("n0", status="suspect"), 1),
        (member("n0", revision=4, status="dead"), 5),
        (member("n0", incarnation=7, revision=2), 3),
        (member("n0"), 0),
    ],
)
def test_a_node_refutes_wrong_views_of_itself(update, revision):
    view = membership()
    view.merge(0.0, [update])
    assert view.own == member("n0", revision=revision)


def test_a_leaving_node_refutes_its_death_and_stays_leaving():
    view = membership()
    leaving = view.leave()
    view.merge(0.0, [leaving._replace(status="dead")])
    assert (view.own.status, view.own.revision) == ("leaving", leaving.revision + 1)


def run_probe(view, relay_reaches, connected=("n1", "n2", "n3")):
    probe = view.probe(0.0, "n1")
    assert view.step(0.4, connected) == ((), ())
    step = view.step(0.6, connected)
    for indirect in step.probes:
        assert indirect.to != "n1" and indirect.ping.target == "n1"
        view.on_probe_answer(indirect.ping.sequence, relay_reaches)
    return probe, step, view.step(3.0, connected)


@pytest.mark.parametrize(
    ("relay_reaches", "status"), [(True, "alive"), (False, "suspect")], ids=["cut", "dead"]
)
def test_relays_distinguish_a_lost_connection_from_a_failed_node(relay_reaches, status):
    view = membership(*(member(f"n{i}") for i in (1, 2, 3)))
    _, step, _ = run_probe(view, relay_reaches)
    assert {probe.to for probe in step.probes} == {"n2", "n3"}
    assert view.members["n1"].status == status


def test_suspicion_ends_in_death_unless_refuted():
    views = [membership(*(member(f"n{i}") for i in (1, 2, 3))) for _ in range(2)]
    for view in views:
        run_probe(view, relay_reaches=False)
    views[1].merge(3.1, [member("n1", revision=1)])
    steps = [view.step(8.0, ("n2", "n3")) for view in views]
    assert [changed.status for changed in steps[0].changed] == ["dead"]
    assert steps[1].changed == ()
    # A late message sent before the death does not bring the node back.
    views[0].merge(9.0, [member("n1")])
    assert views[0].members["n1"].status == "dead"
    views[0].step(200.0, ("n2", "n3"))
    assert "n1" not in views[0].members
    assert views[0].merge(201.0, [member("n1", status="dead")]).changed == ()


@pytest.mark.parametrize(("others", "suspects"), [(1, True), (3, False)])
def test_a_node_without_any_connection_suspects_nobody(others, suspects):
    view = membership(*(member(f"n{i + 1}") for i in range(others)))
    view.on_connection_lost(0.0, "n1")
    view.step(1.0, ())
    assert (view.members["n1"].status == "suspect") == suspects


def test_a_leaving_node_that_fails_dies():
    view = membership(member("n1", status="leaving"), member("n2"), member("n3"))
    run_probe(view, relay_reaches=False)
    assert view.members["n1"].status == "leaving"
    assert [changed.status for changed in view.step(8.0, ("n2",)).changed] == ["dead"]


def test_host_list_is_a_hint():
    view = membership(member("n1"), member("n2"))
    assert view.apply_host_list([host("n1", "leaving"), host("n4")]) == ("n1",)
    assert {m.node for m in view.serving()} == {"n0", "n2"}
    assert {m.node for m in view.usable()} == {"n0", "n1", "n2"}
    assert {m.node for m in view.candidates()} == {"n1", "n2", "n4"}
    # The list may be out of date, so an old entry does not bring the node back.
    view.apply_host_list([host("n1")])
    assert {m.node for m in view.serving()} == {"n0", "n2"}
    # A new process on the host is not leaving, although the list still has the old state.
    view.apply_host_list([host("n1", "leaving")])
    view.merge(0.0, [member("n1", incarnation=9, revision=1)])
    view.apply_host_list([host("n1", "leaving")])
    assert {m.node for m in view.serving()} == {"n0", "n1", "n2"}


def test_digests_show_the_members_that_differ():
    first = membership(*(member(f"n{i}") for i in range(1, 200)))
    second = membership(*(member(f"n{i}") for i in range(1, 200)))
    assert first.digest() == second.digest() and len(first.digest().buckets) == DIGEST_BUCKETS
    second.merge(0.0, [member("n7", revision=1), member("new")])
    differing = second.differing_members(first.digest())
    assert {"n7", "new"} <= {m.node for m in differing}
    assert len(differing) < 30
    first.merge(0.0, differing)
    assert first.digest() == second.digest()


def fleet(count, regions=2, zones=2):
    return [
        member(f"n{i}", region=f"r{i % regions}", zone=f"r{i % regions}z{i // regions % zones}")
        for i in range(count)
    ]


@pytest.mark.parametrize(("count", "regions"), [(1, 1), (2, 1), (5, 2), (48, 2), (3800, 5)])
def test_peers_are_bounded_and_spread(count, regions):
    members = fleet(count, regions)
    sample = members if count < 100 else random.Random(1).sample(members, 30)
    for own in sample:
        chosen = select_peers(own.node, Location(own.region, own.zone), members, 8)
        assert own.node not in chosen
        assert len(set(chosen)) == len(chosen) == min(8, count - 1)
        by_name = {m.node: m for m in members}
        if count >= 48:
            places = Counter(
                (by_name[node].region != own.region, by_name[node].zone != own.zone)
                for node in chosen
            )
            assert places == {(False, False): 4, (False, True): 2, (True, True): 2}


@pytest.mark.parametrize("lost_zone", [None, "r0z0"])
def test_the_graph_of_connections_is_connected(lost_zone):
    members = [m for m in fleet(48) if m.zone != lost_zone]
    edges = {m.node: set() for m in members}
    for own in members:
        for peer in select_peers(own.node, Location(own.region, own.zone), members, 8):
            edges[own.node].add(peer)
            edges[peer].add(own.node)
    assert max(len(peers) for peers in edges.values()) <= 24
    reached, waiting = set(), [members[0].node]
    while waiting:
        node = waiting.pop()
        if node not in reached:
            reached.add(node)
            waiting.extend(edges[node])
    assert len(reached) == len(members)


def test_a_failed_node_changes_only_the_ranks_after_it():
    nodes = [f"n{i}" for i in range(20)]
    order = sorted(nodes, key=lambda node: rendezvous_rank("key", node, nodes))
    assert sorted(rendezvous_rank("key", node, nodes) for node in nodes) == list(range(20))
    rest = [node for node in nodes if node != order[3]]
    assert [rendezvous_rank("key", node, rest) for node in order[:3]] == [0, 1, 2]
    assert rendezvous_rank("key", order[4], rest) == 3
