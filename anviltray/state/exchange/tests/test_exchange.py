"""Guards against nodes that miss updates, and against faults that spread to other nodes."""

import asyncio

import cbor2
import pytest

from anviltray.messages import (
    Counters,
    Evidence,
    LoadDigest,
    UpstreamEvidence,
    UpstreamLoad,
)
from anviltray.platform import HostEntry, MemoryPlatform
from anviltray.state.configuration import STREAM, ConfigurationStore
from anviltray.state.exchange import _exchange as exchange_module
from anviltray.state.exchange import _member_sync as member_sync_module
from anviltray.state.exchange._connector import ConnectFailed
from anviltray.state.tests.fleet import StateNode, running
from anviltray.state.tests.services import make_service, put
from anviltray.testing import run_with_virtual_clock, wait_until

SETTLE_S = 0.002


@pytest.fixture
def blocked_pairs(monkeypatch):
    """Pairs (node, address) between which no new connection can be opened."""
    pairs = set()
    original = exchange_module.open_connection

    async def guarded(address, path, hello, key):
        if (hello.member.node, address) in pairs:
            raise ConnectFailed(address)
        return await original(address, path, hello, key)

    for module in (exchange_module, member_sync_module):
        monkeypatch.setattr(module, "open_connection", guarded)
    return pairs


def create(platform, *places, **options):
    """Returns nodes at "region/zone", each with only the previous node as a seed."""
    nodes = []
    for index, place in enumerate(places):
        region, zone = place.split("/")
        seeds = [nodes[-1].address] if nodes else []
        nodes.append(StateNode(platform, f"n{index}", region, zone, seeds, **options))
    return nodes


def all_members_known(nodes):
    return all(len(n.exchange.membership.usable()) == len(nodes) for n in nodes)


def partition(nodes, others, blocked_pairs):
    """Aborts all connections between two groups of nodes, and blocks new ones."""
    for first in nodes:
        for second in others:
            blocked_pairs.update({(first.name, second.address), (second.name, first.address)})
            for one, two in ((first, second), (second, first)):
                link = one.exchange._links.get(two.name)
                if link is not None:
                    link._socket.transport.abort()


def test_all_nodes_find_each_other_and_share_the_configuration():
    async def main():
        nodes = create(MemoryPlatform(), *["viti/a"] * 4)
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            outcome = await nodes[2].publisher.submit(put(make_service()), 5.0)
            assert outcome.outcome == "accepted"
            await wait_until(lambda: all(n.store.version == 0 for n in nodes))
            assert {n.store.fold.digest for n in nodes} == {nodes[0].store.fold.digest}
            assert [n.exchange.not_ready_reason() for n in nodes] == [None] * 4

    run_with_virtual_clock(main(), SETTLE_S)


def test_evidence_reaches_each_node_once():
    async def main():
        nodes = create(MemoryPlatform(), *["viti/a"] * 4)
        received = []
        for node in nodes:
            node.exchange.add_handler(Evidence, lambda now_s, message: received.append(message))
        async with running(*nodes):
            await wait_until(lambda: all(len(n.exchange.peers) == 3 for n in nodes))
            own = nodes[0].exchange.membership.own
            upstreams = (UpstreamEvidence("10.0.0.1:80", 2.0, 5, True),)
            nodes[0].exchange.send(Evidence(own.node, own.incarnation, 1, "desk", 0.25, upstreams))
            await wait_until(lambda: len(received) == 3)
            await asyncio.sleep(5)
            assert len(received) == 3
            assert all(message.age_s >= 0.25 for message in received)

    run_with_virtual_clock(main(), SETTLE_S)


def test_a_killed_node_is_removed_and_a_stopped_one_leaves():
    async def main():
        nodes = create(MemoryPlatform(), *["viti/a"] * 4)
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            await nodes[3].abort()
            views = [n.exchange.membership for n in nodes[:3]]
            await wait_until(lambda: all(v.members["n3"].status == "dead" for v in views))
            await nodes[2].stop()
            await wait_until(lambda: all(v.members["n2"].status == "leaving" for v in views[:2]))

    run_with_virtual_clock(main(), SETTLE_S)


def test_query_names_the_nodes_that_did_not_answer():
    async def main():
        nodes = create(MemoryPlatform(), *["viti/a"] * 3)
        for node in nodes:
            node.exchange.set_query_handler(
                lambda text, name=node.name: [{"node": name, "text": text}]
            )
        async with running(*nodes):
            await wait_until(lambda: all(len(n.exchange.peers) == 2 for n in nodes))
            await nodes[2].abort()
            result = await nodes[0].exchange.query("show nodes", 1.0)
            assert result.answers["n1"] == [{"node": "n1", "text": "show nodes"}]
            assert result.missing == ("n2",)

    run_with_virtual_clock(main(), SETTLE_S)


