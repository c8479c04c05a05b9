"""In-memory platform for tests, with fault injection."""

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
    """Records of one stream; trimming raises `oldest`."""

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
    """A platform without sockets. Set its attributes to inject faults.

    `available`: False makes every call raise PlatformUnavailable. `delay_s`: time before a call
    takes effect. `lost_answers`: number of next appends that take effect but raise AppendUnknown.
    `dropped_appends`: number of next appends that raise AppendUnknown without taking effect.
    `retention`: maximum number of records per stream, or None. `appends_per_s`: rate limit of
    appends, or None. `calls` counts the calls by method name, `read_bytes` the payload bytes read.
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
        """Removes the records with offsets below `oldest`."""
        self._stream(stream).trim(oldest)

    def payloads(self, stream: str) -> tuple[bytes, ...]:
        """Returns the retained payloads of a stream, without injected faults."""
        return tuple(self._stream(stream).payloads)

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset; raises the injected errors."""
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
            raise AppendUnknown("the response to the append was lost")
        return offset

    async def read(self, stream: str, offset: int, limit: int) -> Batch:
        """Returns up to `limit` records from `offset`; raises OffsetTrimmed if that is trimmed."""
        await self._call("read")
        source = self._stream(stream)
        if offset < source.oldest:
            raise OffsetTrimmed(f"{stream}: offset {offset} is below the oldest, {source.oldest}")
        start = offset - source.oldest
        payloads = source.payloads[start : start + limit]
        self.read_bytes += sum(len(payload) for payload in payloads)
        records = tuple(Record(offset + index, payload) for index, payload in enumerate(payloads))
        return Batch(records, source.oldest, source.next)

    async def offsets(self, stream: str) -> Offsets:
        """Returns the offset range of a stream."""
        await self._call("offsets")
        source = self._stream(stream)
        return Offsets(source.oldest, source.next)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the host list."""
        await self._call("hosts")
        return self._hosts

    async def close(self) -> None:
        """Does nothing, since the nodes of a test share one instance."""

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
            raise AppendRejected(f"rate limit of {self.appends_per_s:g} appends/s exceeded")
        self._next_append_s = now_s + 1 / self.appends_per_s
