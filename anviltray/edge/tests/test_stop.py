"""Guards against requests that a stopping host takes too late to complete them."""

import asyncio

import pytest

from anviltray.callers.tests.support import encode, read_response
from anviltray.edge.tests.support import Fleet, respond

GRACE_S = 3.0  # Of the settings of the fleet.
HELD_BACK = 30  # The end of the head and the body.


@pytest.mark.parametrize(
    ("complete_s", "status", "attempts"), [(0.3 * GRACE_S, 200, 1), (0.7 * GRACE_S, 503, 0)]
)
def test_a_request_that_is_complete_late_in_the_grace_period_is_rejected(
    tmp_path, complete_s, status, attempts
):
    """The instance would still run the request when the host ends."""

    async def main():
        async with Fleet(tmp_path, [respond(after_s=0.8)]) as fleet:
            host, port = fleet.hosts[0].settings.caller_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            data = encode("POST /order/1", b"x" * 8, Request_Id="c1", Deadline_Ms="5000")
            writer.write(data[:-HELD_BACK])
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(fleet.hosts[0].stop())
            await asyncio.sleep(complete_s)
            writer.write(data[-HELD_BACK:])
            response = await read_response(reader, "POST")
            assert (response.status, fleet.received()) == (status, attempts)
            assert response.headers.get("connection", "").lower() == "close"
            writer.close()
            await stopping

    asyncio.run(asyncio.wait_for(main(), 20))
