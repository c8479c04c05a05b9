"""Guards against truncated responses that look complete, unbounded memory use and callers that
affect others."""

import asyncio
import hashlib
import socket
import tracemalloc

import pytest

from anviltray.callers.tests.support import (
    Node,
    Upstream,
    encode,
    ok,
    raw,
    read_body,
    read_response,
)

MEGABYTE = 1 << 20


def run(answer, test, **settings):
    async def main():
        async with Upstream(answer) as upstream, Node(**settings) as node:
            node.context.ejector.addresses = (upstream.address,)
            await asyncio.wait_for(test(node, upstream), 60)

    asyncio.run(main())


async def connect(node, limit=MEGABYTE):
    host, port = node.address.split(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, limit)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=limit)


def truncate_after(head, sent):
    async def answer(request, writer):
        writer.write(head)
        await writer.drain()
        for chunk in sent:
            await asyncio.sleep(0.01)
            writer.write(chunk)
            await writer.drain()
        return False

    return answer


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize(
    "answer",
    [
        truncate_after(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", [b"a" * 50]),
        truncate_after(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", [b"a" * 50, b"b" * 49]),
        truncate_after(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", [b"5\r\naaaaa\r\n"]
        ),
        truncate_after(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", [b"5\r\naaaaa\r\n", b"0\r\n"]
        ),
        truncate_after(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", [b"5\r\naaaaa\r\n", b"zz\r\n"]
        ),
    ],
)
def test_truncated_response_never_looks_complete(answer, version):
    async def test(node, upstream):
        reader, writer = await connect(node)
        writer.write(encode("POST /crews").replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
        try:
            received = await asyncio.wait_for(reader.read(-1), 5)  # Closed without a reset.
        except ConnectionError:
            return  # A reset shows the truncation in any HTTP version.
        finally:
            writer.close()
        head, _, body = received.partition(b"\r\n\r\n")
        assert (
            b"HTTP/1.1 502" in head
            or (b"transfer-encoding: chunked" in head and not body.endswith(b"0\r\n\r\n"))
            or (b"content-length: 100" in head and len(body) < 100)
        ), received

    run(answer, test)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_streamed_response_does_not_look_complete_when_its_task_is_cancelled(version):
    """The event loop cancels all tasks when a node is ended by a second signal."""

    async def answer(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\naaaaa\r\n")
        await asyncio.Event().wait()

    async def test(node, upstream):
        reader, writer = await connect(node)
        writer.write(encode("POST /crews").replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
        assert b" 200 " in await reader.readuntil(b"aaaaa")
        (task,) = (
            task for task in asyncio.all_tasks() if "run_asgi" in task.get_coro().__qualname__
        )
        task.cancel()
        try:
            rest = await asyncio.wait_for(reader.read(-1), 5)
        except ConnectionError:
            return  # A reset shows the truncation in any HTTP version.
        finally:
            writer.close()
        assert version == "1.1"
        assert b"0\r\n\r\n" not in rest

    run(answer, test)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_streamed_response_reaches_a_slow_caller_whole(version):
    """The connection of a caller of HTTP/1.0 is reset if it ends before the response does."""
    body = bytes(range(256)) * 4096
    blocks = [body[start : start + 32768] for start in range(0, len(body), 32768)]

    async def answer(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for block in blocks:
            writer.write(b"%x\r\n%b\r\n" % (len(block), block))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def test(node, upstream):
        reader, writer = await connect(node, 4096)
        request = encode("POST /crews", Connection="close")
        writer.write(request.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
        received = bytearray()
        while data := await asyncio.wait_for(reader.read(16384), 5):
            received += data
            await asyncio.sleep(0.002)
        head, _, content = bytes(received).partition(b"\r\n\r\n")
        if version == "1.1":
            framed = asyncio.StreamReader()
            framed.feed_data(content)
            content = await read_body(framed, {"transfer-encoding": "chunked"})
        assert head.startswith(b"HTTP/1.1 200")
        assert content == body
        writer.close()

    run(answer, test)


@pytest.mark.parametrize(("method", "chunked"), [("GET", False), ("POST", False), ("POST", True)])
def test_large_bodies_both_ways_use_bounded_memory(method, chunked):
    size = 48 * MEGABYTE
    block = bytes(range(256)) * 256
    digests = {"received": hashlib.sha256(), "sent": hashlib.sha256()}

    async def answer(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        left = size if method == "POST" else 0
        while left > 0:
            if chunked:
                length = int(await reader.readline(), 16)
                data = (await reader.readexactly(length + 2))[:-2]
            else:
                data = await reader.read(min(left, 65536))
            left -= len(data)
            digests["received"].update(data)
        if chunked:
            await reader.readuntil(b"0\r\n\r\n")
        assert (b"transfer-encoding: chunked" in head.lower()) == chunked
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // len(block)):
            writer.write(block)
            await writer.drain()
        writer.close()

    async def send(writer):
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        if method == "GET":
            framing = "X: 1"
        writer.write(f"{method} /crews HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n".encode())
        for _ in range(size // len(block) if method == "POST" else 0):
            if chunked:
                writer.write(b"%x\r\n" % len(block) + block + b"\r\n")
            else:
                writer.write(block)
            digests["sent"].update(block)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")

    async def main():
        server = await asyncio.start_server(answer, "127.0.0.1", 0, limit=MEGABYTE)
        async with Node() as node:
            node.context.ejector.addresses = (f"127.0.0.1:{server.sockets[0].getsockname()[1]}",)
            tracemalloc.start()
            reader, writer = await connect(node)
            sending = asyncio.create_task(send(writer))
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 60)
            assert head.startswith(b"HTTP/1.1 200")
            left = size
            while left > 0:
                data = await reader.read(65536)
                assert data
                left -= len(data)
            await sending
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            writer.close()
            assert digests["sent"].digest() == digests["received"].digest()
            assert peak < 8 * MEGABYTE
        server.close()

    asyncio.run(main())


def test_blocked_caller_affects_neither_others_nor_upstream_health():
    body = b"x" * (16 * MEGABYTE)

    async def answer(request, writer):
        return await ok(body if "large" in request.line else b"small")(request, writer)

    async def test(node, upstream):
        slow = [await connect(node, 32768) for _ in range(6)]
        for _, writer in slow:
            writer.write(encode("GET /levels/large", Anviltray_Deadline_Ms=2000))
        await asyncio.sleep(0.2)
        for _ in range(20):
            response = await asyncio.wait_for(node.call("GET /levels/small"), 1)
            assert response.body == b"small"
        await asyncio.sleep(2.2)
        assert sorted(set(node.context.ejector.outcomes)) == ["abandoned", "ok"]
        assert node.context.ejector.outcomes.count("abandoned") == 6
        for reader, writer in slow:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_response(reader)
            writer.close()

    run(answer, test)


def test_slow_caller_gets_the_complete_response():
    body = bytes(range(256)) * 4096 * 3

    async def test(node, upstream):
        reader, writer = await connect(node)
        writer.write(encode("GET /levels/large"))
        await reader.readuntil(b"\r\n\r\n")
        received = b""
        while len(received) < len(body):
            received += await reader.read(100_000)
            await asyncio.sleep(0.005)
        assert received == body
        writer.close()

    run(ok(body), test)


@pytest.mark.parametrize(
    "answer",
    [
        raw(b"HTTP/1.1 204 No\r\n\r\n", then_close=False),
        raw(b'HTTP/1.1 304 No\r\nETag: "a"\r\nContent-Length: 5\r\n\r\n', then_close=False),
        raw(b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", False),
        raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", False),
        raw(b"HTTP/1.1 200 OK\r\nConnection: close, x-y\r\nX-Y: 1\r\nContent-Length: 1\r\n\r\na"),
        raw(b"HTTP/1.1 200 OK\r\nX-Long: " + b"a" * 20000 + b"\r\nContent-Length: 1\r\n\r\na"),
    ],
)
def test_framing_of_each_response_leaves_the_connection_usable(answer):
    async def test(node, upstream):
        reader, writer = await connect(node)
        for _ in range(3):
            writer.write(encode("GET /levels"))
            response = await asyncio.wait_for(read_response(reader), 5)
            assert response.status in (200, 204, 304)
            assert response.body == (b"a" if response.status == 200 else b"")
            assert "x-y" not in response.headers and "connection" not in response.headers
        writer.close()

    run(answer, test)
