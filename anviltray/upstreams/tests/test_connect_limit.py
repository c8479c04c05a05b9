"""Guards against hosts that give up connections because their own event loop is late."""

import asyncio
import contextlib
import socket
import time

import pytest

from anviltray.callers.tests.support import Upstream, make_settings, ok
from anviltray.upstreams import ConnectFailed, NullObserver, UpstreamClient, UpstreamRequest

CONNECT_LIMIT_S = 0.2
GET = UpstreamRequest("GET", "/", ())


def make_client():
    return UpstreamClient(make_settings(upstreams={"connect_timeout_s": CONNECT_LIMIT_S}).upstreams)


def block_event_loop():
    time.sleep(1.5 * CONNECT_LIMIT_S)


@contextlib.contextmanager
def unanswering_address():
    """Yields an address whose connections stay in the queue of the system."""
    with socket.socket() as full, socket.socket() as first, socket.socket() as second:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        host, port = full.getsockname()
        for waiting in (first, second):
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        yield f"{host}:{port}"


@pytest.mark.parametrize("times", [1, 4])
def test_connections_open_while_the_event_loop_is_late(times):
    """Guards against a burst of requests that a host rejects although instances accept them.

    A limit that passes while the process does other work says nothing about the instance.
    """

    async def main():
        async with Upstream(ok()) as upstream:
            client = make_client()
            try:
                sending = [
                    asyncio.create_task(client.send(upstream.address, GET, NullObserver()))
                    for _ in range(3)
                ]
                await asyncio.sleep(0)
                for _ in range(times):
                    block_event_loop()
                    await asyncio.sleep(0)
                for response in await asyncio.gather(*sending):
                    assert response.status == 200
                    response.close()
                assert upstream.connections == 3
            finally:
                await client.close()

    asyncio.run(main())


def test_connect_limit_holds_for_an_address_that_does_not_answer():
    async def main():
        loop = asyncio.get_running_loop()
        client = make_client()
        try:
            with unanswering_address() as address:
                started_s = loop.time()
                with pytest.raises(ConnectFailed) as caught:
                    await client.send(address, GET, NullObserver())
                assert 0.9 * CONNECT_LIMIT_S <= loop.time() - started_s < 5 * CONNECT_LIMIT_S
                assert not caught.value.written
                assert client.open_connections(address) == 0
        finally:
            await client.close()

    asyncio.run(main())


def test_cancelled_request_ends_while_its_connection_opens():
    async def main():
        client = make_client()
        try:
            with unanswering_address() as address:
                sending = asyncio.create_task(client.send(address, GET, NullObserver()))
                await asyncio.sleep(CONNECT_LIMIT_S / 4)
                sending.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await sending
                assert client.open_connections(address) == 0
        finally:
            await client.close()

    asyncio.run(main())
