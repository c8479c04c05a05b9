"""Guards against memory for callers that is not bounded, not given back, or taken from others."""

import asyncio
import contextlib

import pytest

from anviltray.callers import bind, serve_internal
from anviltray.callers.tests.support import Node, Upstream, call, encode, ok, read_response
from anviltray.testing import free_address, wait_until

BUDGET_BYTES = 2_000_000
SMALL = {"memory_limit_bytes": BUDGET_BYTES, "body_limit_bytes": 1_048_576}
LARGE = b"x" * 200_000
MANY_FIELDS = {f"A{number}": "" for number in range(1500)}


def run(test, handler, callers):
    async def main():
        async with Upstream(handler) as upstream, Node(callers) as node:
            node.context.ejector.addresses = (upstream.address,)
            await asyncio.wait_for(test(node), 20)
            # All that was counted is given back, whatever has ended the connections.
            await wait_until(lambda: node.memory.used_bytes == 0, 5.0)

    asyncio.run(main())


async def open_crowd(address, count, *pieces):
    host, port = address.split(":")
    writers = []
    for _ in range(count):
        _, writer = await asyncio.open_connection(host, int(port), limit=1024)
        writers.append(writer)
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
    await asyncio.sleep(0.3)
    return writers


def leave(writers):
    for writer in writers:
        writer.transport.abort()


@pytest.mark.parametrize(
    "pieces",
    [
        (encode("PUT /levels/1", Content_Length=60_000), b"x" * 59_999),
        (encode("POST /crews", Content_Length=900_000), b"x" * 500_000),
        (encode("PUT /levels/1", Transfer_Encoding="chunked"), b"a000\r\n" + b"x" * 40_960),
        (encode("GET /levels/1", **MANY_FIELDS)[:-2],),
        (encode("PUT /levels/1", Content_Length=9, **MANY_FIELDS), b"x"),
        (encode("GET /levels/large") * 30,),
        (encode("GET /nowhere") * 33,),
        (encode("GET /.anviltray/ready") * 30,),
    ],
    ids=["body", "large", "chunks", "head", "fields", "ahead", "unknown", "ready"],
)
def test_a_crowd_is_held_within_the_budget_and_others_are_served(pieces):
    async def test(node):
        used = []
        writers = await open_crowd(node.address, 60, *pieces)
        used.append(node.memory.used_bytes)
        for _ in range(3):
            assert (await node.call("GET /levels/1")).status == 200
            used.append(node.memory.used_bytes)
        assert max(used) <= BUDGET_BYTES
        leave(writers)

    async def answer(request, writer):
        return await ok(LARGE if "large" in request.line else b"fine")(request, writer)

    run(test, answer, SMALL)


@pytest.mark.parametrize("path", ["/levels/1", "/nowhere", "/.anviltray/ready"])
def test_fields_above_the_limit_are_rejected(path):
    async def test(node):
        response = await node.call(f"GET {path}", **{f"A{number}": "" for number in range(40)})
        assert response.status == 431

    run(test, ok(), SMALL | {"field_limit": 32})


def test_responses_that_are_not_read_end_after_their_time():
    async def test(node):
        requests = encode("GET /levels/1") * 30
        (writer,) = await open_crowd(node.address, 1, requests)
        await wait_until(lambda: node.memory.counters["closed_stalled_readers"] == 1, 10.0)
        leave([writer])

    run(test, ok(LARGE), {"reader_timeout_s": 0.3})


@pytest.mark.parametrize(
    "limits", [{"pipeline_limit": 4}, {"pipeline_limit_bytes": 1024}], ids=["number", "bytes"]
)
def test_requests_ahead_above_the_limit_are_not_run(limits):
    async def test(node):
        host, port = node.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode("POST /crews") * 10)
        served = 0
        with contextlib.suppress(asyncio.IncompleteReadError):
            while (await read_response(reader)).status == 200:
                served += 1
        assert 0 < served < 10
        assert node.memory.counters["rejected_pipelined"] == 1
        writer.close()

    run(test, ok(), limits)


@pytest.mark.parametrize(
    ("piece", "status"), [(b"GET / HTTP/1.1\r\n", 200), (encode("GET /levels"), 503)]
)
def test_a_connection_that_does_not_move_makes_room_for_a_new_one(piece, status):
    """One that is kept for the next request of its caller does so only after a second."""

    async def test(node):
        writers = await open_crowd(node.address, 3, piece)
        assert (await node.call("GET /levels")).status == status
        await asyncio.sleep(1.0)
        assert (await node.call("GET /levels")).status == 200
        assert node.memory.counters["closed_for_connections"] > 0
        leave(writers)

    run(test, ok(), {"connection_limit": 3})


async def _ready(scope, receive, send):
    await send(
        {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"2")]}
    )
    await send({"type": "http.response.body", "body": b"ok"})


@pytest.mark.parametrize(
    "piece",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 500_000,
        b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 5000,
        encode("GET /") * 400,
        b"",
    ],
    ids=["field", "fields", "ahead", "connections"],
)
def test_addresses_for_the_platform_answer_while_a_crowd_holds_connections(piece):
    async def main():
        node = Node(SMALL)
        stop, address = asyncio.Event(), free_address()
        serving = asyncio.create_task(
            serve_internal(_ready, [bind(address)], stop, node.pressure, connection_limit=30)
        )
        writers = await open_crowd(address, 40, piece)
        await asyncio.sleep(1.0)
        assert (await call(address, "GET /")).status == 200
        assert node.memory.used_bytes <= BUDGET_BYTES
        leave(writers)
        await wait_until(lambda: node.memory.used_bytes == 0, 5.0)
        stop.set()
        await serving

    asyncio.run(main())
