"""Burn records in the log: written by one node of each zone, read for the report."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import logbook

from anviltray.messages import BurnSummary, MessageError, decode_message, encode_message
from anviltray.platform import OffsetTrimmed, Platform, PlatformError, PlatformUnavailable
from anviltray.reports import SLOT_S, BurnCollector

STREAM = "burn"
_READ_LIMIT = 1000
_SETTLE_S = 2.0  # Counters of the slot may still be on their way when it ends.
_RANK_DELAY_S = 5.0  # Pause of each further writer, so that it finds the record of the one before.
_WRITERS = 3
# Records of one day wait for the log; older ones become a gap in the report.
_PENDING_LIMIT = 24 * 3600 // SLOT_S
_LOOK_BACK = 64  # Records in which a writer looks for a record of the same zone and slot.

_log = logbook.Logger("anviltray.node.burn")


class BurnLog:
    """Task that appends the zone's summary of each slot, and the reader of all summaries.

    `rank` returns the position of this node among the nodes of its zone. Slots are numbered by the
    wall clock of the writer only to label and order records; no rule compares two clocks, and of
    two records for one zone and slot the first in the log counts.
    """

    def __init__(
        self, platform: Platform, collector: BurnCollector, zone: str, rank: Callable[[], int]
    ) -> None:
        self._platform = platform
        self._collector = collector
        self._zone = zone
        self._rank = rank
        self._pending: deque[BurnSummary] = deque(maxlen=_PENDING_LIMIT)
        self._available = True

    async def run(self) -> None:
        """Writes one record for each slot until cancelled."""
        while True:
            now_s = time.time()
            slot = int(now_s // SLOT_S)
            await asyncio.sleep((slot + 1) * SLOT_S - now_s + _SETTLE_S)
            await self.step(slot)

    async def step(self, slot: int) -> None:
        """Ends a slot and writes what is pending if this node is one of the writers."""
        self._pending.append(self._collector.pop_summary(slot))
        rank = self._rank()
        if rank >= _WRITERS:
            self._pending.clear()
            return
        await asyncio.sleep(rank * _RANK_DELAY_S)
        try:
            while self._pending:
                if not await self._is_written(self._pending[0]):
                    await self._platform.append(STREAM, encode_message(self._pending[0]))
                self._pending.popleft()
        except PlatformError as error:
            if self._available:
                _log.warning("burn records wait for the log: {}", error)
            self._available = False
            return
        if not self._available:
            _log.info("burn records are written again")
        self._available = True

    async def read_all(self) -> list[BurnSummary]:
        """Returns all records that the log still has; raises PlatformUnavailable."""
        offsets = await self._platform.offsets(STREAM)
        return await self._read(offsets.oldest, offsets.next)

    async def _is_written(self, summary: BurnSummary) -> bool:
        offsets = await self._platform.offsets(STREAM)
        recent = await self._read(max(offsets.oldest, offsets.next - _LOOK_BACK), offsets.next)
        key = (summary.zone, summary.slot)
        return any((found.zone, found.slot) == key for found in recent)

    async def _read(self, start: int, end: int) -> list[BurnSummary]:
        summaries: list[BurnSummary] = []
        offset = start
        while offset < end:
            try:
                batch = await self._platform.read(STREAM, offset, _READ_LIMIT)
            except OffsetTrimmed:
                offset = (await self._platform.offsets(STREAM)).oldest
                continue
            if not batch.records:
                raise PlatformUnavailable(f"no records of {STREAM} at offset {offset}")
            summaries.extend(filter(None, (_decode(record.payload) for record in batch.records)))
            offset = batch.records[-1].offset + 1
        return summaries


def _decode(payload: bytes) -> BurnSummary | None:
    try:
        message = decode_message(payload)
    except MessageError:
        return None
    return message if isinstance(message, BurnSummary) else None
