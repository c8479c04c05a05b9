"""Guards against adapters that report an append as failed although it may be in the log."""

import asyncio
import base64
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from anviltray.platform import (
    AppendRejected,
    AppendUnknown,
    HostEntry,
    HttpPlatform,
    MemoryPlatform,
    OffsetTrimmed,
    PlatformUnavailable,
)
from anviltray.testing import free_address, run_with_virtual_clock

HOST = HostEntry("10.0.0.1:80", "node", "live", "viti", "a", "10.0.0.1:81", "n1")


class StandIn:
    """Serves a MemoryPlatform over HTTP, with fault injection."""

    def __init__(self):
        self.memory = MemoryPlatform()
        self.memory.set_hosts([HOST])
        self.status = None
        self.behaviour = None
        self.text = None
        self.released = asyncio.Event()

    async def handle(self, request):
        if self.behaviour == "close":
            request.transport.abort()
            return web.Response()
        if self.behaviour == "silent":
            await self.released.wait()
        if self.status is not None:
            return web.Response(status=self.status)
        if self.text is not None:
            return web.Response(text=self.text, status=201 if request.method == "POST" else 200)
        stream = request.match_info.get("stream", "")
        if request.method == "POST":
            offset = await self.memory.append(stream, await request.read())
            return web.json_response({"offset": offset}, status=201)
        if request.path == "/hosts":
            hosts = await self.memory.hosts()
            return web.json_response({"hosts": [host._asdict() for host in hosts]})
        if request.path.endswith("/offsets"):
            return web.json_response((await self.memory.offsets(stream))._asdict())
        try:
            batch = await self.memory.read(
                stream, int(request.query["offset"]), int(request.query["limit"])
            )
        except OffsetTrimmed:
            return web.Response(status=410)
        records = [
            {"offset": r.offset, "payload": base64.b64encode(r.payload).decode()}
            for r in batch.records
        ]
        document = {"oldest": batch.oldest_offset, "next": batch.next_offset, "records": records}
        return web.json_response(document)


@asynccontextmanager
async def serving(stand_in):
    application = web.Application()
    application.router.add_route("*", "/hosts", stand_in.handle)
    application.router.add_route("*", "/streams/{stream}", stand_in.handle)
    application.router.add_route("*", "/streams/{stream}/offsets", stand_in.handle)
    runner = web.AppRunner(application, shutdown_timeout=0)
    await runner.setup()
    host, port = free_address("127.0.0.2").split(":")
    await web.TCPSite(runner, host, int(port)).start()
    platform = HttpPlatform(f"http://{host}:{port}", timeout_s=0.5)
    try:
        yield platform
    finally:
        await platform.close()
        stand_in.released.set()
        await runner.cleanup()


async def check_adapter(platform, trim):
    """Checks the behaviour that all adapters have in common."""
    assert [await platform.append("s", bytes([n])) for n in range(4)] == [0, 1, 2, 3]
    batch = await platform.read("s", 1, 2)
    assert [(r.offset, r.payload) for r in batch.records] == [(1, b"\x01"), (2, b"\x02")]
    assert (batch.oldest_offset, batch.next_offset) == (0, 4)
    assert (await platform.read("s", 4, 2)).records == ()
    trim("s", 2)
    with pytest.raises(OffsetTrimmed):
        await platform.read("s", 1, 2)
    assert await platform.offsets("s") == (2, 4)
    assert await platform.offsets("other") == (0, 0)
    assert await platform.hosts() == (HOST,)


def test_memory_platform():
    platform = MemoryPlatform()
    platform.set_hosts([HOST])
    asyncio.run(check_adapter(platform, platform.trim))


def test_http_platform():
    async def main():
        stand_in = StandIn()
        async with serving(stand_in) as platform:
            await check_adapter(platform, stand_in.memory.trim)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("fault", "append_error", "read_error"),
    [
        ({"status": 429}, AppendRejected, PlatformUnavailable),
        ({"status": 503}, PlatformUnavailable, PlatformUnavailable),
        ({"status": 500}, AppendUnknown, PlatformUnavailable),
        ({"behaviour": "close"}, AppendUnknown, PlatformUnavailable),
        ({"behaviour": "silent"}, AppendUnknown, PlatformUnavailable),
        ({"text": "{"}, AppendUnknown, PlatformUnavailable),
        ({"text": '{"offset": "1"}'}, AppendUnknown, PlatformUnavailable),
        ({"text": "[]"}, AppendUnknown, PlatformUnavailable),
    ],
    ids=str,
)
def test_http_faults(fault, append_error, read_error):
    async def main():
        stand_in = StandIn()
        async with serving(stand_in) as platform:
            for name, value in fault.items():
                setattr(stand_in, name, value)
            with pytest.raises(append_error):
                await platform.append("s", b"x")
            for call in (platform.read("s", 0, 1), platform.offsets("s"), platform.hosts()):
                with pytest.raises(read_error):
                    await call

    asyncio.run(main())


def test_refused_connection_proves_that_nothing_was_appended():
    async def main():
        platform = HttpPlatform(f"http://{free_address('127.0.0.2')}", timeout_s=0.5)
        with pytest.raises(PlatformUnavailable):
            await platform.append("s", b"x")
        await platform.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("faults", "error", "appended"),
    [
        ({"available": False}, PlatformUnavailable, 0),
        ({"lost_answers": 1}, AppendUnknown, 1),
        ({"dropped_appends": 1}, AppendUnknown, 0),
        ({"appends_per_s": 1.0}, AppendRejected, 1),
    ],
    ids=str,
)
def test_memory_faults(faults, error, appended):
    async def main():
        platform = MemoryPlatform()
        for name, value in faults.items():
            setattr(platform, name, value)
        with pytest.raises(error):
            for _ in range(2):
                await platform.append("s", b"x")
        assert len(platform.payloads("s")) == appended
        for name in faults:
            setattr(platform, name, getattr(MemoryPlatform(), name))
        await platform.append("s", b"y")

    run_with_virtual_clock(main())


def test_memory_retention_and_delay():
    async def main():
        platform = MemoryPlatform()
        platform.retention, platform.delay_s = 2, 3.0
        for _ in range(5):
            await platform.append("s", b"x")
        assert await platform.offsets("s") == (3, 5)
        return asyncio.get_running_loop().time()

    assert run_with_virtual_clock(main()) == 18.0
