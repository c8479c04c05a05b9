"""Guards against a part of a response that a host passes on as the whole one, while it goes on.

A response without a length is whole only if its instance has ended the connection.
"""

import asyncio

import pytest

from anviltray.callers.tests.support import read_response
from anviltray.edge.tests.support import SEAL, Fleet, registration, respond
from anviltray.edge.tests.truncation import (
    BLOCK,
    FRAMINGS,
    PART,
    STREAMED_BLOCKS,
    connect,
    is_complete,
    receive_head,
    receive_rest,
    send_part,
)

ORDER, LEVEL = "POST /order/1", "GET /level/1"
STREAMED = [BLOCK] * STREAMED_BLOCKS
DEADLINE_MS = 1200


def run(tmp_path, test, *handlers):
    async def main():
        async with Fleet(tmp_path, handlers) as fleet:
            await asyncio.wait_for(test(fleet, fleet.hosts[0]), 20)

    asyncio.run(main())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("head", [LEVEL, ORDER])
def test_response_that_is_held_back_at_the_deadline(tmp_path, head, framing):
    async def test(fleet, host):
        reader, writer = await connect(host.settings, head, deadline_ms=DEADLINE_MS)
        assert (await asyncio.wait_for(read_response(reader), 5)).status == 504
        writer.close()

    run(tmp_path, test, send_part(framing, [PART]))


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_that_is_streamed_at_the_deadline(tmp_path, framing, version):
    async def test(fleet, host):
        reader, writer = await connect(host.settings, ORDER, version, DEADLINE_MS)
        head = await receive_head(reader)
        rest, was_reset = await asyncio.wait_for(receive_rest(reader), 5)
        assert b" 200 " in head
        assert not is_complete(head + rest, was_reset)
        writer.close()

    run(tmp_path, test, send_part(framing, STREAMED))


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_that_is_streamed_when_memory_for_callers_is_short(tmp_path, framing, version):
    async def test(fleet, host):
        reader, writer = await connect(host.settings, ORDER, version)
        head = await receive_head(reader)
        receiving = asyncio.create_task(receive_rest(reader))
        (connection,) = host._pressure._connections
        connection.close_at_once()
        rest, was_reset = await asyncio.wait_for(receiving, 5)
        assert b" 200 " in head
        assert not is_complete(head + rest, was_reset)
        writer.close()

    run(tmp_path, test, send_part(framing, STREAMED))


def test_response_of_the_slower_of_two_instances_is_not_mixed_in(tmp_path):
    """The first attempt is cancelled while it reads a response without a length."""

    async def test(fleet, host):
        for number in range(6):
            response = await fleet.call(LEVEL, request_id=f"c{number}")
            assert (response.status, response.body) == (200, b"fine")

    run(tmp_path, test, send_part(FRAMINGS[0], [PART]), respond())


@pytest.mark.parametrize("draining", [False, True])
def test_response_of_an_instance_that_is_withdrawn_meanwhile_is_whole(tmp_path, draining):
    ending = asyncio.Event()

    async def answer(request, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{SEAL}Request-Id: c1\r\n\r\n".encode() + PART)
        await ending.wait()
        writer.write(PART)
        return False

    async def test(fleet, host):
        reader, writer = await connect(host.settings, ORDER)
        await fleet.until(lambda: fleet.received() == 1)
        record = registration(fleet.instances[0].address, state="draining") if draining else b""
        fleet.store.append_record("keyed.servers", "i-0", record)
        await fleet.until(lambda: not host.state.directory.usable("keeper"))
        ending.set()
        response = await asyncio.wait_for(read_response(reader), 5)
        assert (response.status, response.body) == (200, 2 * PART)
        writer.close()

    run(tmp_path, test, answer)
