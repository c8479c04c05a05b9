"""Guards against callers that a starting host turns away although it could soon serve them."""

import asyncio

import pytest

from anviltray.edge.tests.support import Fleet, respond
from standins.store import StoreConditions


@pytest.mark.parametrize(
    ("conditions", "sent_after_s", "deadline_ms", "status", "least_s", "most_s"),
    [
        # The state is loaded while the request waits, by two calls to the store.
        (StoreConditions(delay_s=0.15), 0.0, 3000, 200, 0.3, 1.0),
        # It is not loaded in time: the caller gets a refusal, well before its deadline.
        (StoreConditions(status=503), 0.0, 3000, 503, 0.9, 1.5),
        (StoreConditions(status=503), 0.0, 600, 503, 0.15, 0.5),
        # The store has been away since the host has started.
        (StoreConditions(status=503), 3.2, 3000, 503, 0.0, 0.3),
    ],
)
def test_requests_wait_for_a_starting_host(
    tmp_path, conditions, sent_after_s, deadline_ms, status, least_s, most_s
):
    """After all hosts were killed, callers return before the hosts have loaded their state."""

    async def main():
        loop = asyncio.get_running_loop()
        async with Fleet(tmp_path, [respond()]) as fleet:
            fleet.store.conditions = conditions
            started_s = loop.time()
            # A host of another zone loads its state from the store.
            fleet.hosts.append(await fleet.start_host(2, "viti-lautoka"))
            await asyncio.sleep(sent_after_s)
            started_s += sent_after_s
            response = await fleet.call("POST /order/1", b"x", 1, Deadline_Ms=str(deadline_ms))
            elapsed_s = loop.time() - started_s
            assert response.status == status
            assert least_s <= elapsed_s <= most_s
            assert fleet.received() == (status == 200)
            if status == 200:
                # The instance gets the time that is left, not the time that the caller had.
                (received,) = fleet.instances[0].requests
                assert int(received.headers["deadline-ms"]) <= deadline_ms - 1000 * least_s + 50

    asyncio.run(main())
