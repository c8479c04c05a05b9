"""Guards against hosts that run out of memory because instances send bytes without end."""

import asyncio
import contextlib
import json
import re
from pathlib import Path

import pytest

from anviltray.callers.tests.support import call
from anviltray.decisions.limits import CallerMemory
from anviltray.edge._response_buffer import (
    MAX_BUFFERED_BYTES,
    STREAM_BYTES,
    ResponseBuffer,
    can_stream,
    stream,
)
from anviltray.edge.tests.support import (
    SEAL,
    Fleet,
    configuration,
    registration,
    respond,
    route,
)
from standins.fleet import ManagedProcess

MEMORY_LIMIT_BYTES = 300_000_000  # Default of the host settings.
INSTANCES, CALLERS = 5, 400
CHUNK = b"x" * 65536
HEAD = f"HTTP/1.1 200 OK\r\n{SEAL}Request-Id: "


def without_end(before, after, unit):
    """Returns the handler of an instance that writes `unit` until the connection is closed."""

    async def write(request, writer):
        writer.write(f"{before}{request.headers['request-id']}\r\n{after}".encode())
        while True:
            writer.write(unit)
            await writer.drain()

    return write


def peak_memory_bytes(process_id):
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


async def send_without_reading(address, number, writers):
    host, _, port = address.rpartition(":")
    # Only a few bytes fit into the buffers of a caller that does not read.
    _, writer = await asyncio.open_connection(host, int(port), limit=1024)
    writers.append(writer)
    writer.write(
        b"GET /order/1 HTTP/1.1\r\nHost: keeper.example\r\nDeadline-Ms: 8000\r\n"
        b"Request-Id: c%d\r\n\r\n" % number
    )


@pytest.mark.parametrize(
    "handler",
    [
        without_end(HEAD, "\r\n", CHUNK),
        without_end(HEAD, "Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n%b\r\n" % CHUNK),
        without_end(HEAD, "Transfer-Encoding: chunked\r\n\r\n1;", CHUNK),
        without_end(HEAD, "X-Filler: ", CHUNK),
        without_end(HEAD, "", b"X-Filler: 1\r\n" * 5000),
        without_end("HTTP/1.1 103 Early Hints\r\nX: ", "\r\n", b"HTTP/1.1 103 X\r\n\r\n" * 4000),
        without_end(
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: ", "\r\n", CHUNK
        ),
    ],
    ids=["unframed", "chunks", "extension", "field", "fields", "informational", "rejection"],
)
def test_host_serves_while_hundreds_of_responses_do_not_end(tmp_path, handler):
    async def main():
        async with Fleet(tmp_path, [handler] * INSTANCES, hosts=0) as fleet:
            routes = [route("order", "unsafe", timeout_ms=8000)]
            fleet.store.append_record("keyed.op", "config", configuration(2, routes))
            for number, instance in enumerate(fleet.instances):
                # No request is rejected for want of a free slot.
                record = json.loads(registration(instance.address))
                record["info"]["slots"] = CALLERS
                fleet.store.append_record(
                    "keyed.servers", f"i-{number}", json.dumps(record).encode()
                )
            settings = fleet.settings(1)
            host = ManagedProcess("edge", "anviltray.edge", [tmp_path / "1.toml"], tmp_path)
            host.start()
            writers = []
            try:
                await fleet.until_logged(host, b"configuration 2", 30.0)
                await fleet.until_ready(host, settings, 30.0)
                await asyncio.gather(
                    *(
                        send_without_reading(settings.caller_address, number, writers)
                        for number in range(CALLERS)
                    )
                )
                await asyncio.sleep(3.0)
                assert fleet.received() > CALLERS / 2
                assert host.running, host.tail()
                assert peak_memory_bytes(host.process_id) < MEMORY_LIMIT_BYTES
                # The host serves the next callers.
                for instance in fleet.instances:
                    instance.answer = respond()
                response = await call(
                    settings.caller_address, "GET /order/1", Request_Id="next", Deadline_Ms="3000"
                )
                assert response.status in (200, 503)
            finally:
                for writer in writers:
                    writer.transport.abort()
                host.kill()

    asyncio.run(main())


class Holder:
    """A request that holds memory; closes nothing."""

    def __init__(self, memory):
        self.memory = memory

    def hold(self, change_bytes):
        self.memory.used_bytes += change_bytes

    def relieve(self):
        pass


def fill(memory, *sizes):
    """Returns buffers with one chunk of each size."""
    buffers = [ResponseBuffer(Holder(memory)) for _ in sizes]
    for buffer, size in zip(buffers, sizes, strict=True):
        buffer.append(b"x" * size)
    return buffers


# Three quarters of the budget are 1,000,000 bytes.
BUDGET_BYTES = 1_333_334


@pytest.mark.parametrize(
    ("sizes", "full"),
    [
        ([MAX_BUFFERED_BYTES], [False]),
        ([MAX_BUFFERED_BYTES + 1], [True]),
        ([100_000] * 10, [False] * 10),
        ([100_000] * 11, [True] * 11),
    ],
)
def test_responses_are_buffered_within_the_memory_for_callers(sizes, full):
    memory = CallerMemory(BUDGET_BYTES)
    buffers = fill(memory, *sizes)
    assert [buffer.is_full for buffer in buffers] == full
    with contextlib.ExitStack() as stack:
        for buffer in buffers:
            stack.enter_context(buffer)
    assert memory.used_bytes == 0


def test_chunks_that_are_passed_on_return_their_memory():
    memory = CallerMemory(BUDGET_BYTES)
    with ResponseBuffer(Holder(memory)) as buffer:
        buffer.append(b"first")
        buffer.append(b"second")
        assert buffer.content() == b"firstsecond"
        assert (buffer.pop_first(), memory.used_bytes) == (b"first", 6)
        assert (buffer.pop_first(), buffer.pop_first()) == (b"second", b"")


def test_responses_are_streamed_within_the_memory_for_callers():
    memory = CallerMemory(2 * STREAM_BYTES)
    holder = Holder(memory)
    with stream(holder):
        assert can_stream(holder)
        with stream(holder):
            assert not can_stream(holder)
        assert can_stream(holder)
    assert memory.used_bytes == 0
