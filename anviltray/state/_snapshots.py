"""Reading the newest snapshot from the log, and writing one when it is due."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

import logbook

from anviltray.messages import ConfigState, SnapshotPart
from anviltray.platform import (
    AppendRejected,
    AppendUnknown,
    OffsetTrimmed,
    Platform,
    PlatformUnavailable,
    Record,
)
from anviltray.state.configuration import (
    SNAPSHOT_STREAM,
    STREAM,
    ConfigurationStore,
    RecordError,
    SnapshotAssembler,
    decode_record,
    encode_record,
    split_state,
)

_log = logbook.Logger("anviltray.state.snapshots")

_BATCH_RECORDS = 64  # Records per read: 4 MiB with the default chunk size.
_CHECK_INTERVAL_S = 5.0
# A node of rank r writes a snapshot only when one has been due for r times this long. The delay is
# longer than a writer needs for all parts of a configuration of the present size.
_RANK_DELAY_S = 10.0
# Nodes of this or a higher rank never write. If none of the nodes before them has written, an
# outage of the log is a likelier cause than the failure of all of them.
_RANK_LIMIT = 8
_RETRY_INTERVAL_S = 0.1
_MAX_ATTEMPTS = 50


async def read_newest_snapshot(platform: Platform) -> ConfigState | None:
    """Returns the newest complete snapshot in the log, or None if there is none.

    Reads growing windows at the end of the stream, because it may contain many older snapshots.
    Skips damaged records. Raises PlatformUnavailable.
    """
    window = _BATCH_RECORDS
    while True:
        offsets = await platform.offsets(SNAPSHOT_STREAM)
        start = max(offsets.oldest, offsets.next - window)
        try:
            state = _newest_complete_state(await _read_records(platform, start, offsets.next))
        except OffsetTrimmed:
            continue
        if state is not None or start == offsets.oldest:
            return state
        window *= 4


async def _read_records(platform: Platform, start: int, end: int) -> list[Record]:
    records: list[Record] = []
    while start < end:
        batch = await platform.read(SNAPSHOT_STREAM, start, min(_BATCH_RECORDS, end - start))
        if not batch.records:
            break
        records.extend(batch.records)
        start = batch.records[-1].offset + 1
    return records


def _newest_complete_state(records: Iterable[Record]) -> ConfigState | None:
    """Returns the newest state whose parts are all in `records`, or None."""
    assemblers: dict[tuple[int, str], SnapshotAssembler] = {}
    newest: ConfigState | None = None
    for record in records:
        try:
            part = decode_record(record.payload)
            if not isinstance(part, SnapshotPart):
                continue
            assembler = assemblers.setdefault((part.version, part.digest), SnapshotAssembler())
            state = assembler.add(part)
        except RecordError:
            continue
        if state is not None and (newest is None or state.version > newest.version):
            newest = state
    return newest


class SnapshotWriter:
    """Task that appends a snapshot before the log loses the records that it covers.

    `rank` returns the position of this node in the rendezvous order of the fleet. Writers need no
    coordination, because snapshots written by two nodes at once do no harm. `counters` has the keys
    `written` and `failed`.
    """

    def __init__(
        self,
        platform: Platform,
        store: ConfigurationStore,
        rank: Callable[[], int],
        *,
        after_records: int,
        chunk_bytes: int,
    ) -> None:
        self._platform = platform
        self._store = store
        self._rank = rank
        self._after_records = after_records
        self._chunk_bytes = chunk_bytes
        self._due_since_s: float | None = None
        self._newest_version = -1
        self.counters: Counter[str] = Counter()

    async def run(self) -> None:
        """Writes snapshots when they are due, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            await self.step()

    async def step(self) -> bool:
        """Writes a snapshot if one is due for this node's rank; returns True if it was written."""
        rank = self._rank()
        if rank >= _RANK_LIMIT or self._store.version < 0 or self._store.fold.stop_reason:
            return False
        now_s = asyncio.get_running_loop().time()
        try:
            if not await self._is_due():
                self._due_since_s = None
                return False
            if self._due_since_s is None:
                self._due_since_s = now_s
            if now_s - self._due_since_s < rank * _RANK_DELAY_S:
                return False
            newest = await read_newest_snapshot(self._platform)
            self._newest_version = newest.version if newest is not None else -1
            if not await self._is_due():
                return False
            await self._write()
        except (PlatformUnavailable, AppendRejected, AppendUnknown) as error:
            self.counters["failed"] += 1
            _log.debug("cannot write a snapshot, trying again later: {}", error)
            return False
        self._due_since_s = None
        return True

    async def _is_due(self) -> bool:
        """Returns whether the newest known snapshot is too old.

        A snapshot is due after the configured number of records. It is due earlier if the record
        that follows the last snapshot is in the older half of the retained records, or if the log
        no longer contains a snapshot.
        """
        version = self._store.version
        if version - self._newest_version >= self._after_records:
            return True
        commands = await self._platform.offsets(STREAM)
        if commands.oldest == 0:
            return False
        snapshots = await self._platform.offsets(SNAPSHOT_STREAM)
        if snapshots.oldest == snapshots.next:
            return True
        middle = commands.oldest + (commands.next - commands.oldest) // 2
        return self._newest_version < min(middle, version)

    async def _write(self) -> None:
        state = self._store.fold.state()
        for part in split_state(state, self._chunk_bytes):
            await self._append(part)
        self._newest_version = state.version
        self.counters["written"] += 1
        _log.info("wrote a snapshot of configuration {}", state.version)

    async def _append(self, part: SnapshotPart) -> None:
        """Appends one part, repeatedly if needed; a second copy does no harm."""
        payload = encode_record(part)
        for attempt in range(_MAX_ATTEMPTS):
            try:
                await self._platform.append(SNAPSHOT_STREAM, payload)
                return
            except (AppendRejected, AppendUnknown):
                if attempt == _MAX_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(_RETRY_INTERVAL_S)
