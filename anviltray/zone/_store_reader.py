"""Reads the store on behalf of the zone and sends what has changed to the other hosts."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from typing import Protocol, TypeVar

import logbook

from anviltray.decisions.following import (
    UNKNOWN_POSITION,
    StorePosition,
    StoreView,
    Verdict,
    judge_read,
    read_rank,
)
from anviltray.messages import HostLocality, InstanceChanges, KeyedChange
from anviltray.platform import KeyedStore, OffsetTrimmed, RecordBatch, names
from anviltray.zone._exchange import MAX_DATAGRAM_BYTES, ZoneExchange
from anviltray.zone._outages import OutageDetector
from anviltray.zone._replica import StaleResponse, StoreReplica

_log = logbook.Logger("anviltray.store")


class _Result(Protocol):
    @property
    def generation(self) -> int | None: ...


_ResultT = TypeVar("_ResultT", bound=_Result)

# The order in which the hosts of the zone read the store is computed again after this time.
READ_ORDER_LIFETIME_S = 0.25


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
        self._configuration_position = UNKNOWN_POSITION
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
        now_s = self._loop.time()
        views = [StoreView(self._own.address, self.reaches_store)]
        views += [
            StoreView(host.beacon.host, host.beacon.reaches_store, host.is_overdue(now_s))
            for host in self._exchange.alive()
        ]
        return read_rank(self._own.address, views, self._replica.read_age_s())

    async def read_instances(self) -> None:
        """Reads the changes of registrations and sends them to the zone; raises PlatformError."""
        replica = self._replica
        requested = replica.position
        if requested.generation < replica.generation:
            await self.reload_instances()
            return
        try:
            batch = await self.call(self.store.read(names.INSTANCE_TOPIC, requested.offset, 0.0))
        except OffsetTrimmed:
            _log.info("{} is not in the log of the store; reloading the registrations", requested)
            await self.reload_instances()
            return
        verdict = self._judge(batch, requested, replica.position)
        if verdict is Verdict.RELOAD:
            await self.reload_instances()
            return
        if verdict is Verdict.OVERTAKEN:
            return  # The result of this read may not be in the replica, so the read does not count.
        changes = replica.find_changes(batch.records)
        if batch.next_offset > requested.offset:
            replica.apply_changes(changes, requested._replace(offset=batch.next_offset))
            self._broadcast_changes(requested, batch.next_offset, changes)
        replica.record_read()
        self._exchange.send_beacon()

    async def reload_instances(self) -> None:
        """Reads all registrations; raises PlatformError."""
        newest = await self.call(self.store.read_newest(names.INSTANCE_TOPIC))
        position = StorePosition(self._replica.generation, newest.end_offset)
        records = {record.key: record.payload or b"" for record in newest.records}
        if not newest.is_snapshot:
            position = await self._read_to_end(records, position)
        if position < self._replica.position:
            raise StaleResponse(f"stale: {position} is before {self._replica.position}")
        self._replica.replace_all(records, position)
        self._replica.record_read()
        self._exchange.send_beacon()

    async def _read_to_end(
        self, records: dict[str, bytes], position: StorePosition
    ) -> StorePosition:
        """Brings `records`, some of which are newer than `position`, to the position returned.

        Otherwise a later read would repeat a change that this host has already, and it would not
        send it to the hosts that have not. Raises PlatformError.
        """
        while True:
            batch = await self.call(self.store.read(names.INSTANCE_TOPIC, position.offset, 0.0))
            if self._replica.generation != position.generation:
                raise StaleResponse("stale: the store went back while it was read in pages")
            for record in batch.records:
                if record.payload:
                    records[record.key] = record.payload
                else:
                    records.pop(record.key, None)
            position = position._replace(offset=batch.next_offset)
            if position.offset >= batch.end_offset or not batch.records:
                return position

    async def read_configuration(self, wait_s: float) -> None:
        """Reads newer configurations, waiting up to `wait_s` for one; raises PlatformError."""
        requested = self._configuration_position
        if requested.offset < 0 or requested.generation < self._replica.generation:
            await self.reload_configuration()
            return
        try:
            batch = await self.call(self.store.read(names.OPERATOR_TOPIC, requested.offset, wait_s))
        except OffsetTrimmed:
            await self.reload_configuration()
            return
        if self._judge(batch, requested, requested) is Verdict.RELOAD:
            await self.reload_configuration()
            return
        for record in batch.records:
            self._apply_operator_record(record.key, record.payload)
        self._configuration_position = requested._replace(offset=batch.next_offset)

    async def reload_configuration(self) -> None:
        """Reads the newest configuration; raises PlatformError."""
        newest = await self.call(self.store.read_newest(names.OPERATOR_TOPIC))
        for record in newest.records:
            self._apply_operator_record(record.key, record.payload)
        self._configuration_position = StorePosition(self._replica.generation, newest.end_offset)

    def forget_configuration_position(self) -> None:
        """Makes the next read of the configuration a complete one."""
        self._configuration_position = UNKNOWN_POSITION

    async def call(self, call: Awaitable[_ResultT]) -> _ResultT:
        """Awaits a call to the store and records whether the store responds.

        Raises the errors of the call, and StaleResponse for a late response from before the store
        went back to a copy.
        """
        self._counters["calls"] += 1
        try:
            result = await call
            self._replica.check_generation(result.generation)
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

    def _judge(
        self, batch: RecordBatch, requested: StorePosition, current: StorePosition
    ) -> Verdict:
        verdict = judge_read(requested, current, self._replica.generation, batch.end_offset)
        if verdict is Verdict.STALE:
            raise StaleResponse(f"stale: log end {batch.end_offset} is before {requested}")
        return verdict

    def _record_call(self, *, reached: bool) -> None:
        if reached != self.reaches_store:
            self.reaches_store = reached
            self._read_order_expires_s = float("-inf")
            _log.info("the store is {}", "reachable" if reached else "unreachable")
            if not reached:
                self._exchange.send_beacon()
        if reached:
            self._outages.on_successful_call()

    def _broadcast_changes(
        self, position: StorePosition, next_offset: int, changes: list[KeyedChange]
    ) -> None:
        message = InstanceChanges(
            position.offset,
            next_offset,
            self._outages.since_return_s(),
            tuple(changes),
            position.generation,
        )
        if sum(len(change.payload) for change in changes) <= MAX_DATAGRAM_BYTES:
            self._exchange.send_to_zone(message)
