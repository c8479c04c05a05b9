"""Connection pool for upstreams with checked reuse and a limit per instance."""

import asyncio
import functools
import itertools
import math
import re
from array import array
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic
from typing import Any, NamedTuple

from aiohttp import ClientPayloadError, ClientTimeout, StreamReader, TCPConnector, hdrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError, RawResponseMessage

from anviltray.upstreams._dialect import Dialect
from anviltray.upstreams._reuse import is_reusable
from anviltray.upstreams._time_limit import ResponsiveTimeLimit

# Limit for all response heads of one exchange, with the informational ones before the final head.
_HEADS_LIMIT_BYTES = 131072
_INFORMATIONAL_LIMIT = 16  # Maximum number of informational responses in one exchange.
# Responses to earlier requests that are skipped in one exchange, and the length of their bodies.
_SKIPPED_LIMIT = 16
_SKIPPED_BODY_LIMIT_BYTES = 32768
# Limit for bytes of chunk lengths and extensions. Chunks of one byte have five bytes of framing.
_FRAMING_LIMIT_BYTES = 65536
_FRAMING_FACTOR = 8
# asyncio reads up to 256 KiB at once, however small the buffer is.
_READ_LIMIT_BYTES = 65536
_NO_TIMEOUT = ClientTimeout(total=None)  # `ResponsiveTimeLimit` sets the limit.
_HEAD_END = b"\r\n\r\n"
_FIRST_FINAL_STATUS = 200
_STATUS_LINE_START_BYTES = 13  # Bytes of a status line up to the character after the status.
_BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_SHORT_LENGTH = re.compile(r"[0-9]{1,5}")
# Share of the idle timeout stated by an upstream in which its connections are reused. A request
# that crosses the close of its connection is lost.
_KEEP_ALIVE_SHARE = 0.8
# Requests with an identifier that one connection carries, as it keeps their identifiers. Each takes
# 8 bytes, and a new connection for so many requests costs an instance little.
_IDENTIFIER_LIMIT = 256
_connection_numbers = itertools.count(1)
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")
# The parser takes any status below 200 for an interim response, and the exchange would wait on.
_VALID_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (100|102|103|[2-5][0-9]{2})[ \r\n]")
_KEEP_ALIVE_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*\"?(\d{1,6})", re.IGNORECASE)


class InvalidStatusLine(HttpProcessingError):
    """The status line is neither that of a final nor that of an interim response."""


class ConnectionUse(NamedTuple):
    """Identifies one exchange on one connection, for logs."""

    connection: int  # Number of the connection, unique in this process.
    exchange: int  # Number of the exchange on this connection, from 1.


