"""Guards against work of a node for callers whose end nobody sees because reading is paused."""

import asyncio

import pytest

from anviltray.callers.tests.support import Node, Upstream, encode, ok

LEAVES_AFTER_S = 0.3
NOTICED_S = 0.5  # Time after the end of a caller by which nothing is done for it any more.
WORK_S = 1.2
FIRST, LATER = encode("GET /levels/1"), encode("GET /levels/2")
LONG = encode("PUT /levels/1", b"x" * 200_000)  # More than a node buffers.


@pytest.mark.parametrize("leaves", ["close", "reset", "end of input"])
@pytest.mark.parametrize(
    "data",
    [FIRST, FIRST + LATER, FIRST + LATER + LATER, LONG, LONG + LATER],
    ids=["one request", "pipelined", "three pipelined", "long body", "long body, pipelined"],
)
def test_node_does_nothing_for_a_caller_that_has_left(data, leaves):
    """Its request was worked on to the end, and those behind it were begun."""

    async def main():
        arrived = asyncio.Event()

        async def answer_late(request, writer):
            arrived.set()
            await asyncio.sleep(WORK_S)
            return await ok()(request, writer)

        async with Upstream(answer_late) as upstream, Node() as node:
            node.context.ejector.addresses = (upstream.address,)
            host, port = node.address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await asyncio.wait_for(arrived.wait(), 5)
            await asyncio.sleep(LEAVES_AFTER_S)
            if leaves == "close":
                writer.close()
            elif leaves == "reset":
                writer.transport.abort()
            else:
                writer.write_eof()
            await asyncio.sleep(NOTICED_S)
            assert not node.context.upstreams.open_connections(upstream.address)
            await asyncio.sleep(WORK_S)
            assert len(upstream.requests) == 1
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 20))
