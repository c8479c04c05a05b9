"""Bounds the memory of the responses that one host holds at the same time."""

import contextlib
from collections import deque
from collections.abc import Iterator
from types import TracebackType
from typing import Protocol

from anviltray.decisions.limits import CallerMemory

# Larger responses are streamed to the caller as they arrive; once streaming has begun, a retry is
# no longer possible.
MAX_BUFFERED_BYTES = 262144
# Memory of a streamed response whose caller does not read: the buffers of both connections.
STREAM_BYTES = 262144


class Holder(Protocol):
    """The request whose response is held; its memory is a part of the memory for callers."""

    @property
    def memory(self) -> CallerMemory:
        """The memory for callers."""

    def hold(self, change_bytes: int) -> None:
        """Adds to the memory that the request holds, or subtracts from it."""

    def relieve(self) -> None:
        """Closes connections of callers if the memory for them is short."""


def can_stream(holder: Holder) -> bool:
    """Returns whether one more response may be streamed."""
    return holder.memory.has_room(STREAM_BYTES)


@contextlib.contextmanager
def stream(holder: Holder) -> Iterator[None]:
    """Counts a response as streamed in its context."""
    holder.hold(STREAM_BYTES)
    try:
        yield
    finally:
        holder.hold(-STREAM_BYTES)


class ResponseBuffer:
    """Received part of one response body; its memory is returned when its context is left.

    Example: `with ResponseBuffer(exchange) as buffer`, then `buffer.append(chunk)` until
    `is_full`.
    """

    __slots__ = ("_chunks", "_holder", "size_bytes")

    def __init__(self, holder: Holder) -> None:
        self._holder = holder
        self._chunks: deque[bytes] = deque()
        self.size_bytes = 0

    def __enter__(self) -> "ResponseBuffer":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._chunks.clear()
        self._resize(-self.size_bytes)

    def append(self, chunk: bytes) -> None:
        """Adds bytes that have arrived."""
        self._chunks.append(chunk)
        self._resize(len(chunk))
        self._holder.relieve()

    @property
    def is_full(self) -> bool:
        """Whether the response cannot be buffered further: it is large, or the memory is used."""
        return self.size_bytes > MAX_BUFFERED_BYTES or self._holder.memory.is_short

    def pop_first(self) -> bytes:
        """Removes and returns the first chunk, or empty bytes if there is none left."""
        if not self._chunks:
            return b""
        chunk = self._chunks.popleft()
        self._resize(-len(chunk))
        return chunk

    def content(self) -> bytes:
        """Returns all bytes."""
        return self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)

    def _resize(self, change_bytes: int) -> None:
        self.size_bytes += change_bytes
        self._holder.hold(change_bytes)
