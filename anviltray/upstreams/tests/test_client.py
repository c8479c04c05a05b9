"""Guards against requests that run twice, responses to the wrong exchange, and pools that exceed
their limits."""

import asyncio
import os
import socket

import pytest

from anviltray.callers.tests.support import Upstream, make_settings, ok, raw
from anviltray.upstreams import (
    ConnectFailed,
    ConnectionsExhausted,
    ExchangeBroken,
    InvalidResponse,
    NullObserver,
    UpstreamClient,
    UpstreamError,
    UpstreamRequest,
)

GET = UpstreamRequest("GET", "/", ())
POST = UpstreamRequest("POST", "/", (), b"order", unrepeatable=True)


class Observer(NullObserver):
    def __init__(self):
        self.fresh, self.written, self.use, self.skipped = None, False, None, 0

    def on_connection(self, fresh):
        self.fresh = fresh

    def on_write_start(self, use, acknowledged):
        self.written, self.use, self.acknowledged = True, use, acknowledged

    def on_skipped(self):
        self.skipped += 1


def run(test, handler, **settings):
    """Runs `test(client, upstream)` against an upstream that responds with `handler`."""

    async def main():
        async with Upstream(handler) as upstream:
            client = UpstreamClient(make_settings(upstreams=settings).upstreams)
            try:
                await asyncio.wait_for(test(client, upstream), 20)
            finally:
                await client.close()

    asyncio.run(main())


async def exchange(client, address, request=GET):
    observer = Observer()
    response = await client.send(address, request, observer)
    try:
        return response, await response.read(1 << 20), observer
    finally:
        response.close()


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
def test_a_dropped_reused_connection_runs_no_request_twice(method):
    async def handler(request, writer):
        if len(upstream_requests) % 2 == 0:
            writer.close()  # The request was received, and its response is lost.
            return False
        return await ok()(request, writer)

    upstream_requests = []

    async def test(client, upstream):
        nonlocal upstream_requests
        upstream_requests = upstream.requests
        request = UpstreamRequest(method, "/", ())
        for sent in range(1, 7):
            try:
                await exchange(client, upstream.address, request)
            except ExchangeBroken as error:
                assert error.written
            assert len(upstream.requests) == sent

    run(test, handler)


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_a_closed_idle_connection_is_detected_before_a_byte_is_written(pause_s):
    async def test(client, upstream):
        for _ in range(5):
            await exchange(client, upstream.address, POST)
            await asyncio.sleep(0.02 + pause_s)
        assert len(upstream.requests) == upstream.connections == 5

    run(test, raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))


def test_late_bytes_are_not_matched_to_the_next_request():
    """Guards against a second response to a request that is matched to the next request."""
    count = 0

    async def handler(request, writer):
        nonlocal count
        count += 1
        body = b"%03d" % count
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body)
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")

    async def test(client, upstream):
        for number in range(1, 6):
            _, body, _ = await exchange(client, upstream.address)
            assert body == b"%03d" % number
            await asyncio.sleep(0.03)

    run(test, handler)


