"""The body of a caller's request: read once, with a bounded part kept for another attempt."""

from collections.abc import AsyncIterator

from anviltray.callers._exchange import CallerExchange
from anviltray.callers._head import too_large
from anviltray.callers._problems import InputError

# Bodies up to this size are read before the request is started and can be sent again.
KEPT_BYTES = 65536


class RequestBody:
    """Body of one request."""

    __slots__ = ("_ended", "_exchange", "_kept", "_length", "_limit", "_lost", "_taken", "error")

    def __init__(self, exchange: CallerExchange, content_length: int, limit_bytes: int) -> None:
        self._exchange = exchange
        self._length = content_length
        self._limit = limit_bytes
        self._kept = bytearray()
        self._taken = 0
        self._lost = False  # More was read than is kept.
        self._ended = content_length == 0
        self.error: InputError | None = None  # Why the body could not be read to its end.

    @property
    def length(self) -> int:
        """Bytes of the body; for a chunked one that is still being read those read so far."""
        return self._length if self._length >= 0 else self._taken

    @property
    def chunked(self) -> bool:
        """Tells whether the body must be sent in chunks."""
        return self._length < 0 and not self._ended

    @property
    def can_resend(self) -> bool:
        """Tells whether the body can be sent once more from its start."""
        return not self._lost

    @property
    def ended(self) -> bool:
        """Tells whether the body was read to its end."""
        return self._ended

    async def buffer_if_short(self) -> None:
        """Reads a short body whole; raises InputError."""
        if self._length > KEPT_BYTES:
            return
        while not self._ended and len(self._kept) < KEPT_BYTES:
            await self._pull()

    def source(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body for one attempt."""
        if self._ended and not self._lost:
            return bytes(self._kept) if self._kept else None
        return self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        if self._kept:
            yield bytes(self._kept)
        while not self._ended:
            chunk = await self._pull()
            if chunk:
                yield chunk

    async def _pull(self) -> bytes:
        try:
            chunk, more = await self._exchange.read_body()
            self._taken += len(chunk)
            if self._taken > self._limit:
                raise too_large(self._limit)
        except InputError as error:
            self.error = error
            raise
        self._ended = not more
        if len(self._kept) + len(chunk) <= 2 * KEPT_BYTES and not self._lost:
            self._kept += chunk
        elif chunk:
            self._lost = True
            self._kept = bytearray()
        return chunk
