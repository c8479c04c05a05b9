"""Guards against snapshots too large to reach all hosts of a zone in time, and damaged ones."""

import asyncio
import math
import random

import pytest
from aiohttp import web

from anviltray.messages import KeyedChange, StoreSnapshot, encode_message
from anviltray.platform import BODY_LIMIT_BYTES
from anviltray.platform.tests.documents import configuration, registration
from anviltray.zone import (
    SNAPSHOT_CODING,
    SNAPSHOT_PATH,
    SnapshotUnavailable,
    encode_snapshot,
    fetch_snapshot,
)

# The slowest link, the hosts of a zone and the routes of the largest known deployment.
LINK_BITS_S = 10e6
ZONE_HOSTS = 26
ROUTES = 1400
# Half of the time within which all hosts there must have applied a configuration.
TIME_LIMIT_S = 1.5
BUFFERED_BYTES = 16_000_000  # In the sockets and in the buffers of both sides.


def large_snapshot():
    rng = random.Random(1)

    def word(length):
        return "".join(rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=length))

    routes = [
        {
            "name": f"r-{word(7)}",
            "host": f"{word(4)}.example",
            "pathPrefix": f"/{word(7)}/",
            "kind": rng.choice(["safe", "unsafe"]),
            "timeoutMs": 3000,
            "targetLatencyMs": 1200,
            "priority": rng.randrange(3),
            "service": rng.choice(["keeper", "supply"]),
            "maxAttempts": 2,
        }
        for _ in range(ROUTES)
    ]
    instances = tuple(KeyedChange(f"i-{word(10)}", registration()) for _ in range(300))
    return StoreSnapshot(7, configuration(routes=routes), 40, instances, 0.1, 0, math.inf, ())


def test_large_snapshot_reaches_all_peers_in_time_only_if_compressed():
    snapshot = large_snapshot()
    assert len(encode_message(snapshot)) * 8 * (ZONE_HOSTS - 1) > 3 * TIME_LIMIT_S * LINK_BITS_S
    assert len(encode_snapshot(snapshot)) * 8 * (ZONE_HOSTS - 1) < TIME_LIMIT_S * LINK_BITS_S


@pytest.mark.parametrize(
    ("status", "body", "coding", "received"),
    [
        (200, encode_snapshot(large_snapshot()), SNAPSHOT_CODING, True),
        (200, encode_message(large_snapshot()), "identity", True),
        (200, encode_snapshot(large_snapshot()), "identity", False),
        (200, b"spoilt", SNAPSHOT_CODING, False),
        (503, b"", "identity", False),
    ],
)
def test_fetch_returns_valid_snapshots_only(status, body, coding, received):
    async def respond(request):
        return web.Response(status=status, body=body, headers={"Content-Encoding": coding})

    if received:
        assert fetch_from(respond) == large_snapshot()
    else:
        with pytest.raises(SnapshotUnavailable):
            fetch_from(respond)


def test_snapshot_without_end_is_not_kept():
    sent = []

    async def respond(request):
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"x" * 65536)
            sent.append(65536)

    with pytest.raises(SnapshotUnavailable):
        fetch_from(respond)
    assert sum(sent) < BODY_LIMIT_BYTES + BUFFERED_BYTES


def fetch_from(respond):
    """Returns what `fetch_snapshot` gets from a host that responds with `respond`."""

    async def main():
        application = web.Application()
        application.router.add_get(SNAPSHOT_PATH, respond)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        try:
            return await fetch_snapshot(f"127.0.0.1:{port}")
        finally:
            await runner.cleanup()

    return asyncio.run(main())
