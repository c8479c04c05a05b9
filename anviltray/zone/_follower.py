"""Follows the configuration and the instance registrations, from the store or from peers."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import logbook

from anviltray.decisions.following import CONFIGURATION_READERS, read_after_s
from anviltray.decisions.instances import InstanceDirectory
from anviltray.declarations import RoutingConfiguration
from anviltray.messages import HostLocality, StoreSnapshot
from anviltray.platform import KeyedStore, PlatformError
from anviltray.zone._exchange import ZoneExchange
from anviltray.zone._outages import OutageDetector
from anviltray.zone._peers import POLL_INTERVAL_S, RETRY_BACKOFF_S, PeerFollower
from anviltray.zone._registration import HostRegistration
from anviltray.zone._replica import StoreReplica
from anviltray.zone._store_reader import READ_ORDER_LIFETIME_S, StoreReader

_log = logbook.Logger("anviltray.store")

# The zone's readers long-poll the store for a new configuration with this wait. A dead connection
# is noticed only when its response is overdue.
_LONG_POLL_S = 2.4
# Hosts delay their initial load by up to this time, so that later hosts of a zone load from earlier
# ones. Two reads by each of 126 hosts, the largest known fleet, stay below a quarter of the store's
# rate limit.
_LOAD_JITTER_S = 0.2


class StoreFollower:
    """This host's replica of the store state, kept current.

    Few hosts of the zone read the store (see `decisions.following`) and send changes to their peers
    by datagram; a host that misses one fetches a snapshot from a peer.
    """

    def __init__(
        self,
        own: HostLocality,
        store: KeyedStore,
        exchange: ZoneExchange,
        directory: InstanceDirectory,
        fetch: Callable[[str], Awaitable[StoreSnapshot]],
        rng: Random,
    ) -> None:
        self._exchange = exchange
        self._directory = directory
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._load_handlers: list[Callable[[], None]] = []
        self.counters: Counter[str] = Counter()
        self.replica = StoreReplica(directory, self.counters, exchange.send_beacon)
        outages = OutageDetector(directory, exchange, self.replica)
        self._outages = outages
        self.reader = StoreReader(own, store, exchange, self.replica, outages, self.counters)
        self.peers = PeerFollower(
            exchange, self.replica, self.reader, outages, fetch, rng, self.counters
        )
        self._registration = HostRegistration(
            own, exchange, self.replica, self.reader, rng, self.counters
        )

    @property
    def version(self) -> int:
        """Version of the current configuration, or -1 if there is none."""
        return self.replica.version

    @property
    def loaded(self) -> bool:
        """Whether the configuration and the registrations have been loaded."""
        return self.replica.loaded

    @property
    def instances_offset(self) -> int:
        """Offset up to which this host has the registrations, or -1."""
        return self.replica.position.offset

    @property
    def instances_generation(self) -> int:
        """Generation of the store that the offset belongs to; 0 if the store states none."""
        return self.replica.position.generation

    @property
    def instances_digest(self) -> int:
        """Digest of the registrations that this host has."""
        return self.replica.digest

    @property
    def reaches_store(self) -> bool:
        """Whether the last call of this host to the store succeeded."""
        return self.reader.reaches_store

    def read_age_s(self) -> float:
        """Returns the age in seconds of the newest read whose result this host has."""
        return self.replica.read_age_s()

    def subscribe_to_configurations(self, handler: Callable[[RoutingConfiguration], None]) -> None:
        """Registers a handler of new configurations."""
        self.replica.subscribe_to_configurations(handler)

    def subscribe_to_load(self, handler: Callable[[], None]) -> None:
        """Registers a handler that is called once, when the state has been loaded."""
        self._load_handlers.append(handler)

    def snapshot(self) -> StoreSnapshot:
        """Returns a snapshot of the replica for a peer."""
        return self.replica.snapshot()

    async def run(self) -> None:
        """Loads the state and then follows changes, until cancelled."""
        joining = asyncio.create_task(self._registration.join())
        try:
            # If the store is unreachable, a seed may still send the list of hosts.
            while not joining.done() and not self._exchange.alive():
                await asyncio.wait({joining}, timeout=POLL_INTERVAL_S)
            await self._load_initial_state()
            await asyncio.gather(
                joining,
                self._follow_instances(),
                self._follow_configuration(),
                self.peers.run(),
                self.peers.compare(),
                self._registration.run(),
            )
        finally:
            joining.cancel()

    async def _load_initial_state(self) -> None:
        await asyncio.sleep(_LOAD_JITTER_S * self._rng.random())
        pause_s = RETRY_BACKOFF_S[0]
        while not self.loaded:
            if not await self.peers.load():
                try:
                    await self.reader.reload_configuration()
                    await self.reader.reload_instances()
                except PlatformError as error:
                    _log.warning("loading from the store failed: {}", error)
            if not self.loaded:
                await asyncio.sleep(pause_s * (1 + self._rng.random()))
                pause_s = min(2 * pause_s, RETRY_BACKOFF_S[1])
        for handler in self._load_handlers:
            handler()
        self._exchange.send_beacon()

    async def _follow_instances(self) -> None:
        pause_until_s = 0.0
        pause_s = RETRY_BACKOFF_S[0]
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now_s = self._loop.time()
            for key in self._directory.expire(now_s, self.replica.last_read_s):
                _log.info("instance {} removed: not renewed after the store outage", key)
            self._outages.check(reaches_store=self.reaches_store)
            rank = self.reader.read_rank()
            overdue = self.read_age_s() >= read_after_s(rank)
            # A host whose last call failed keeps calling while others read for the zone. Otherwise
            # it would never be found to reach the store again.
            if now_s < pause_until_s or (self.reaches_store and not overdue):
                continue
            try:
                await self.reader.read_instances()
                if overdue and rank > 0:
                    await self.reader.read_configuration(0.0)
                pause_s = RETRY_BACKOFF_S[0]
            except PlatformError as error:
                self.counters["failed_reads"] += 1
                _log.warning("reading the registrations failed: {}", error)
                pause_until_s = self._loop.time() + pause_s * (1 + self._rng.random())
                pause_s = min(2 * pause_s, RETRY_BACKOFF_S[1])

    async def _follow_configuration(self) -> None:
        while True:
            if self.reader.read_rank() >= CONFIGURATION_READERS:
                await asyncio.sleep(READ_ORDER_LIFETIME_S)
                self.reader.forget_configuration_position()
                continue
            try:
                await self.reader.read_configuration(_LONG_POLL_S)
            except PlatformError as error:
                self.counters["failed_reads"] += 1
                _log.warning("reading the configuration failed: {}", error)
                await asyncio.sleep(RETRY_BACKOFF_S[0])
