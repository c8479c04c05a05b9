"""Guards against a part of a response that a stopping host passes on as the whole one."""

import asyncio

import pytest

from anviltray.callers.tests.support import encode, read_response
from anviltray.edge.tests.support import Fleet, configuration, route
from anviltray.edge.tests.test_daemon import start
from anviltray.edge.tests.truncation import (
    BLOCK,
    DEADLINE_MS,
    FRAMINGS,
    PART,
    STREAMED_BLOCKS,
    connect,
    is_complete,
    receive_head,
    receive_rest,
    send_part,
)
from anviltray.platform import load_host_settings


def run(tmp_path, test, handler):
    """The deadline of the callers is later than the end of the grace period."""

    async def main():
        async with Fleet(tmp_path, [handler]) as fleet:
            routes = [
                route("level", "safe", timeout_ms=DEADLINE_MS),
                route("order", "unsafe", timeout_ms=DEADLINE_MS),
            ]
            fleet.store.append_record("keyed.op", "config", configuration(2, routes))
            host = fleet.hosts[0]
            await fleet.until(lambda: host.state.configuration.version == 2)
            await asyncio.wait_for(test(fleet, host), 20)

    asyncio.run(main())


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("head", ["GET /level/1", "POST /order/1"])
def test_response_that_is_held_back_at_the_end_of_a_host_is_a_bad_gateway(tmp_path, head, framing):
    async def test(fleet, host):
        reader, writer = await connect(host.settings, head)
        await fleet.until(lambda: fleet.received() == 1)
        await asyncio.sleep(0.1)
        await host.stop()
        response = await asyncio.wait_for(read_response(reader), 2)
        assert response.status == 502
        assert b"unknown" in response.body
        assert fleet.received() == 1
        writer.close()

    run(tmp_path, test, send_part(framing, [PART]))


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_that_is_streamed_at_the_end_of_a_host_does_not_look_complete(
    tmp_path, framing, version
):
    async def test(fleet, host):
        reader, writer = await connect(host.settings, "POST /order/1", version)
        head = await receive_head(reader)
        receiving = asyncio.create_task(receive_rest(reader))
        await host.stop()
        rest, was_reset = await asyncio.wait_for(receiving, 2)
        assert b" 200 " in head
        assert not is_complete(head + rest, was_reset)
        writer.close()

    run(tmp_path, test, send_part(framing, [BLOCK] * STREAMED_BLOCKS))


def test_response_that_is_streamed_when_a_host_is_killed_does_not_look_complete(tmp_path):
    """A caller of HTTP/1.0 tells the end of the response by the end of the connection only."""

    async def main():
        handler = send_part(FRAMINGS[0], [BLOCK] * STREAMED_BLOCKS)
        async with Fleet(tmp_path, [handler]) as fleet:
            path = tmp_path / "process.toml"
            path.write_text(fleet.settings_text(9))
            process = await start(path)
            try:
                await fleet.until(lambda: len(fleet.hosts[0].entry_addresses()) == 2, 10.0)
                reader, writer = await connect(load_host_settings(path), "POST /order/1", "1.0")
                head = await receive_head(reader)
                receiving = asyncio.create_task(receive_rest(reader))
            finally:
                process.kill()
                await process.wait()
            rest, was_reset = await asyncio.wait_for(receiving, 2)
            assert b" 200 " in head
            assert not is_complete(head + rest, was_reset)
            writer.close()

    asyncio.run(asyncio.wait_for(main(), 30))


def test_request_that_no_instance_has_got_is_rejected_at_the_end_of_a_host(tmp_path):
    """Guards against a request that is neither rejected nor answered: its body is incomplete."""

    async def test(fleet, host):
        address, port = host.settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        request = encode("POST /order/1", PART, Request_Id="c1", Deadline_Ms=str(DEADLINE_MS))
        writer.write(request[:-1])
        await asyncio.sleep(0.1)
        await host.stop()
        response = await asyncio.wait_for(read_response(reader), 2)
        assert response.status == 503
        assert fleet.received() == 0
        writer.close()

    run(tmp_path, test, send_part(FRAMINGS[0], [PART]))