class _ResponseHandler(ResponseHandler):
    """Delivers a complete response whatever follows it, and bounds bytes that are no response.

    Responses to earlier requests of the connection that are written once more ahead of the response
    to the current one are skipped; their identifiers tell.

    A body without a length ends with its connection, and only if the upstream has ended it: what
    this host closes or loses is truncated, for whatever reason.

    aiohttp drops a complete response if bytes in the same segment cannot be parsed, accepts
    informational responses and chunk extensions without end, and reports an invalid chunk only to
    the reader of the next response head.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, dialect: Dialect) -> None:
        super().__init__(loop=loop)
        self._dialect = dialect
        self.idle_limit_s = math.inf  # From the idle timeout that the upstream has stated.
        self._number = next(_connection_numbers)
        self._exchange_count = 0
        self._identifier_hashes = array("q")  # Of the requests that this connection has carried.
        self._current_hash: int | None = None  # Of the current request, if it has an identifier.
        self._on_skipped: Callable[[], None] = _ignore_skipped
        self._skipped_count = 0  # Responses to earlier requests in the current exchange.
        self._skipped_body_bytes = 0  # Rest of the body that is being skipped.
        self._has_final_head = False
        self._last_bytes = b""  # End of the data so far, as a head may end across two segments.
        self._status_line_start = b""  # Of the head that is being received.
        self._head_bytes = 0
        self._informational_count = 0
        self._received_body_bytes = 0  # With their framing.
        self._body: StreamReader | None = None  # Of the response that was received last.
        self._ended_by_upstream = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limits the bytes that one read adds to the buffer of a response."""
        super().connection_made(transport)
        transport.max_size = _READ_LIMIT_BYTES  # type: ignore[attr-defined]

    def start_exchange(
        self, request_id: str | None, on_skipped: Callable[[], None]
    ) -> ConnectionUse:
        """Registers the exchange whose request is about to be written."""
        self._exchange_count += 1
        self._on_skipped = on_skipped
        self._current_hash = None if request_id is None else hash(request_id)
        if self._current_hash is not None:
            self._identifier_hashes.append(self._current_hash)
            if len(self._identifier_hashes) >= _IDENTIFIER_LIMIT:
                self._should_close = True
        return ConnectionUse(self._number, self._exchange_count)

    def has_carried(self, request_id: str) -> bool:
        """Returns whether a request with this identifier was written; may be wrong if it was not.

        Two identifiers with the same hash only cost another connection.
        """
        return hash(request_id) in self._identifier_hashes

    def set_response_params(self, **arguments: Any) -> None:
        """Prepares for the response to the next request on this connection."""
        self._has_final_head = False
        self._last_bytes = b""
        self._status_line_start = b""
        self._head_bytes = 0
        self._informational_count = 0
        self._received_body_bytes = 0
        self._skipped_count = 0
        self._skipped_body_bytes = 0
        self._body = None
        super().set_response_params(**arguments)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Adds a response head to the queue; drops informational and repeated ones."""
        status = data[0].code
        if _holds_two_responses(data[0]):
            self._fail("the response head holds the status line of another response")
        elif not self._has_final_head and self._is_skippable(data[0]):
            self._skipped_count += 1
            self._skipped_body_bytes = _short_body_bytes(data[0]) or 0
            self._on_skipped()
        elif status >= _FIRST_FINAL_STATUS or status == HTTPStatus.SWITCHING_PROTOCOLS:
            self._has_final_head = True
            self._body = data[1]
            self._on_skipped = _ignore_skipped  # Keeps nothing of the exchange alive while idle.
            timeout = _KEEP_ALIVE_TIMEOUT.search(data[0].headers.get(hdrs.KEEP_ALIVE, ""))
            if timeout is not None:
                self.idle_limit_s = _KEEP_ALIVE_SHARE * int(timeout[1])
            if self._dialect.is_unidentified_refusal(status, data[0].headers):
                # A copy of it could be taken for the refusal of the next request.
                self._should_close = True
            super().feed_data(data, size)
        else:
            self._informational_count += 1

    def _is_skippable(self, message: RawResponseMessage) -> bool:
        """Returns whether a response is certain to belong to an earlier request."""
        found = message.headers.getall(self._dialect.request_id_header, ())
        hashes = {hash(each) for each in found}
        return (
            bool(hashes)
            and self._current_hash not in hashes
            and hashes.issubset(self._identifier_hashes)
            and self._skipped_count < _SKIPPED_LIMIT
            and not self._skip_payload
            and _short_body_bytes(message) is not None
        )

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; an exchange ends with the last byte of its response."""
        if not self._has_final_head:
            data = self._parse_heads(data)
            if not data:
                return
        if data and (self._payload is None or self._payload.is_eof()):
            # The bytes belong to no request, so nothing else on this connection is believed.
            self._should_close = True
            if self.transport is not None:
                self.transport.close()
            return
        self._received_body_bytes += len(data)
        super().data_received(data)
        self._check_framing()

    def _parse_heads(self, data: bytes) -> bytes:
        """Parses up to the end of the final head and returns the bytes after it.

        The parser gets each head separately, because it loses the heads of a call that fails.
        """
        while data and not self._has_final_head:
            if self._skipped_body_bytes:
                data = self._skip_body(data)
                continue
            overlap = len(self._last_bytes)
            start = (self._last_bytes + data).find(_HEAD_END)
            end = len(data) if start < 0 else start + len(_HEAD_END) - overlap
            head, data = data[:end], data[end:]
            self._last_bytes = b"" if start >= 0 else (self._last_bytes + head)[-3:]
            self._head_bytes += len(head)
            if not self._check_status_line(head):
                invalid = self._status_line_start.startswith(b"HTTP/")
                error = InvalidStatusLine if invalid else HttpProcessingError
                self._fail(error(message="the response does not begin with a valid status line"))
                return b""
            if start >= 0:
                self._status_line_start = b""
            super().data_received(head)
            if self._exception is not None:
                return b""
            if (
                self._head_bytes > _HEADS_LIMIT_BYTES
                or self._informational_count > _INFORMATIONAL_LIMIT
            ):
                self._fail("the response heads are too large")
                return b""
        return data

    def _check_status_line(self, data: bytes) -> bool:
        """Returns whether `data` continues or follows a valid beginning of a status line."""
        if len(self._status_line_start) >= _STATUS_LINE_START_BYTES:
            return True
        # The parser ignores empty lines ahead of a response.
        start = (self._status_line_start + data).lstrip(b"\r\n")[:_STATUS_LINE_START_BYTES]
        self._status_line_start = start
        complete = len(start) == _STATUS_LINE_START_BYTES or b"\n" in start
        return not complete or _VALID_STATUS_LINE.match(start) is not None

    def _skip_body(self, data: bytes) -> bytes:
        """Skips the body of a response to an earlier request and returns the bytes after it.

        If the response was not written to its end, its body includes the beginning of the next one.
        """
        body, data = data[: self._skipped_body_bytes], data[self._skipped_body_bytes :]
        self._skipped_body_bytes -= len(body)
        if _STATUS_LINE.search(self._last_bytes + body) is not None:
            self._fail("the body of a response to an earlier request holds another response")
            return b""
        self._last_bytes = b"" if not self._skipped_body_bytes else (self._last_bytes + body)[-16:]
        super().data_received(body)
        return data

    def _check_framing(self) -> None:
        payload = self._payload
        # A paused parser keeps bytes that it has not counted yet.
        if payload is None or payload.is_eof() or self._reading_paused:
            return
        framing_bytes = self._received_body_bytes - payload.total_bytes
        if framing_bytes > _FRAMING_LIMIT_BYTES + _FRAMING_FACTOR * payload.total_bytes:
            self._fail("the framing of the response body is too large")

    def _fail(self, reason: str | HttpProcessingError) -> None:
        if self.transport is not None:
            self.transport.close()
        error = HttpProcessingError(message=reason) if isinstance(reason, str) else reason
        self.set_exception(error)

    def eof_received(self) -> None:
        """Records that the upstream has ended the connection in an orderly way."""
        self._ended_by_upstream = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the body of the current response unless the upstream has ended the connection.

        aiohttp treats a lost connection as the end of a body without length, even if it was reset
        or if this host has closed it. The reader of any other body would wait on after `close`.
        """
        body = self._body
        if body is not None and not body.is_eof():
            if exc is not None:
                body.set_exception(ClientPayloadError(f"the connection was lost: {exc}"))
            elif not self._ended_by_upstream:
                body.set_exception(ClientPayloadError("this host has closed the connection"))
        super().connection_lost(exc)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Sets the error for the readers of the response head and body."""
        payload = self._payload
        super().set_exception(exc, *cause)
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            payload.set_exception(ClientPayloadError(f"the response body is invalid: {exc}"))