@pytest.mark.parametrize(("key", "accepted"), [(b"k", True), (b"other", False), (b"", False)])
def test_a_wrong_key_is_refused_and_logged_once(key, accepted):
    async def main():
        platform = MemoryPlatform()
        node = StateNode(platform, "n0")
        other = StateNode(platform, "n1", seeds=[node.address], key=key)
        async with running(node, other):
            await asyncio.sleep(30)
            assert (node.exchange.peers == ("n1",)) == accepted
            assert (other.exchange.peers == ("n0",)) == accepted
            # The opener sends its proof first, so only the accepting side detects a wrong key.
            refusals = node.exchange.counters["wrong_keys"]
            assert (refusals > 1) != accepted
            assert list(node.exchange._handshake_accepted.values()) == ([] if accepted else [False])

    run_with_virtual_clock(main(), SETTLE_S)


def test_invalid_data_on_the_peer_port_is_ignored():
    async def main():
        node = StateNode(MemoryPlatform(), "n0")
        host, port = node.address.split(":")
        async with running(node):
            for data in (b"", b"\x00" * 100, b"GET /peer HTTP/1.1\r\n\r\n"):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                await asyncio.sleep(2)
                writer.close()
            assert node.exchange.peers == ()

    run_with_virtual_clock(main(), SETTLE_S)


def test_undecodable_messages_are_counted_and_skipped():
    async def main():
        nodes = create(MemoryPlatform(), "viti/a", "viti/a")
        async with running(*nodes):
            await wait_until(lambda: nodes[1].exchange.peers == ("n0",))
            link = nodes[1].exchange._links["n0"]
            await link._socket.send(cbor2.dumps([99, 1]))
            await link._socket.send("text")
            await wait_until(lambda: nodes[0].exchange.counters["undecodable_messages"] == 2)
            assert nodes[0].exchange.peers == ("n1",)

    run_with_virtual_clock(main(), SETTLE_S)


@pytest.mark.parametrize("both_ways", [False, True])
def test_a_silent_connection_is_replaced_and_removes_nobody(both_ways):
    async def main():
        nodes = create(MemoryPlatform(), "viti/a", "viti/a", "viti/a")
        async with running(*nodes):
            await wait_until(lambda: all(len(n.exchange.peers) == 2 for n in nodes))
            broken_links = nodes[0].exchange._links["n1"], nodes[1].exchange._links["n0"]

            async def discard(data):
                return None

            for link in broken_links if both_ways else broken_links[:1]:
                link._socket.send = discard
            statuses = set()

            def replaced():
                for node in nodes:
                    statuses.update(m.status for m in node.exchange.membership.usable())
                current = nodes[0].exchange._links.get("n1"), nodes[1].exchange._links.get("n0")
                return None not in current and not set(current) & set(broken_links)

            await wait_until(replaced)
            assert statuses == {"alive"}

    run_with_virtual_clock(main(), SETTLE_S)


def test_a_lost_connection_between_two_nodes_removes_neither(blocked_pairs):
    async def main():
        nodes = create(MemoryPlatform(), *["viti/a"] * 4)
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            partition(nodes[1:2], nodes[2:3], blocked_pairs)
            for _ in range(60):
                await asyncio.sleep(1)
                views = [m for n in nodes for m in n.exchange.membership.usable()]
                assert len(views) == 16 and {m.status for m in views} == {"alive"}

    run_with_virtual_clock(main(), SETTLE_S)


@pytest.mark.parametrize("duration_s", [10, 100])
def test_a_partition_heals(blocked_pairs, duration_s):
    async def main():
        platform = MemoryPlatform()
        nodes = create(platform, "viti/a", "viti/b", "vanua/a", "vanua/b")
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            await wait_until(lambda: all(n.exchange.not_ready_reason() is None for n in nodes))
            partition(nodes[:2], nodes[2:], blocked_pairs)
            for node in nodes[2:]:
                node.follower._platform = MemoryPlatform()
                node.follower._platform.available = False
            await wait_until(lambda: all(len(n.exchange.membership.usable()) == 2 for n in nodes))
            outcome = await nodes[0].publisher.submit(put(make_service()), 5.0)
            assert outcome.outcome == "accepted"
            await wait_until(lambda: nodes[1].store.version == 0)
            assert nodes[2].store.version == nodes[3].store.version == -1
            assert nodes[2].exchange.not_ready_reason() is None
            # After 100 s both sides have removed each other's members.
            await asyncio.sleep(duration_s)
            blocked_pairs.clear()
            await wait_until(
                lambda: all_members_known(nodes) and all(n.store.version == 0 for n in nodes), 120
            )

    run_with_virtual_clock(main(), SETTLE_S)