@pytest.mark.parametrize("stray", [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", b""])
def test_a_connection_with_unread_input_is_not_reused(stray):
    """The kernel has received bytes or the end of file, but the event loop has not read them."""
    writers = []

    async def handler(request, writer):
        writers.append(writer)
        return await ok(b"own")(request, writer)

    async def test(client, upstream):
        await exchange(client, upstream.address)
        sock = writers[0].get_extra_info("socket")
        if stray:
            os.write(sock.fileno(), stray)
        else:
            sock.shutdown(socket.SHUT_WR)
        _, body, observer = await exchange(client, upstream.address)
        assert body == b"own" and observer.fresh

    run(test, handler)


@pytest.mark.parametrize(
    ("header", "reused"),
    [
        ("", True),
        ("Keep-Alive: timeout=5, max=9\r\n", True),
        ("Keep-Alive: timeout=1\r\n", False),
        ('Keep-Alive: max=9; TIMEOUT = "1"\r\n', False),
        ("Keep-Alive: timeout=soon\r\n", True),
    ],
)
def test_connections_are_not_reused_close_to_the_stated_timeout(header, reused):
    async def test(client, upstream):
        await exchange(client, upstream.address)
        await asyncio.sleep(0.85)
        assert client.can_reuse(upstream.address, unrepeatable=False) is reused
        _, _, observer = await exchange(client, upstream.address)
        assert observer.fresh is not reused

    run(test, ok(headers=header))


FLOOD_LIMIT_BYTES = 1_000_000  # Includes the socket buffers of both ends.


def flood(start, block):
    """Returns a handler that writes `start` and then `block` until the connection is closed."""

    async def handler(request, writer):
        handler.written = len(start)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        writer.write(start)
        while handler.written < 4 * FLOOD_LIMIT_BYTES:
            writer.write(block)
            await writer.drain()
            handler.written += len(block)
        return False

    return handler


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (b"", b"x" * 16_384),
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", b"x" * 16_384),
        (b"HTTP/1.1 200 OK\r\n", b"X-Endless: x\r\n" * 1000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", b"x" * 16_384),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0" * 16_384),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X: x\r\n" * 2000),
    ],
    ids=["bytes", "field", "fields", "informational", "extension", "chunk length", "trailers"],
)
def test_endless_bytes_that_are_no_response_end_the_exchange(start, block):
    async def test(client, upstream):
        started_s = asyncio.get_running_loop().time()
        with pytest.raises(UpstreamError):
            await exchange(client, upstream.address)
        assert asyncio.get_running_loop().time() - started_s < 2.0
        await asyncio.sleep(0.1)
        assert upstream.answer.written < FLOOD_LIMIT_BYTES
        assert client.open_connections(upstream.address) == upstream.open == 0

    run(test, flood(start, block))


