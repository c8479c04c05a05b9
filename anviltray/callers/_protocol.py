"""uvicorn's httptools protocol, extended with limits and stricter framing rules.

Plain uvicorn accepts request heads of any size, waits for them without a time limit and writes its
400 response into the middle of an earlier response on the same connection.
"""

import asyncio
import urllib.parse
from typing import TYPE_CHECKING, Any

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from anviltray.callers._exchange import CallerDisconnected, CallerExchange
from anviltray.callers._problems import InputError, Problem, problem_body, problem_headers
from anviltray.settings import CallerSettings

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application

# High-water mark of the write buffer; above it, no more of the response is read from the upstream.
WRITE_BUFFER_BYTES = 65536
# Maximum number of pipelined requests that wait on one connection behind the current one.
PIPELINE_LIMIT = 32
# The kernel resets a connection that is closed with unread input, which can discard a response in
# flight. Input is therefore read and dropped for this time before the connection is closed.
LINGERING_CLOSE_S = 1.0
# Requests in flight when a shutdown begins arrive within this time; idle connections stay open for
# as long.
SHUTDOWN_GRACE_S = 0.1

# The identifier of a request whose head is rejected here is not looked up. The same request may
# have run before through another node, so these problems do not claim that it was not run.
_BAD_FRAMING = Problem(400, "bad-request", "the request is not valid HTTP", "unknown", close=True)
_BAD_VERSION = Problem(
    505, "http-version", "only HTTP/1.1 and HTTP/1.0 are served", "unknown", close=True
)
_UPGRADE_WITH_BODY = Problem(
    501,
    "upgrade-with-body",
    "a request with a body and an Upgrade header is not read",
    "unknown",
    close=True,
)
_BODY_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_HEAD_TOO_LARGE = Problem(
    431, "head-too-large", "the request head is too large", "unknown", close=True
)
_HEAD_TOO_SLOW = Problem(
    408, "head-timeout", "the request head took too long", "unknown", close=True
)
_BODY_TOO_SLOW = Problem(408, "body-timeout", "the request body took too long", close=True)
_TOO_MANY_CONNECTIONS = Problem(
    503,
    "connection-limit",
    "the node has too many connections",
    "unknown",
    retry_after_s=1,
    close=True,
)


