"""Guards against removed instances that a zone keeps because of an outage of the store."""

import asyncio
import contextlib

import pytest

from anviltray.messages import InstanceChanges
from anviltray.platform import KeyedStore
from anviltray.platform.tests.documents import registration
from anviltray.zone.tests.test_follower import CONFIGURATION_S, DRAIN_S
from anviltray.zone.tests.test_lost_peers import STORE_TIMEOUT_S, LossyFleet
from standins.store import StoreConditions, StoreStandin

HOSTS = 16  # Hosts of the largest availability zone with 48 hosts in four zones.
OUTAGE_S = 3.0
STABLE_S = 3.0  # Time after a disturbance in which the platform does not measure.


def conditions(broken):
    return StoreConditions(**{broken: 503 if broken == "status" else True})


def run(scenario):
    async def main():
        async with LossyFleet(HOSTS) as fleet:
            await asyncio.sleep(1.0)
            await asyncio.wait_for(scenario(fleet), 40)

    asyncio.run(main())


@pytest.mark.parametrize("lost", [1, 2])
@pytest.mark.parametrize("broken", ["resets", "silent", "status"])
def test_instance_removed_with_the_reader_after_an_outage_is_not_kept(broken, lost):
    async def scenario(fleet):
        fleet.store.conditions = conditions(broken)
        await asyncio.sleep(OUTAGE_S)
        fleet.store.conditions = StoreConditions()
        await asyncio.sleep(STABLE_S)
        for reader in fleet.readers()[:lost]:
            await fleet.lose(reader)
        fleet.store.append_record("keyed.servers", "i-1", b"")
        fleet.append(9)
        await fleet.until(
            lambda host: host.usable() == [] and host.versions[-1] == 9,
            min(DRAIN_S, CONFIGURATION_S),
        )

    run(scenario)


async def renew(fleet):
    """Renews a registration, so that each read of the store has something to report."""
    while True:
        fleet.store.append_record("keyed.servers", "i-2", registration())
        await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def use_failing_store(host, broken):
    """Makes the store fail for one host."""
    failing = StoreStandin()
    failing.conditions = conditions(broken)
    await failing.start()
    healthy = host.follower.reader.store
    host.follower.reader.store = KeyedStore(failing.address, STORE_TIMEOUT_S)
    await healthy.close()  # Calls that wait for a response fail too.
    yield
    await host.follower.reader.store.close()
    host.follower.reader.store = healthy
    await failing.close()


@pytest.mark.parametrize("broken", ["resets", "silent", "status"])
def test_host_notices_that_the_store_serves_it_again(broken):
    """The other hosts read for the zone meanwhile, so nothing else makes the host call."""

    async def scenario(fleet):
        victim = fleet.readers()[0]
        async with use_failing_store(victim, broken):
            await asyncio.sleep(OUTAGE_S)
            assert not victim.follower.reaches_store
        await asyncio.sleep(STABLE_S)
        assert victim.follower.reaches_store
        assert fleet.readers()[0] is victim

    run(scenario)


def test_outage_that_only_one_host_has_seen_does_not_keep_removed_instances():
    """A host that was cut off alone reports the outage when it reads the store again."""

    async def scenario(fleet):
        for host in fleet.hosts:
            offset = host.follower.instances_offset
            host.follower.peers.handle_changes(InstanceChanges(offset, offset, 0.0, (), 1))
        fleet.store.append_record("keyed.servers", "i-1", b"")
        await fleet.until(lambda host: host.usable() == [], DRAIN_S)

    run(scenario)


@pytest.mark.parametrize("broken", ["resets", "silent"])
def test_host_that_was_cut_off_does_not_tell_the_zone_of_an_outage(broken):
    async def scenario(fleet):
        renewing = asyncio.create_task(renew(fleet))
        victim = fleet.readers()[-1]
        async with use_failing_store(victim, broken):
            fleet.cut(victim, receives=False)
            await asyncio.sleep(OUTAGE_S + 1.0)
            fleet.join(victim)
        await fleet.until(lambda host: host is not victim or host.follower.reaches_store, STABLE_S)
        fleet.hosts.remove(victim)
        fleet.store.append_record("keyed.servers", "i-1", b"")
        await fleet.until(lambda host: host.usable() == ["i-2"], DRAIN_S)
        renewing.cancel()
        fleet.hosts.append(victim)

    run(scenario)


def test_loss_of_most_hosts_of_a_zone_is_no_outage():
    async def scenario(fleet):
        await fleet.lose_readers_on_standby(12, read_age_s=0.4)
        fleet.store.append_record("keyed.servers", "i-1", b"")
        await fleet.until(lambda host: host.usable() == [], DRAIN_S)

    run(scenario)
