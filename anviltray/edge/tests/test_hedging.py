"""Guards against idempotent requests that fail because their first instance does not respond."""

import asyncio

import pytest

from anviltray.edge.tests.support import Fleet, in_turn, refuse, reset, respond

LEVEL, ORDER = "GET /level/1", "POST /order/1"
HANGS = respond(after_s=8.0)
SERVER_ERROR = respond("500 Internal Server Error")
LARGE = respond(body=b"x" * 400_000, after_s=0.1)


@pytest.mark.parametrize(
    ("head", "handlers", "status", "attempts", "limit_s"),
    [
        (LEVEL, (HANGS, respond()), 200, 2, 1.0),
        (LEVEL, (HANGS, LARGE), 200, 2, 1.2),
        # The first attempt still ends the request if the second one cannot.
        (LEVEL, (respond(after_s=0.9), HANGS), 200, 2, 1.3),
        (LEVEL, (respond(after_s=0.9), SERVER_ERROR), 200, 2, 1.3),
        (LEVEL, (respond(after_s=0.9), refuse()), 200, 2, 1.3),
        (LEVEL, (respond(after_s=0.9), reset), 200, 2, 1.3),
        (LEVEL, (HANGS, HANGS), 504, 2, 1.8),
        # Requests that must not run twice keep waiting.
        (ORDER, (HANGS, respond()), 504, 1, 1.8),
    ],
)
def test_second_attempt_starts_when_the_response_is_overdue(
    tmp_path, head, handlers, status, attempts, limit_s
):
    handler = in_turn(*handlers)

    async def main():
        async with Fleet(tmp_path, (handler, handler)) as fleet:
            fleet.hosts[0].state.set_fleet_size(1)
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            response = await fleet.call(head, b"" if head == LEVEL else b"x")
            assert loop.time() - start_s < limit_s
            assert (response.status, fleet.received()) == (status, attempts)
            tracker = fleet.hosts[0].state.health_tracker
            assert [tracker.health(f"i-{n}").outstanding for n in (0, 1)] == [0, 0]

    asyncio.run(main())


@pytest.mark.parametrize(
    ("slack", "instances", "attempts"), [(0.0, 2, 1), (5.0, 1, 1), (5.0, 2, 2)]
)
def test_second_attempt_needs_budget_and_another_instance(tmp_path, slack, instances, attempts):
    handler = in_turn(respond(after_s=0.9), respond())

    async def main():
        async with Fleet(tmp_path, (handler,) * instances) as fleet:
            fleet.hosts[0].state.retry_budget("keeper").slack = slack
            assert (await fleet.call(LEVEL)).status == 200
            assert fleet.received() == attempts

    asyncio.run(main())


def test_caller_that_leaves_ends_both_attempts(tmp_path):
    async def main():
        async with Fleet(tmp_path, (HANGS, HANGS)) as fleet:
            host = fleet.hosts[0]
            host.state.set_fleet_size(1)
            call = asyncio.create_task(fleet.call(LEVEL))
            await fleet.until(lambda: fleet.received() == 2)
            call.cancel()
            addresses = [instance.address for instance in fleet.instances]
            await fleet.until(
                lambda: not any(map(host.state.upstreams.open_connections, addresses)), 0.5
            )

    asyncio.run(main())
