"""HTTP client that sends requests to upstreams over pooled connections."""

import asyncio
from collections.abc import AsyncIterable, Callable, Iterable
from typing import NamedTuple, Protocol

from aiohttp import (
    ClientError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    DummyCookieJar,
    hdrs,
)
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.helpers import TimerNoop
from aiohttp.http import HttpProcessingError, HttpVersion11
from aiohttp.tracing import Trace
from multidict import CIMultiDict
from yarl import URL

from anviltray.schema import is_endpoint
from anviltray.settings import UpstreamSettings
from anviltray.telemetry import describe_error
from anviltray.upstreams._acknowledgement import is_acknowledged
from anviltray.upstreams._connector import (
    ConnectionUse,
    InvalidStatusLine,
    UpstreamConnector,
)
from anviltray.upstreams._dialect import NO_SIGNALS, Dialect, Signals
from anviltray.upstreams._errors import (
    ConnectFailed,
    ConnectionsExhausted,
    ExchangeBroken,
    ForeignResponse,
    InvalidResponse,
    UpstreamError,
)
from anviltray.upstreams._fields import HOP_BY_HOP, connection_options

# Bytes of a response that are buffered before reading from its connection is paused.
READ_BUFFER_BYTES = 32768
# Limit for response heads; the same as the default limit for request heads.
FIELD_LIMIT_BYTES = 32768
FIELD_LIMIT_COUNT = 256

_TRANSPORT_ERRORS = (ClientError, OSError, HttpProcessingError, asyncio.TimeoutError)


class UpstreamRequest(NamedTuple):
    """One request to an upstream."""

    method: str  # HTTP method.
    target: str  # Path and query as sent on the wire.
    headers: Iterable[tuple[str, str]]  # Header fields without hop-by-hop fields.
    body: bytes | AsyncIterable[bytes] | None = None  # Buffered or streamed body.
    chunked: bool = False  # Whether the length of a streamed body is not in the headers.
    unrepeatable: bool = False  # Requires a connection that was idle only for a short time.
    fresh: bool = False  # Requires a new connection.
    # Identifier that the response must not contradict, and that its connection has not carried.
    request_id: str | None = None
    # Returns the time in seconds that the upstream has for the request; asked when it is written,
    # since opening a connection takes time.
    remaining_s: Callable[[], float] | None = None
    deadline_header: str = ""  # Header for that time; empty for the one of the settings.


class ExchangeObserver(Protocol):
    """Receives events of one exchange while it runs.

    If `on_write_start` was not called, no byte was written, even if the exchange was cancelled.
    """

    def on_connection(self, fresh: bool) -> None:
        """Called when an idle connection was chosen, or before a new one (`fresh`) is opened."""

    def on_write_start(self, use: ConnectionUse, acknowledged: Callable[[], bool]) -> None:
        """Called before the first byte of the request is written.

        `use` identifies the connection and the exchange on it. `acknowledged` returns whether the
        kernel of the upstream has acknowledged all sent data.
        """

    def on_skipped(self) -> None:
        """Called when a response to an earlier request of the connection has arrived instead."""

    def on_first_byte(self) -> None:
        """Called when the response head has arrived."""


class NullObserver:
    """Observer that ignores all events."""

    def on_connection(self, fresh: bool) -> None:
        """See ExchangeObserver."""

    def on_write_start(self, use: ConnectionUse, acknowledged: Callable[[], bool]) -> None:
        """See ExchangeObserver."""

    def on_skipped(self) -> None:
        """See ExchangeObserver."""

    def on_first_byte(self) -> None:
        """See ExchangeObserver."""


