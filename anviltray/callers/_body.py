"""Request body: read once from the caller, with a bounded buffer for further attempts."""

from collections.abc import AsyncIterator

from anviltray.callers._exchange import CallerExchange
from anviltray.callers._head import too_large
from anviltray.callers._problems import InputError

# Bodies up to this size are buffered before the first attempt and can be sent again.
RESEND_BUFFER_BYTES = 65536
_COPIES = 2  # Of a buffered body: the buffer and what is being sent.
_SENDING_BYTES = 65536  # Of a body that is passed on as it arrives: what the upstream has not read.


class RequestBody:
    """Body of one request."""

    __slots__ = (
        "_buffer",
        "_ended",
        "_exchange",
        "_length",
        "_limit_bytes",
        "_overflowed",
        "_received_bytes",
        "error",
    )

    def __init__(self, exchange: CallerExchange, content_length: int, limit_bytes: int) -> None:
        self._exchange = exchange
        self._length = content_length
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._received_bytes = 0
        self._overflowed = False  # True once more was read than fits into the buffer.
        self._ended = content_length == 0
        self.error: InputError | None = None  # Set if the body could not be read completely.
        exchange.on_ended = self._drop

    def _drop(self) -> None:
        """Drops what is held; the error refers to frames that refer to this object."""
        self._buffer = bytearray()
        self.error = None

    @property
    def length(self) -> int:
        """Length in bytes; for a chunked body that is still being read, the bytes read so far."""
        return self._length if self._length >= 0 else self._received_bytes

    @property
    def chunked(self) -> bool:
        """Whether the body must be sent with chunked transfer coding."""
        return self._length < 0 and not self._ended

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent again from its start."""
        return not self._overflowed

    @property
    def ended(self) -> bool:
        """Whether the body was read completely."""
        return self._ended

    async def buffer_if_short(self) -> None:
        """Reads a body up to RESEND_BUFFER_BYTES into memory; raises InputError."""
        if self._length > RESEND_BUFFER_BYTES:
            return
        while not self._ended and len(self._buffer) < RESEND_BUFFER_BYTES:
            await self._read_chunk()

    def source(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body for one attempt: None, all of it, or an iterator over its chunks."""
        if self._ended and not self._overflowed:
            return bytes(self._buffer) if self._buffer else None
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        self._exchange.hold(_SENDING_BYTES)
        self._exchange.relieve()
        try:
            if self._buffer:
                yield bytes(self._buffer)
            while not self._ended:
                chunk = await self._read_chunk()
                if chunk:
                    yield chunk
        finally:
            self._exchange.hold(-_SENDING_BYTES)

    async def _read_chunk(self) -> bytes:
        try:
            chunk, more = await self._exchange.read_body()
            self._received_bytes += len(chunk)
            if self._received_bytes > self._limit_bytes:
                raise too_large(self._limit_bytes)
        except InputError as error:
            self.error = error
            raise
        self._ended = not more
        if len(self._buffer) + len(chunk) <= 2 * RESEND_BUFFER_BYTES and not self._overflowed:
            self._buffer += chunk
            self._exchange.hold(_COPIES * len(chunk))
            self._exchange.relieve()
        elif chunk:
            self._overflowed = True
            self._exchange.hold(-_COPIES * len(self._buffer))
            self._buffer = bytearray()
        return chunk