def test_a_restarted_node_replaces_its_earlier_process():
    async def main():
        platform = MemoryPlatform()
        nodes = create(platform, *["viti/a"] * 3)
        async with running(*nodes[:2]):
            await nodes[2].start()
            await wait_until(lambda: all_members_known(nodes))
            await nodes[2].abort()
            again = StateNode(platform, "n2", seeds=[nodes[0].address])
            again.exchange.membership.own = own = again.exchange.membership.own._replace(
                incarnation=1
            )
            again.exchange.membership._members["n2"] = own
            async with running(again):
                views = [n.exchange.membership.members for n in nodes[:2]]
                await wait_until(lambda: all(view["n2"].incarnation == 1 for view in views))
                await asyncio.sleep(30)
                assert all(view["n2"].status == "alive" for view in views)

    run_with_virtual_clock(main(), SETTLE_S)


def test_nodes_find_each_other_through_the_host_list():
    async def main():
        nodes = [StateNode(MemoryPlatform(), f"n{i}") for i in range(3)]
        hosts = tuple(
            HostEntry("10.0.0.1:80", "node", "live", "viti", "a", n.address, n.name) for n in nodes
        )
        async with running(*nodes):
            for node in nodes:
                node.exchange.set_hosts(hosts)
            await wait_until(lambda: all_members_known(nodes))

    run_with_virtual_clock(main(), SETTLE_S)


async def cold_start(prepare, count=3):
    """Starts a node while the log is unavailable, with peers that have a configuration."""
    platform = MemoryPlatform()
    nodes = create(platform, *["viti/a"] * count)
    async with running(*nodes):
        await wait_until(lambda: all_members_known(nodes))
        for index in range(5):
            outcome = await nodes[0].publisher.submit(put(make_service(f"s{index}")), 5.0)
            assert outcome.outcome == "accepted"
        await wait_until(lambda: all(n.store.version == 4 for n in nodes))
        platform.available = False
        late = StateNode(platform, "late", seeds=[n.address for n in nodes])
        prepare(nodes, late)
        async with running(late):
            assert late.exchange.not_ready_reason() is not None
            ready_after_s = await wait_until(lambda: late.exchange.not_ready_reason() is None)
            assert late.store.fold.digest == nodes[-1].store.fold.digest
            return ready_after_s


@pytest.mark.parametrize("records_in_memory", [True, False])
def test_a_node_that_starts_without_the_log_gets_the_state_from_peers(records_in_memory):
    def prepare(nodes, late):
        for node in nodes:
            if not records_in_memory:
                node.store._recent.clear()

    assert run_with_virtual_clock(cold_start(prepare), SETTLE_S) < 10


def test_a_state_with_another_digest_is_dropped_and_pulled_from_another_peer():
    def prepare(nodes, late):
        # Two of three peers hold a state that does not match their digest.
        for node in nodes[:2]:
            node.store._recent.clear()
            fold = node.store.fold
            fold._services["s0"] = fold.services["s0"]._replace(floor_slots=99)

    assert run_with_virtual_clock(cold_start(prepare), SETTLE_S) < 60


def test_no_node_is_ready_when_all_are_new_and_the_log_is_unavailable():
    async def main():
        platform = MemoryPlatform()
        platform.available = False
        nodes = create(platform, *["viti/a"] * 3)
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            await asyncio.sleep(60)
            assert all("no configuration" in n.exchange.not_ready_reason() for n in nodes)
            platform.available = True
            await wait_until(lambda: all(n.exchange.not_ready_reason() is None for n in nodes))

    run_with_virtual_clock(main(), SETTLE_S)


def test_a_new_node_waits_for_the_newest_version_it_knows_of():
    async def main():
        store = ConfigurationStore()
        store.observe_version(0.0, 3)
        store.observe_log_end(0.0, 0)
        return store.not_ready_reason()

    assert "behind 3" in run_with_virtual_clock(main())


def test_a_change_crosses_to_another_region_once():
    async def main():
        platform = MemoryPlatform()
        nodes = create(platform, *["viti/a", "vanua/a"] * 4)
        for node in nodes[1::2]:
            # Log reads would use the link between regions too; here only the exchange is counted.
            node.follower._platform = MemoryPlatform()
            node.follower._platform.available = False
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            await asyncio.sleep(20)
            before = sum(n.exchange.counters["link_bytes"] for n in nodes)
            command = put(make_service(upstreams=200))
            assert (await nodes[0].publisher.submit(command, 5.0)).outcome == "accepted"
            await wait_until(lambda: all(n.store.version == 0 for n in nodes))
            size = len(platform.payloads(STREAM)[0])
            crossed = sum(n.exchange.counters["link_bytes"] for n in nodes) - before
            assert size < crossed < 1.5 * size

    run_with_virtual_clock(main(), SETTLE_S)