class UpstreamResponse:
    """The head of a response and its body, which can be read once.

    The connection returns to the pool after the last byte. Calling `close` earlier closes the
    connection, so late bytes cannot be attributed to another exchange.
    """

    __slots__ = ("_response", "headers", "signals", "status")

    def __init__(
        self, response: ClientResponse, headers: list[tuple[bytes, bytes]], signals: Signals
    ) -> None:
        self._response = response
        self.status = response.status
        self.headers = headers  # Names in lower case, without hop-by-hop fields.
        self.signals = signals

    def read_rest_nowait(self) -> bytes | None:
        """Returns the remaining body if it has arrived completely, else None.

        Raises ExchangeBroken if the rest of the body cannot arrive anymore.
        """
        content = self._response.content
        if (error := content.exception()) is not None:
            raise ExchangeBroken(f"the response body was truncated: {error}") from error
        return content.read_nowait(-1) if content.is_eof() else None

    @property
    def at_end(self) -> bool:
        """Whether the whole body has been received and read."""
        content = self._response.content
        return content.at_eof() and content.exception() is None

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body, or empty bytes at its end; raises ExchangeBroken."""
        try:
            return await self._response.content.read(READ_BUFFER_BYTES)
        except _TRANSPORT_ERRORS as error:
            raise ExchangeBroken(f"the response body was truncated: {error}") from error

    async def read(self, limit_bytes: int) -> bytes:
        """Returns the whole body; raises InvalidResponse above the limit and ExchangeBroken."""
        body = bytearray()
        while chunk := await self.read_chunk():
            body += chunk
            if len(body) > limit_bytes:
                raise InvalidResponse(f"the response body is larger than {limit_bytes} bytes")
        return bytes(body)

    def close(self) -> None:
        """Ends the exchange; closes the connection unless the body was received completely."""
        if not self._response.closed:
            self._response.close()


class _Request(ClientRequest):
    """A request that is sent unchanged, without the default headers of a user agent.

    The constructor only sets the attributes that `ClientRequest.send` and the connector read. The
    constructor of aiohttp takes about 10 % of the time of a proxied request for cookies, proxies
    and authentication.
    """

    _skip_auto_headers = CIMultiDict({hdrs.CONTENT_TYPE: None})
    version = HttpVersion11
    compress = None
    proxy = None
    proxy_auth = None
    proxy_headers = None
    server_hostname = None
    response_class = ClientResponse
    _ssl = True
    _timer = TimerNoop()
    _traces: list[Trace] = []  # noqa: RUF012  # Never modified; aiohttp iterates over it.

    def __init__(
        self,
        url: URL,
        request: "UpstreamRequest",
        loop: asyncio.AbstractEventLoop,
        session: ClientSession,
    ) -> None:
        self.method = request.method
        self.url = self.original_url = url
        self.headers = CIMultiDict(request.headers)
        self.chunked = request.chunked or None
        self.loop = loop
        self._session = session
        self.update_body_from_data(request.body)
        if self.chunked:
            self.headers[hdrs.TRANSFER_ENCODING] = "chunked"


class UpstreamClient:
    """Client for all upstreams of a node; must be created in a running event loop.

    Connections are bound to `source_ip` if it is given, so that upstreams see the address of the
    node even on a host with several addresses. `connection_limit` is the maximum number of
    connections to all instances together.

    Example: `response = await client.send("10.0.0.1:80", UpstreamRequest("GET", "/a", ()))`, then
    `await response.read_chunk()` until it is empty, and `response.close()` in any case.
    """

    def __init__(
        self, settings: UpstreamSettings, source_ip: str = "", connection_limit: int | None = None
    ) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self.dialect = Dialect(settings)
        self._connector = UpstreamConnector(
            self.dialect,
            settings.idle_limit_s,
            settings.instance_connections,
            source_ip,
            connection_limit,
        )
        self._session = ClientSession(
            connector=self._connector, cookie_jar=DummyCookieJar(), auto_decompress=False
        )
        # Otherwise aiohttp retries GET, HEAD, PUT and DELETE when a reused connection is closed.
        self._session._retry_connection = False
        self._connect_timeout_s = settings.connect_timeout_s
        self._keys: dict[str, ConnectionKey | None] = {}  # None if no connection can be opened.

    def set_node_count(self, count: int, instance_connections: int | None = None) -> None:
        """Divides the connections that an instance accepts among `count` nodes.

        `instance_connections` is the number that an instance accepts, by default from the settings.
        """
        if instance_connections is None:
            instance_connections = self._settings.instance_connections
        self._connector.connections_per_instance = max(1, instance_connections // max(1, count))

    @property
    def connections_per_instance(self) -> int:
        """Maximum number of connections of this node to one instance."""
        return self._connector.connections_per_instance

    def close_idle(self, address: str) -> None:
        """Closes idle connections, so that the next exchange after a stall opens a new one."""
        if (key := self._key(address)) is not None:
            self._connector.close_idle(key)

    def can_reuse(self, address: str, unrepeatable: bool) -> bool:
        """Returns whether a request would be sent on an idle connection instead of a new one."""
        key = self._key(address)
        return key is not None and self._connector.has_idle(key, self._idle_limit_s(unrepeatable))

    def _idle_limit_s(self, unrepeatable: bool) -> float:
        settings = self._settings
        if unrepeatable:
            return min(settings.idle_limit_s, settings.unrepeatable_idle_limit_s)
        return settings.idle_limit_s

    def open_connections(self, address: str) -> int:
        """Returns the number of open connections to an instance."""
        key = self._key(address)
        return 0 if key is None else self._connector.open_connections(key)

    async def send(
        self, address: str, request: UpstreamRequest, observer: ExchangeObserver
    ) -> UpstreamResponse:
        """Sends a request and returns when the response head has arrived.

        Raises UpstreamError; its `written` says whether a byte may have been written. Cancellation
        closes the connection; the observer then knows whether a byte was written.
        """
        key = self._key(address)
        if key is None:
            raise ConnectFailed(f"{address!r:.60} is not an address like IP:port")
        url = URL(f"http://{address}{request.target}", encoded=True)
        message = _Request(url, request, self._loop, self._session)
        connection = await self._connect(key, address, message, request, observer)
        protocol = connection.protocol
        if protocol is None or not protocol.is_connected():
            connection.close()
            raise ConnectFailed(f"{address}: the connection was closed before the request was sent")
        protocol.set_response_params(
            skip_payload=request.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=FIELD_LIMIT_BYTES,
            max_field_size=FIELD_LIMIT_BYTES,
            max_headers=FIELD_LIMIT_COUNT,
        )
        # A streamed body always has segments in flight, so these are not evidence of a fault.
        buffered = request.body is None or isinstance(request.body, bytes)
        transport = protocol.transport if buffered else None
        if request.remaining_s is not None:
            name = request.deadline_header or self.dialect.deadline_header
            # A deadline of 0 means expired, so a started attempt has at least 1 ms.
            message.headers[name] = str(max(1, int(request.remaining_s() * 1000)))
        use = self._connector.start_exchange(connection, request.request_id, observer.on_skipped)
        observer.on_write_start(use, lambda: is_acknowledged(transport))
        response: ClientResponse | None = None
        try:
            response = await message.send(connection)
            await response.start(connection)
            observer.on_first_byte()
            return self._build_response(request, response)
        except BaseException as error:
            if response is not None:
                response.close()
            connection.close()
            if isinstance(error, InvalidResponse):
                # A response that was received completely has returned its connection to the pool.
                self.close_idle(address)
            if isinstance(error.__cause__, InvalidStatusLine):
                # aiohttp raises its own error for the one of the parser.
                raise InvalidResponse(f"{address}: {describe_error(error.__cause__)}") from error
            if isinstance(error, _TRANSPORT_ERRORS):
                raise ExchangeBroken(f"{address}: {describe_error(error)}") from error
            raise

    async def _connect(
        self,
        key: ConnectionKey,
        address: str,
        message: ClientRequest,
        request: UpstreamRequest,
        observer: ExchangeObserver,
    ) -> Connection:
        if not request.fresh:
            limit_s = self._idle_limit_s(request.unrepeatable)
            connection = self._connector.acquire_idle(key, limit_s, request.request_id)
            if connection is not None:
                observer.on_connection(False)
                return connection
        if not self._connector.has_room(key):
            raise ConnectionsExhausted(f"{address}: all connections of this node are in use")
        observer.on_connection(True)
        try:
            return await self._connector.open(message, key, self._connect_timeout_s)
        except _TRANSPORT_ERRORS as error:
            raise ConnectFailed(f"{address}: {describe_error(error)}") from error

    def _build_response(
        self, request: UpstreamRequest, response: ClientResponse
    ) -> UpstreamResponse:
        self._check_request_id(request.request_id, response)
        signal_headers = self.dialect.signal_headers
        headers: list[tuple[bytes, bytes]] = []
        signal_fields: list[tuple[bytes, bytes]] = []
        dropped = HOP_BY_HOP
        framed = False
        for raw_name, value in response._raw_headers:
            name = raw_name.lower()
            if name in signal_headers:
                signal_fields.append((name, value))
            elif name in dropped:
                if name == b"connection":
                    dropped = dropped | connection_options(value)
                elif name == b"transfer-encoding":
                    framed = value.strip().lower() == b"chunked"
            else:
                if name == b"content-length":
                    framed = True
                headers.append((name, value))
        if dropped is not HOP_BY_HOP:
            headers = [field for field in headers if field[0] not in dropped]
        status = response.status
        if status < 200 or status > 599:
            raise InvalidResponse(f"expected a response status from 200 to 599, got {status}")
        has_no_body = status in (204, 304) or request.method == "HEAD"
        if not framed and not has_no_body and not self._settings.accept_unframed:
            # A truncated response without a length looks like a complete one.
            raise InvalidResponse(
                "the response has neither a Content-Length header nor chunked encoding"
            )
        signals = self.dialect.signals(status, signal_fields) if signal_fields else NO_SIGNALS
        return UpstreamResponse(response, headers, signals)

    def _check_request_id(self, request_id: str | None, response: ClientResponse) -> None:
        """Raises ForeignResponse if the response is not certain to belong to the request.

        An upstream may write a response to an earlier request once more. Nothing in it says what
        happened to this request, not even that it was refused. A response to an earlier attempt of
        the same request cannot arrive here, as a connection carries an identifier once.
        """
        found = response.headers.getall(self.dialect.request_id_header, ())
        if any(value != request_id for value in found):
            raise ForeignResponse(f"the response belongs to request {found!r}")
        if self._settings.require_request_id and request_id is not None and not found:
            raise ForeignResponse("the response has no request identifier")

    async def probe(self, address: str, timeout_s: float) -> bool:
        """Queries the health endpoint over a new connection; any failure counts as unhealthy."""
        request = UpstreamRequest("GET", self.dialect.health_path, (), fresh=True)
        result = await self._send_and_read(address, request, timeout_s)
        return result is not None and result[0] == 200

    async def cancel(self, address: str, request_id: str, timeout_s: float) -> bool:
        """Cancels a request; returns whether the upstream confirmed that it was not started."""
        request = UpstreamRequest(
            "POST",
            self.dialect.cancel_path,
            ((self.dialect.request_id_header, request_id),),
            fresh=True,  # The connection of the cancelled exchange may have stalled.
            request_id=request_id,
        )
        result = await self._send_and_read(address, request, timeout_s)
        return result is not None and self.dialect.confirms_not_started(*result)

    async def _send_and_read(
        self, address: str, request: UpstreamRequest, timeout_s: float
    ) -> tuple[int, bytes] | None:
        response: UpstreamResponse | None = None
        try:
            async with asyncio.timeout(timeout_s):
                response = await self.send(address, request, _NULL_OBSERVER)
                return response.status, await response.read(READ_BUFFER_BYTES)
        except (UpstreamError, TimeoutError):
            return None
        finally:
            if response is not None:
                response.close()

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    def _key(self, address: str) -> ConnectionKey | None:
        """Returns the key of the connections to an instance, or None if it has no valid address.

        Choices among many instances ask for one after the other, so one address must not fail them.
        """
        if address not in self._keys:
            self._keys[address] = _connection_key(address) if is_endpoint(address) else None
        return self._keys[address]


def _connection_key(address: str) -> ConnectionKey:
    url = URL(f"http://{address}/")
    return ConnectionKey(url.raw_host or "", url.port, False, True, None, None, None)


_NULL_OBSERVER = NullObserver()
