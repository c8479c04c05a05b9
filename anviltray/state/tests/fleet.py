"""Nodes for the tests of the exchange."""

import random
from contextlib import asynccontextmanager

from anviltray.settings import build_settings
from anviltray.state import StateTasks
from anviltray.testing import free_address


class StateNode(StateTasks):
    """The state tasks of one node, with its own peer address."""

    def __init__(self, platform, name, region="viti", zone="a", seeds=(), key=b"k", **exchange):
        settings = build_settings(
            {
                "node": name,
                "region": region,
                "zone": zone,
                "caller_address": "127.0.0.1:1",
                "peer_address": free_address(),
                "operator_address": "127.0.0.1:1",
                "platform": {"kind": "memory"},
                "exchange": {"seeds": list(seeds), **exchange},
            }
        )
        super().__init__(settings, platform, key, random.Random(name))
        self.name = name
        self.address = settings.peer_address


@asynccontextmanager
async def running(*nodes):
    """Starts the nodes and aborts them at the end."""
    for node in nodes:
        await node.start()
    try:
        yield
    finally:
        for node in nodes:
            await node.abort()
