"""Task that reads the configuration log."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import logbook

from anviltray.platform import OffsetTrimmed, Platform, PlatformUnavailable
from anviltray.state._snapshots import read_newest_snapshot
from anviltray.state.configuration import STREAM, ConfigurationStore

_log = logbook.Logger("anviltray.state.log")

_BATCH_RECORDS = 256  # Largest number of records per read.
# If no peer has reported a configuration version for this time, which is three anti-entropy
# intervals, a node reads the log itself.
PEER_TIMEOUT_S = 6.0
# A reader that is not the first of its region waits this long for the exchange to deliver a new
# record, since its own read would transfer the payload over the link between regions again.
DELIVERY_TIMEOUT_S = 0.5


class ReaderRanks(NamedTuple):
    """Positions of this node in the rendezvous orders of the log readers, from 0."""

    region: int  # Position within the region.
    zone: int  # Position within the availability zone.


class LogFollower:
    """Reads the log if this node is a reader, else only when no peer reports a version.

    The first reader of a region reads the records. The other readers of each zone only query the
    offsets, and read a record only if the exchange does not deliver it within DELIVERY_TIMEOUT_S.
    `counters` has the keys `reads`, `read_bytes`, `offset_reads`, `failures` and `uncovered`, the
    number of reads that found neither the next record nor a newer snapshot.
    """

    def __init__(
        self,
        platform: Platform,
        store: ConfigurationStore,
        ranks: Callable[[], ReaderRanks],
        *,
        poll_interval_s: float,
        readers_per_zone: int,
    ) -> None:
        self._platform = platform
        self._store = store
        self._ranks = ranks
        self._poll_interval_s = poll_interval_s
        self._readers_per_zone = readers_per_zone
        self._started_s = 0.0
        self._available = True
        self.counters: Counter[str] = Counter()

    async def run(self) -> None:
        """Follows the log until cancelled."""
        self._started_s = asyncio.get_running_loop().time()
        while True:
            await asyncio.sleep(self._poll_interval_s)
            await self.step()

    async def step(self) -> None:
        """Reads the log or its offsets once, depending on the positions of this node."""
        now_s = asyncio.get_running_loop().time()
        ranks = self._ranks()
        peers_timed_out = (
            now_s - max(self._store.last_observed_s, self._started_s) >= PEER_TIMEOUT_S
        )
        if ranks.region == 0 or peers_timed_out:
            await self.read()
        elif ranks.zone < self._readers_per_zone or self._store.not_ready_reason() is not None:
            # A node that is not ready has to find out where the log ends.
            await self._check_offsets()

    async def read(self) -> bool:
        """Reads to the end of the log; returns False if it is unavailable."""
        try:
            while await self._read_once():
                pass
        except PlatformUnavailable as error:
            self._set_available(available=False, detail=str(error))
            return False
        self._set_available(available=True, detail="")
        return True

    async def _read_once(self) -> bool:
        """Reads one batch; returns True if there may be more."""
        loop = asyncio.get_running_loop()
        self.counters["reads"] += 1
        try:
            batch = await self._platform.read(STREAM, self._store.version + 1, _BATCH_RECORDS)
        except OffsetTrimmed:
            return await self._load_snapshot()
        self.counters["read_bytes"] += sum(len(record.payload) for record in batch.records)
        applied = self._store.apply(loop.time(), batch.records)
        self._store.observe_log_end(loop.time(), batch.next_offset)
        return applied > 0 and self._store.version + 1 < batch.next_offset

    async def _load_snapshot(self) -> bool:
        state = await read_newest_snapshot(self._platform)
        now_s = asyncio.get_running_loop().time()
        if state is not None and self._store.load(now_s, state):
            return True
        self.counters["uncovered"] += 1
        offsets = await self._platform.offsets(STREAM)
        self._store.observe_version(now_s, offsets.next - 1)
        return False

    async def _check_offsets(self) -> None:
        self.counters["offset_reads"] += 1
        try:
            offsets = await self._platform.offsets(STREAM)
        except PlatformUnavailable as error:
            self._set_available(available=False, detail=str(error))
            return
        self._set_available(available=True, detail="")
        loop = asyncio.get_running_loop()
        self._store.observe_version(loop.time(), offsets.next - 1)
        deadline_s = loop.time() + DELIVERY_TIMEOUT_S
        while self._store.version < offsets.next - 1:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                await self.read()
                return
            await self._store.wait_for_change(remaining_s)
        self._store.observe_log_end(loop.time(), offsets.next)

    def _set_available(self, *, available: bool, detail: str) -> None:
        if not available:
            self.counters["failures"] += 1
        if available == self._available:
            return
        self._available = available
        if available:
            _log.info("the configuration log can be read again")
        else:
            _log.warning("cannot read the configuration log: {}", detail)
