"""Guards against a host that ends or hangs because of callers outside the limits.

Each test starts a host as a process whose settings give it little memory and few descriptors, and a
small crowd of one kind. The crowd keeps its connections open while an ordinary caller sends one
request. Whatever depends on the speed of the machine is not checked. Run these tests one at a time,
apart from other load.
"""

import asyncio
import contextlib
import json
import re
import socket
from pathlib import Path
from typing import NamedTuple

import pytest

from anviltray.callers.tests.support import call
from anviltray.edge.tests.support import Fleet, configuration, registration, respond, route
from anviltray.platform import load_host_settings, names
from anviltray.zone import SNAPSHOT_PATH
from standins.fleet import ManagedProcess

# What the settings of the host state, and the bounds of all tests. A calm host has 47 to 56 MB and
# 14 descriptors.
MEMORY_LIMIT_MB = 96
DESCRIPTOR_LIMIT = 1000
LIMITS = f"[limits]\nmemoryMb = {MEMORY_LIMIT_MB}\nmaxFds = {DESCRIPTOR_LIMIT}\n"

INSTANCES = 3
BODY_BYTES = 1_048_576  # The largest legal body.
HEAD_BYTES = 16_384  # The largest legal head.
LARGE_RESPONSE = b"x" * 250_000  # Just small enough that a host receives it before it responds.
SENDING_S = 2.5  # Limit for the crowd to send; what the host does not take by then stays unsent.
SAMPLE_INTERVAL_S = 0.05
MAX_TRIES = 10  # Of the ordinary caller, which comes again after a rejection.
RETRY_INTERVAL_S = 0.5


class Crowd(NamedTuple):
    """What each connection of a crowd sends; the pieces are sent in order with a pause between."""

    connections: int
    head: str  # Header fields of a request.
    pieces: tuple[bytes, ...] = ()  # What follows the head.
    pause_s: float = 0.0
    repeat: int = 1  # Requests that are sent ahead.
    reads: int = 0  # Bytes of responses that are read after each piece.
    ended: bool = True  # Whether the head is complete.


def split(data, size):
    return tuple(data[start : start + size] for start in range(0, len(data), size))


