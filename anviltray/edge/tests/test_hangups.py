"""Guards against work for callers whose end nobody sees because reading is paused."""

import asyncio

import pytest

from anviltray.callers.tests.support import encode, read_response
from anviltray.edge.tests.support import Fleet, respond

LEAVES_AFTER_S = 0.3
NOTICED_S = 0.5  # Time after the end of a caller by which nothing is done for it any more.
WORK_S = 1.2
LONG_BODY = b"x" * 200_000  # More than the host buffers.
# The same, but the kernel takes all of it while the host reads none. The end of a connection can
# arrive only after all that was sent before it.
KERNEL_BODY = b"x" * 100_000
LARGE = respond(body=b"y" * 8_000_000)


def request(head, number, body=b""):
    return encode(head, body, Request_Id=f"c{number}", Deadline_Ms="3000")


LEVEL, LATER_LEVEL = request("GET /level/1", 1), request("GET /level/2", 2)
LATER_ORDER = request("POST /order/2", 2, b"x")
LONG_LEVEL = request("POST /level/1", 1, LONG_BODY)
LONG_ORDER = request("POST /order/1", 1, LONG_BODY)
LATER_LONG_ORDER = request("POST /order/2", 2, KERNEL_BODY)


async def connect(fleet):
    host, port = fleet.hosts[0].settings.caller_address.split(":")
    return await asyncio.open_connection(host, int(port))


@pytest.mark.parametrize("leaves", ["close", "reset", "end of input"])
@pytest.mark.parametrize(
    ("data", "handler"),
    [
        (LEVEL, respond(after_s=WORK_S)),
        (LEVEL + LATER_LEVEL, respond(after_s=WORK_S)),
        (LEVEL + LATER_ORDER, respond(after_s=WORK_S)),
        (LEVEL + LATER_LEVEL + LATER_ORDER, respond(after_s=WORK_S)),
        (LEVEL + LATER_LONG_ORDER, respond(after_s=WORK_S)),
        (LONG_LEVEL, respond(after_s=WORK_S)),
        (LONG_LEVEL + LATER_LEVEL, respond(after_s=WORK_S)),
        (LEVEL + LATER_LEVEL, LARGE),
    ],
    ids=[
        "one request",
        "pipelined",
        "pipelined, unrepeatable",
        "three pipelined",
        "long body behind",
        "long body",
        "long body, pipelined",
        "response that is not read",
    ],
)
def test_nothing_is_done_for_a_caller_that_has_left(tmp_path, data, handler, leaves):
    """Its request was worked on to the end, and those behind it were begun."""

    async def main():
        async with Fleet(tmp_path, [handler]) as fleet:
            reader, writer = await connect(fleet)
            reader._limit = 1024  # Reads no more than this of a large response.
            writer.write(data)
            await fleet.until(lambda: fleet.received() == 1)
            await asyncio.sleep(LEAVES_AFTER_S)
            if leaves == "close":
                writer.close()
            elif leaves == "reset":
                writer.transport.abort()
            else:
                writer.write_eof()
            await asyncio.sleep(NOTICED_S)
            upstreams, (instance,) = fleet.hosts[0].state.upstreams, fleet.instances
            if handler is not LARGE or leaves != "end of input":
                assert not upstreams.open_connections(instance.address)
            await asyncio.sleep(WORK_S)
            assert fleet.received() == 1
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 20))


@pytest.mark.parametrize(
    ("data", "statuses", "attempts"),
    [
        (LEVEL + LATER_LEVEL, [200, 200], 2),
        (LEVEL + LATER_ORDER, [200, 200], 2),
        (LONG_LEVEL, [200], 1),
        (LONG_ORDER, [200], 1),
        (LONG_ORDER + LATER_LEVEL, [200, 200], 2),
    ],
)
def test_caller_that_waits_or_reads_late_is_served(tmp_path, data, statuses, attempts):
    async def main():
        async with Fleet(tmp_path, [respond(after_s=0.4)]) as fleet:
            reader, writer = await connect(fleet)
            writer.write(data)
            await asyncio.sleep(1.2)
            responses = [await read_response(reader) for _ in statuses]
            assert [response.status for response in responses] == statuses
            assert fleet.received() == attempts
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 20))


def test_unrepeatable_request_is_finished_without_its_caller(tmp_path):
    """Its instance may be at work; cutting it off would not undo that."""

    async def main():
        async with Fleet(tmp_path, [respond(after_s=WORK_S)]) as fleet:
            _, writer = await connect(fleet)
            writer.write(LONG_ORDER)
            await fleet.until(lambda: fleet.received() == 1)
            writer.close()
            await asyncio.sleep(NOTICED_S)
            assert fleet.hosts[0].state.upstreams.open_connections(fleet.instances[0].address)
            assert fleet.received() == 1

    asyncio.run(asyncio.wait_for(main(), 20))
