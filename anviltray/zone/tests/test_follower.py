"""Guards against hosts that miss a change, return to an older state or all read the store."""

import asyncio
import random

import pytest

from anviltray.decisions.instances import InstanceDirectory
from anviltray.messages import HostBeacon, HostLocality
from anviltray.platform import KeyedStore
from anviltray.platform.tests.documents import configuration, registration
from anviltray.zone import StoreFollower, ZoneExchange
from standins.store import StoreConditions, StoreStandin

PORT = 17660
# Time limits of the platform: all hosts must apply a configuration, or stop using a draining
# instance, within them.
CONFIGURATION_S = 2.0
DRAIN_S = 2.0


class Host:
    """A host with only a follower and a zone exchange."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.address = f"{fleet.network}.{number}"
        self.incarnation = random.getrandbits(60)
        self.sequence = 0
        self.state = "ready"
        locality = HostLocality(self.address, "suva")
        self.exchange = ZoneExchange(locality, PORT, self.beacon)
        self.directory = InstanceDirectory()
        self.store = KeyedStore(fleet.store.address, 0.5)
        self.follower = StoreFollower(
            locality, self.store, self.exchange, self.directory, self.fetch, random.Random(number)
        )
        self.versions = []
        self.follower.subscribe_to_configurations(lambda new: self.versions.append(new.version))
        self.tasks = []

    def beacon(self, answer):
        self.sequence += 1
        follower = self.follower
        return HostBeacon(
            self.address,
            self.incarnation,
            self.sequence,
            "suva",
            f"{self.address}:80",
            self.state,
            follower.reaches_store,
            follower.version,
            follower.instances_offset,
            follower.read_age_s(),
            answer,
            follower.instances_generation,
            follower.instances_digest,
        )

    async def fetch(self, address):
        return self.fleet.host(address).follower.snapshot()

    async def start(self):
        await self.exchange.start()
        self.tasks = [
            asyncio.create_task(self.exchange.run()),
            asyncio.create_task(self.follower.run()),
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.exchange.close()
        await self.store.close()

    def usable(self):
        return [instance.id for instance in self.directory.usable("keeper")]


class Fleet:
    def __init__(self, count):
        self.store = StoreStandin()
        self.count = count
        # All hosts use the same port, so test runs at the same time need other addresses.
        self.network = f"127.{random.randint(4, 250)}.{random.randint(0, 250)}"

    def host(self, address):
        return next(host for host in self.hosts if host.address == address)

    async def __aenter__(self):
        await self.store.start()
        self.store.append_record("keyed.op", "config", configuration())
        self.store.append_record("keyed.servers", "i-1", registration())
        self.store.append_record("keyed.servers", "alien", b"\xff")
        self.hosts = [Host(self, number + 1) for number in range(self.count)]
        for host in self.hosts:
            await host.start()
        await self.until(lambda host: host.usable() == ["i-1"] and host.versions == [7], 6)
        return self

    async def __aexit__(self, *error):
        for host in self.hosts:
            await host.stop()
        await self.store.close()

    async def until(self, condition, limit_s):
        """Waits until all hosts meet the condition and returns the elapsed time in seconds."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while not all(condition(host) for host in self.hosts):
            assert loop.time() - start_s < limit_s, [host.versions for host in self.hosts]
            await asyncio.sleep(0.01)
        return loop.time() - start_s


def run(test, count=4):
    async def main():
        async with Fleet(count) as fleet:
            await asyncio.wait_for(test(fleet), 40)

    asyncio.run(main())


def test_one_host_reads_for_the_zone():
    async def test(fleet):
        await asyncio.sleep(1.5)
        fleet.store.calls.clear()
        await asyncio.sleep(3.0)
        # One host reads registrations every 0.75 s, two wait 2.4 s for a configuration.
        assert len(fleet.store.calls) <= 10
        fleet.store.append_record("keyed.servers", "i-1", registration(status__state="draining"))
        await fleet.until(lambda host: host.usable() == [], DRAIN_S)
        fleet.store.append_record("keyed.op", "config", configuration(version="r9"))
        await fleet.until(lambda host: host.versions == [7, 9], CONFIGURATION_S)

    run(test)


