"""State of the platform stand-in; without I/O, time is passed as an argument."""

from typing import Any, NamedTuple


class StreamTrimmed(Exception):
    """The offset is lower than that of the oldest record of the stream."""


class Conditions(NamedTuple):
    """Injected conditions of the platform; a control call replaces the whole tuple."""

    outage: bool = False  # Every call gets status 503 and has no effect.
    append_outage: bool = False  # Appends get status 503 and have no effect.
    delay_s: float = 0.0  # Delay of every call before it takes effect.
    answer_delay_s: float = 0.0  # Delay of every response after the call took effect.
    lost_answer_share: float = 0.0  # Share of appends that get no response.
    lost_answer_applied: bool = True  # Whether an append without a response takes effect.
    lost_answer_silent: bool = False  # Keeps the connection open instead of resetting it.
    append_rate_s: float = 400.0  # Rate of appends above which they get status 429.
    retention_records: int = 0  # Newest records that a stream keeps; 0 keeps all.
    host_list_lag_s: float = 1.0  # Delay until a change of the host list becomes visible.
    host_list_frozen: bool = False  # Changes do not become visible while this is set.


class _Stream:
    def __init__(self) -> None:
        self.oldest = 0
        self.payloads: list[bytes] = []

    @property
    def next(self) -> int:
        return self.oldest + len(self.payloads)

    def trim(self, oldest: int) -> None:
        removed = min(max(oldest - self.oldest, 0), len(self.payloads))
        del self.payloads[:removed]
        self.oldest += removed


class LogStore:
    """Streams of records with consecutive offsets and a common limit of the append rate."""

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = {}
        self._tokens = 0.0
        self._refilled_s: float | None = None

    def try_acquire_token(self, now_s: float, rate_s: float) -> bool:
        """Returns whether an append is within `rate_s`; bursts up to 0.25 s of it are allowed."""
        burst = max(rate_s / 4, 1.0)
        if self._refilled_s is None:
            self._tokens = burst
        else:
            self._tokens = min(burst, self._tokens + (now_s - self._refilled_s) * rate_s)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def append(self, stream: str, payload: bytes, retention_records: int = 0) -> int:
        """Appends a record and returns its offset."""
        log_stream = self._streams.setdefault(stream, _Stream())
        log_stream.payloads.append(payload)
        if retention_records:
            log_stream.trim(log_stream.next - retention_records)
        return log_stream.next - 1

    def read(self, stream: str, offset: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns up to `limit` records from `offset`; raises StreamTrimmed."""
        log_stream = self._streams.get(stream, _Stream())
        if offset < log_stream.oldest:
            raise StreamTrimmed(stream)
        start = offset - log_stream.oldest
        return list(enumerate(log_stream.payloads[start : start + limit], offset))

    def offsets(self, stream: str) -> tuple[int, int]:
        """Returns the oldest offset and the offset of the next append."""
        log_stream = self._streams.get(stream, _Stream())
        return log_stream.oldest, log_stream.next

    def trim(self, stream: str, oldest: int) -> None:
        """Removes the records of a stream before `oldest`."""
        self._streams.setdefault(stream, _Stream()).trim(oldest)


class HostList:
    """Host entries whose changes become visible after a lag."""

    def __init__(self) -> None:
        self._versions: list[tuple[float, list[dict[str, Any]]]] = []
        self._visible_hosts: list[dict[str, Any]] = []

    @property
    def current(self) -> list[dict[str, Any]]:
        """The current list, which readers see after the lag."""
        return self._versions[-1][1] if self._versions else self._visible_hosts

    def replace(self, now_s: float, hosts: list[dict[str, Any]]) -> None:
        """Replaces the current list."""
        self._versions.append((now_s, hosts))

    def visible(self, now_s: float, lag_s: float, frozen: bool) -> list[dict[str, Any]]:
        """Returns the list that readers see at `now_s`."""
        while not frozen and self._versions and self._versions[0][0] + lag_s <= now_s:
            self._visible_hosts = self._versions.pop(0)[1]
        return self._visible_hosts
