"""A zone in virtual time, with a store that can go back, instances and an operator in memory."""

import asyncio
import random

from anviltray.decisions.instances import InstanceDirectory
from anviltray.messages import HostBeacon, HostLocality
from anviltray.platform import (
    Appended,
    KeyedRecord,
    NewestRecords,
    OffsetTrimmed,
    PlatformUnavailable,
    RecordBatch,
)
from anviltray.platform.tests.documents import configuration, registration
from anviltray.zone import SnapshotUnavailable, StoreFollower, ZoneExchange
from standins.store import StoreStandin

LATENCY_S = 0.002
HEARTBEAT_S = 1.5
# The store removes an instance after three heartbeats of silence, counted from its return.
SILENCE_S = 3 * HEARTBEAT_S
REWRITE_S = 1.5  # Time after which the operator writes again.


class LocalStore:
    """The calls of one host to the store, without sockets."""

    def __init__(self, zone):
        self.zone = zone
        self.reachable = True
        self.response_delay_s = 0.0  # Responses arrive late by this time, with their old content.

    def topic(self, name):
        if not (self.reachable and self.zone.store_is_up):
            raise PlatformUnavailable("away")
        self.zone.calls += 1
        return self.zone.store.topic(name)

    async def deliver(self, response):
        await asyncio.sleep(LATENCY_S + self.response_delay_s)
        if not self.reachable:
            raise PlatformUnavailable("away")
        return response

    @property
    def generation(self):
        header = self.zone.store.era_header
        return None if header == "" else self.zone.store.era

    async def read_newest(self, name):
        await asyncio.sleep(LATENCY_S)
        topic = self.topic(name)
        records = tuple(KeyedRecord(key, value) for key, (value, _) in topic.newest.items())
        return await self.deliver(NewestRecords(records, topic.end, self.generation))

    async def read(self, name, offset, wait_s):
        await asyncio.sleep(LATENCY_S)
        topic = self.topic(name)
        for _ in range(int(wait_s / 0.02)):
            if topic.end != offset:
                break
            await asyncio.sleep(0.02)
            if not self.zone.store_is_up:
                raise PlatformUnavailable("away")
            topic = self.zone.store.topic(name)
        if not topic.first <= offset <= topic.end:
            raise OffsetTrimmed(str(offset))
        records = tuple(
            KeyedRecord(key, value or None) for key, value in topic.records[offset - topic.first :]
        )
        return await self.deliver(RecordBatch(records, topic.end, topic.end, self.generation))

    async def append(self, name, key, payload):
        await asyncio.sleep(LATENCY_S)
        self.topic(name).append(key, payload)
        return await self.deliver(Appended(self.generation))


class VirtualHost:
    """A follower with its exchange; `stop` and another VirtualHost stand for a restart."""

    def __init__(self, zone, address):
        self.zone, self.address = zone, address
        self.incarnation = zone.rng.getrandbits(60)
        self.sequence = 0
        self.linked = True  # To the other hosts.
        self.started_s = zone.now_s()
        locality = HostLocality(address, "suva")
        self.exchange = ZoneExchange(locality, 7660, self.beacon)
        self.exchange._send_data = self.send
        self.directory = InstanceDirectory()
        self.store = LocalStore(zone)
        self.follower = StoreFollower(
            locality,
            self.store,
            self.exchange,
            self.directory,
            self.fetch,
            random.Random(zone.rng.getrandbits(32)),
        )
        self.versions = []
        self.follower.subscribe_to_configurations(lambda new: self.versions.append(new.version))
        self.exchange.hosts.add(HostLocality(other, "suva") for other in zone.hosts)
        self.tasks = [
            asyncio.ensure_future(self.exchange.run()),
            asyncio.ensure_future(self.follower.run()),
        ]

    def beacon(self, answer):
        self.sequence += 1
        follower = self.follower
        return HostBeacon(
            self.address,
            self.incarnation,
            self.sequence,
            "suva",
            f"{self.address}:80",
            "ready" if follower.loaded else "starting",
            follower.reaches_store,
            follower.version,
            follower.instances_offset,
            follower.read_age_s(),
            answer,
            follower.instances_generation,
            follower.instances_digest,
        )

    def send(self, address, data):
        other = self.zone.hosts.get(address)
        if other is not None and self.linked and other.linked:
            asyncio.get_running_loop().call_later(LATENCY_S, self.arrive, other, data)

    def arrive(self, other, data):
        if other.linked and self.zone.hosts.get(other.address) is other:
            other.exchange.datagram_received(data, (self.address, 7660))

    async def fetch(self, address):
        await asyncio.sleep(LATENCY_S)
        other = self.zone.hosts.get(address.partition(":")[0])
        if other is None or not (self.linked and other.linked):
            await asyncio.sleep(1.0)
            raise SnapshotUnavailable(address)
        return other.follower.snapshot()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def usable(self):
        return [instance.id for instance in self.directory.usable("keeper")]

    @property
    def is_new(self):
        """Whether it may not have learned yet what the instances write again."""
        return self.zone.now_s() - self.started_s < 3.5

    @property
    def is_cut_off(self):
        return not self.linked or not self.store.reachable or self.store.response_delay_s > 0


