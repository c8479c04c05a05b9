"""Follows the configuration and the instance registrations, from the store or from peers."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import TypeVar

import logbook

from anviltray.decisions.following import (
    CONFIGURATION_READERS,
    StoreView,
    read_after_s,
    read_rank,
)
from anviltray.decisions.instances import InstanceDirectory
from anviltray.declarations import Instance, RoutingConfiguration
from anviltray.messages import (
    HostBeacon,
    HostLocality,
    InstanceChanges,
    KeyedChange,
    StoreSnapshot,
)
from anviltray.platform import (
    DocumentInvalid,
    KeyedStore,
    OffsetTrimmed,
    PlatformError,
    decode_configuration,
    decode_instance,
    names,
)
from anviltray.zone._exchange import BEACON_INTERVAL_S, MAX_DATAGRAM_BYTES, ZoneExchange
from anviltray.zone._snapshots import SnapshotUnavailable

_log = logbook.Logger("anviltray.store")

_Result = TypeVar("_Result")

_POLL_INTERVAL_S = 0.1
# The order in which the hosts of the zone read the store is computed again after this time.
_READ_ORDER_LIFETIME_S = 0.25
# The zone's readers long-poll the store for a new configuration with this wait. A dead connection
# is noticed only when its response is overdue.
_LONG_POLL_S = 2.4
# Hosts delay their initial load by up to this time, so that later hosts of a zone load from earlier
# ones. Two reads by each of 126 hosts, the largest known fleet, stay below a quarter of the store's
# rate limit.
_LOAD_JITTER_S = 0.2
_RETRY_BACKOFF_S = (0.25, 1.0)  # Shortest and longest pause after a failed call, without jitter.
# The store counts as unavailable if no host of the zone has read it for this long and a call to it
# has failed.
_OUTAGE_DETECTION_S = 2.0
# An outage that a peer reports is believed if this host has heard of no read for this long. It is
# shorter than the time of detection, as hosts learn of the last read before an outage up to one
# beacon apart. A peer that was cut off alone has not seen the reads of the others.
_OUTAGE_CONFIRMATION_S = _OUTAGE_DETECTION_S - BEACON_INTERVAL_S
# A host that has been behind a peer for longer than this fetches a snapshot. A newer configuration
# is fetched after a random delay within the jitter instead, so that the first hosts to have it can
# serve it as well.
_INSTANCES_FETCH_DELAY_S = 0.15
_CONFIGURATION_FETCH_JITTER_S = 0.3
# A host that is still behind this long after it began to fetch a snapshot reads the store itself.
# The peer may be lost, and the time in which a configuration must be in force is 2 s.
_PEER_PATIENCE_S = 0.4
_UNKNOWN = -1
# If the recovery times that two hosts report differ by less than this, they refer to the same
# recovery of the store.
_RECOVERY_TOLERANCE_S = 0.5


def _is_changed(previous: bytes, key: str, payload: bytes) -> bool:
    """Returns whether a registration has changed, apart from its sequence and its warm-up time.

    Those two differ in every renewal.
    """
    if not previous or not payload:
        return previous != payload
    try:
        before, after = decode_instance(key, previous), decode_instance(key, payload)
    except DocumentInvalid:
        return previous != payload
    return before != after._replace(warmup_s=before.warmup_s)


class StaleResponse(PlatformError):
    """The store returned an older state than before."""


class StoreFollower:
    """This host's replica of the store state, kept current.

    Few hosts of the zone read the store (see `decisions.following`) and send changes to their peers
    by datagram; a host that misses one fetches a snapshot from a peer. The configuration never
    returns to an older version.
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
        self._own = own
        self._store = store
        self._exchange = exchange
        self._directory = directory
        self._fetch_snapshot = fetch
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._configuration_record = b""  # Record of the active configuration.
        self._registrations: dict[str, bytes] = {}  # Records by instance id.
        self._configuration_offset = _UNKNOWN
        self._recovered_s = float("-inf")  # Time when the last outage of the store ended.
        self._store_lost = False
        self._behind = asyncio.Event()  # A peer has announced a newer state.
        self._behind_since_s = float("-inf")  # Time of that announcement.
        self._configuration_handlers: list[Callable[[RoutingConfiguration], None]] = []
        self._load_handlers: list[Callable[[], None]] = []
        self.configuration: RoutingConfiguration | None = None
        self.instances_offset = _UNKNOWN
        self.reaches_store = False
        # Time of the zone's newest read of the store whose result this host has.
        self.last_read_s = float("-inf")
        self.counters: Counter[str] = Counter()
        self._own_read_rank = 0
        self._read_order_expires_s = float("-inf")
        exchange.register_handler(InstanceChanges, self._handle_changes)
        exchange.subscribe_to_beacons(self._handle_beacon)

    @property
    def version(self) -> int:
        """Version of the current configuration, or -1 if there is none."""
        return _UNKNOWN if self.configuration is None else self.configuration.version

    @property
    def loaded(self) -> bool:
        """Whether the configuration and the registrations have been loaded."""
        return self.configuration is not None and self.instances_offset != _UNKNOWN

    def read_age_s(self) -> float:
        """Returns the age in seconds of the newest read whose result this host has."""
        return self._loop.time() - self.last_read_s

    def subscribe_to_configurations(self, handler: Callable[[RoutingConfiguration], None]) -> None:
        """Registers a handler of new configurations."""
        self._configuration_handlers.append(handler)

    def subscribe_to_load(self, handler: Callable[[], None]) -> None:
        """Registers a handler that is called once, when the state has been loaded."""
        self._load_handlers.append(handler)

    def snapshot(self) -> StoreSnapshot:
        """Returns a snapshot of the replica for a peer."""
        changes = tuple(KeyedChange(key, payload) for key, payload in self._registrations.items())
        return StoreSnapshot(
            self.version,
            self._configuration_record,
            self.instances_offset,
            changes,
            self.read_age_s(),
        )

    async def run(self) -> None:
        """Loads the state and then follows changes, until cancelled."""
        joining = asyncio.create_task(self._join_fleet())
        try:
            # If the store is unreachable, a seed may still send the list of hosts.
            while not joining.done() and not self._exchange.alive():
                await asyncio.wait({joining}, timeout=_POLL_INTERVAL_S)
            await self._load_initial_state()
            await asyncio.gather(
                joining,
                self._follow_instances(),
                self._follow_configuration(),
                self._follow_peers(),
            )
        finally:
            joining.cancel()

    # Start

    async def _join_fleet(self) -> None:
        """Registers this host in the store and reads the other hosts of the fleet.

        The write comes before the read: of two hosts that start at the same time, at least the one
        that writes last finds the other one, which then learns of it from its beacon.
        """
        pause_s = _RETRY_BACKOFF_S[0]
        joined = False
        while True:
            try:
                if not joined:
                    zone = self._own.zone.encode()
                    await self._call_store(
                        self._store.append(names.HOST_TOPIC, self._own.address, zone)
                    )
                    joined = True
                newest = await self._call_store(self._store.read_newest(names.HOST_TOPIC))
                break
            except PlatformError as error:
                # An append with an unknown result is retried; a duplicate record is harmless.
                _log.warning("joining the fleet failed: {}", error)
            await asyncio.sleep(pause_s * (1 + self._rng.random()))
            pause_s = min(2 * pause_s, _RETRY_BACKOFF_S[1])
        self._exchange.hosts.add(
            HostLocality(record.key, record.payload.decode("utf-8", "replace"))
            for record in newest.records
            if record.payload
        )
        self._exchange.send_beacon()

    async def _load_initial_state(self) -> None:
        await asyncio.sleep(_LOAD_JITTER_S * self._rng.random())
        pause_s = _RETRY_BACKOFF_S[0]
        while not self.loaded:
            if not await self._load_from_peer():
                try:
                    await self._reload_configuration()
                    await self._reload_instances()
                except PlatformError as error:
                    _log.warning("loading from the store failed: {}", error)
            if not self.loaded:
                await asyncio.sleep(pause_s * (1 + self._rng.random()))
                pause_s = min(2 * pause_s, _RETRY_BACKOFF_S[1])
        for handler in self._load_handlers:
            handler()
        self._exchange.send_beacon()

    async def _load_from_peer(self) -> bool:
        for host in self._exchange.alive():
            beacon = host.beacon
            if beacon.configuration_version >= 0 and beacon.instances_offset >= 0:
                return await self._load_snapshot_from(beacon.host)
        return False

    # Reading the store

    async def _follow_instances(self) -> None:
        pause_until_s = 0.0
        pause_s = _RETRY_BACKOFF_S[0]
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            now_s = self._loop.time()
            for key in self._directory.expire(now_s):
                _log.info("instance {} removed: not renewed after the store outage", key)
            self._check_outage(now_s)
            rank = self._read_rank()
            overdue = self.read_age_s() >= read_after_s(rank)
            # A host whose last call failed keeps calling while others read for the zone. Otherwise
            # it would never be found to reach the store again.
            if now_s < pause_until_s or (self.reaches_store and not overdue):
                continue
            try:
                await self._read_instances()
                if overdue and rank > 0:
                    await self._read_configuration(0.0)
                pause_s = _RETRY_BACKOFF_S[0]
            except PlatformError as error:
                self.counters["failed_reads"] += 1
                _log.warning("reading the registrations failed: {}", error)
                pause_until_s = self._loop.time() + pause_s * (1 + self._rng.random())
                pause_s = min(2 * pause_s, _RETRY_BACKOFF_S[1])

    async def _follow_configuration(self) -> None:
        while True:
            if self._read_rank() >= CONFIGURATION_READERS:
                await asyncio.sleep(_READ_ORDER_LIFETIME_S)
                self._configuration_offset = _UNKNOWN
                continue
            try:
                await self._read_configuration(_LONG_POLL_S)
            except PlatformError as error:
                self.counters["failed_reads"] += 1
                _log.warning("reading the configuration failed: {}", error)
                await asyncio.sleep(_RETRY_BACKOFF_S[0])

    def _read_rank(self) -> int:
        now_s = self._loop.time()
        if now_s >= self._read_order_expires_s:
            self._own_read_rank = self._compute_read_rank()
            self._read_order_expires_s = now_s + _READ_ORDER_LIFETIME_S
        return self._own_read_rank

    def _compute_read_rank(self) -> int:
        views = [StoreView(self._own.address, self.reaches_store)]
        views += [
            StoreView(host.beacon.host, host.beacon.reaches_store)
            for host in self._exchange.alive()
        ]
        return read_rank(self._own.address, views)

    async def _read_instances(self) -> None:
        offset = self.instances_offset
        try:
            batch = await self._call_store(self._store.read(names.INSTANCE_TOPIC, offset, 0.0))
        except OffsetTrimmed:
            _log.info(
                "offset {} is no longer in the log of the store; reloading the registrations",
                offset,
            )
            await self._reload_instances()
            return
        if batch.end_offset < self.instances_offset:
            raise StaleResponse(
                f"stale: log end {batch.end_offset} is before offset {self.instances_offset}"
            )
        # Only the newest record of each key matters; instances renew theirs continuously.
        last = {record.key: record.payload or b"" for record in batch.records}
        changes = [
            KeyedChange(key, payload)
            for key, payload in last.items()
            if _is_changed(self._registrations.get(key, b""), key, payload)
        ]
        if batch.next_offset > offset == self.instances_offset:
            self._apply_changes(changes, batch.next_offset)
            self._broadcast_changes(offset, batch.next_offset, changes)
        self.last_read_s = self._loop.time()
        self._exchange.send_beacon()

    async def _reload_instances(self) -> None:
        newest = await self._call_store(self._store.read_newest(names.INSTANCE_TOPIC))
        if newest.end_offset < self.instances_offset:
            raise StaleResponse(
                f"stale: log end {newest.end_offset} is before offset {self.instances_offset}"
            )
        records = {record.key: record.payload or b"" for record in newest.records}
        self._replace_all(records, newest.end_offset)
        self.last_read_s = self._loop.time()

    async def _read_configuration(self, wait_s: float) -> None:
        if self._configuration_offset == _UNKNOWN:
            await self._reload_configuration()
            return
        offset = self._configuration_offset
        try:
            batch = await self._call_store(self._store.read(names.OPERATOR_TOPIC, offset, wait_s))
        except OffsetTrimmed:
            await self._reload_configuration()
            return
        if batch.end_offset < offset:
            raise StaleResponse(f"stale: log end {batch.end_offset} is before offset {offset}")
        for record in batch.records:
            if record.key == names.CONFIGURATION_KEY and record.payload:
                self._apply_configuration(record.payload, "store")
        self._configuration_offset = batch.next_offset

    async def _reload_configuration(self) -> None:
        newest = await self._call_store(self._store.read_newest(names.OPERATOR_TOPIC))
        for record in newest.records:
            if record.key == names.CONFIGURATION_KEY and record.payload:
                self._apply_configuration(record.payload, "store")
        self._configuration_offset = newest.end_offset

    async def _call_store(self, call: Awaitable[_Result]) -> _Result:
        """Awaits a call to the store and records whether the store responds."""
        self.counters["calls"] += 1
        try:
            result = await call
        except OffsetTrimmed:
            self._record_call(reached=True)
            raise
        except Exception:
            # A cancelled call is not evidence of a failure.
            self._record_call(reached=False)
            raise
        self._record_call(reached=True)
        return result

    def _record_call(self, *, reached: bool) -> None:
        if reached != self.reaches_store:
            self.reaches_store = reached
            self._read_order_expires_s = float("-inf")
            _log.info("the store is {}", "reachable" if reached else "unreachable")
            if not reached:
                self._exchange.send_beacon()
        if reached and self._store_lost:
            self._on_store_recovered(0.0)

    # Peers

    def _broadcast_changes(self, offset: int, next_offset: int, changes: list[KeyedChange]) -> None:
        since_s = self._loop.time() - self._recovered_s
        message = InstanceChanges(offset, next_offset, since_s, tuple(changes))
        if sum(len(change.payload) for change in changes) <= MAX_DATAGRAM_BYTES:
            self._exchange.send_to_zone(message)

    def _handle_changes(self, message: InstanceChanges) -> None:
        since_s = self._loop.time() - self._recovered_s
        since_return_s = max(0.0, message.since_return_s)
        newer_recovery = since_return_s < since_s - _RECOVERY_TOLERANCE_S
        if self._store_lost or (newer_recovery and self.read_age_s() > _OUTAGE_CONFIRMATION_S):
            self._on_store_recovered(since_return_s)
        if message.from_offset <= self.instances_offset < message.next_offset:
            self._apply_changes(message.changes, message.next_offset)

    def _handle_beacon(self, beacon: HostBeacon) -> None:
        now_s = self._loop.time()
        behind = (
            beacon.configuration_version > self.version
            or beacon.instances_offset > self.instances_offset
        )
        if behind and not self._behind.is_set():
            self._behind_since_s = now_s
            self._behind.set()
        elif not behind and beacon.instances_offset == self.instances_offset:
            # The read counts, because this host has its result.
            # A read in the future would keep the zone from reading.
            self.last_read_s = max(self.last_read_s, now_s - max(0.0, beacon.read_age_s))

    async def _follow_peers(self) -> None:
        """Catches up with peers that have announced a newer state, until cancelled."""
        while True:
            await self._behind.wait()
            if any(beacon.configuration_version > self.version for beacon in self._ahead()):
                await asyncio.sleep(_CONFIGURATION_FETCH_JITTER_S * self._rng.random())
            else:
                await asyncio.sleep(_INSTANCES_FETCH_DELAY_S)
            await self._catch_up()
            if not self._ahead():
                self._behind.clear()

    def _ahead(self) -> list[HostBeacon]:
        """Returns the beacons of the live hosts that have announced a newer state."""
        return [
            host.beacon
            for host in self._exchange.alive()
            if host.beacon.configuration_version > self.version
            or host.beacon.instances_offset > self.instances_offset
        ]

    async def _catch_up(self) -> None:
        """Fetches a newer state from peers, and from the store if no peer sends it soon."""
        fetching = asyncio.create_task(self._fetch_from_peers())
        try:
            await asyncio.wait({fetching}, timeout=_PEER_PATIENCE_S)
            pause_s = _RETRY_BACKOFF_S[0]
            while self._ahead():
                self.counters["late_peers"] += 1
                try:
                    await self._read_announced()
                except PlatformError as error:
                    self.counters["failed_reads"] += 1
                    _log.warning("reading what a peer has announced failed: {}", error)
                delay_s = pause_s * (1 + self._rng.random())
                if fetching.done():
                    await asyncio.sleep(delay_s)
                else:
                    await asyncio.wait({fetching}, timeout=delay_s)
                pause_s = min(2 * pause_s, _RETRY_BACKOFF_S[1])
        finally:
            fetching.cancel()
            (result,) = await asyncio.gather(fetching, return_exceptions=True)
            if isinstance(result, Exception):
                # The store has the state as well, so the host goes on without its peers.
                _log.error("fetching from peers failed: {!r}", result)

    async def _read_announced(self) -> None:
        """Reads from the store what peers have announced; raises PlatformError."""
        if any(beacon.configuration_version > self.version for beacon in self._ahead()):
            await self._reload_configuration()
        if any(beacon.instances_offset > self.instances_offset for beacon in self._ahead()):
            await self._read_instances()

    async def _fetch_from_peers(self) -> None:
        """Fetches snapshots until no peer is ahead."""
        while ahead := self._ahead():
            newest = max(beacon.configuration_version for beacon in ahead)
            newest_beacons = [beacon for beacon in ahead if beacon.configuration_version == newest]
            await self._load_snapshot_from(self._rng.choice(newest_beacons).host)
            if self._ahead():
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _load_snapshot_from(self, host: str) -> bool:
        self.counters["snapshots"] += 1
        try:
            snapshot = await self._fetch_snapshot(host)
        except SnapshotUnavailable as error:
            _log.warning("fetching a snapshot failed: {}", error)
            return False
        if snapshot.configuration:
            self._apply_configuration(snapshot.configuration, host)
        if snapshot.instances_offset > self.instances_offset:
            records = {change.key: change.payload for change in snapshot.instances}
            self._replace_all(records, snapshot.instances_offset)
            read_age_s = max(0.0, snapshot.read_age_s)
            self.last_read_s = max(self.last_read_s, self._loop.time() - read_age_s)
        return self.loaded

    def _announcement_age(self) -> dict[str, float]:
        """Returns, for the log, how long ago a peer announced the state; empty if none did."""
        if not self._behind.is_set():
            return {}
        return {"announced_s": round(self._loop.time() - self._behind_since_s, 2)}

    # State

    def _apply_configuration(self, payload: bytes, source: str) -> None:
        try:
            configuration = decode_configuration(payload)
        except DocumentInvalid as error:
            self.counters["invalid_records"] += 1
            _log.error("the configuration from {} is invalid: {}", source, error)
            return
        if configuration.version <= self.version:
            return
        _log.info(
            "configuration {} replaces {}, from {}",
            configuration.version,
            self.version,
            source,
            extra=self._announcement_age(),
        )
        self.configuration = configuration
        self._configuration_record = payload
        for handler in self._configuration_handlers:
            handler(configuration)
        self._exchange.send_beacon()

    def _replace_all(self, records: dict[str, bytes], offset: int) -> None:
        removed = [KeyedChange(key, b"") for key in self._registrations if key not in records]
        changes = [
            KeyedChange(key, payload)
            for key, payload in records.items()
            if payload != self._registrations.get(key, b"")
        ]
        self._apply_changes([*removed, *changes], offset)

    def _apply_changes(self, changes: Iterable[KeyedChange], offset: int) -> None:
        now_s = self._loop.time()
        self.instances_offset = offset
        for change in changes:
            if change.payload:
                self._registrations[change.key] = change.payload
                self._register_instance(now_s, change.key, change.payload)
            elif self._registrations.pop(change.key, None) is not None:
                self._directory.deregister(now_s, change.key)
                _log.info("instance {} is no longer registered, offset {}", change.key, offset)

    def _register_instance(self, now_s: float, key: str, payload: bytes) -> None:
        try:
            instance = decode_instance(key, payload)
        except DocumentInvalid as error:
            self.counters["invalid_records"] += 1
            _log.warning("the registration {} is invalid: {}", key, error)
            return
        previous: Instance | None = self._directory.instances.get(key)
        self._directory.register(now_s, instance)
        current = self._directory.instances.get(key)
        if current is None:
            return  # A stale record of an instance that has left.
        if previous is None or previous.draining != current.draining:
            state = "draining" if current.draining else "ready"
            _log.info("instance {} of {} is {}", key, instance.service, state)

    def _check_outage(self, now_s: float) -> None:
        silent = now_s - self.last_read_s > _OUTAGE_DETECTION_S
        if self._store_lost and not silent:
            self._on_store_recovered(now_s - self.last_read_s)
        elif not self._store_lost and self.loaded and silent and self._has_failed_call():
            self._store_lost = True
            self._directory.on_store_lost()
            _log.warning("store outage: no host of the zone has read for {} s", _OUTAGE_DETECTION_S)

    def _has_failed_call(self) -> bool:
        """Returns whether the last call to the store of any live host of the zone has failed.

        If none has, the zone is silent because the hosts that read have been lost.
        """
        hosts = self._exchange.alive()
        return not self.reaches_store or any(not host.beacon.reaches_store for host in hosts)

    def _on_store_recovered(self, since_s: float) -> None:
        self._store_lost = False
        self._recovered_s = self._loop.time() - since_s
        self._directory.on_store_recovered(self._recovered_s)
        _log.info("store outage ended: the zone reads the store again")
