"""Guards against a response of the platform that is taken for that to the next call."""

import asyncio

import pytest

from anviltray.callers.tests.support import Upstream
from anviltray.platform._transport import HttpTransport

CALLS = 5


def run(test):
    """Runs `test(transport, upstream, written)`; responses repeat the path or the body."""
    written = []

    async def answer(request, writer):
        body = request.body or request.line.split()[1].encode()
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        written.append((writer, response))
        writer.write(response)
        await writer.drain()

    async def main():
        async with Upstream(answer) as upstream:
            transport = HttpTransport(f"http://{upstream.address}", 2.0)
            try:
                await asyncio.wait_for(test(transport, upstream, written), 10)
            finally:
                await transport.close()

    asyncio.run(main())


async def call(transport, method, number):
    path = f"/{number}"
    body = {"data": path.encode()} if method == "POST" else {}
    assert await transport.send(method, path, **body) == (200, path.encode(), None)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(
    "pause_s", [pytest.param(0.0, id="unread"), pytest.param(0.02, id="while-idle")]
)
def test_response_written_again_is_not_taken_for_that_to_the_next_call(method, pause_s):
    async def test(transport, upstream, written):
        for number in range(CALLS):
            await call(transport, method, number)
            writer, response = written[-1]
            writer.write(response)
            if pause_s:
                await asyncio.sleep(pause_s)
        assert upstream.connections == CALLS

    run(test)


def test_connection_carries_many_calls():
    async def test(transport, upstream, written):
        for number in range(CALLS):
            await call(transport, "POST", number)
        assert upstream.connections == 1

    run(test)