def digest(sequence, service="desk"):
    upstreams = tuple(UpstreamLoad(f"10.0.0.{i}:80", 1, 0.5) for i in range(30))
    return LoadDigest("n0", 1, sequence, service, upstreams, 0.0)


def test_a_slow_peer_loses_old_digests_but_no_configuration():
    async def main():
        platform = MemoryPlatform()
        nodes = create(platform, "viti/a", "viti/a", budget_bytes_s=1024)
        received = []
        nodes[1].exchange.add_handler(LoadDigest, lambda now_s, message: received.append(message))
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes))
            incarnation = nodes[0].exchange.membership.own.incarnation
            for sequence in range(1, 401):
                message = digest(sequence, f"s{sequence % 200}")
                nodes[0].exchange.send(message._replace(incarnation=incarnation))
            outcome = await nodes[0].publisher.submit(put(make_service()), 5.0)
            assert outcome.outcome == "accepted"
            await wait_until(lambda: nodes[1].store.version == 0, 10)
            await asyncio.sleep(200)
            counters = nodes[0].exchange.counters
            assert counters["dropped_load"] + counters["replaced"] >= 300
            # The newest digests are the ones that arrive.
            assert max(m.sequence for m in received) == 400
            assert len(received) < 100
            assert counters["sent_bytes"] < 1024 * (2 + asyncio.get_running_loop().time())

    run_with_virtual_clock(main(), SETTLE_S)


def test_an_error_in_a_handler_does_not_close_the_connection():
    async def main():
        nodes = create(MemoryPlatform(), "viti/a", "viti/a")

        def fail(*_):
            raise KeyError("desk")

        nodes[1].exchange.add_handler(LoadDigest, fail)
        async with running(*nodes):
            await wait_until(lambda: nodes[0].exchange.peers == ("n1",))
            link = nodes[0].exchange._links["n1"]
            nodes[1].exchange.set_query_handler(fail)
            own = nodes[0].exchange.membership.own
            nodes[0].exchange.send(digest(1)._replace(incarnation=own.incarnation))
            result = await nodes[0].exchange.query("show nodes", 1.0)
            assert result.missing == ("n1",)
            assert nodes[1].exchange.counters["handler_errors"] == 2
            assert nodes[0].exchange._links["n1"] is link

    run_with_virtual_clock(main(), SETTLE_S)


def test_counters_stay_in_their_zone():
    async def main():
        nodes = create(MemoryPlatform(), "viti/a", "viti/a", "viti/b", "vanua/a")
        received = []
        for node in nodes[1:]:
            node.exchange.add_handler(
                Counters, lambda now_s, _, name=node.name: received.append(name)
            )
        async with running(*nodes):
            await wait_until(lambda: all(len(n.exchange.peers) == 3 for n in nodes))
            own = nodes[0].exchange.membership.own
            nodes[0].exchange.send(Counters(own.node, own.incarnation, 1, ()))
            await asyncio.sleep(5)
            assert received == ["n1"]

    run_with_virtual_clock(main(), SETTLE_S)


def test_messages_of_an_earlier_process_are_ignored():
    async def main():
        nodes = create(MemoryPlatform(), "viti/a", "viti/a", "viti/a")
        received = []
        nodes[1].exchange.add_handler(LoadDigest, lambda now_s, message: received.append(message))
        async with running(*nodes):
            await wait_until(lambda: all(len(n.exchange.peers) == 2 for n in nodes))
            current = nodes[0].exchange.membership.own.incarnation
            for incarnation, sequence in ((current, 5), (current + 1, 9), (current, 4)):
                message = digest(sequence)._replace(incarnation=incarnation)
                nodes[0].exchange._links["n1"].send(message)
                await asyncio.sleep(1)
            assert [message.sequence for message in received] == [5]

    run_with_virtual_clock(main(), SETTLE_S)


def test_connections_are_bounded():
    async def main():
        platform = MemoryPlatform()
        nodes = create(platform, *(f"r{i % 2}/z{i // 2 % 2}" for i in range(24)), peers=4)
        async with running(*nodes):
            await wait_until(lambda: all_members_known(nodes), 120)
            await asyncio.sleep(30)
            assert all(2 <= len(n.exchange.peers) <= 14 for n in nodes)
            opened = [sum(link.opened_here for link in n.exchange._links.values()) for n in nodes]
            assert max(opened) <= 4
            author = nodes[17]
            assert (await author.publisher.submit(put(make_service()), 5.0)).outcome == "accepted"
            await wait_until(lambda: all(n.store.version == 0 for n in nodes))

    run_with_virtual_clock(main(), SETTLE_S)
