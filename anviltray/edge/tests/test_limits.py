"""Guards against hosts that ignore the limit that an instance names in its responses."""

import asyncio

import pytest

from anviltray.edge.tests.support import SEAL, Fleet, respond

REQUESTS = 10


def limited(value, status="200 OK"):
    """Returns the handler of an instance that names a limit."""
    return respond(status, headers=f"{SEAL}Server-Limit: {value}\r\n")


@pytest.mark.parametrize(
    ("handler", "expected"),
    [
        (limited("1.5"), 2),
        (limited("1.5", "500 Internal Server Error"), 2),
        (limited("0"), 2),
        (respond(), REQUESTS),
        # Values that are no limit are ignored.
        (limited("nan"), REQUESTS),
        (limited("-1"), REQUESTS),
        (limited("many"), REQUESTS),
    ],
)
def test_an_instance_gets_no_more_requests_than_it_takes(tmp_path, handler, expected):
    async def main():
        async with Fleet(tmp_path, [handler]) as fleet:
            statuses = []
            for number in range(REQUESTS):
                response = await fleet.call("GET /order/1", request_id=f"c{number}")
                statuses.append(response.status)
            # The first response names the limit; one more request is within it.
            assert fleet.received() == expected
            assert statuses[expected:] == [503] * (REQUESTS - expected)

    asyncio.run(asyncio.wait_for(main(), 20))
