"""Nodes that the tests of the exchange share."""

import asyncio
import random
from contextlib import asynccontextmanager

from anviltray.settings import build_settings
from anviltray.state import CommandPublisher, LogFollower, reader_ranks
from anviltray.state.configuration import ConfigurationStore
from anviltray.state.exchange import Exchange
from anviltray.testing import free_address


class StateNode:
    """The state tasks of one node, wired as the node assembly wires them."""

    def __init__(self, platform, name, region="viti", zone="a", seeds=(), key=b"k", **exchange):
        settings = build_settings(
            {
                "node": name,
                "region": region,
                "zone": zone,
                "caller_address": f"10.1.0.{abs(hash(name)) % 250}:80",
                "peer_address": free_address(),
                "operator_address": "127.0.0.1:1",
                "platform": {"kind": "memory"},
                "exchange": {"seeds": list(seeds), **exchange},
            }
        )
        self.name = name
        self.address = settings.peer_address
        self.store = ConfigurationStore()
        self.exchange = Exchange(settings, self.store, key, random.Random(name))
        self.follower = LogFollower(
            platform,
            self.store,
            lambda: reader_ranks(self.exchange.membership),
            poll_interval_s=settings.platform.poll_interval_s,
            readers_per_zone=settings.exchange.log_readers_per_zone,
        )
        self.publisher = CommandPublisher(platform, self.store, self.follower.read)
        self._follower_task = None

    async def start(self):
        await self.exchange.start()
        self._follower_task = asyncio.create_task(self.follower.run())

    async def kill(self):
        """Ends the node without telling its peers."""
        self._follower_task.cancel()
        await self.exchange.abort()

    async def stop(self):
        self._follower_task.cancel()
        await self.exchange.stop()


@asynccontextmanager
async def running(*nodes):
    """Starts the nodes and kills those that are left at the end."""
    for node in nodes:
        await node.start()
    try:
        yield
    finally:
        for node in nodes:
            await node.kill()


async def until(condition, timeout_s=60.0):
    """Waits on the loop's clock until `condition()` is true and returns the time it took."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not condition():
        assert loop.time() - start_s < timeout_s, "the condition did not become true"
        await asyncio.sleep(0.02)
    return loop.time() - start_s
