"""Guards against a response that this host has cut short itself and that looks complete.

The connection of a response without a length ends it, and only the upstream may end it.
"""

import asyncio

import pytest

from anviltray.callers.tests.support import Upstream, make_settings
from anviltray.upstreams import (
    ExchangeBroken,
    NullObserver,
    UpstreamClient,
    UpstreamRequest,
)

PART = b"0123456789" * 20
FRAMINGS = {
    "unframed": (b"X-A: 1", PART),
    "length": (b"Content-Length: 1000", PART),
    "chunked": (b"Transfer-Encoding: chunked", b"c8\r\n" + PART + b"\r\n"),
}


def send_part(framing):
    """Returns the handler of an upstream that sends a part of its response and then waits."""
    field, data = FRAMINGS[framing]

    async def answer(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + field + b"\r\n\r\n" + data)
        await asyncio.Event().wait()

    return answer


async def close_client(client, response):
    await client.close()


async def close_connection(client, response):
    response._response.connection.protocol.close()


async def abort_connection(client, response):
    response._response.connection.protocol.abort()


async def close_transport(client, response):
    response._response.connection.transport.close()


ENDS = [close_client, close_connection, abort_connection, close_transport]


async def read_next(response, ended):
    return await response.read_chunk()


async def read_if_complete(response, ended):
    await ended.wait()
    await asyncio.sleep(0.05)  # The loss of the connection is reported after its close.
    return response.read_rest_nowait()


@pytest.mark.parametrize("read", [read_next, read_if_complete])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_cut_short_by_this_host_is_broken(framing, end, read):
    """The reader of the body gets an error, and does not wait for an end that cannot come."""

    async def main():
        async with Upstream(send_part(framing)) as upstream:
            client = UpstreamClient(make_settings(upstreams={"accept_unframed": True}).upstreams)
            request = UpstreamRequest("GET", "/", ())
            response = await client.send(upstream.address, request, NullObserver())
            assert await response.read_chunk() == PART
            ended = asyncio.Event()
            reading = asyncio.create_task(read(response, ended))
            await asyncio.sleep(0.01)
            await end(client, response)
            ended.set()
            with pytest.raises(ExchangeBroken):
                await asyncio.wait_for(reading, 5)
            response.close()
            await client.close()

    asyncio.run(main())


def test_part_that_arrives_together_with_a_reset_is_not_the_whole_response():
    """Guards against a reader that sees the end of the stream before the error that caused it."""

    async def main():
        async with Upstream(send_part("unframed")) as upstream:
            client = UpstreamClient(make_settings(upstreams={"accept_unframed": True}).upstreams)
            request = UpstreamRequest("GET", "/", ())
            response = await client.send(upstream.address, request, NullObserver())
            assert await response.read_chunk() == PART
            reading = asyncio.create_task(response.read_chunk())
            await asyncio.sleep(0.01)
            protocol = response._response.connection.protocol
            protocol.data_received(PART)
            protocol.connection_lost(ConnectionResetError("reset by the upstream"))
            assert await reading == PART
            assert not response.at_end
            with pytest.raises(ExchangeBroken):
                await response.read_chunk()
            response.close()
            await client.close()

    asyncio.run(main())


def test_response_that_the_upstream_ends_is_complete():
    async def answer(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + PART)
        await asyncio.sleep(0.05)
        return False

    async def main():
        async with Upstream(answer) as upstream:
            client = UpstreamClient(make_settings(upstreams={"accept_unframed": True}).upstreams)
            request = UpstreamRequest("GET", "/", ())
            response = await client.send(upstream.address, request, NullObserver())
            assert await response.read(1000) == PART
            response.close()
            await client.close()

    asyncio.run(main())
