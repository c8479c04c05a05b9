"""Guards against a host that counts too much or too little of what it holds for callers.

The crowds are those of `test_crowds`, but small ones in front of a host in the same process, whose
memory for callers is set directly. They show the decisions; the memory of a process is measured
there.
"""

import asyncio

import pytest

from anviltray.callers.tests.support import encode
from anviltray.edge.tests.support import Fleet, respond
from anviltray.edge.tests.test_crowds import CROWDS, LARGE_RESPONSE, PLACES, press

BUDGET_BYTES = 3_000_000
CONNECTIONS = 40
ALL_FREE_S = 8.0  # The timeout of the routes, and some more.
CASES = [
    pytest.param(crowd, *PLACES[place][:2], id=f"{kind}-{place}")
    for kind, crowd in CROWDS.items()
    for place in ("route", "order", "ready")
    if place != "order" or kind in ("chunks", "one piece", "pipelined")
]


@pytest.mark.parametrize(("crowd", "path", "place"), CASES)
def test_a_crowd_stays_in_the_memory_for_callers_and_gives_it_back(tmp_path, crowd, path, place):
    async def main():
        async with Fleet(tmp_path, [respond(body=LARGE_RESPONSE)]) as fleet:
            (host,) = fleet.hosts
            memory = host._caller_memory
            memory.budget_bytes = BUDGET_BYTES
            address = getattr(host.settings, place)
            presses = [asyncio.create_task(press(crowd, path, address)) for _ in range(CONNECTIONS)]
            used_bytes = []
            try:
                while not all(task.done() for task in presses):
                    used_bytes.append(memory.used_bytes)
                    await asyncio.sleep(0.01)
                for number in range(20):
                    response = await fleet.call("GET /level/1", request_id=f"next-{number}")
                    if response.status == 200:
                        break
                    await asyncio.sleep(0.2)
                assert response.status == 200
                assert (await fleet.page(PLACES["ready"][0])).status == 200
            finally:
                for connection in await asyncio.gather(*presses):
                    connection.close()
            # What is being served when the memory is used up may exceed it by one response.
            assert max(used_bytes) <= BUDGET_BYTES + len(LARGE_RESPONSE)
            await fleet.until(lambda: memory.used_bytes == 0, ALL_FREE_S)

    asyncio.run(main())


def test_requests_are_not_run_before_the_responses_ahead_are_read(tmp_path):
    """Each request is sent when the one before has been answered, so none is sent ahead."""

    async def main():
        async with Fleet(tmp_path, [respond(body=LARGE_RESPONSE)]) as fleet:
            host, port = fleet.hosts[0].settings.caller_address.split(":")
            _, writer = await asyncio.open_connection(host, int(port), limit=1024)
            for number in range(60):
                writer.write(encode("GET /level/1", Request_Id=f"c{number}"))
                await asyncio.sleep(0.02)
            # The buffers of the kernel take some 20 responses.
            assert 0 < fleet.received() < 45
            writer.transport.abort()

    asyncio.run(main())
