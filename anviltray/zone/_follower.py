"""Follows the configuration and the registrations of instances, in the store or at a neighbour."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import TypeVar

import logbook

from anviltray.decisions.following import READ_INTERVAL_S, StoreView, read_after_s
from anviltray.decisions.instances import InstanceDirectory
from anviltray.declarations import Instance, RoutingConfiguration
from anviltray.messages import (
    HostBeacon,
    HostPlace,
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
from anviltray.zone._exchange import DATAGRAM_BYTES, ZoneExchange
from anviltray.zone._snapshots import SnapshotUnavailable

_log = logbook.Logger("anviltray.store")

_Result = TypeVar("_Result")

_TICK_S = 0.1
# The zone's reader waits this long at the store for a new configuration. The wait is short, because
# a connection that has gone silent shows only when an answer is overdue.
_CONFIGURATION_WAIT_S = 1.2
# Hosts load at different moments of this span, and the later ones of a zone ask the earlier. Two
# reads each by 126 hosts, the largest known fleet, stay below a quarter of the store's limit.
_LOAD_SPREAD_S = 0.2
_RETRY_S = (0.25, 1.0)  # Shortest and longest pause after a failed call.
# The zone has lost the store if none of its hosts has read for this long.
_OUTAGE_S = 2.0
# A host that is behind another one for longer than this fetches what it misses. A configuration is
# fetched sooner, at different moments of the span, so that the first hosts can pass it on as well.
_BEHIND_S = 0.15
_FETCH_SPREAD_S = 0.3
_UNKNOWN = -1
# Two hosts that differ by less speak of the same return of the store.
_RETURN_TOLERANCE_S = 0.5


def _differs(known: bytes, key: str, payload: bytes) -> bool:
    """Tells whether a registration says something new; its sequence and warm-up always change."""
    if not known or not payload:
        return known != payload
    try:
        before, after = decode_instance(key, known), decode_instance(key, payload)
    except DocumentInvalid:
        return known != payload
    return before != after._replace(warmup_s=before.warmup_s)


class StaleAnswer(PlatformError):
    """The store answered with an older state than it has shown before."""


class StoreFollower:
    """Owns what this host knows of the store and keeps it current.

    One host of the zone reads (`decisions.following`) and passes changes on by datagram; a host
    that misses one fetches a snapshot from a neighbour. The configuration never goes back to an
    older version.
    """

    def __init__(
        self,
        own: HostPlace,
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
        self._fetch = fetch
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._payload = b""  # Record of the configuration in force.
        self._instances: dict[str, bytes] = {}  # Records of the registrations.
        self._configuration_offset = _UNKNOWN
        self._returned_s = float("-inf")  # When the store came back from its last outage.
        self._lost = False
        self._behind_since: float | None = None
        self._fetch_delay_s = 0.0  # Time to wait before a newer configuration is fetched.
        self._on_configuration: list[Callable[[RoutingConfiguration], None]] = []
        self.configuration: RoutingConfiguration | None = None
        self.instances_offset = _UNKNOWN
        self.reaches_store = False
        self.read_s = float("-inf")  # Newest read of the zone that this host knows the result of.
        self.counters: Counter[str] = Counter()
        exchange.on(InstanceChanges, self._take_changes)
        exchange.on_beacon(self._take_beacon)

    @property
    def version(self) -> int:
        """Version of the configuration in force or -1."""
        return _UNKNOWN if self.configuration is None else self.configuration.version

    @property
    def loaded(self) -> bool:
        """Whether the configuration and the registrations are known."""
        return self.configuration is not None and self.instances_offset != _UNKNOWN

    @property
    def reads_for_zone(self) -> bool:
        """Whether this host is the one that reads the store for its zone."""
        return self.reaches_store and self._due_s() == READ_INTERVAL_S

    def read_age_s(self) -> float:
        """Returns the age of the newest read of the store that this host has taken."""
        return self._loop.time() - self.read_s

    def on_configuration(self, handler: Callable[[RoutingConfiguration], None]) -> None:
        """Registers a handler of new configurations."""
        self._on_configuration.append(handler)

    def snapshot(self) -> StoreSnapshot:
        """Returns what this host knows, for a neighbour."""
        changes = tuple(KeyedChange(key, payload) for key, payload in self._instances.items())
        return StoreSnapshot(
            self.version, self._payload, self.instances_offset, changes, self.read_age_s()
        )

    async def run(self) -> None:
        """Loads and then follows until cancelled."""
        joining = asyncio.create_task(self._join())
        try:
            # A seed may name the hosts of the zone while this one cannot reach the store.
            while not joining.done() and not self._exchange.alive():
                await asyncio.wait({joining}, timeout=_TICK_S)
            await self._load()
            await asyncio.gather(joining, self._follow_instances(), self._follow_configuration())
        finally:
            joining.cancel()

    # Start

    async def _join(self) -> None:
        """Adds this host to the fleet and learns the others.

        The write comes first: of two hosts that start at the same moment, at least the one that
        writes last finds the other one, and its beacon introduces it.
        """
        pause_s = _RETRY_S[0]
        joined = False
        while True:
            try:
                if not joined:
                    zone = self._own.zone.encode()
                    await self._call(self._store.append(names.HOST_TOPIC, self._own.address, zone))
                    joined = True
                newest = await self._call(self._store.newest(names.HOST_TOPIC))
                break
            except PlatformError as error:
                # An append with an unknown result is repeated; the same record twice is harmless.
                _log.warning("joining: {}", error)
            await asyncio.sleep(pause_s * (1 + self._rng.random()))
            pause_s = min(2 * pause_s, _RETRY_S[1])
        self._exchange.hosts.add(
            HostPlace(record.key, record.payload.decode("utf-8", "replace"))
            for record in newest.records
            if record.payload
        )
        self._exchange.send_beacon()

    async def _load(self) -> None:
        await asyncio.sleep(_LOAD_SPREAD_S * self._rng.random())
        pause_s = _RETRY_S[0]
        while not self.loaded:
            if not await self._load_from_neighbour():
                try:
                    await self._reload_configuration()
                    await self._reload_instances()
                except PlatformError as error:
                    _log.warning("loading: {}", error)
            if not self.loaded:
                await asyncio.sleep(pause_s * (1 + self._rng.random()))
                pause_s = min(2 * pause_s, _RETRY_S[1])
        self._exchange.send_beacon()

    async def _load_from_neighbour(self) -> bool:
        for host in self._exchange.alive():
            beacon = host.beacon
            if beacon.configuration_version >= 0 and beacon.instances_offset >= 0:
                return await self._fetch_from(beacon.host)
        return False

    # Reading the store

    async def _follow_instances(self) -> None:
        pause_until_s = 0.0
        pause_s = _RETRY_S[0]
        while True:
            await asyncio.sleep(_TICK_S)
            now_s = self._loop.time()
            for key in self._directory.expire(now_s):
                _log.info("instance {} was not renewed after the outage", key)
            await self._catch_up(now_s)
            self._watch_outage(now_s)
            due_s = self._due_s()
            if self.read_age_s() < due_s or now_s < pause_until_s:
                continue
            try:
                await self._read_instances()
                if due_s > READ_INTERVAL_S:
                    await self._read_configuration(0.0)
                pause_s = _RETRY_S[0]
            except PlatformError as error:
                self.counters["failed_reads"] += 1
                _log.warning("reading registrations: {}", error)
                pause_until_s = self._loop.time() + pause_s * (1 + self._rng.random())
                pause_s = min(2 * pause_s, _RETRY_S[1])

    async def _follow_configuration(self) -> None:
        while True:
            if self._due_s() > READ_INTERVAL_S:
                await asyncio.sleep(_TICK_S)
                self._configuration_offset = _UNKNOWN
                continue
            try:
                await self._read_configuration(_CONFIGURATION_WAIT_S)
            except PlatformError as error:
                self.counters["failed_reads"] += 1
                _log.warning("reading the configuration: {}", error)
                await asyncio.sleep(_RETRY_S[0])

    def _due_s(self) -> float:
        views = [StoreView(self._own.address, self.reaches_store)]
        views += [
            StoreView(host.beacon.host, host.beacon.reaches_store)
            for host in self._exchange.alive()
        ]
        return read_after_s(self._own.address, views)

    async def _read_instances(self) -> None:
        offset = self.instances_offset
        try:
            batch = await self._call(self._store.read(names.INSTANCE_TOPIC, offset, 0.0))
        except OffsetTrimmed:
            _log.info("the history before offset {} is gone", offset)
            await self._reload_instances()
            return
        if batch.end < self.instances_offset:
            raise StaleAnswer(f"end {batch.end} is before offset {self.instances_offset}")
        # Only the newest record of each key counts; instances repeat theirs all the time.
        last = {record.key: record.payload or b"" for record in batch.records}
        changes = [
            KeyedChange(key, payload)
            for key, payload in last.items()
            if _differs(self._instances.get(key, b""), key, payload)
        ]
        if batch.next_offset > offset == self.instances_offset:
            self._apply(changes, batch.next_offset)
            self._pass_on(offset, batch.next_offset, changes)
        self.read_s = self._loop.time()
        self._exchange.send_beacon()

    async def _reload_instances(self) -> None:
        newest = await self._call(self._store.newest(names.INSTANCE_TOPIC))
        if newest.end < self.instances_offset:
            raise StaleAnswer(f"end {newest.end} is before offset {self.instances_offset}")
        records = {record.key: record.payload or b"" for record in newest.records}
        self._replace(records, newest.end)
        self.read_s = self._loop.time()

    async def _read_configuration(self, wait_s: float) -> None:
        if self._configuration_offset == _UNKNOWN:
            await self._reload_configuration()
            return
        offset = self._configuration_offset
        try:
            batch = await self._call(self._store.read(names.OPERATOR_TOPIC, offset, wait_s))
        except OffsetTrimmed:
            await self._reload_configuration()
            return
        if batch.end < offset:
            raise StaleAnswer(f"end {batch.end} is before offset {offset}")
        for record in batch.records:
            if record.key == names.CONFIGURATION_KEY and record.payload:
                self._take_configuration(record.payload, "store")
        self._configuration_offset = batch.next_offset

    async def _reload_configuration(self) -> None:
        newest = await self._call(self._store.newest(names.OPERATOR_TOPIC))
        for record in newest.records:
            if record.key == names.CONFIGURATION_KEY and record.payload:
                self._take_configuration(record.payload, "store")
        self._configuration_offset = newest.end

    async def _call(self, call: Awaitable[_Result]) -> _Result:
        """Awaits a call and notes whether the store answers."""
        self.counters["calls"] += 1
        reached = False
        try:
            result = await call
            reached = True
            return result
        except OffsetTrimmed:
            reached = True
            raise
        finally:
            if reached != self.reaches_store:
                self.reaches_store = reached
                _log.info("the store {}", "answers" if reached else "does not answer")
            if reached and self._lost:
                self._store_returned(0.0)

    # Neighbours

    def _pass_on(self, offset: int, next_offset: int, changes: list[KeyedChange]) -> None:
        since_s = self._loop.time() - self._returned_s
        message = InstanceChanges(offset, next_offset, since_s, tuple(changes))
        if sum(len(change.payload) for change in changes) <= DATAGRAM_BYTES:
            self._exchange.send_to_zone(message)

    def _take_changes(self, message: InstanceChanges) -> None:
        since_s = self._loop.time() - self._returned_s
        if self._lost or message.since_return_s < since_s - _RETURN_TOLERANCE_S:
            self._store_returned(message.since_return_s)
        if message.from_offset <= self.instances_offset < message.next_offset:
            self._apply(message.changes, message.next_offset)

    def _take_beacon(self, beacon: HostBeacon) -> None:
        now_s = self._loop.time()
        behind = (
            beacon.configuration_version > self.version
            or beacon.instances_offset > self.instances_offset
        )
        if behind and self._behind_since is None:
            self._behind_since = now_s
            self._fetch_delay_s = _FETCH_SPREAD_S * self._rng.random()
        elif not behind and beacon.instances_offset == self.instances_offset:
            # Only a read whose result this host has counts as its own.
            self.read_s = max(self.read_s, now_s - beacon.read_age_s)

    async def _catch_up(self, now_s: float) -> None:
        if self._behind_since is None:
            return
        ahead = [
            host.beacon
            for host in self._exchange.alive()
            if host.beacon.configuration_version > self.version
            or host.beacon.instances_offset > self.instances_offset
        ]
        if not ahead:
            self._behind_since = None
            return
        newest = max(beacon.configuration_version for beacon in ahead)
        delay_s = self._fetch_delay_s if newest > self.version else _BEHIND_S
        if now_s - self._behind_since < delay_s:
            return
        best = [beacon for beacon in ahead if beacon.configuration_version == newest]
        self._behind_since = now_s
        await self._fetch_from(self._rng.choice(best).host)

    async def _fetch_from(self, host: str) -> bool:
        self.counters["snapshots"] += 1
        try:
            snapshot = await self._fetch(host)
        except SnapshotUnavailable as error:
            _log.warning("fetching a snapshot: {}", error)
            return False
        if snapshot.configuration:
            self._take_configuration(snapshot.configuration, host)
        if snapshot.instances_offset > self.instances_offset:
            records = {change.key: change.payload for change in snapshot.instances}
            self._replace(records, snapshot.instances_offset)
            self.read_s = max(self.read_s, self._loop.time() - snapshot.read_age_s)
        return self.loaded

    # State

    def _take_configuration(self, payload: bytes, source: str) -> None:
        try:
            configuration = decode_configuration(payload)
        except DocumentInvalid as error:
            self.counters["invalid_records"] += 1
            _log.error("the configuration from {} is invalid: {}", source, error)
            return
        if configuration.version <= self.version:
            return
        _log.info(
            "configuration {} replaces {}, from {}", configuration.version, self.version, source
        )
        self.configuration = configuration
        self._payload = payload
        for handler in self._on_configuration:
            handler(configuration)
        self._exchange.send_beacon()

    def _replace(self, records: dict[str, bytes], offset: int) -> None:
        removed = [KeyedChange(key, b"") for key in self._instances if key not in records]
        changes = [
            KeyedChange(key, payload)
            for key, payload in records.items()
            if payload != self._instances.get(key, b"")
        ]
        self._apply([*removed, *changes], offset)

    def _apply(self, changes: Iterable[KeyedChange], offset: int) -> None:
        now_s = self._loop.time()
        self.instances_offset = offset
        for change in changes:
            if change.payload:
                self._instances[change.key] = change.payload
                self._put(now_s, change.key, change.payload)
            elif self._instances.pop(change.key, None) is not None:
                self._directory.deregister(now_s, change.key)
                _log.info("instance {} is no longer registered, offset {}", change.key, offset)

    def _put(self, now_s: float, key: str, payload: bytes) -> None:
        try:
            instance = decode_instance(key, payload)
        except DocumentInvalid as error:
            self.counters["invalid_records"] += 1
            _log.warning("registration {}: {}", key, error)
            return
        known: Instance | None = self._directory.instances.get(key)
        self._directory.register(now_s, instance)
        if known is None or known.draining != instance.draining:
            state = "draining" if instance.draining else "ready"
            _log.info("instance {} of {} is {}", key, instance.service, state)

    def _watch_outage(self, now_s: float) -> None:
        if not self._lost and self.loaded and now_s - self.read_s > _OUTAGE_S:
            self._lost = True
            self._directory.on_store_lost()
            _log.warning("no host of the zone has read the store for {} s", _OUTAGE_S)
        elif self._lost and now_s - self.read_s <= _OUTAGE_S:
            self._store_returned(now_s - self.read_s)

    def _store_returned(self, since_s: float) -> None:
        self._lost = False
        self._returned_s = self._loop.time() - since_s
        self._directory.on_store_recovered(self._returned_s)
        _log.info("the zone reads the store again")
