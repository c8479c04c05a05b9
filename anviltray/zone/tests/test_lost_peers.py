"""Guards against configurations that arrive late because a host of the zone has been lost.

A lost host sends nothing and does not respond, as after a power failure or behind a silent cut.
"""

import asyncio

import pytest

from anviltray.platform import KeyedStore
from anviltray.platform.tests.documents import configuration
from anviltray.zone import STANDBY, SnapshotUnavailable
from anviltray.zone._hosts import STANDBY_INTERVAL_S
from anviltray.zone.tests.test_follower import CONFIGURATION_S, Fleet
from standins.store import StoreConditions, StoreStandin

FETCH_TIMEOUT_S = 1.0  # Time limit of a fetch from a host that does not respond.
STORE_TIMEOUT_S = 1.5  # The same for a call to the store.
HOSTS = 12


class LossyFleet(Fleet):
    """A fleet whose hosts can be lost or cut off from each other."""

    def __init__(self, count):
        super().__init__(count)
        self.unreachable = set()  # Addresses of hosts that respond to no other host.

    async def __aenter__(self):
        await super().__aenter__()
        for host in self.hosts:
            host.follower.peers.fetch_snapshot = self.fetcher(host.address)
            host.store._transport._timeout_s = STORE_TIMEOUT_S
        return self

    def fetcher(self, receiver):
        async def fetch(sender):
            if {sender, receiver} & self.unreachable:
                await asyncio.sleep(FETCH_TIMEOUT_S)
                raise SnapshotUnavailable(f"{sender}: no response")
            return self.host(sender).follower.snapshot()

        return fetch

    def readers(self):
        """Returns the hosts in the order in which they read the store."""
        return sorted(self.hosts, key=lambda host: host.follower.reader.read_rank())

    async def lose(self, host):
        """Ends a host without a sign to the others."""
        self.unreachable.add(host.address)
        self.hosts = [other for other in self.hosts if other is not host]
        await host.stop()

    async def lose_readers_on_standby(self, count, *, read_age_s):
        """Loses the first hosts in the order of reading, `read_age_s` after a read of the zone.

        The others notice it late, because hosts on standby send few beacons.
        """
        for host in self.hosts:
            host.state = STANDBY
        await asyncio.sleep(STANDBY_INTERVAL_S)
        readers = self.readers()
        follower = readers[0].follower
        while not read_age_s < follower.read_age_s() < read_age_s + 0.1:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        for reader in readers[:count]:
            await self.lose(reader)

    def cut(self, host, *, receives):
        """Cuts a host off from the other hosts, but not from the store."""
        self.unreachable.add(host.address)
        host.exchange._send_data = lambda address, data: None
        if not receives:
            host.exchange.datagram_received = lambda data, address: None

    def join(self, host):
        """Ends a cut."""
        self.unreachable.discard(host.address)
        for name in ("_send_data", "datagram_received"):
            host.exchange.__dict__.pop(name, None)

    def append(self, version):
        self.store.append_record("keyed.op", "config", configuration(version=f"r{version}"))

    async def in_force(self, version):
        return await self.until(lambda host: host.versions[-1] == version, 3 * CONFIGURATION_S)


def measure(scenario):
    """Returns the time in seconds from an acknowledged version until all hosts have applied it."""

    async def main():
        async with LossyFleet(HOSTS) as fleet:
            await asyncio.sleep(1.5)
            reader = fleet.readers()[0]
            assert reader.follower.reader.read_rank() == 0
            return await asyncio.wait_for(scenario(fleet, reader), 40)

    return asyncio.run(main())


async def announcer_lost(fleet, reader):
    fleet.append(9)
    while reader.versions[-1] != 9:  # noqa: ASYNC110
        await asyncio.sleep(0.001)
    await fleet.lose(reader)
    return await fleet.in_force(9)


async def reader_lost(fleet, reader):
    await fleet.lose(reader)
    fleet.append(9)
    return await fleet.in_force(9)


async def reader_lost_while_the_store_is_slow(fleet, reader):
    fleet.store.conditions = StoreConditions(delay_s=0.7)
    await asyncio.sleep(1.5)
    return await reader_lost(fleet, reader)


async def two_readers_lost(fleet, reader):
    second = fleet.readers()[1]
    await fleet.lose(reader)
    await fleet.lose(second)
    fleet.append(9)
    return await fleet.in_force(9)


async def most_hosts_lost_right_after_a_read(fleet, reader):
    await fleet.lose_readers_on_standby(10, read_age_s=0.0)
    fleet.append(9)
    return await fleet.in_force(9)


async def host_cut_off(fleet, reader):
    fleet.cut(fleet.readers()[-1], receives=False)
    fleet.append(9)
    return await fleet.in_force(9)


async def host_that_only_receives(fleet, reader):
    fleet.cut(fleet.readers()[-1], receives=True)
    fleet.append(9)
    return await fleet.in_force(9)


async def host_cut_off_after_the_announcement(fleet, reader):
    host = fleet.readers()[-1]
    fleet.append(9)
    while not host.follower.peers.behind.is_set():  # noqa: ASYNC110
        await asyncio.sleep(0.001)
    fleet.cut(host, receives=False)
    return await fleet.in_force(9)


def test_failing_fetches_do_not_flood_the_store():
    async def scenario(fleet, reader):
        failing = StoreStandin()
        failing.conditions = StoreConditions(status=503)
        await failing.start()

        async def fetch(sender):
            raise RuntimeError("unexpected")

        victim = fleet.readers()[-1]
        victim.follower.peers.fetch_snapshot = fetch
        healthy, victim.follower.reader.store = victim.follower.reader.store, KeyedStore(
            failing.address, 0.5
        )
        fleet.append(9)
        await asyncio.sleep(CONFIGURATION_S)
        assert victim.versions == [7]
        # Both tasks that read the store wait at least 0.25 s after a failure.
        assert len(failing.calls) <= 2 * CONFIGURATION_S / 0.25
        await victim.follower.reader.store.close()
        victim.follower.reader.store = healthy
        await failing.close()
        return await fleet.in_force(9)

    assert measure(scenario) <= CONFIGURATION_S


@pytest.mark.parametrize(
    "scenario",
    [
        announcer_lost,
        reader_lost,
        reader_lost_while_the_store_is_slow,
        two_readers_lost,
        most_hosts_lost_right_after_a_read,
        host_cut_off,
        host_that_only_receives,
        host_cut_off_after_the_announcement,
    ],
)
def test_configuration_is_in_force_in_time(scenario):
    assert measure(scenario) <= CONFIGURATION_S
