"""Burn records in the log: one node of each zone writes them, the burn report reads them."""

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
_COLLECTION_DELAY_S = 2.0  # Counters of a slot may arrive after its end.
_WRITER_DELAY_S = 5.0  # Delay per rank, so that a writer finds the record of the previous one.
_WRITER_COUNT = 3
# Records of one day are kept while the log is unavailable; older ones are missing in the report.
_PENDING_LIMIT = 24 * 3600 // SLOT_S
_RECENT_RECORD_COUNT = 64  # Newest records that a writer searches for its zone and slot.

_log = logbook.Logger("anviltray.node.burn")


class BurnLog:
    """Appends the summary of each slot of the zone to the log and reads all summaries.

    `rank` returns the position of this node among the nodes of its zone.

    Slot numbers come from the wall clock of the writer. They only label and order records: no rule
    compares two clocks, and of two records for one zone and slot the first in the log counts.
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
            await asyncio.sleep((slot + 1) * SLOT_S - now_s + _COLLECTION_DELAY_S)
            await self.write_slot(slot)

    async def write_slot(self, slot: int) -> None:
        """Ends a slot and appends the pending records if this node is one of the writers."""
        self._pending.append(self._collector.pop_summary(slot))
        rank = self._rank()
        if rank >= _WRITER_COUNT:
            self._pending.clear()
            return
        await asyncio.sleep(rank * _WRITER_DELAY_S)
        try:
            while self._pending:
                if not await self._is_written(self._pending[0]):
                    await self._platform.append(STREAM, encode_message(self._pending[0]))
                self._pending.popleft()
        except PlatformError as error:
            if self._available:
                _log.warning("cannot append burn records to the log; they stay pending: {}", error)
            self._available = False
            return
        if not self._available:
            _log.info("pending burn records were appended to the log")
        self._available = True

    async def read_all(self) -> list[BurnSummary]:
        """Returns all records that are retained in the log; raises PlatformUnavailable."""
        offsets = await self._platform.offsets(STREAM)
        return await self._read(offsets.oldest, offsets.next)

    async def _is_written(self, summary: BurnSummary) -> bool:
        offsets = await self._platform.offsets(STREAM)
        recent = await self._read(
            max(offsets.oldest, offsets.next - _RECENT_RECORD_COUNT), offsets.next
        )
        key = (summary.zone, summary.slot)
        return any((recorded.zone, recorded.slot) == key for recorded in recent)

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
                raise PlatformUnavailable(
                    f"stream {STREAM}: expected records at offset {offset}, found none"
                )
            summaries.extend(filter(None, (_decode(record.payload) for record in batch.records)))
            offset = batch.records[-1].offset + 1
        return summaries


def _decode(payload: bytes) -> BurnSummary | None:
    try:
        message = decode_message(payload)
    except MessageError:
        return None
    return message if isinstance(message, BurnSummary) else None
