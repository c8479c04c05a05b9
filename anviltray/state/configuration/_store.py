"""The configuration of one node and the newest version that it knows to exist."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterable

import logbook

from anviltray.messages import ConfigState, LogRecord, SnapshotPart
from anviltray.platform import Record
from anviltray.state.configuration._fold import Applied, Fold, FoldStopped, Rejected
from anviltray.state.configuration._records import RecordError
from anviltray.state.configuration._snapshot import SnapshotAssembler

_log = logbook.Logger("anviltray.state.configuration")

# Bytes of recent records kept for peers that are slightly behind; other peers get a snapshot.
RECENT_BYTES = 1 << 20

Listener = Callable[[frozenset[str]], None]


class ConfigurationStore:
    """Owns the fold, which the log follower and the exchange update.

    `newest_known_version` is the newest version that the log or a peer has reported, and
    `behind_since_s` the time since which this node has been behind it, or None. `counters` has the
    keys `records`, `rejected_commands`, `duplicate_commands`, `snapshots_loaded`,
    `reverts_refused`, `damaged_snapshots`, `digest_mismatches` and `stops`.
    """

    def __init__(self) -> None:
        self.fold = Fold()
        self.newest_known_version = -1
        self.last_observed_s = float("-inf")
        self.counters: Counter[str] = Counter()
        self._log_read_to_end = False
        self._was_ready = False
        self._unverified = False
        self._mismatched_nodes: set[str] = set()
        self.behind_since_s: float | None = None
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0
        self._assembler = SnapshotAssembler()
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Offset of the last applied record, -1 before the first one."""
        return self.fold.version

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` after each change with the names of the changed services."""
        self._listeners.append(listener)

    def observe_version(self, now_s: float, version: int) -> None:
        """Records that a peer or the log has reached `version`."""
        self.last_observed_s = now_s
        self.newest_known_version = max(self.newest_known_version, version)
        self._update_behind_since(now_s)

    def observe_log_end(self, now_s: float, next_offset: int) -> None:
        """Records that the log ends before `next_offset`."""
        self.observe_version(now_s, next_offset - 1)
        self._log_read_to_end = self._log_read_to_end or self.version >= next_offset - 1

    def apply(self, now_s: float, records: Iterable[Record | LogRecord]) -> int:
        """Applies consecutive records and returns their number.

        Skips records that were applied before, and ignores all records after a gap, which
        anti-entropy or the next read delivers again.
        """
        changed: set[str] = set()
        applied = 0
        for record in records:
            if record.offset <= self.version:
                continue
            if record.offset > self.version + 1 or not self._apply_one(record, changed):
                break
            applied += 1
        if applied:
            self._notify(now_s, changed)
        return applied

    def add_snapshot_part(self, now_s: float, part: SnapshotPart) -> bool:
        """Adds one part of a peer's snapshot; returns True if it completed a newer state.

        The state is unverified until a peer confirms its digest.
        """
        if part.version <= self.version:
            self.counters["reverts_refused"] += 1
            return False
        try:
            state = self._assembler.add(part)
        except RecordError as error:
            self.counters["damaged_snapshots"] += 1
            _log.warning("rejected a snapshot from a peer: {}", error)
            return False
        if state is None or not self.load(now_s, state):
            return False
        self._unverified = True
        return True

    def load(self, now_s: float, state: ConfigState) -> bool:
        """Replaces the state with a newer one; returns False if `state` is not newer."""
        names = set(self.fold.services)
        if not self.fold.load(state):
            self.counters["reverts_refused"] += 1
            return False
        self.counters["snapshots_loaded"] += 1
        self._recent.clear()
        self._recent_bytes = 0
        self._notify(now_s, names | set(self.fold.services))
        return True

    def records_after(self, version: int, limit_bytes: int) -> tuple[LogRecord, ...] | None:
        """Returns records that follow `version`, or None if the next one is no longer kept."""
        if version >= self.version:
            return ()
        if not self._recent or self._recent[0].offset > version + 1:
            return None
        chosen: list[LogRecord] = []
        size = 0
        for record in self._recent:
            if record.offset <= version:
                continue
            size += len(record.payload)
            if chosen and size > limit_bytes:
                break
            chosen.append(record)
        return tuple(chosen)

    def verify_digest(self, version: int, digest: str, source: str) -> bool:
        """Compares the digest of another node with that of this node; returns False on a mismatch.

        Has no effect for another version. A mismatch before this node was ever ready clears the
        state, because either node may be wrong and this one has served no request yet. After that,
        the state stays active and the mismatch is only logged as an error.
        """
        if version != self.version:
            return True
        if digest == self.fold.digest:
            self._unverified = False
            self._mismatched_nodes.discard(source)
            return True
        self.counters["digest_mismatches"] += 1
        if source not in self._mismatched_nodes:
            self._mismatched_nodes.add(source)
            _log.error("configuration {} has another digest at {}", version, source)
        if not self._was_ready:
            self.fold.clear()
            self._unverified = False
            self._recent.clear()
            self._recent_bytes = 0
        return False

    def not_ready_reason(self) -> str | None:
        """Returns why this node must not serve requests yet, or None if it may.

        A node that was ready once stays ready. Its last configuration stays active while the log
        is unavailable, while it fetches a change, and after a record that it cannot read. Otherwise
        one unreadable record would take the whole fleet out of service.
        """
        if self._was_ready:
            return None
        if self.version < 0 and not self._log_read_to_end:
            return "no configuration: the log is unavailable and no peer has one"
        if self._unverified:
            return f"the digest of configuration {self.version} is not confirmed yet"
        if self.version < self.newest_known_version:
            stopped = f" ({self.fold.stop_reason})" if self.fold.stop_reason else ""
            return f"configuration {self.version} is behind {self.newest_known_version}{stopped}"
        self._was_ready = True
        return None

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change, for at most `timeout_s`."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def _apply_one(self, record: Record | LogRecord, changed: set[str]) -> bool:
        was_stopped = bool(self.fold.stop_reason)
        try:
            result = self.fold.apply(record.offset, record.payload)
        except FoldStopped as error:
            if not was_stopped:
                self.counters["stops"] += 1
                _log.critical("configuration stopped at version {}: {}", self.version, error)
            return False
        self.counters["records"] += 1
        if isinstance(result, Rejected):
            self.counters["rejected_commands"] += 1
        elif isinstance(result, Applied) and result.duplicate:
            self.counters["duplicate_commands"] += 1
        else:
            changed.add(result.service)
        self._recent.append(LogRecord(record.offset, record.payload))
        self._recent_bytes += len(record.payload)
        while self._recent_bytes > RECENT_BYTES and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().payload)
        return True

    def _notify(self, now_s: float, changed: set[str]) -> None:
        self._update_behind_since(now_s)
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self._listeners:
            listener(frozenset(changed))

    def _update_behind_since(self, now_s: float) -> None:
        if self.version >= self.newest_known_version:
            self.behind_since_s = None
        elif self.behind_since_s is None:
            self.behind_since_s = now_s
