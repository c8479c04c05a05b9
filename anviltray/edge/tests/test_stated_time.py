"""Guards against instances that are told of more time than their request has left."""

import asyncio

import pytest

from anviltray.callers.tests.support import Node, Upstream, ok
from anviltray.edge.tests.support import Fleet, respond
from anviltray.upstreams._connector import UpstreamConnector

OPENING_S = 0.35


@pytest.fixture
def slow_connections(monkeypatch):
    """Makes all new connections to instances take `OPENING_S`."""
    open_connection = UpstreamConnector.open

    async def open_slowly(*arguments):
        await asyncio.sleep(OPENING_S)
        return await open_connection(*arguments)

    monkeypatch.setattr(UpstreamConnector, "open", open_slowly)


@pytest.mark.parametrize("head", ["GET /level/1", "POST /order/1"])
def test_stated_time_is_that_left_when_the_request_is_written(tmp_path, slow_connections, head):
    """Guards against a time that was taken before the connection was opened."""

    async def main():
        async with Fleet(tmp_path, [respond()]) as fleet:
            response = await fleet.call(head, Deadline_Ms="900")
            assert response.status == 200
            (request,) = fleet.instances[0].requests
            assert 0 < int(request.headers["deadline-ms"]) <= 900 - 1000 * OPENING_S

    asyncio.run(main())


def test_node_states_the_time_that_is_left_when_the_request_is_written(slow_connections):
    async def main():
        async with Upstream(ok()) as upstream, Node() as node:
            node.context.ejector.addresses = (upstream.address,)
            response = await node.call("POST /crews", b"crew", Anviltray_Deadline_Ms=900)
            assert response.status == 200
            (request,) = upstream.requests
            assert 0 < int(request.headers["x-deadline-ms"]) <= 900 - 1000 * OPENING_S

    asyncio.run(main())
