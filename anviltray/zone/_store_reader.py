"""Reads the store on behalf of the zone and sends what has changed to the other hosts."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from typing import TypeVar

import logbook

from anviltray.decisions.following import StoreView, read_rank
from anviltray.messages import HostLocality, InstanceChanges, KeyedChange
from anviltray.platform import KeyedStore, OffsetTrimmed, PlatformError, names
from anviltray.zone._exchange import MAX_DATAGRAM_BYTES, ZoneExchange
from anviltray.zone._outages import OutageDetector
from anviltray.zone._replica import UNKNOWN, StoreReplica

_log = logbook.Logger("anviltray.store")

_Result = TypeVar("_Result")

# The order in which the hosts of the zone read the store is computed again after this time.
READ_ORDER_LIFETIME_S = 0.25


class StaleResponse(PlatformError):
    """The store returned an older state than before."""


class StoreReader:
    """Calls of this host to the store, and its place in the order of the readers of the zone."""

    def __init__(
        self,
        own: HostLocality,
        store: KeyedStore,
        exchange: ZoneExchange,
        replica: StoreReplica,
        outages: OutageDetector,
        counters: Counter[str],
    ) -> None:
        self._own = own
        self.store = store
        self._exchange = exchange
        self._replica = replica
        self._outages = outages
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._configuration_offset = UNKNOWN
        self._own_read_rank = 0
        self._read_order_expires_s = float("-inf")
        self.reaches_store = False

    def read_rank(self) -> int:
        """Returns the place of this host in the order in which the zone reads the store."""
        now_s = self._loop.time()
        if now_s >= self._read_order_expires_s:
            self._own_read_rank = self._compute_read_rank()
            self._read_order_expires_s = now_s + READ_ORDER_LIFETIME_S
        return self._own_read_rank

    def _compute_read_rank(self) -> int:
        views = [StoreView(self._own.address, self.reaches_store)]
        views += [
            StoreView(host.beacon.host, host.beacon.reaches_store)
            for host in self._exchange.alive()
        ]
        return read_rank(self._own.address, views)

    async def read_instances(self) -> None:
        """Reads the changes of registrations and sends them to the zone; raises PlatformError."""
        replica = self._replica
        offset = replica.instances_offset
        try:
            batch = await self.call(self.store.read(names.INSTANCE_TOPIC, offset, 0.0))
        except OffsetTrimmed:
            _log.info(
                "offset {} is no longer in the log of the store; reloading the registrations",
                offset,
            )
            await self.reload_instances()
            return
        self._check_end(batch.end_offset, replica.instances_offset)
        # Only the newest record of each key matters; instances renew theirs continuously.
        changes = replica.find_changes(
            {record.key: record.payload or b"" for record in batch.records}
        )
        if batch.next_offset > offset == replica.instances_offset:
            replica.apply_changes(changes, batch.next_offset)
            self._broadcast_changes(offset, batch.next_offset, changes)
        replica.record_read()
        self._exchange.send_beacon()

    async def reload_instances(self) -> None:
        """Reads all registrations; raises PlatformError."""
        newest = await self.call(self.store.read_newest(names.INSTANCE_TOPIC))
        self._check_end(newest.end_offset, self._replica.instances_offset)
        records = {record.key: record.payload or b"" for record in newest.records}
        self._replica.replace_all(records, newest.end_offset)
        self._replica.record_read()

    async def read_configuration(self, wait_s: float) -> None:
        """Reads newer configurations, waiting up to `wait_s` for one; raises PlatformError."""
        offset = self._configuration_offset
        if offset == UNKNOWN:
            await self.reload_configuration()
            return
        try:
            batch = await self.call(self.store.read(names.OPERATOR_TOPIC, offset, wait_s))
        except OffsetTrimmed:
            await self.reload_configuration()
            return
        self._check_end(batch.end_offset, offset)
        for record in batch.records:
            self._apply_operator_record(record.key, record.payload)
        self._configuration_offset = batch.next_offset

    async def reload_configuration(self) -> None:
        """Reads the newest configuration; raises PlatformError."""
        newest = await self.call(self.store.read_newest(names.OPERATOR_TOPIC))
        for record in newest.records:
            self._apply_operator_record(record.key, record.payload)
        self._configuration_offset = newest.end_offset

    def forget_configuration_offset(self) -> None:
        """Makes the next read of the configuration a complete one."""
        self._configuration_offset = UNKNOWN

    async def call(self, call: Awaitable[_Result]) -> _Result:
        """Awaits a call to the store and records whether the store responds."""
        self._counters["calls"] += 1
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

    def _apply_operator_record(self, key: str, payload: bytes | None) -> None:
        if key == names.CONFIGURATION_KEY and payload:
            self._replica.apply_configuration(payload, "store")

    def _check_end(self, end_offset: int, offset: int) -> None:
        if end_offset < offset:
            raise StaleResponse(f"stale: log end {end_offset} is before offset {offset}")

    def _record_call(self, *, reached: bool) -> None:
        if reached != self.reaches_store:
            self.reaches_store = reached
            self._read_order_expires_s = float("-inf")
            _log.info("the store is {}", "reachable" if reached else "unreachable")
            if not reached:
                self._exchange.send_beacon()
        if reached:
            self._outages.on_successful_call()

    def _broadcast_changes(self, offset: int, next_offset: int, changes: list[KeyedChange]) -> None:
        message = InstanceChanges(
            offset, next_offset, self._outages.since_return_s(), tuple(changes)
        )
        if sum(len(change.payload) for change in changes) <= MAX_DATAGRAM_BYTES:
            self._exchange.send_to_zone(message)