@pytest.mark.parametrize("broken", ["status", "silent", "resets"])
def test_zone_follows_while_one_host_cannot_read_the_store(broken):
    async def test(fleet):
        # Each host in turn uses a failing store, so that the zone's reader is among them.
        conditions = StoreConditions(**{broken: 503 if broken == "status" else True})
        other = StoreStandin()
        other.conditions = conditions
        await other.start()
        for number, victim in enumerate(fleet.hosts):
            healthy, victim.follower.reader.store = victim.follower.reader.store, KeyedStore(
                other.address, 0.3
            )
            fleet.store.append_record(
                "keyed.op", "config", configuration(version=f"r{10 + number}")
            )
            await fleet.until(
                lambda host, version=10 + number: host.versions[-1] == version,
                3 * CONFIGURATION_S,
            )
            await victim.follower.reader.store.close()
            victim.follower.reader.store = healthy
        await other.close()

    run(test)


def test_older_or_invalid_configuration_is_ignored():
    async def test(fleet):
        fleet.store.append_record("keyed.op", "config", configuration(version="r9"))
        await fleet.until(lambda host: host.versions == [7, 9], CONFIGURATION_S)
        fleet.store.append_record("keyed.op", "config", configuration(version="r8"))
        fleet.store.append_record("keyed.op", "config", b"damaged")
        await asyncio.sleep(1.0)
        assert all(host.versions == [7, 9] for host in fleet.hosts)
        fleet.store.compact("keyed.op")
        fleet.store.append_record("keyed.op", "config", configuration(version="r12"))
        await fleet.until(lambda host: host.versions == [7, 9, 12], 2 * CONFIGURATION_S)

    run(test)


def test_registrations_are_reloaded_after_the_history_was_deleted():
    async def test(fleet):
        fleet.store.append_record("keyed.servers", "i-1", b"")
        fleet.store.append_record("keyed.servers", "i-2", registration())
        fleet.store.compact("keyed.servers")
        await fleet.until(lambda host: host.usable() == ["i-2"], 3.0)

    run(test)


def test_stale_response_is_ignored():
    async def test(fleet):
        fleet.store.append_record("keyed.servers", "i-2", registration())
        await fleet.until(lambda host: host.usable() == ["i-1", "i-2"], 3.0)
        fleet.store.conditions = StoreConditions(stale_offsets=1)
        await asyncio.sleep(1.5)
        assert all(host.usable() == ["i-1", "i-2"] for host in fleet.hosts)

    run(test)


def test_registrations_that_expire_in_an_outage_are_kept_until_renewal_is_overdue():
    async def test(fleet):
        fleet.store.conditions = StoreConditions(status=503)
        await asyncio.sleep(3.5)
        fleet.store.append_record("keyed.servers", "i-1", b"")
        fleet.store.conditions = StoreConditions()
        await asyncio.sleep(1.0)
        assert all(host.usable() == ["i-1"] for host in fleet.hosts)
        fleet.store.append_record("keyed.servers", "i-1", registration())
        await asyncio.sleep(4.0)
        assert all(host.usable() == ["i-1"] for host in fleet.hosts)
        fleet.store.append_record("keyed.servers", "i-1", b"")
        await fleet.until(lambda host: host.usable() == [], DRAIN_S)

    run(test, count=3)


def test_host_that_starts_without_the_store_loads_from_peers():
    async def test(fleet):
        fleet.store.conditions = StoreConditions(status=503)
        late = Host(fleet, 20)
        fleet.hosts.append(late)
        await late.start()
        late.exchange.request_hosts((fleet.hosts[0].address,))
        await fleet.until(lambda host: host.usable() == ["i-1"] and host.versions == [7], 5.0)

    run(test, count=3)