ALMOST_ALL = b"x" * (BODY_BYTES - 1)
LENGTH = f"Content-Length: {BODY_BYTES}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"
FIELDS = "".join(f"a{number % 10}:\r\n" for number in range(HEAD_BYTES // 5 - 60))
DRIBBLE = (b"a:\r\n",) * 20

CROWDS = {
    "one piece": Crowd(600, LENGTH, (ALMOST_ALL,)),
    "small pieces": Crowd(600, LENGTH, split(ALMOST_ALL[:150_000], 4000), pause_s=0.01),
    "chunks": Crowd(600, CHUNKED, (CHUNK * 255,)),
    "chunks of a byte": Crowd(600, CHUNKED, (b"1\r\nx\r\n" * 60_000,)),
    "large body": Crowd(300, "Content-Length: 4000000000\r\n", (ALMOST_ALL,) * 4),
    "chunks without end": Crowd(300, CHUNKED, (CHUNK * 256,) * 4),
    "field of 4 MiB": Crowd(60, "X: ", (b"x" * BODY_BYTES,) * 4, ended=False),
    "short fields": Crowd(250, FIELDS, ended=False),
    "short fields and a body": Crowd(250, FIELDS + LENGTH, (ALMOST_ALL,)),
    "pipelined": Crowd(300, "", repeat=32),
    "many pipelined": Crowd(300, "", repeat=400),
    "slow heads": Crowd(250, FIELDS[:12_000], DRIBBLE, pause_s=0.1, ended=False),
    "slow bodies": Crowd(600, LENGTH, (ALMOST_ALL[:100_000], *split(b"x" * 20, 1)), pause_s=0.1),
    "slow readers": Crowd(300, "", (b"",) * 20, pause_s=0.1, repeat=8, reads=1),
    "stopped readers": Crowd(300, "", repeat=8),
    "connections": Crowd(1300, "", ended=False),
}
# Path of the requests of a crowd, the address they are sent to, and whether all crowds go there.
PLACES = {
    "route": ("/level/large", "caller_address", True),
    "order": ("/order/large", "caller_address", False),
    "unknown": ("/nowhere/1", "caller_address", True),
    "ready": (names.READY_PATH, "readiness_address", True),
    "directory": (f"{names.RESOLVE_PATH}?service=keeper", "directory_address", False),
    "metrics": ("/metrics", "metrics", False),
    "snapshot": (SNAPSHOT_PATH, "internal", False),
}
# Crowds that are sent to the addresses that not all crowds go to.
EVERYWHERE = frozenset({"chunks", "field of 4 MiB", "many pipelined"})
CASES = [
    pytest.param(crowd, *PLACES[place][:2], id=f"{kind}-{place}")
    for place in PLACES
    for kind, crowd in CROWDS.items()
    if PLACES[place][2] or kind in EVERYWHERE
]


class Observed:
    """Largest memory and number of descriptors of a process so far."""

    def __init__(self, process_id):
        self._directory = Path(f"/proc/{process_id}")
        self.descriptors = 0

    def sample(self):
        with contextlib.suppress(FileNotFoundError):
            self.descriptors = max(self.descriptors, len(list((self._directory / "fd").iterdir())))

    def memory_mb(self, field):
        status = (self._directory / "status").read_text()
        return int(re.search(rf"{field}:\s+(\d+) kB", status)[1]) * 1024 / 1_000_000

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


async def press(crowd, path, address):
    """Sends what one connection of a crowd sends; ends early if the host closes the connection."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    head = f"GET {path} HTTP/1.1\r\nHost: keeper.example\r\nRequest-Id: c%d\r\n{crowd.head}"
    head += "\r\n" * crowd.ended
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SENDING_S):
            await loop.sock_connect(connection, (host, int(port)))
            heads = "".join(head % number for number in range(crowd.repeat))
            await loop.sock_sendall(connection, heads.encode())
            for piece in crowd.pieces:
                await loop.sock_sendall(connection, piece)
                if crowd.reads:
                    await loop.sock_recv(connection, crowd.reads)
                await asyncio.sleep(crowd.pause_s)
    return connection


async def call_until_served(address):
    """Returns the response to an ordinary caller, which comes again after a rejection."""
    for number in range(MAX_TRIES):
        response = await call(
            address, "GET /level/1", Request_Id=f"next-{number}", Deadline_Ms="3000"
        )
        if response.status != 503:
            break
        await asyncio.sleep(RETRY_INTERVAL_S)
    return response


def write_settings(fleet, directory):
    """Returns the settings of a host with little memory, and their file."""
    fleet.settings(1)
    path = directory / "1.toml"
    path.write_text(path.read_text() + LIMITS)
    return load_host_settings(path), path


@pytest.mark.parametrize(("crowd", "path", "place"), CASES)
def test_host_outlives_a_crowd_and_serves_the_next_caller(tmp_path, crowd, path, place):
    async def main():
        handlers = [respond(body=LARGE_RESPONSE)] * INSTANCES
        async with Fleet(tmp_path, handlers, hosts=0) as fleet:
            routes = [route("level", "safe", timeout_ms=3000), route("order", "unsafe")]
            fleet.store.append_record("keyed.op", "config", configuration(2, routes))
            for number, instance in enumerate(fleet.instances):
                record = json.loads(registration(instance.address))
                record["info"]["slots"] = 100
                fleet.store.append_record(
                    "keyed.servers", f"i-{number}", json.dumps(record).encode()
                )
            settings, settings_path = write_settings(fleet, tmp_path)
            addresses = {
                "metrics": f"{settings.address}:9464",
                "internal": f"{settings.address}:{settings.first_internal_port}",
            }
            address = addresses.get(place) or getattr(settings, place)
            host = ManagedProcess("edge", "anviltray.edge", [settings_path], tmp_path)
            host.start()
            connections = []
            try:
                await fleet.until_logged(host, b"configuration 2", 60.0)
                await fleet.until_ready(host, settings, 60.0)
                observed = Observed(host.process_id)
                calm_mb = observed.memory_mb("VmHWM")
                sampling = asyncio.create_task(observed.run())
                connections = await asyncio.gather(
                    *(press(crowd, path, address) for _ in range(crowd.connections))
                )
                assert host.running, host.tail()
                # The crowd holds its connections while an ordinary caller comes.
                response = await call_until_served(settings.caller_address)
                ready = await call(settings.readiness_address, f"GET {names.READY_PATH}")
                observed.sample()
                sampling.cancel()
                peak_mb = observed.memory_mb("VmHWM")
                print(
                    f"calm {calm_mb:.0f} MB, peak {peak_mb:.0f} MB, "
                    f"{observed.descriptors} descriptors, status {response.status}, "
                    f"ready {ready.status}"
                )
                assert host.running, host.tail()
                assert response.status == 200
                assert ready.status == 200
                assert peak_mb < MEMORY_LIMIT_MB
                assert observed.descriptors < DESCRIPTOR_LIMIT
            finally:
                for connection in connections:
                    connection.close()
                host.kill()

    asyncio.run(main())
