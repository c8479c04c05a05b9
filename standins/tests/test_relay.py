"""Guards against a relay that forwards data during a fault or breaks connections without one."""

import asyncio

import aiohttp
import pytest

from standins._waiting import poll_until
from standins.relay import Direction, Relay, RelayControl


class EchoServer:
    """Echoes received data and keeps it."""

    def __init__(self):
        self.received = bytearray()
        self.sources = []

    async def handle(self, reader, writer):
        self.sources.append(writer.get_extra_info("peername")[0])
        while data := await reader.read(65536):
            self.received += data
            writer.write(data)
        writer.close()


def run(scenario):
    """Runs `scenario(relay, target)` with an echo server behind a relay."""

    async def wrapped():
        target = EchoServer()
        server = await asyncio.start_server(target.handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        relay = Relay(f"127.0.0.1:{port}")
        await relay.start()
        try:
            await asyncio.wait_for(scenario(relay, target), 20)
        finally:
            await relay.close()
            server.close()

    asyncio.run(wrapped())


async def connect(relay, source="127.0.0.1"):
    host, port = relay.address.split(":")
    return await asyncio.open_connection(host, int(port), local_addr=(source, 0))


async def exchange(pair, data=b"ping", wait_s=0.3):
    """Sends `data` and returns its echo; empty if it does not arrive within `wait_s`."""
    reader, writer = pair
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.readexactly(len(data)), wait_s)
    except TimeoutError:
        return b""


def test_bytes_and_ends_pass_unchanged():
    async def scenario(relay, target):
        pair = await connect(relay)
        data = bytes(range(256)) * 4096
        assert await exchange(pair, data, 5) == data
        assert next(iter(relay.connections.values())).forwarded == {
            Direction.TO_TARGET: len(data),
            Direction.TO_CLIENT: len(data),
        }
        pair[1].write_eof()
        assert await pair[0].read() == b""
        await poll_until(lambda: not relay.connections, 5)

    run(scenario)


@pytest.mark.parametrize(
    ("directions", "reaches_target"),
    [
        ([Direction.TO_TARGET], False),
        ([Direction.TO_CLIENT], True),
        (list(Direction), False),
    ],
)
def test_a_cut_holds_back_its_directions_until_heal(directions, reaches_target):
    async def scenario(relay, target):
        old = await connect(relay)
        assert await exchange(old) == b"ping"
        target.received.clear()
        relay.cut(directions)
        new = await connect(relay)
        assert await exchange(old, b"old!") == b""
        assert await exchange(new, b"new!") == b""
        assert bytes(target.received) == (b"old!" if reaches_target else b"")
        relay.heal()
        assert await asyncio.wait_for(old[0].readexactly(4), 5) == b"old!"
        assert await asyncio.wait_for(new[0].readexactly(4), 5) == b"new!"

    run(scenario)


def test_a_cut_hides_the_end_of_a_connection():
    async def scenario(relay, target):
        old = await connect(relay)
        assert await exchange(old) == b"ping"
        relay.cut([Direction.TO_CLIENT])
        old[1].write_eof()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(old[0].read(), 0.3)
        relay.heal()
        assert await asyncio.wait_for(old[0].read(), 5) == b""

    run(scenario)


def test_faults_apply_to_one_source_only():
    async def scenario(relay, target):
        first, second = await connect(relay, "127.0.0.2"), await connect(relay, "127.0.0.3")
        assert await exchange(first) == await exchange(second) == b"ping"
        assert sorted(target.sources) == ["127.0.0.2", "127.0.0.3"]
        relay.cut(source="127.0.0.2")
        assert (await exchange(first), await exchange(second)) == (b"", b"ping")
        relay.heal()
        relay.silence_current(source="127.0.0.3")
        assert await exchange(second) == b""
        assert await exchange(first, b"") == b""
        assert await asyncio.wait_for(first[0].readexactly(4), 5) == b"ping"

    run(scenario)


@pytest.mark.parametrize("one", [True, False])
def test_silent_connections_stay_silent_and_new_ones_work(one):
    async def scenario(relay, target):
        first, second = await connect(relay), await connect(relay)
        assert await exchange(first) == await exchange(second) == b"ping"
        if one:
            relay.silence(1)
        else:
            relay.silence_current()
        relay.heal()
        assert await exchange(first) == b""
        assert await exchange(second) == (b"ping" if one else b"")
        assert await exchange(await connect(relay)) == b"ping"
        assert len(relay.connections) == 3

    run(scenario)


def test_reset_and_refusal():
    async def scenario(relay, target):
        old = await connect(relay)
        assert await exchange(old) == b"ping"
        relay.reset_current()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await exchange(old)
        assert await exchange(await connect(relay)) == b"ping"
        relay.refuse()
        with pytest.raises(ConnectionRefusedError):
            await connect(relay)
        await relay.listen()
        assert await exchange(await connect(relay)) == b"ping"

    run(scenario)


def test_an_unreachable_target_resets_the_connection():
    async def scenario(relay, target):
        relay.target = "127.0.0.1:1"
        reader, writer = await connect(relay)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await exchange((reader, writer), wait_s=5)
        writer.close()

    run(scenario)


@pytest.mark.parametrize(
    ("data", "status", "works"),
    [
        ({"action": "cut"}, 200, False),
        ({"action": "cut", "directions": ["to_client"]}, 200, False),
        ({"action": "cut", "source": "127.0.0.9"}, 200, True),
        ({"action": "silence_current"}, 200, False),
        ({"action": "silence", "number": 1}, 200, False),
        ({"action": "heal"}, 200, True),
        ({"action": "silence", "number": 9}, 400, True),
        ({"action": "cut", "directions": ["sideways"]}, 400, True),
        ({"action": "cut", "directon": "to_client"}, 400, True),
        ({}, 400, True),
    ],
)
def test_control_calls(data, status, works):
    async def scenario(relay, target):
        control = RelayControl(relay)
        url = f"http://{await control.start()}/control/relay"
        pair = await connect(relay)
        assert await exchange(pair) == b"ping"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=data) as response:
                assert response.status == status
            async with session.get(url) as response:
                state = await response.json()
                assert [each["number"] for each in state["connections"]] == [1]
        assert (await exchange(pair) == b"ping") is works
        await control.close()

    run(scenario)
