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


@pytest.mark.parametrize("address", ["", "::1:80", "[10.0.0.1]:80", "[::1:80", "a b:80", "\ud800"])
def test_unusable_address_fails_only_what_is_sent_to_it(address):
    """Guards against a choice among many instances that fails on the address of one of them."""

    async def test(client, upstream):
        assert not client.can_reuse(address, unrepeatable=False)
        assert client.open_connections(address) == 0
        client.close_idle(address)
        observer = Observer()
        with pytest.raises(ConnectFailed):
            await client.send(address, GET, observer)
        assert not observer.written
        assert not await client.probe(address, 1.0)

    run(test, ok())


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_both_versions_of_ip_are_served(host):
    async def test(client, upstream):
        async with Upstream(ok(), host) as other:
            address = other.address if host == "127.0.0.1" else "[::1]:" + other.address[4:]
            for _ in range(2):
                response, body, _ = await exchange(client, address)
                assert (response.status, body) == (200, b"fine")
            assert other.connections == 1
            assert client.open_connections(address) == 1
            assert client.can_reuse(address, unrepeatable=False)

    run(test, ok())


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