@pytest.mark.parametrize("block", [b"x" * 16_384, b"HTTP/1.1 100 Continue\r\n\r\n" * 500])
def test_endless_bytes_after_a_response_close_its_connection(block):
    async def test(client, upstream):
        _, body, _ = await exchange(client, upstream.address)
        assert body == b"own"
        await asyncio.sleep(0.1)
        assert upstream.answer.written < FLOOD_LIMIT_BYTES
        assert upstream.open == 0

    run(test, flood(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", block))


@pytest.mark.parametrize("size_bytes", [0, 1, 3_000_000])
@pytest.mark.parametrize("split_at", [1, 17, 40, 60, 200_000])
def test_responses_arrive_whole_however_they_are_segmented(size_bytes, split_at):
    body = b"x" * size_bytes
    data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Own: y\r\n\r\n" % size_bytes + body

    async def handler(request, writer):
        writer.write(data[:split_at])
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(data[split_at:])
        await writer.drain()

    async def test(client, upstream):
        for reused in (False, True):
            response = await client.send(upstream.address, GET, observer := Observer())
            assert observer.fresh is not reused
            assert await response.read(4_000_000) == body
            response.close()

    run(test, handler)


def test_chunks_of_one_byte_are_accepted():
    chunks = b"1\r\nx\r\n" * 40_000
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"

    async def test(client, upstream):
        _, body, _ = await exchange(client, upstream.address)
        assert body == b"x" * 40_000

    run(test, raw(data))


@pytest.mark.parametrize(
    ("found", "required", "accepted"),
    [
        ("X-Request-Id: own\r\n", True, True),
        ("X-Request-Id: other\r\n", False, False),
        ("X-Request-Id: own\r\nX-Request-Id: other\r\n", False, False),
        ("", False, True),
        ("", True, False),
    ],
)
def test_response_must_not_belong_to_another_request(found, required, accepted):
    async def test(client, upstream):
        request = POST._replace(request_id="own")
        if accepted:
            assert (await exchange(client, upstream.address, request))[1] == b"fine"
        else:
            with pytest.raises(InvalidResponse):
                await exchange(client, upstream.address, request)
            assert client.open_connections(upstream.address) == 0

    run(test, ok(headers=found), require_request_id=required)


def test_an_abandoned_exchange_closes_its_connection():
    async def handler(request, writer):
        await asyncio.sleep(0.2)
        return await ok(b"late")(request, writer)

    async def test(client, upstream):
        observer = Observer()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await client.send(upstream.address, GET, observer)
        assert observer.written
        assert client.open_connections(upstream.address) == 0
        upstream.answer = ok(b"own")
        _, body, observer = await exchange(client, upstream.address)
        assert body == b"own" and observer.fresh

    run(test, handler)


TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
TWO_LENGTHS = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
NOT_FOUND = b"HTTP/1.1 404 No\r\nContent-Length: 26\r\n\r\n" + b'{"outcome": "not-started"}'


@pytest.mark.parametrize(
    ("handler", "error", "written"),
    [
        (raw(b""), ExchangeBroken, True),
        (raw(b"HTTP/1.1 200 OK\r\nConte"), ExchangeBroken, True),
        (raw(b"nonsense\r\n\r\n"), ExchangeBroken, True),
        (raw(TRUNCATED), ExchangeBroken, True),
        (raw(CHUNKED + b"\r\n5\r\nab"), ExchangeBroken, True),
        (raw(b"HTTP/1.1 200 OK\r\n\r\nuntil the end"), InvalidResponse, True),
        (raw(b"HTTP/1.0 200 OK\r\n\r\nuntil the end"), InvalidResponse, True),
        (raw(TWO_LENGTHS), UpstreamError, True),
        (raw(CHUNKED + b"Content-Length: 1\r\n\r\n0\r\n\r\n"), UpstreamError, True),
        (raw(b"HTTP/1.1 999 OK\r\nContent-Length: 5\r\n\r\n"), InvalidResponse, True),
    ],
)
def test_errors_report_whether_a_byte_was_written(handler, error, written):
    async def test(client, upstream):
        with pytest.raises(error) as caught:
            await exchange(client, upstream.address)
        assert caught.value.written is written
        assert client.open_connections(upstream.address) == 0

    run(test, handler)


def test_a_refused_connection_is_not_written():
    async def test(client, upstream):
        upstream.server.close()
        await upstream.server.wait_closed()
        with pytest.raises(ConnectFailed) as caught:
            await exchange(client, upstream.address)
        assert not caught.value.written

    run(test, ok())


def test_connections_per_instance_are_limited_to_the_share_of_the_node():
    release = asyncio.Event()

    async def handler(request, writer):
        await release.wait()
        return await ok()(request, writer)

    async def test(client, upstream):
        client.set_node_count(4)  # 12 connections among 4 nodes.
        tasks = [asyncio.create_task(exchange(client, upstream.address)) for _ in range(5)]
        results = await asyncio.wait(tasks, timeout=0.2)
        assert isinstance(next(iter(results[0])).exception(), ConnectionsExhausted)
        release.set()
        await asyncio.gather(*results[1])
        assert upstream.connections == 3
        assert client.open_connections(upstream.address) == 3
        client.set_node_count(12)
        await exchange(client, upstream.address)
        assert client.open_connections(upstream.address) <= 2

    run(test, handler, instance_connections=12)


def test_idle_connections_are_closed_and_unrepeatable_requests_use_recent_ones():
    async def test(client, upstream):
        await exchange(client, upstream.address)
        assert not (await exchange(client, upstream.address, POST))[2].fresh
        await asyncio.sleep(0.15)
        assert not (await exchange(client, upstream.address))[2].fresh
        await asyncio.sleep(0.15)
        assert (await exchange(client, upstream.address, POST))[2].fresh
        client.close_idle(upstream.address)
        assert (await exchange(client, upstream.address))[2].fresh
        await asyncio.sleep(0.8)
        assert client.open_connections(upstream.address) == 0

    run(test, ok(), idle_limit_s=0.5, unrepeatable_idle_limit_s=0.1)


@pytest.mark.parametrize(
    ("handler", "confirmed"),
    [
        (ok(b'{"outcome": "not-started"}'), True),
        (ok(b'{"outcome": "started"}'), False),
        (ok(b'{"outcome": "unknown"}'), False),
        (ok(b"not-started"), False),
        (ok(b"[]"), False),
        (raw(NOT_FOUND), False),
        (raw(b""), False),
    ],
)
def test_only_an_explicit_response_confirms_a_cancellation(handler, confirmed):
    async def test(client, upstream):
        assert await client.cancel(upstream.address, "n1.1.0.a", 1.0) is confirmed
        assert upstream.requests[0].line == "POST /cancel HTTP/1.1"
        assert upstream.requests[0].headers["x-request-id"] == "n1.1.0.a"

    run(test, handler)


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (503, "X-Shed: 1", (True, False, False, None)),
        (503, "X-Draining: 1", (False, True, False, None)),
        (503, "X-Draining: 1\r\nX-Shed: 1", (True, True, False, None)),
        (503, "X-Shed: 0", (False, False, False, None)),
        (503, "X-Load: 0.5", (False, False, False, 0.5)),
        (500, "X-Shed: 1", (False, False, False, None)),
        (200, "X-Draining: true\r\nX-Load: 1.25\r\nX-Cold: 1", (False, True, True, 1.25)),
        (200, "X-Load: much", (False, False, False, None)),
        (200, "X-Load: nan", (False, False, False, None)),
    ],
)
def test_signals_are_parsed_and_removed_from_the_headers(status, headers, expected):
    async def test(client, upstream):
        response, _, _ = await exchange(client, upstream.address)
        assert tuple(response.signals) == expected
        assert response.headers == [(b"content-length", b"0")]

    run(test, raw(f"HTTP/1.1 {status} X\r\n{headers}\r\nContent-Length: 0\r\n\r\n".encode()))


