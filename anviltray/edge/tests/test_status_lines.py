"""Guards against a status line that is no final response and is passed on or waited behind."""

import asyncio

import pytest

from anviltray.callers.tests.support import raw
from anviltray.edge.tests.support import SEAL, Fleet, in_turn, respond

FIELDS = f"Content-Length: 4\r\n{SEAL}Request-Id: c1\r\n\r\nfine"
STATUS_LINES = [
    "HTTP/1.1 000 Odd",
    "HTTP/1.1 099 Odd",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 199 Odd",
    "HTTP/1.1 600 Odd",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 Odd",
    "HTTP/1.1 2000 Odd",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 -20 Odd",
    "HTTP/1.1 abc Odd",
    "HTTP/1.1  Odd",
    "HTTP/1.1",
    "HTTP/2.0 200 OK",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd",
]


def keep_open(status_line):
    """Returns the handler of an instance that sends this status line and waits for more requests.

    An interim response or a beginning of a response would not end the attempt.
    """
    return raw(f"{status_line}\r\n{FIELDS}".encode(), then_close=False)


@pytest.mark.parametrize(
    ("head", "status", "attempts"), [("GET /level/1", 200, 2), ("POST /order/1", 502, 1)]
)
@pytest.mark.parametrize("status_line", STATUS_LINES)
def test_attempt_ends_as_invalid_and_only_idempotent_requests_are_sent_again(
    tmp_path, status_line, head, status, attempts
):
    async def main():
        handler = in_turn(keep_open(status_line), respond())
        async with Fleet(tmp_path, [handler, handler]) as fleet:
            response = await fleet.call(head, b"" if attempts == 2 else b"x")
            assert (response.status, fleet.received()) == (status, attempts)
            # The connection is closed, so its next bytes are taken for no other response.
            await fleet.until(lambda: sum(each.open for each in fleet.instances) == attempts - 1)

    asyncio.run(main())


@pytest.mark.parametrize("interim", ["100 Continue", "102 Processing", "103 Early Hints"])
def test_interim_responses_are_skipped(tmp_path, interim):
    async def main():
        handler = raw(
            f"HTTP/1.1 {interim}\r\nX-A: 1\r\n\r\nHTTP/1.1 200 OK\r\n{FIELDS}".encode(),
            then_close=False,
        )
        async with Fleet(tmp_path, [handler]) as fleet:
            response = await fleet.call("POST /order/1", b"x")
            assert (response.status, response.body) == (200, b"fine")

    asyncio.run(main())
