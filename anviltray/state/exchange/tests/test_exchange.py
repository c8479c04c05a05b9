"""Guards against nodes that do not find each other or do not pass on what they know."""

import asyncio

from anviltray.messages import Evidence, UpstreamEvidence
from anviltray.platform import MemoryPlatform
from anviltray.state.tests.fleet import StateNode, running, until
from anviltray.state.tests.services import make_service, put
from anviltray.testing import run_virtual

SETTLE_S = 0.002


def chain(platform, count, **options):
    """Returns nodes of which each knows only the one before it."""
    nodes = []
    for index in range(count):
        seeds = [nodes[-1].address] if nodes else []
        nodes.append(StateNode(platform, f"n{index}", seeds=seeds, **options))
    return nodes


def test_all_nodes_find_each_other_and_share_the_configuration():
    async def main():
        platform = MemoryPlatform()
        nodes = chain(platform, 4)
        async with running(*nodes):
            await until(lambda: all(len(n.exchange.membership.usable()) == 4 for n in nodes))
            outcome = await nodes[2].publisher.submit(put(make_service()), 5.0)
            assert outcome.outcome == "accepted"
            await until(lambda: all(n.store.version == 0 for n in nodes))
            assert {n.store.fold.digest for n in nodes} == {nodes[0].store.fold.digest}
            assert [n.exchange.ready_reason() for n in nodes] == [None] * 4

    run_virtual(main(), SETTLE_S)


def test_evidence_reaches_each_node_once():
    async def main():
        nodes = chain(MemoryPlatform(), 4)
        received = []
        for node in nodes:
            node.exchange.on(Evidence, lambda now_s, message: received.append(message))
        async with running(*nodes):
            await until(lambda: all(len(n.exchange.peers) == 3 for n in nodes))
            own = nodes[0].exchange.membership.own
            upstreams = (UpstreamEvidence("10.0.0.1:80", 2.0, 5, True),)
            nodes[0].exchange.send(Evidence(own.node, own.incarnation, 1, "desk", 0.25, upstreams))
            await until(lambda: len(received) == 3)
            await asyncio.sleep(5)
            assert len(received) == 3
            assert all(message.age_s >= 0.25 for message in received)

    run_virtual(main(), SETTLE_S)


def test_a_killed_node_is_removed_and_a_stopped_one_leaves():
    async def main():
        nodes = chain(MemoryPlatform(), 4)
        async with running(*nodes):
            await until(lambda: all(len(n.exchange.membership.usable()) == 4 for n in nodes))
            await nodes[3].abort()
            views = [n.exchange.membership for n in nodes[:3]]
            await until(lambda: all(v.members["n3"].status == "dead" for v in views))
            await nodes[2].stop()
            await until(lambda: all(v.members["n2"].status == "leaving" for v in views[:2]))

    run_virtual(main(), SETTLE_S)


def test_query_names_the_nodes_that_did_not_answer():
    async def main():
        nodes = chain(MemoryPlatform(), 3)
        for node in nodes:
            node.exchange.set_query_handler(
                lambda text, name=node.name: [{"node": name, "text": text}]
            )
        async with running(*nodes):
            await until(lambda: all(len(n.exchange.peers) == 2 for n in nodes))
            await nodes[2].abort()
            result = await nodes[0].exchange.query("show nodes", 1.0)
            assert result.answers["n1"] == [{"node": "n1", "text": "show nodes"}]
            assert result.missing == ("n2",)

    run_virtual(main(), SETTLE_S)