class UpstreamConnector(TCPConnector):
    """aiohttp connector with a connection limit per instance and LIFO reuse of idle connections.

    aiohttp reuses the connection that has been idle for the longest time. This class reuses the
    most recently used one, so that surplus connections reach the idle limit and are closed. It
    first checks a connection for unread input, so that a closed connection or a late response is
    detected before a byte of the next request is written.

    A connection carries one identifier once, and no request after a refusal without an identifier.
    An upstream may write a refusal again, and nothing would tell the copy from the refusal of the
    request that is under way then.
    """

    def __init__(
        self,
        dialect: Dialect,
        idle_limit_s: float,
        connections_per_instance: int,
        source_ip: str = "",
        connection_limit: int | None = None,
    ) -> None:
        # With this class, aiohttp uses the keep-alive time only as the interval between clean-ups.
        super().__init__(
            limit=0,
            force_close=False,
            enable_cleanup_closed=False,
            use_dns_cache=False,
            keepalive_timeout=idle_limit_s / 4,
            local_addr=(source_ip, 0) if source_ip else None,
        )
        self._factory = functools.partial(  # type: ignore[assignment]
            _ResponseHandler, loop=self._loop, dialect=dialect
        )
        self._idle_limit_s = idle_limit_s
        self.connections_per_instance = connections_per_instance
        self._connection_limit = connection_limit
        self._open_counts: dict[ConnectionKey, int] = {}  # Connections in use or being opened.

    def acquire_idle(
        self, key: ConnectionKey, idle_limit_s: float, request_id: str | None
    ) -> Connection | None:
        """Returns an idle connection within the idle limit for a request, or None if there is none.

        The connection has not carried a request with the identifier `request_id`. If all have, the
        most recently used one is closed in favour of a new one.
        """
        idle = self._conns.get(key)
        if idle is None:
            return None
        now = monotonic()
        reused: ResponseHandler | None = None
        carried: tuple[ResponseHandler, float] | None = None  # The most recently used one.
        for index in reversed(range(len(idle))):
            protocol, idle_since = idle[index]
            if now - idle_since > min(idle_limit_s, _stated_limit_s(protocol)):
                break  # The remaining ones have been idle for longer.
            if request_id is not None and _has_carried(protocol, request_id):
                carried = carried or idle[index]
                continue
            del idle[index]
            if is_reusable(protocol):
                reused = protocol
                break
            protocol.close()
        if reused is None and carried is not None:
            idle.remove(carried)
            carried[0].close()
        if not idle:
            del self._conns[key]
        if reused is None:
            return None
        self._acquired.add(reused)
        self._open_counts[key] = self._open_counts.get(key, 0) + 1
        return Connection(self, key, reused, self._loop)

    def has_idle(self, key: ConnectionKey, idle_limit_s: float) -> bool:
        """Returns whether there is an open idle connection within the idle limit."""
        idle = self._conns.get(key)
        if not idle:
            return False
        protocol, idle_since = idle[-1]
        limit_s = min(idle_limit_s, _stated_limit_s(protocol))
        return protocol.is_connected() and monotonic() - idle_since <= limit_s

    async def open(self, request: ClientRequest, key: ConnectionKey, limit_s: float) -> Connection:
        """Opens a new connection within `limit_s` seconds; the caller must have checked `has_room`.

        Raises TimeoutError, and the errors of aiohttp for connections that cannot be opened.
        """
        self._open_counts[key] = self._open_counts.get(key, 0) + 1
        try:
            async with ResponsiveTimeLimit(limit_s):
                return await self.connect(request, [], _NO_TIMEOUT)
        except BaseException:
            self._decrement_open_count(key)
            raise

    def has_room(self, key: ConnectionKey) -> bool:
        """Returns whether one more connection is allowed; closes old idle ones to make room."""
        if not self._has_room_in_total():
            return False
        room = self.connections_per_instance - self._open_counts.get(key, 0)
        if room <= 0:
            return False
        idle = self._conns.get(key)
        if idle is not None:
            while len(idle) >= room:
                idle.popleft()[0].close()
            if not idle:
                del self._conns[key]
        return True

    def _has_room_in_total(self) -> bool:
        """Returns whether all instances together allow one more; closes idle ones to make room."""
        if self._connection_limit is None:
            return True
        in_use = sum(self._open_counts.values())
        surplus = in_use + sum(map(len, self._conns.values())) + 1 - self._connection_limit
        while surplus > 0 and self._conns:
            key = next(iter(self._conns))
            idle = self._conns[key]
            idle.popleft()[0].close()
            surplus -= 1
            if not idle:
                del self._conns[key]
        return surplus <= 0

    def start_exchange(
        self, connection: Connection, request_id: str | None, on_skipped: Callable[[], None]
    ) -> ConnectionUse:
        """Registers an exchange on an acquired connection; called before its request is written.

        `on_skipped` is called for each response to an earlier request that is skipped.
        """
        protocol = connection.protocol
        assert isinstance(protocol, _ResponseHandler)
        return protocol.start_exchange(request_id, on_skipped)

    def close_idle(self, key: ConnectionKey) -> None:
        """Closes all idle connections to an instance, so that the next exchange opens a new one."""
        for protocol, _ in self._conns.pop(key, ()):
            protocol.close()

    def open_connections(self, key: ConnectionKey) -> int:
        """Returns the number of connections to an instance, both in use and idle."""
        return self._open_counts.get(key, 0) + len(self._conns.get(key, ()))

    async def _get(self, key: ConnectionKey, traces: object) -> Connection | None:
        # `connect` calls this before it opens a connection; `acquire_idle` handles reuse instead.
        return None

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        self._decrement_open_count(key)
        over_limit = self.open_connections(key) >= self.connections_per_instance
        super()._release(key, protocol, should_close=should_close or over_limit)

    def _decrement_open_count(self, key: ConnectionKey) -> None:
        remaining = self._open_counts.get(key, 0) - 1
        if remaining > 0:
            self._open_counts[key] = remaining
        else:
            self._open_counts.pop(key, None)

    def _is_expired(self, now: float, protocol: ResponseHandler, idle_since: float) -> bool:
        limit_s = min(self._idle_limit_s, _stated_limit_s(protocol))
        return now - idle_since > limit_s or not protocol.is_connected()

    def _cleanup(self) -> None:
        # aiohttp calls this every `keepalive_timeout` while there are idle connections.
        if self._cleanup_handle is not None:
            self._cleanup_handle.cancel()
            self._cleanup_handle = None
        now = monotonic()
        for key in list(self._conns):
            idle = self._conns[key]
            while idle and self._is_expired(now, *idle[0]):
                idle.popleft()[0].close()
            if not idle:
                del self._conns[key]
        if self._conns:
            self._cleanup_handle = self._loop.call_later(self._idle_limit_s / 4, self._cleanup)


