"""State of the platform stand-in; pure, time is passed as an argument."""

from typing import Any, NamedTuple


class StreamTrimmed(Exception):
    """The offset is older than the oldest record that the stream still has."""


class Conditions(NamedTuple):
    """How the platform behaves; a control call replaces the whole tuple."""

    outage: bool = False  # Every call is answered 503 without effect.
    append_outage: bool = False  # Appends are answered 503 without effect.
    delay_s: float = 0.0  # Delay of every call before it takes effect.
    answer_delay_s: float = 0.0  # Delay of every answer after the call took effect.
    lost_answer_share: float = 0.0  # Share of appends that get no answer.
    lost_answer_applied: bool = True  # Whether an append without an answer takes effect.
    lost_answer_silent: bool = False  # Keeps the connection open instead of resetting it.
    append_rate_s: float = 400.0  # Appends per second above which 429 is answered.
    retention_records: int = 0  # Records that a stream keeps; 0 keeps all.
    host_list_lag_s: float = 1.0  # Age at which a change of the host list becomes visible.
    host_list_frozen: bool = False  # Changes stay invisible until this is switched off.


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
    """Streams of records with consecutive offsets and an append rate for all of them."""

    def __init__(self) -> None:
        self._streams: dict[str, _Stream] = {}
        self._tokens = 0.0
        self._refilled_s: float | None = None

    def take_token(self, now_s: float, rate_s: float) -> bool:
        """Tells whether an append stays within `rate_s`, with bursts of a quarter of a second."""
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
        found = self._streams.setdefault(stream, _Stream())
        found.payloads.append(payload)
        if retention_records:
            found.trim(found.next - retention_records)
        return found.next - 1

    def read(self, stream: str, offset: int, limit: int) -> list[tuple[int, bytes]]:
        """Returns up to `limit` records from `offset`; raises StreamTrimmed."""
        found = self._streams.get(stream, _Stream())
        if offset < found.oldest:
            raise StreamTrimmed(stream)
        start = offset - found.oldest
        return list(enumerate(found.payloads[start : start + limit], offset))

    def offsets(self, stream: str) -> tuple[int, int]:
        """Returns the oldest offset and the offset of the next append."""
        found = self._streams.get(stream, _Stream())
        return found.oldest, found.next

    def trim(self, stream: str, oldest: int) -> None:
        """Removes the records of a stream before `oldest`."""
        self._streams.setdefault(stream, _Stream()).trim(oldest)


class HostList:
    """Host entries whose changes become visible after a lag."""

    def __init__(self) -> None:
        self._versions: list[tuple[float, list[dict[str, Any]]]] = []
        self._shown: list[dict[str, Any]] = []

    @property
    def current(self) -> list[dict[str, Any]]:
        """The true list, which readers see later."""
        return self._versions[-1][1] if self._versions else self._shown

    def replace(self, now_s: float, hosts: list[dict[str, Any]]) -> None:
        """Sets the true list."""
        self._versions.append((now_s, hosts))

    def visible(self, now_s: float, lag_s: float, frozen: bool) -> list[dict[str, Any]]:
        """Returns the list that readers see at `now_s`."""
        while not frozen and self._versions and self._versions[0][0] + lag_s <= now_s:
            self._shown = self._versions.pop(0)[1]
        return self._shown