class VirtualInstance:
    """Registers and renews itself, and writes again what the store has lost."""

    def __init__(self, zone, key, address):
        self.zone, self.key, self.address = zone, key, address
        self.born = int(zone.now_s() * 1000) + 1_000_000
        self.sequence = 0
        self.state = "ready"  # "gone" if it has left.
        self.started_s = zone.now_s()
        self.task = asyncio.ensure_future(self.run())

    def write(self):
        if not self.zone.store_is_up:
            return
        self.sequence += 1
        payload = registration(
            address=self.address,
            born=self.born,
            status__state=self.state,
            status__sequence=self.sequence,
        )
        self.zone.write_registration(self.key, payload)

    async def run(self):
        while self.state != "gone":
            self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def leave(self, *, removed):
        """Ends the instance; without `removed` its entry lapses."""
        self.state = "gone"
        self.task.cancel()
        if removed and self.zone.store_is_up:
            self.zone.write_registration(self.key, b"")


class VirtualZone:
    def __init__(self, count, seed=0, era_header=None):
        self.rng = random.Random(seed)
        self.store = StoreStandin()
        self.store.era_header = era_header
        self.store_is_up = True
        self.calls = 0
        self.renewed_s = {}  # Time of the last write by instance id.
        self.hosts = {}
        self.instances = {}
        self.version = 0  # Newest one that the operator has written.
        self.background = [asyncio.ensure_future(self.remove_silent())]
        self.write_configuration(7)
        for number in range(count):
            self.start_host(f"127.0.0.{number + 1}")

    def now_s(self):
        return asyncio.get_event_loop().time()

    def start_host(self, address):
        self.hosts[address] = VirtualHost(self, address)

    async def restart_host(self, address):
        await self.hosts.pop(address).stop()
        self.start_host(address)

    def start_instance(self, key, address="10.0.0.1:80"):
        self.instances[key] = VirtualInstance(self, key, address)

    def write_registration(self, key, payload):
        self.renewed_s[key] = self.now_s()
        self.store.append_record("keyed.servers", key, payload)

    def write_configuration(self, version):
        self.version = version
        if self.store_is_up:
            payload = configuration(version=f"r{version}")
            self.store.append_record("keyed.op", "config", payload)

    async def remove_silent(self):
        while True:
            await asyncio.sleep(0.1)
            if not self.store_is_up:
                continue
            for key in list(self.store.topic("keyed.servers").newest):
                if self.now_s() - self.renewed_s.get(key, 0.0) > SILENCE_S:
                    self.store.append_record("keyed.servers", key, b"")

    async def write_configuration_again(self):
        await asyncio.sleep(REWRITE_S)
        while not self.store_is_up:  # noqa: ASYNC110
            await asyncio.sleep(0.1)
        self.write_configuration(self.version)

    async def outage(self, duration_s):
        self.store_is_up = False
        await asyncio.sleep(duration_s)
        self.store_is_up = True
        # The silence of the instances meanwhile does not count.
        self.renewed_s = dict.fromkeys(self.renewed_s, self.now_s())

    async def go_back(self, copy, away_s=0.3):
        """The store is away for a moment and comes back from a copy."""
        self.store_is_up = False
        await asyncio.sleep(away_s)
        self.store.go_back(copy)
        await self.outage(0.0)
        self.background.append(asyncio.ensure_future(self.write_configuration_again()))

    async def close(self):
        for host in self.hosts.values():
            await host.stop()
        tasks = [*self.background, *(each.task for each in self.instances.values())]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
