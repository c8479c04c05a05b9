"""The configuration of one node with what it knows of newer versions."""

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

# Bytes of recent records kept for peers that are a little behind; others get a snapshot.
RECENT_BYTES = 1 << 20

Listener = Callable[[frozenset[str]], None]


class ConfigurationStore:
    """Owns the fold; the log follower and the exchange feed it.

    `heard_version` is the newest version that the log or a peer has named, `behind_since_s` the
    time since which this node has been behind it. `counters` holds
    `records`, `rejected_commands`, `duplicate_commands`, `snapshots_loaded`, `reverts_refused`,
    `digest_mismatches` and `stops`.
    """

    def __init__(self) -> None:
        self.fold = Fold()
        self.heard_version = -1
        self.last_heard_s = float("-inf")
        self.counters: Counter[str] = Counter()
        self._log_read_to_end = False
        self._was_ready = False
        self._unverified = False
        self._mismatched: set[str] = set()
        self.behind_since_s: float | None = None
        self._recent: deque[LogRecord] = deque()
        self._recent_bytes = 0
        self._assembler = SnapshotAssembler()
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Offset of the last applied record or -1."""
        return self.fold.version

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` after each change with the names of the changed services."""
        self._listeners.append(listener)

    def heard(self, now_s: float, version: int) -> None:
        """Notes that a peer or the log is at `version`."""
        self.last_heard_s = now_s
        self.heard_version = max(self.heard_version, version)
        self._note_behind(now_s)

    def read_to_end(self, now_s: float, next_offset: int) -> None:
        """Notes that the log ends before `next_offset`."""
        self.heard(now_s, next_offset - 1)
        self._log_read_to_end = self._log_read_to_end or self.version >= next_offset - 1

    def apply(self, now_s: float, records: Iterable[Record | LogRecord]) -> int:
        """Applies consecutive records, skips those already applied, returns the number applied.

        Records after a gap are left out; anti-entropy or the next read delivers them again.
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

    def add_part(self, now_s: float, part: SnapshotPart) -> bool:
        """Adds one part of a peer's snapshot; returns True if it completed a newer state.

        The state counts as unverified until a peer confirms its digest.
        """
        if part.version <= self.version:
            self.counters["reverts_refused"] += 1
            return False
        try:
            state = self._assembler.add(part)
        except RecordError as error:
            self.counters["damaged_snapshots"] += 1
            _log.warning("snapshot refused: {}", error)
            return False
        if state is None or not self.load(now_s, state):
            return False
        self._unverified = True
        return True

    def load(self, now_s: float, state: ConfigState) -> bool:
        """Replaces the state by a newer one; returns False for an older one."""
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
        """Returns records that follow `version`, None if they are no longer all there."""
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

    def verify(self, version: int, digest: str, source: str) -> bool:
        """Compares the digest of another node at the same version.

        A difference before this node was ever ready drops the state, since one of both is wrong
        and this node has served nothing yet. Later the state stays in force and an alarm is
        logged.
        """
        if version != self.version:
            return True
        if digest == self.fold.digest:
            self._unverified = False
            self._mismatched.discard(source)
            return True
        self.counters["digest_mismatches"] += 1
        if source not in self._mismatched:
            self._mismatched.add(source)
            _log.error("configuration {} has another digest at {}", version, source)
        if not self._was_ready:
            self.fold.clear()
            self._unverified = False
            self._recent.clear()
            self._recent_bytes = 0
        return False

    def not_ready_reason(self) -> str | None:
        """Returns why this node must not serve yet, None if it may.

        A node that was ready once stays so: its last configuration stays in force while the log is
        unavailable, while it fetches a change, and after a record that it cannot read. Otherwise
        one such record would take the whole fleet out of service.
        """
        if self._was_ready:
            return None
        if self.version < 0 and not self._log_read_to_end:
            return "no configuration: the log is unavailable and no peer has one"
        if self._unverified:
            return f"the digest of configuration {self.version} is not confirmed yet"
        if self.version < self.heard_version:
            stopped = f" ({self.fold.stopped})" if self.fold.stopped else ""
            return f"configuration {self.version} is behind {self.heard_version}{stopped}"
        self._was_ready = True
        return None

    async def wait_change(self, timeout_s: float) -> None:
        """Returns after the next change or after `timeout_s`."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return

    def _apply_one(self, record: Record | LogRecord, changed: set[str]) -> bool:
        was_stopped = bool(self.fold.stopped)
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
        self._note_behind(now_s)
        self._changed.set()
        self._changed = asyncio.Event()
        for listener in self._listeners:
            listener(frozenset(changed))

    def _note_behind(self, now_s: float) -> None:
        if self.version >= self.heard_version:
            self.behind_since_s = None
        elif self.behind_since_s is None:
            self.behind_since_s = now_s
