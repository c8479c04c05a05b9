"""Bounds the memory of the responses that one host holds at the same time."""

import contextlib
from collections import deque
from collections.abc import Iterator
from types import TracebackType

# Larger responses are streamed to the caller as they arrive; once streaming has begun, a retry is
# no longer possible.
MAX_BUFFERED_BYTES = 262144
# Shares of the memory limit of the process. The rest is for the process itself and for requests.
_BUFFERED_SHARE = 0.125
_STREAMED_SHARE = 0.5
# Memory of a streamed response whose caller does not read: the buffers of both connections.
_STREAM_BYTES = 262144


class ResponseMemory:
    """Memory that the responses of one host share."""

    def __init__(self, process_limit_bytes: int) -> None:
        """`process_limit_bytes` is the memory above which the process is killed."""
        self.limit_bytes = int(process_limit_bytes * _BUFFERED_SHARE)
        self.used_bytes = 0  # Bytes in all response buffers.
        self._stream_limit = int(process_limit_bytes * _STREAMED_SHARE / _STREAM_BYTES)
        self._streams = 0

    @property
    def can_stream(self) -> bool:
        """Whether one more response may be streamed."""
        return self._streams < self._stream_limit

    @contextlib.contextmanager
    def stream(self) -> Iterator[None]:
        """Counts a response as streamed in its context."""
        self._streams += 1
        try:
            yield
        finally:
            self._streams -= 1


class ResponseBuffer:
    """Received part of one response body; its memory is returned when its context is left.

    Example: `with ResponseBuffer(memory) as buffer`, then `buffer.append(chunk)` until `is_full`.
    """

    __slots__ = ("_chunks", "_memory", "size_bytes")

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
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

    @property
    def is_full(self) -> bool:
        """Whether the response cannot be buffered further: it is large, or the memory is used."""
        memory = self._memory
        return self.size_bytes > MAX_BUFFERED_BYTES or memory.used_bytes > memory.limit_bytes

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
        self._memory.used_bytes += change_bytes
