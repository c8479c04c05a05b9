"""Table of the unrepeatable requests of one incarnation of a node."""

from collections import deque

from anviltray.decisions.attempts._identifiers import (
    ASSIGNED_PREFIX,
    Identifier,
    format_prefix,
    parse_identifier,
)
from anviltray.decisions.attempts._types import (
    ArrivalResult,
    Expired,
    Forward,
    InProgress,
    Outcome,
    RecordedOutcome,
    Reject,
    RejectReason,
    Replay,
    Start,
    StoredResponse,
)
from anviltray.settings import AttemptSettings

# Maximum number of identifiers of future epochs that are stored as rejected. Above it their outcome
# is reported as unknown, which is always correct, so a flood of them uses no more memory and does
# not affect other callers.
_MAX_FUTURE_IDENTIFIERS = 1000


class NotInFlight(LookupError):
    """The identifier has no running request, so no outcome can be recorded."""


class _Entry:
    """One request that was started."""

    __slots__ = ("epoch", "finished_s", "outcome", "response", "started_s")

    def __init__(self, epoch: int, started_s: float) -> None:
        self.epoch = epoch
        self.started_s = started_s
        self.finished_s: float | None = None
        self.outcome: Outcome | None = None
        self.response: StoredResponse | None = None


class AttemptTable:
    """Starts the request of each identifier at most once and stores its outcome.

    An identifier is kept while requests of its epoch may start, so a missing one is either new or
    too old. A rejection as not run is final: a delayed copy of the request must not start after the
    caller has received that outcome.
    """

    def __init__(self, node: str, incarnation: int, settings: AttemptSettings) -> None:
        self._node = node
        self._incarnation = incarnation
        self._settings = settings
        self._epoch = 0
        self._entries: dict[str, _Entry] = {}
        self._by_epoch: dict[int, list[str]] = {}
        self._replayable: deque[str] = deque()
        self._replay_bytes = 0
        self._assigned_count = 0
        # Once the table was full, no new identifier of that or an earlier epoch starts: rejected
        # ones cannot be stored, and entries are freed only when an epoch ends.
        self._last_full_epoch = -1
        self._rejected_future_ids: set[str] = set()

    def prefix(self, now_s: float) -> str:
        """Returns the prefix for identifiers that are issued now."""
        self._advance(now_s)
        return format_prefix(self._node, self._incarnation, self._epoch)

    def on_arrival(self, now_s: float, request_id: str | None) -> ArrivalResult:
        """Decides whether an unrepeatable request that has arrived may run here."""
        self._advance(now_s)
        if request_id is None:
            return self._start_with_assigned_id(now_s)
        parts = parse_identifier(request_id)
        if parts is None:
            return Reject(RejectReason.MALFORMED)
        if parts.node != self._node:
            return Forward(parts.node, parts.incarnation)
        if parts.incarnation != self._incarnation:
            return Expired()
        entry = self._entries.get(request_id)
        if entry is not None:
            return _stored_result(entry)
        return self._first_arrival(now_s, request_id, parts)

    def finish(
        self, now_s: float, request_id: str, outcome: Outcome, response: StoredResponse | None
    ) -> None:
        """Records the outcome of a started request.

        An unknown outcome may be replaced later, for example by a late confirmation of a
        cancellation. Raises NotInFlight for any other identifier without a running request.
        """
        self._advance(now_s)
        entry = self._entries.get(request_id)
        if entry is None or entry.outcome not in (None, "unknown"):
            raise NotInFlight(request_id)
        entry.outcome = outcome
        entry.finished_s = now_s
        if entry.epoch <= self._epoch - self._settings.epochs_kept:
            del self._entries[request_id]
        elif response is not None and outcome == "done":
            self._store(request_id, entry, response)

    def row(self, request_id: str) -> dict[str, object] | None:
        """Returns the entry of an identifier as a row for queries, or None."""
        entry = self._entries.get(request_id)
        if entry is None:
            return None
        return {
            "request": request_id,
            "epoch": entry.epoch,
            "state": "running" if entry.outcome is None else entry.outcome,
            "started_s": entry.started_s,
            "finished_s": entry.finished_s,
            "replayable": entry.response is not None,
        }

    def __len__(self) -> int:
        return len(self._entries)

    def _advance(self, now_s: float) -> None:
        epoch = int(now_s // self._settings.epoch_s)
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        last_expired = epoch - self._settings.epochs_kept
        for old in [number for number in self._by_epoch if number <= last_expired]:
            for request_id in self._by_epoch.pop(old):
                # A running request is kept until it ends, so that a duplicate still finds it.
                if self._entries[request_id].outcome is not None:
                    self._drop_response(self._entries.pop(request_id))
        while self._replayable and self._replayable[0] not in self._entries:
            self._replayable.popleft()
        if self._rejected_future_ids:
            self._remove_expired_future_ids(last_expired)

    def _start_with_assigned_id(self, now_s: float) -> ArrivalResult:
        if len(self._entries) >= self._settings.entry_limit:
            return Reject(RejectReason.FULL)
        self._assigned_count += 1
        return self._start(now_s, f"{self.prefix(now_s)}{ASSIGNED_PREFIX}{self._assigned_count:x}")

    def _first_arrival(self, now_s: float, request_id: str, parts: Identifier) -> ArrivalResult:
        if parts.epoch > self._epoch:
            return self._reject_future_id(request_id)
        expired = parts.epoch <= self._epoch - self._settings.epochs_kept
        if expired or parts.suffix.startswith(ASSIGNED_PREFIX):
            return Expired()
        if request_id in self._rejected_future_ids:
            return Reject(RejectReason.NOT_ISSUED)
        if parts.epoch <= self._last_full_epoch:
            return Reject(RejectReason.FULL)
        if len(self._entries) >= self._settings.entry_limit:
            self._last_full_epoch = self._epoch
            return Reject(RejectReason.FULL)
        return self._start(now_s, request_id, parts.epoch)

    def _start(self, now_s: float, request_id: str, epoch: int | None = None) -> Start:
        number = self._epoch if epoch is None else epoch
        self._entries[request_id] = _Entry(number, now_s)
        self._by_epoch.setdefault(number, []).append(request_id)
        return Start(request_id)

    def _reject_future_id(self, request_id: str) -> ArrivalResult:
        if request_id not in self._rejected_future_ids:
            if len(self._rejected_future_ids) >= _MAX_FUTURE_IDENTIFIERS:
                return Expired()
            self._rejected_future_ids.add(request_id)
        return Reject(RejectReason.NOT_ISSUED)

    def _remove_expired_future_ids(self, last_expired: int) -> None:
        kept = set()
        for request_id in self._rejected_future_ids:
            parts = parse_identifier(request_id)
            if parts is not None and parts.epoch > last_expired:
                kept.add(request_id)
        self._rejected_future_ids = kept

    def _store(self, request_id: str, entry: _Entry, response: StoredResponse) -> None:
        size = _size_bytes(response)
        limit = min(self._settings.replay_limit_bytes, self._settings.replay_total_bytes)
        if size > limit:
            return
        while self._replay_bytes + size > self._settings.replay_total_bytes:
            oldest = self._entries.get(self._replayable.popleft())
            if oldest is not None:
                self._drop_response(oldest)
        entry.response = response
        self._replay_bytes += size
        self._replayable.append(request_id)

    def _drop_response(self, entry: _Entry) -> None:
        if entry.response is not None:
            self._replay_bytes -= _size_bytes(entry.response)
            entry.response = None


def _stored_result(entry: _Entry) -> ArrivalResult:
    if entry.outcome is None:
        return InProgress()
    if entry.response is not None:
        return Replay(entry.response)
    return RecordedOutcome(entry.outcome)


def _size_bytes(response: StoredResponse) -> int:
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return headers + len(response.body)
