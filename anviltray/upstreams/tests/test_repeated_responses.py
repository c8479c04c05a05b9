"""Guards against a response that is written again and taken for that of another exchange."""

import asyncio

import pytest

from anviltray.upstreams import ExchangeBroken, InvalidResponse, UpstreamError
from anviltray.upstreams.tests.test_client import GET, POST, Observer, exchange, run


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
        pytest.param(REFUSED, sending(GET), R2, 2, id="request-without-id-refused"),
        pytest.param(REFUSED, sending(GET), GET, 2, id="both-requests-without-id"),
        pytest.param(REFUSED, probe, R2, 2, id="probe-refused"),
        # These connections are kept: nothing was refused.
        pytest.param("200 OK", sending(R1), R2, 1, id="executed"),
        pytest.param("200 OK", sending(GET), GET, 1, id="request-without-id-executed"),
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