def _ignore_skipped() -> None:
    pass


def _stated_limit_s(protocol: ResponseHandler) -> float:
    """Returns the idle limit that follows from what the upstream has stated."""
    return protocol.idle_limit_s if isinstance(protocol, _ResponseHandler) else math.inf


def _holds_two_responses(message: RawResponseMessage) -> bool:
    """Returns whether a head has the status line of another response behind its own.

    It begins with a part of a response that was not written to its end, so its status and its
    fields need not belong to one response.
    """
    return _STATUS_LINE.search(message.reason.encode("latin-1", "replace")) is not None or any(
        _STATUS_LINE.search(value) for _, value in message.raw_headers
    )


def _short_body_bytes(message: RawResponseMessage) -> int | None:
    """Returns the stated length of a body, or None if it is long or not stated by a length."""
    stated = _SHORT_LENGTH.fullmatch(message.headers.get(hdrs.CONTENT_LENGTH, ""))
    if stated is None or message.chunked or message.code < _FIRST_FINAL_STATUS:
        return None
    if message.code in _BODILESS_STATUSES:
        return None
    length_bytes = int(stated[0])
    return length_bytes if length_bytes <= _SKIPPED_BODY_LIMIT_BYTES else None


def _has_carried(protocol: ResponseHandler, request_id: str) -> bool:
    return isinstance(protocol, _ResponseHandler) and protocol.has_carried(request_id)
