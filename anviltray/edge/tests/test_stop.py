"""Guards against requests that a stopping host takes too late to complete them."""

import asyncio

import pytest

from anviltray.callers.tests.support import encode, read_response
from anviltray.edge.tests.support import Fleet, configuration, in_turn, reset, respond, route

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


LONG_GRACE_S = 8.0  # The listener is open for longer than requests may be broken off.
TIMEOUT_MS = 10_000


class SlowFleet(Fleet):
    """A host with a long grace period and routes with a long timeout."""

    grace_s = LONG_GRACE_S

    def settings_text(self, number, zone="viti-suva"):
        return super().settings_text(number, zone).replace("graceS=3", f"graceS={self.grace_s:g}")

    async def __aenter__(self):
        await super().__aenter__()
        routes = [route(name, kind, timeout_ms=TIMEOUT_MS) for name, kind in ROUTES]
        self.store.append_record("keyed.op", "config", configuration(2, routes))
        await self.until(lambda: self.hosts[0].state.configuration.version == 2)
        return self


class ShortGraceFleet(SlowFleet):
    grace_s = GRACE_S


ROUTES = (("level", "safe"), ("order", "unsafe"))


async def work(request, writer):
    """Takes as many seconds as the last part of the path says."""
    return await respond(after_s=float(request.line.split()[1].rpartition("/")[2]))(request, writer)


@pytest.mark.parametrize(
    ("head", "after_s", "deadline_ms", "status", "attempts"),
    [
        ("POST /order/6", 3.05, 20_000, 503, 0),
        ("GET /level/6", 3.05, 20_000, 503, 0),
        ("POST /order/0.3", 3.05, 2_000, 200, 1),
        ("POST /order/0.3", 2.0, 20_000, 200, 1),
    ],
)
def test_request_that_may_outlast_the_grace_period_is_rejected_at_once(
    tmp_path, head, after_s, deadline_ms, status, attempts
):
    """It was passed on, and broken off with 502 at the end of the grace period."""

    async def main():
        async with SlowFleet(tmp_path, [work]) as fleet:
            stopping = asyncio.create_task(fleet.hosts[0].stop())
            await asyncio.sleep(after_s)
            response = await fleet.call(head, b"", Deadline_Ms=str(deadline_ms))
            assert (response.status, fleet.received()) == (status, attempts)
            await stopping

    asyncio.run(asyncio.wait_for(main(), 20))


@pytest.mark.parametrize(
    ("begins_s", "size", "status"),
    [
        (-0.3, 200_000, 502),  # Its instance has a part of the body.
        (0.3, 200_000, 503),
        (0.3, 60_000, 503),
    ],
)
def test_body_whose_end_comes_late_is_broken_off_before_it_runs(tmp_path, begins_s, size, status):
    """The instance ran the request, and the host broke it off with 502 at its end."""

    async def main():
        async with ShortGraceFleet(tmp_path, [respond(after_s=1.0)]) as fleet:
            host, port = fleet.hosts[0].settings.caller_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            data = encode("POST /order/1", b"x" * size, Request_Id="c1", Deadline_Ms="8000")
            if begins_s < 0:
                writer.write(data[:-HELD_BACK])
                await asyncio.sleep(-begins_s)
                stopping = asyncio.create_task(fleet.hosts[0].stop())
            else:
                stopping = asyncio.create_task(fleet.hosts[0].stop())
                await asyncio.sleep(begins_s)
                writer.write(data[:-HELD_BACK])
            response = await asyncio.wait_for(read_response(reader, "POST"), 0.7 * GRACE_S)
            assert response.status == status
            assert response.headers.get("connection", "").lower() == "close"
            assert fleet.received() == 0  # None that is complete.
            writer.close()
            await stopping

    asyncio.run(asyncio.wait_for(main(), 20))


@pytest.mark.parametrize(("deadline_ms", "status"), [(8000, 503), (1400, 200)])
def test_request_that_still_waits_for_an_instance_is_rejected(tmp_path, deadline_ms, status):
    """It was passed on whenever there was room, and broken off at the end."""

    async def main():
        async with ShortGraceFleet(tmp_path, [respond()]) as fleet:
            dispatcher = fleet.hosts[0]._dispatcher
            place = dispatcher._waits.place

            async def place_late(call, choose):
                await asyncio.sleep(1.2)
                return await place(call, choose)

            dispatcher._waits.place = place_late
            stopping = asyncio.create_task(fleet.hosts[0].stop())
            await asyncio.sleep(0.6)
            response = await fleet.call("POST /order/1", b"x", Deadline_Ms=str(deadline_ms))
            assert (response.status, fleet.received()) == (status, int(status == 200))
            await stopping

    asyncio.run(asyncio.wait_for(main(), 20))


def test_no_second_attempt_begins_that_would_outlast_the_host(tmp_path):
    """It was begun right before the end, and both attempts were lost."""

    async def reset_late(request, writer):
        await asyncio.sleep(2.3)
        return await reset(request, writer)

    async def main():
        handlers = [in_turn(reset_late, respond(after_s=0.5))]
        async with ShortGraceFleet(tmp_path, handlers * 2) as fleet:
            state = fleet.hosts[0].state
            state.health_tracker.mean_latency_s = lambda service: 0.5
            state.response_times.hedge_delay_s = lambda *inputs: 60.0
            calling = asyncio.create_task(fleet.call("GET /level/1", Deadline_Ms="8000"))
            await fleet.until(lambda: fleet.received() == 1)
            stopping = asyncio.create_task(fleet.hosts[0].stop())
            response = await calling
            await stopping
            assert (response.status, fleet.received()) == (502, 1)

    asyncio.run(asyncio.wait_for(main(), 20))
