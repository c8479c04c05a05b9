"""In-memory platform for tests, with faults that can be switched on and off."""

import asyncio
from collections.abc import Iterable

from anviltray.platform._interface import (
    AppendRejected,
    AppendUnknown,
    Batch,
    HostEntry,
    Offsets,
    OffsetTrimmed,
    PlatformUnavailable,
    Record,
)


class _Stream:
    """Records of one stream; `oldest` rises when the retention trims it."""

    def __init__(self) -> None:
        self.oldest = 0
        self.payloads: list[bytes] = []

    @property
    def next(self) -> int:
        return self.oldest + len(self.payloads)

    def trim(self, oldest: int) -> None:
        removed = min(max(0, oldest - self.oldest), len(self.payloads))
        del self.payloads[:removed]
        self.oldest += removed


class MemoryPlatform:
    """A platform without sockets. Its attributes are the faults.

    `available`: False makes every call raise PlatformUnavailable. `delay_s`: time before a call
    takes effect. `lost_answers`: number of following appends that take effect and raise
    AppendUnknown. `dropped_appends`: number of following appends that raise AppendUnknown without
    taking effect. `retention`: records kept per stream or None. `appends_per_s`: limit of the
    append rate or None. `calls` counts the calls by method name, `read_bytes` the payloads read.
    """

    def __init__(self) -> None:
        self.available = True
        self.delay_s = 0.0
        self.lost_answers = 0
        self.dropped_appends = 0
        self.retention: int | None = None
        self.appends_per_s: float | None = None
        self.calls = {"append": 0, "read": 0, "offsets": 0, "hosts": 0}
        self.read_bytes = 0
        self._streams: dict[str, _Stream] = {}
        self._hosts: tuple[HostEntry, ...] = ()
        self._next_append_s = 0.0

    def set_hosts(self, hosts: Iterable[HostEntry]) -> None:
        """Replaces the host list."""
        self._hosts = tuple(hosts)

    def trim(self, stream: str, oldest: int) -> None:
        """Removes the records below `oldest`."""
        self._stream(stream).trim(oldest)

    def payloads(self, stream: str) -> tuple[bytes, ...]:
        """Returns the payloads that a stream still has, without faults."""
        return tuple(self._stream(stream).payloads)

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset; see the class for the errors."""
        await self._call("append")
        self._check_rate()
        if self.dropped_appends > 0:
            self.dropped_appends -= 1
            raise AppendUnknown("the connection closed during the append")
        target = self._stream(stream)
        offset = target.next
        target.payloads.append(payload)
        if self.retention is not None:
            target.trim(target.next - self.retention)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            raise AppendUnknown("the answer to the append was lost")
        return offset

    async def read(self, stream: str, offset: int, limit: int) -> Batch:
        """Returns up to `limit` records from `offset`; raises OffsetTrimmed below the oldest."""
        await self._call("read")
        source = self._stream(stream)
        if offset < source.oldest:
            raise OffsetTrimmed(f"{stream}: offset {offset} is below {source.oldest}")
        start = offset - source.oldest
        payloads = source.payloads[start : start + limit]
        self.read_bytes += sum(len(payload) for payload in payloads)
        records = tuple(Record(offset + index, payload) for index, payload in enumerate(payloads))
        return Batch(records, source.oldest, source.next)

    async def offsets(self, stream: str) -> Offsets:
        """Returns the range of a stream."""
        await self._call("offsets")
        source = self._stream(stream)
        return Offsets(source.oldest, source.next)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the host list."""
        await self._call("hosts")
        return self._hosts

    async def close(self) -> None:
        """Does nothing; nodes of a test share one instance."""

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    async def _call(self, method: str) -> None:
        self.calls[method] += 1
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        if not self.available:
            raise PlatformUnavailable("the platform is unavailable")

    def _check_rate(self) -> None:
        if self.appends_per_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_append_s:
            raise AppendRejected(f"more than {self.appends_per_s:g} appends/s")
        self._next_append_s = now_s + 1 / self.appends_per_s
