"""Guards against a host that stops fetching although a peer is ahead, in virtual time."""

import asyncio

import pytest

from anviltray.testing import run_with_virtual_clock
from anviltray.zone.tests.virtual_zone import VirtualZone

CATCH_UP_S = 2.0


@pytest.mark.parametrize("store", ["away", "silent"])
def test_beacon_that_arrives_as_a_fetch_ends_is_followed(store):
    """The host cannot read the store, so it depends on its peers."""

    async def main():
        zone = VirtualZone(3)
        zone.start_instance("i-1")
        await asyncio.sleep(3.0)
        *_, peer, victim = zone.hosts.values()
        victim.store.reachable = store == "silent"
        victim.store.response_delay_s = 1000.0
        follower, fetch = victim.follower, victim.follower.peers.fetch_snapshot

        async def fetch_and_meet_a_newer_beacon(address):
            snapshot = await fetch(address)
            follower.peers.fetch_snapshot = fetch
            beacon = peer.beacon(False)._replace(configuration_version=11)
            loop = asyncio.get_running_loop()
            loop.call_soon(victim.exchange._handle_beacon, beacon)
            loop.call_soon(zone.write_configuration, 11)
            return snapshot

        follower.peers.fetch_snapshot = fetch_and_meet_a_newer_beacon
        zone.write_configuration(9)
        await asyncio.sleep(CATCH_UP_S)
        assert victim.versions == [7, 9, 11]
        await zone.close()

    run_with_virtual_clock(main())
