"""Catches up with the hosts of the zone that have a newer state of the store."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import logbook

from anviltray.decisions.following import RELOAD_INTERVAL_S, PeerDigests, StorePosition
from anviltray.messages import HostBeacon, InstanceChanges, StoreSnapshot
from anviltray.platform import PlatformError
from anviltray.zone._exchange import ZoneExchange
from anviltray.zone._outages import OutageDetector
from anviltray.zone._replica import StoreReplica
from anviltray.zone._snapshots import SnapshotUnavailable
from anviltray.zone._store_reader import StoreReader

_log = logbook.Logger("anviltray.store")

POLL_INTERVAL_S = 0.1
RETRY_BACKOFF_S = (0.25, 1.0)  # Shortest and longest pause after a failed call, without jitter.
# A host that has been behind a peer for longer than this fetches a snapshot. A newer configuration
# is fetched after a random delay within the jitter instead, so that the first hosts to have it can
# serve it as well.
_INSTANCES_FETCH_DELAY_S = 0.15
_CONFIGURATION_FETCH_JITTER_S = 0.3
# A host that is still behind this long after it began to fetch a snapshot reads the store itself.
# The peer may be lost, and the time in which a configuration must be in force is 2 s.
_PEER_PATIENCE_S = 0.4


class PeerFollower:
    """Takes changes from the datagrams of peers, and snapshots from those that are ahead."""

    def __init__(
        self,
        exchange: ZoneExchange,
        replica: StoreReplica,
        reader: StoreReader,
        outages: OutageDetector,
        fetch_snapshot: Callable[[str], Awaitable[StoreSnapshot]],
        rng: Random,
        counters: Counter[str],
    ) -> None:
        self._exchange = exchange
        self._replica = replica
        self._reader = reader
        self._outages = outages
        self.fetch_snapshot = fetch_snapshot
        self._rng = rng
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self.behind = asyncio.Event()  # A peer has announced a newer state.
        self._differs = asyncio.Event()  # A peer at the same position has other registrations.
        exchange.register_handler(InstanceChanges, self.handle_changes)
        exchange.subscribe_to_beacons(self._handle_beacon)

    def handle_changes(self, message: InstanceChanges) -> None:
        """Applies the changes that a peer has read, if they follow the state of this host."""
        self._outages.on_reported_return(message.since_return_s)
        position = self._replica.position
        if (
            message.generation == position.generation
            and message.from_offset <= position.offset < message.next_offset
        ):
            self._replica.apply_changes(
                message.changes, position._replace(offset=message.next_offset)
            )

    async def load(self) -> bool:
        """Loads the state from a live peer that has it; returns whether that succeeded."""
        loaded = [
            host.beacon
            for host in self._exchange.alive()
            if host.beacon.configuration_version >= 0 and host.beacon.instances_offset >= 0
        ]
        if not loaded:
            return False
        # A host that has started since the store went back may have an older configuration.
        newest = max(loaded, key=lambda beacon: (beacon.configuration_version, _position(beacon)))
        return await self._load_snapshot_from(newest.host)

    async def run(self) -> None:
        """Catches up with peers that have announced a newer state, until cancelled."""
        while True:
            await self.behind.wait()
            if self._is_announced_to_all():
                await asyncio.sleep(_CONFIGURATION_FETCH_JITTER_S * self._rng.random())
            else:
                await asyncio.sleep(_INSTANCES_FETCH_DELAY_S)
            await self._catch_up()
            if not self._ahead():
                self.behind.clear()
                self._replica.announced_at_s = None

    async def compare(self) -> None:
        """Reads all registrations anew if those of peers at the same position differ.

        Nobody knows which ones are right, so the hosts that have rare ones read first, and the
        others only if that changes nothing. Runs until cancelled.
        """
        while True:
            await self._differs.wait()
            await asyncio.sleep(self._compare_digests().reload_delay_s(self._rng.random()))
            if self._compare_digests().differ:
                self._counters["reloads_of_different_registrations"] += 1
                _log.warning("reading all registrations, as those of peers differ")
                try:
                    await self._reader.reload_instances()
                except PlatformError as error:
                    self._counters["failed_reads"] += 1
                    _log.warning("reading all registrations failed: {}", error)
                    await asyncio.sleep(RETRY_BACKOFF_S[1] * (1 + self._rng.random()))
                    continue
                await asyncio.sleep(RELOAD_INTERVAL_S)
            self._differs.clear()

    def _compare_digests(self) -> PeerDigests:
        position, digest = self._replica.position, self._replica.digest
        digests = [
            host.beacon.instances_digest
            for host in self._exchange.alive()
            if _position(host.beacon) == position
        ]
        same = digests.count(digest)
        return PeerDigests(same, len(digests) - same)

    def _handle_beacon(self, beacon: HostBeacon) -> None:
        behind = self._is_ahead(beacon)
        if behind and not self.behind.is_set():
            self._replica.announced_at_s = self._loop.time()
            self.behind.set()
        elif not behind and _position(beacon) == self._replica.position:
            if beacon.instances_digest == self._replica.digest:
                # The read counts, because this host has its result.
                self._replica.record_read(beacon.read_age_s)
            elif not self._differs.is_set():
                self._differs.set()
                self._counters["different_registrations"] += 1
                _log.warning(
                    "host {} has other registrations than this one at {}",
                    beacon.host,
                    self._replica.position,
                )

    def _is_ahead(self, beacon: HostBeacon) -> bool:
        return beacon.configuration_version > self._replica.version or self._replica.is_newer(
            _position(beacon)
        )

    def _ahead(self) -> list[HostBeacon]:
        """Returns the beacons of the live hosts that have announced a newer state."""
        return [host.beacon for host in self._exchange.alive() if self._is_ahead(host.beacon)]

    def _is_configuration_announced(self) -> bool:
        version = self._replica.version
        return any(beacon.configuration_version > version for beacon in self._ahead())

    def _is_announced_to_all(self) -> bool:
        """Returns whether all hosts of the zone are behind, so that they do not fetch at once."""
        generation = self._replica.generation
        return self._is_configuration_announced() or any(
            beacon.instances_generation > generation for beacon in self._ahead()
        )

    async def _catch_up(self) -> None:
        """Fetches a newer state from peers, and from the store if no peer sends it soon."""
        fetching = asyncio.create_task(self._fetch_from_peers())
        reading = asyncio.create_task(self._read_until_level())
        try:
            await asyncio.wait({fetching, reading}, return_when=asyncio.FIRST_COMPLETED)
            if fetching.done() and (error := fetching.exception()) is not None:
                # The store has the state as well, so the host goes on without its peers.
                _log.error("fetching from peers failed: {!r}", error)
                await reading
        finally:
            fetching.cancel()
            reading.cancel()
            await asyncio.gather(fetching, reading, return_exceptions=True)

    async def _read_until_level(self) -> None:
        """Reads the store until no peer is ahead, after a time in which a peer may send it."""
        await asyncio.sleep(_PEER_PATIENCE_S)
        pause_s = RETRY_BACKOFF_S[0]
        while self._ahead():
            self._counters["late_peers"] += 1
            try:
                await self._read_announced()
            except PlatformError as error:
                self._counters["failed_reads"] += 1
                _log.warning("reading what a peer has announced failed: {}", error)
            await asyncio.sleep(pause_s * (1 + self._rng.random()))
            pause_s = min(2 * pause_s, RETRY_BACKOFF_S[1])

    async def _read_announced(self) -> None:
        """Reads from the store what peers have announced; raises PlatformError."""
        if self._is_configuration_announced():
            await self._reader.reload_configuration()
        if any(self._replica.is_newer(_position(beacon)) for beacon in self._ahead()):
            await self._reader.read_instances()

    async def _fetch_from_peers(self) -> None:
        """Fetches snapshots until no peer is ahead."""
        while ahead := self._ahead():
            newest = max(beacon.configuration_version for beacon in ahead)
            newest_beacons = [beacon for beacon in ahead if beacon.configuration_version == newest]
            await self._load_snapshot_from(self._rng.choice(newest_beacons).host)
            if self._ahead():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _load_snapshot_from(self, host: str) -> bool:
        self._counters["snapshots"] += 1
        try:
            snapshot = await self.fetch_snapshot(host)
        except SnapshotUnavailable as error:
            _log.warning("fetching a snapshot failed: {}", error)
            return False
        self._replica.apply_snapshot(snapshot, host)
        return self._replica.loaded


def _position(beacon: HostBeacon) -> StorePosition:
    return StorePosition(beacon.instances_generation, beacon.instances_offset)