class CallerProtocol(HttpToolsProtocol):
    """One connection of a caller."""

    caller_settings: CallerSettings  # Set in the subclass that `protocol_class` creates.

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        # uvicorn allows data after `Connection: close`; here such data is a framing error.
        self.parser.set_dangerous_leniencies(lenient_data_after_close=False)
        self._last_received: CallerExchange | None = None  # Request received last.
        self._current: CallerExchange | None = None  # Request being handled.
        self._in_head = False
        self._head_bytes = 0  # Bytes of the head from earlier reads.
        self._read_bytes = 0  # Bytes of the read being parsed.
        self._head_started_at: float | None = None
        self._idle_started_at: float | None = None
        self._rejection: Problem | None = None
        self._input_stopped = False  # Whether further input is dropped.
        self._shutting_down = False

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        now = self.loop.time()
        self._idle_started_at = self._head_started_at = now
        if len(self.connections) > self.caller_settings.connection_limit:
            self._reject(_TOO_MANY_CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        exchanges = [self._current, self._last_received]
        self.pipeline.clear()  # Requests that have not started are dropped.
        super().connection_lost(exc)
        for exchange in exchanges:
            if exchange is None or exchange.response_complete:
                continue
            exchange.disconnected = True
            exchange.message_event.set()
            on_disconnect = exchange.on_disconnect
            if on_disconnect is not None:
                on_disconnect()

    def data_received(self, data: bytes) -> None:
        if self._input_stopped:
            return
        continued = self._in_head
        idle = self._current is None or self._current.response_complete
        self._read_bytes = len(data)
        problem: Problem | None = None
        upgrade = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            upgrade = True  # Upgrades are ignored; the request is handled as usual.
        except httptools.HttpParserError:
            problem = _BAD_FRAMING
        problem = self._rejection or problem
        if problem is not None:
            self._reject(problem)
        elif upgrade:
            self._input_stopped = True
        elif self._in_head:
            if continued or idle:
                self._head_bytes += self._read_bytes
            if self._head_bytes > self.caller_settings.header_limit_bytes:
                self._reject(_HEAD_TOO_LARGE)

    # Parser

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0
        if self._head_started_at is None:
            self._head_started_at = self.loop.time()
        self._idle_started_at = None

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._head_started_at = None
        if self._rejection is not None or self._input_stopped:
            return
        parser = self.parser
        http_version = parser.get_http_version()
        # For an invalid target this raises an error that the parser reraises as HttpParserError.
        url = httptools.parse_url(self.url)
        upgrade = parser.should_upgrade()
        self._rejection = self._head_rejection(http_version, url.path, upgrade)
        if self._rejection is not None:
            return
        scope = self.scope
        scope["method"] = parser.get_method().decode("ascii")
        if http_version != "1.1":
            scope["http_version"] = http_version
        path = url.path.decode("ascii")
        if "%" in path:
            path = urllib.parse.unquote(path, errors="strict")
        scope["path"] = path
        scope["raw_path"] = url.path
        scope["query_string"] = url.query or b""
        keep_alive = (
            http_version == "1.1"
            and parser.should_keep_alive()
            and not upgrade
            and not self._shutting_down
        )
        previous = self._last_received
        exchange = CallerExchange(self, scope, keep_alive, self.expect_100_continue)
        scope["anviltray.exchange"] = exchange  # type: ignore[typeddict-unknown-key]
        self.cycle = self._last_received = exchange
        if previous is None or previous.response_complete:
            self._start_asgi_task(exchange, self.app)
        else:
            self.flow.pause_reading()
            self.pipeline.appendleft((exchange, self.app))

    def _head_rejection(self, http_version: str, raw_path: bytes, upgrade: bool) -> Problem | None:
        """Returns the problem for a head that the parser accepts but this node rejects, or None."""
        limit = self.caller_settings.header_limit_bytes
        # Summing up the head is necessary only if more bytes than the limit were received.
        if self._head_bytes + self._read_bytes > limit and self._head_size() > limit:
            return _HEAD_TOO_LARGE
        if http_version not in ("1.1", "1.0"):
            return _BAD_VERSION
        # A target without a path is the asterisk form of OPTIONS, which matches no service.
        if len(self.pipeline) >= PIPELINE_LIMIT or not raw_path.startswith(b"/"):
            return _BAD_FRAMING
        # httptools does not parse the body of an upgrade request. Without its body, the upstream
        # would run a different request.
        if upgrade and any(name in _BODY_HEADERS for name, _ in self.headers):
            return _UPGRADE_WITH_BODY
        return None

    def _head_size(self) -> int:
        return len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)

    def on_body(self, body: bytes) -> None:
        exchange = self._last_received
        if exchange is None or exchange.response_complete or self._rejection is not None:
            return
        exchange.body += body
        if len(exchange.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()
        exchange.message_event.set()

    def on_message_complete(self) -> None:
        exchange = self._last_received
        if exchange is None or exchange.response_complete or self._rejection is not None:
            return
        exchange.more_body = False
        exchange.message_event.set()

    # Requests

    def _start_asgi_task(self, cycle: Any, app: "ASGI3Application") -> None:
        self._current = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        self.flow.resume_reading()
        if self.pipeline:
            cycle, app = self.pipeline.pop()
            self._start_asgi_task(cycle, app)
        elif self._input_stopped:
            self.close_after_response()
        else:
            self._idle_started_at = self.loop.time()

    def close_after_response(self) -> None:
        """Closes the connection after a response, without discarding the response."""
        self._input_stopped = True
        self.pipeline.clear()
        transport = self.transport
        if transport.is_closing():
            return
        exchange = self._last_received
        if exchange is not None and not exchange.more_body and not self._in_head:
            transport.close()
            return
        if transport.can_write_eof():
            transport.write_eof()
        self.flow.resume_reading()
        self.loop.call_later(LINGERING_CLOSE_S, transport.close)

    def _reject(self, problem: Problem) -> None:
        """Stops reading from this connection; earlier requests on it are still answered."""
        if self._input_stopped:
            return
        self._input_stopped = True
        self._head_started_at = None
        last_received = self._last_received
        if last_received is None or last_received.response_complete:
            self._write_problem(problem)
        elif last_received.more_body and not self._in_head and self._rejection is None:
            last_received.fail_input(InputError(problem))
        else:
            # The last complete request is answered before the connection closes.
            last_received.keep_alive = False

    def _write_problem(self, problem: Problem) -> None:
        body = problem_body(problem)
        lines = [STATUS_LINE[problem.status]]
        headers = [*self.server_state.default_headers, *problem_headers(problem, body)]
        for name, value in headers:
            lines += (name, b": ", value, b"\r\n")
        lines += (b"connection: close\r\n\r\n", body)
        self.transport.write(b"".join(lines))
        self.close_after_response()

    # Time limits and shutdown, called by the server

    def check_timeouts(self, now_s: float) -> None:
        """Enforces the time limits for heads, bodies, idle connections and blocked writes."""
        settings = self.caller_settings
        exchange = self._current
        if exchange is not None and not exchange.response_complete:
            waiting, blocked = exchange.read_waiting_since, exchange.write_blocked_since
            if waiting is not None and now_s - waiting > settings.body_timeout_s:
                self._input_stopped = True
                exchange.fail_input(InputError(_BODY_TOO_SLOW))
            if blocked is not None and now_s - blocked > settings.body_timeout_s:
                exchange.abort()
        elif self._idle_started_at is not None and self._current is not None and not self._in_head:
            if now_s - self._idle_started_at > settings.answer_lifetime_s:
                self._input_stopped = True
                self.transport.close()
        elif (
            self._head_started_at is not None
            and now_s - self._head_started_at > settings.head_timeout_s
        ):
            if self._in_head:
                self._reject(_HEAD_TOO_SLOW)
            else:
                self._input_stopped = True
                self.transport.close()

    def shutdown(self) -> None:
        """Closes the connection once the requests on it are answered."""
        self._shutting_down = True
        last_received = self._last_received
        if last_received is not None and not last_received.response_complete:
            last_received.keep_alive = False
        elif not self._in_head:  # Otherwise the response to that head has `Connection: close`.
            self.loop.call_later(SHUTDOWN_GRACE_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        last_received = self._last_received
        if (last_received is None or last_received.response_complete) and not self._in_head:
            self._input_stopped = True
            self.transport.close()


def protocol_class(settings: CallerSettings) -> type[CallerProtocol]:
    """Returns a protocol class for uvicorn that uses these settings."""
    return type("BoundCallerProtocol", (CallerProtocol,), {"caller_settings": settings})


__all__ = ["CallerDisconnected", "CallerProtocol", "protocol_class"]