@pytest.mark.parametrize(
    ("handler", "healthy"),
    [(ok(), True), (raw(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), False), (raw(b""), False)],
)
def test_probe(handler, healthy):
    async def test(client, upstream):
        assert await client.probe(upstream.address, 0.5) is healthy

    run(test, handler)


def test_a_request_that_was_received_is_acknowledged():
    async def test(client, upstream):
        _, _, observer = await exchange(client, upstream.address)
        assert observer.acknowledged()

    run(test, ok())


@pytest.mark.parametrize(("streamed", "expected"), [(False, False), (True, True)])
def test_segments_in_flight_of_a_streamed_body_are_no_evidence(monkeypatch, streamed, expected):
    monkeypatch.setattr(
        "anviltray.upstreams._client.is_acknowledged", lambda transport: transport is None
    )

    async def chunks():
        yield b"order"

    async def test(client, upstream):
        body = chunks() if streamed else b"order"
        request = UpstreamRequest("POST", "/", (), body, chunked=streamed, unrepeatable=True)
        _, _, observer = await exchange(client, upstream.address, request)
        assert observer.acknowledged() is expected

    run(test, ok())


def repeat_first_response(head, body=b"first"):
    """Returns a handler that writes the first response of each connection again to its requests.

    The heads have no identifier unless `head` adds one.
    """
    connections = set()

    async def handler(request, writer):
        first = writer not in connections
        connections.add(writer)
        request_id = request.headers.get("x-request-id", "")
        text = head.format(id=request_id) if first else head.format(id="r1")
        writer.write(f"HTTP/1.1 {text}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    return handler


R1 = POST._replace(request_id="r1", headers=[("X-Request-Id", "r1")])
R2 = POST._replace(request_id="r2", headers=[("X-Request-Id", "r2")])
R3 = POST._replace(request_id="r3", headers=[("X-Request-Id", "r3")])
REFUSED = "503 Full\r\nX-Shed: 1"
REFUSED_WITH_ID = f"{REFUSED}\r\nX-Request-Id: {{id}}"
OK_WITH_ID = "200 OK\r\nX-Request-Id: {id}"


async def probe(client, address):
    assert not await client.probe(address, 1.0)


async def cancel(client, address):
    await client.cancel(address, "r1", 1.0)


def sending(request):
    async def send(client, address):
        await exchange(client, address, request)

    return send


@pytest.mark.parametrize(
    ("head", "first", "second", "connections"),
    [
        # The identifier of a repeated response says nothing about the same request.
        pytest.param(REFUSED_WITH_ID, sending(R1), R1, 2, id="refused"),
        pytest.param(OK_WITH_ID, cancel, R1, 2, id="cancelled"),
        # Without an identifier it says nothing about any request.
        pytest.param(REFUSED, sending(R1), R1, 2, id="refused-without-id"),
        pytest.param(REFUSED, sending(R1), R2, 2, id="other-refused-without-id"),
        pytest.param(REFUSED, sending(GET), R2, 2, id="nameless-refused"),
        pytest.param(REFUSED, sending(GET), GET, 2, id="both-nameless"),
        pytest.param(REFUSED, probe, R2, 2, id="probe-refused"),
        # These connections are kept: nothing was refused.
        pytest.param("200 OK", sending(R1), R2, 1, id="executed"),
        pytest.param("200 OK", sending(GET), GET, 1, id="nameless-executed"),
    ],
)
def test_repeated_response_reaches_no_request_that_it_could_belong_to(
    head, first, second, connections
):
    async def test(client, upstream):
        await first(client, upstream.address)
        await exchange(client, upstream.address, second)
        assert upstream.connections == connections

    run(test, repeat_first_response(head))


def test_response_behind_that_of_the_current_request_is_not_skipped():
    """Guards against a body that is skipped in the next exchange."""

    async def handler(request, writer):
        request_id = request.headers["x-request-id"]
        data = response_to(request_id)
        if request_id == "r2":
            data += response_to("r1", b"x" * 300)
        writer.write(data)
        await writer.drain()

    async def test(client, upstream):
        for number, request in enumerate((R1, R2, R3), 1):
            response, body, observer = await exchange(client, upstream.address, request)
            assert (response.status, body, observer.skipped) == (200, b"fine", 0)
            await asyncio.sleep(0.01)
            assert upstream.connections == (1 if number < 3 else 2)

    run(test, handler)


@pytest.mark.parametrize("follows", [b"", b"HTTP/1.1 200 "])
def test_skipped_response_is_reported_if_no_other_follows(follows):
    async def handler(request, writer):
        if request.headers["x-request-id"] == "r1":
            writer.write(response_to("r1"))
        else:
            writer.write(AGAIN + follows)
        await writer.drain()

    async def test(client, upstream):
        await exchange(client, upstream.address, R1)
        observer = Observer()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await client.send(upstream.address, R2, observer)
        assert observer.skipped == 1

    run(test, handler)


def test_response_to_a_head_request_is_not_taken_for_one_with_a_body():
    """It states the length of a body that does not come, so the next response would be skipped."""
    head_response = response_to("r1", b"", framing="Content-Length: 400")

    async def handler(request, writer):
        own = response_to(request.headers["x-request-id"])
        is_head = request.line.startswith("HEAD")
        writer.write(head_response if is_head else head_response + own)
        await writer.drain()

    async def test(client, upstream):
        await exchange(client, upstream.address, R1._replace(method="HEAD", body=None))
        with pytest.raises(UpstreamError):
            async with asyncio.timeout(1.0):
                await exchange(client, upstream.address, R2)

    run(test, handler)


def test_request_that_comes_again_replaces_the_connection_that_carried_it():
    """Guards against an idle connection for each time that a caller uses the same identifier."""
    open_connections = []

    async def handler(request, writer):
        writer.write(response_to("r1"))
        await writer.drain()

    async def test(client, upstream):
        for _ in range(10):
            await exchange(client, upstream.address, R1)
            await asyncio.sleep(0.01)
            open_connections.append(upstream.open)
        assert client.open_connections(upstream.address) == 1
        assert (max(open_connections), upstream.connections) == (1, 10)

    run(test, handler)


def test_connection_does_not_forget_which_requests_it_has_carried():
    """Guards against a bound on what is kept for a connection that makes it forget a refusal."""
    count = 600

    async def test(client, upstream):
        for number in range(count):
            request_id = f"n{number}"
            request = R1._replace(request_id=request_id, headers=[("X-Request-Id", request_id)])
            await exchange(client, upstream.address, request)
        for number in range(0, count, 7):
            request_id = f"n{number}"
            request = R1._replace(request_id=request_id, headers=[("X-Request-Id", request_id)])
            await exchange(client, upstream.address, request)
        assert not [key for key, times in carried.items() if times > 1]
        # Less than one connection for 100 requests is opened in order not to forget.
        assert 3 <= upstream.connections <= 2 + len(upstream.requests) // 100

    carried = {}

    async def handler(request, writer):
        key = (writer, request.headers["x-request-id"])
        carried[key] = carried.get(key, 0) + 1
        head = f"HTTP/1.1 {REFUSED_WITH_ID.format(id=key[1])}\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode())
        await writer.drain()

    run(test, handler)


def response_to(request_id, body=b"fine", status="200 OK", framing=None):
    """Returns the bytes of a response with an identifier."""
    framing = f"Content-Length: {len(body)}" if framing is None else framing
    return f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n{framing}\r\n\r\n".encode() + body


AGAIN = response_to("r1", b"", REFUSED)
CHUNKS = b"4\r\nlate\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    ("late", "skipped"),
    [
        pytest.param(AGAIN, 1, id="refusal"),
        pytest.param(AGAIN * 3, 3, id="three-refusals"),
        pytest.param(response_to("r1", b"late"), 1, id="body"),
        pytest.param(response_to("r1", b"x" * 32768), 1, id="long-body"),
        pytest.param(AGAIN + b"HTTP/1.1 103 Early Hints\r\n\r\n", 1, id="informational"),
        # These are not certain to be a whole response to an earlier request.
        pytest.param(response_to("r0", b""), None, id="unknown-request"),
        pytest.param(response_to("r1\r\nX-Request-Id: r0", b""), None, id="two-requests"),
        pytest.param(response_to("r1\r\nX-Request-Id: r2", b""), None, id="also-the-current"),
        pytest.param(response_to("r1", b"x" * 32769), None, id="too-long"),
        pytest.param(response_to("r1", CHUNKS, framing="Transfer-Encoding: chunked"), None, id="c"),
        pytest.param(response_to("r1", b"", framing="X-A: 1"), None, id="unframed"),
        pytest.param(response_to("r1", b"", "204 X", "Content-Length: 4"), None, id="bodiless"),
        pytest.param(AGAIN * 17, None, id="too-many"),
        pytest.param(response_to("r1", b"", framing="Content-Length: 99"), None, id="truncated"),
        pytest.param(response_to("r1", b"", framing="Content-Length: 9999"), None, id="cut-early"),
        pytest.param(response_to("r1", response_to("r2", b"late")), None, id="response-in-body"),
    ],
)
@pytest.mark.parametrize("segment_bytes", [1 << 20, 7])
def test_response_is_found_after_one_that_is_written_again(late, skipped, segment_bytes):
    async def handler(request, writer):
        request_id = request.headers["x-request-id"]
        data = response_to(request_id)
        if request_id == "r2":
            data = late + data
        for start in range(0, len(data), segment_bytes):
            writer.write(data[start : start + segment_bytes])
            if start < 200:
                await asyncio.sleep(0.001)

    async def test(client, upstream):
        await exchange(client, upstream.address, R1)
        try:
            async with asyncio.timeout(1.0):  # It does not wait for bytes that will not come.
                response, body, observer = await exchange(client, upstream.address, R2)
        except (InvalidResponse, ExchangeBroken):
            assert skipped is None
        else:
            assert (response.status, body, observer.skipped) == (200, b"fine", skipped)
        assert await exchange(client, upstream.address, R3)
        assert upstream.connections == (2 if skipped is None else 1)
        assert len(upstream.requests) == 3

    run(test, handler)
