"""uvicorn's httptools protocol with the limits and the framing rules of the node.

uvicorn by itself accepts heads of any size, waits for them without a limit and writes its 400 into
the middle of an earlier response of the same connection.
"""

import asyncio
import urllib.parse
from typing import TYPE_CHECKING, Any

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from anviltray.callers._exchange import CallerExchange, CallerLeft
from anviltray.callers._problems import InputError, Problem, problem_body, problem_headers
from anviltray.settings import CallerSettings

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application

# Bytes of one response that wait for a slow caller before the upstream is no longer read.
WRITE_BUFFER_BYTES = 131072
# Requests that wait on one connection behind the one that is being answered.
PIPELINE_LIMIT = 32
# A connection that is closed with unread input is reset by the kernel, which can destroy the
# response on its way; input is therefore read and dropped for this time.
LINGER_S = 1.0
# Requests that are on their way when a shutdown begins arrive within this time.
SHUTDOWN_GRACE_S = 0.1

# The identifier of a request whose head was refused here was not checked. The same request may have
# run before through another node, so none of these problems claims that it was not run.
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

    caller_settings: CallerSettings  # Set in the subclass that `protocol_class` makes.

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        # uvicorn allows data after `Connection: close`; here it ends the connection's input.
        self.parser.set_dangerous_leniencies(lenient_data_after_close=False)
        self._newest: CallerExchange | None = None  # The request that was received last.
        self._running: CallerExchange | None = None  # The request that is being answered.
        self._in_head = False
        self._head_bytes = 0  # Bytes of the head in earlier reads.
        self._fed_bytes = 0  # Bytes of the read that is being parsed.
        self._head_since: float | None = None
        self._idle_since: float | None = None
        self._rejection: Problem | None = None
        self._stopped = False  # Further input is dropped.
        self._shutting_down = False

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        now = self.loop.time()
        self._idle_since = self._head_since = now
        if len(self.connections) > self.caller_settings.connection_limit:
            self._reject(_TOO_MANY_CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        exchanges = [self._running, self._newest]
        self.pipeline.clear()  # Requests that have not started end with the connection.
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
        if self._stopped:
            return
        continued = self._in_head
        idle = self._running is None or self._running.response_complete
        self._fed_bytes = len(data)
        problem: Problem | None = None
        upgrade = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            upgrade = True  # Upgrades are not supported; the request itself is answered.
        except httptools.HttpParserError:
            problem = _BAD_FRAMING
        problem = self._rejection or problem
        if problem is not None:
            self._reject(problem)
        elif upgrade:
            self._stopped = True
        elif self._in_head:
            if continued or idle:
                self._head_bytes += self._fed_bytes
            if self._head_bytes > self.caller_settings.header_limit_bytes:
                self._reject(_HEAD_TOO_LARGE)

    # Parser

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0
        if self._head_since is None:
            self._head_since = self.loop.time()
        self._idle_since = None

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._head_since = None
        if self._rejection is not None or self._stopped:
            return
        parser = self.parser
        http_version = parser.get_http_version()
        # An invalid target raises an error that the parser passes on as HttpParserError.
        url = httptools.parse_url(self.url)
        upgrade = parser.should_upgrade()
        self._rejection = self._head_problem(http_version, url.path, upgrade)
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
        previous = self._newest
        exchange = CallerExchange(self, scope, keep_alive, self.expect_100_continue)
        scope["anviltray.exchange"] = exchange  # type: ignore[typeddict-unknown-key]
        self.cycle = self._newest = exchange
        if previous is None or previous.response_complete:
            self._start_asgi_task(exchange, self.app)
        else:
            self.flow.pause_reading()
            self.pipeline.appendleft((exchange, self.app))

    def _head_problem(self, http_version: str, raw_path: bytes, upgrade: bool) -> Problem | None:
        """Returns why a head that is valid for the parser is refused."""
        limit = self.caller_settings.header_limit_bytes
        # The sum is needed only if more bytes were received than a head may have.
        if self._head_bytes + self._fed_bytes > limit and self._head_size() > limit:
            return _HEAD_TOO_LARGE
        if http_version not in ("1.1", "1.0"):
            return _BAD_VERSION
        # A target without a path is the asterisk form of OPTIONS, which has no service.
        if len(self.pipeline) >= PIPELINE_LIMIT or not raw_path.startswith(b"/"):
            return _BAD_FRAMING
        # httptools does not parse the body of an upgrade request; without it the upstream would run
        # another request.
        if upgrade and any(name in _BODY_HEADERS for name, _ in self.headers):
            return _UPGRADE_WITH_BODY
        return None

    def _head_size(self) -> int:
        return len(self.url) + sum(len(name) + len(value) + 4 for name, value in self.headers)

    def on_body(self, body: bytes) -> None:
        exchange = self._newest
        if exchange is None or exchange.response_complete or self._rejection is not None:
            return
        exchange.body += body
        if len(exchange.body) > HIGH_WATER_LIMIT:
            self.flow.pause_reading()
        exchange.message_event.set()

    def on_message_complete(self) -> None:
        exchange = self._newest
        if exchange is None or exchange.response_complete or self._rejection is not None:
            return
        exchange.more_body = False
        exchange.message_event.set()

    # Requests

    def _start_asgi_task(self, cycle: Any, app: "ASGI3Application") -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        self.flow.resume_reading()
        if self.pipeline:
            cycle, app = self.pipeline.pop()
            self._start_asgi_task(cycle, app)
        elif self._stopped:
            self.close_after_response()
        else:
            self._idle_since = self.loop.time()

    def close_after_response(self) -> None:
        """Closes the connection behind a response, without destroying the response."""
        self._stopped = True
        self.pipeline.clear()
        transport = self.transport
        if transport.is_closing():
            return
        exchange = self._newest
        if exchange is not None and not exchange.more_body and not self._in_head:
            transport.close()
            return
        if transport.can_write_eof():
            transport.write_eof()
        self.flow.resume_reading()
        self.loop.call_later(LINGER_S, transport.close)

    def _reject(self, problem: Problem) -> None:
        """Ends the input of this connection; earlier requests on it are still answered."""
        if self._stopped:
            return
        self._stopped = True
        self._head_since = None
        newest = self._newest
        if newest is None or newest.response_complete:
            self._write_problem(problem)
        elif newest.more_body and not self._in_head and self._rejection is None:
            newest.fail_input(InputError(problem))
        else:
            # The last whole request is answered before the connection closes.
            newest.keep_alive = False

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

    def check_times(self, now_s: float) -> None:
        """Ends what takes too long: heads, bodies, idle connections, callers that do not read."""
        settings = self.caller_settings
        exchange = self._running
        if exchange is not None and not exchange.response_complete:
            waiting, blocked = exchange.waiting_since, exchange.blocked_since
            if waiting is not None and now_s - waiting > settings.body_timeout_s:
                self._stopped = True
                exchange.fail_input(InputError(_BODY_TOO_SLOW))
            if blocked is not None and now_s - blocked > settings.body_timeout_s:
                exchange.abort()
        elif self._idle_since is not None and self._running is not None and not self._in_head:
            if now_s - self._idle_since > settings.answer_lifetime_s:
                self._stopped = True
                self.transport.close()
        elif self._head_since is not None and now_s - self._head_since > settings.head_timeout_s:
            if self._in_head:
                self._reject(_HEAD_TOO_SLOW)
            else:
                self._stopped = True
                self.transport.close()

    def shutdown(self) -> None:
        """Closes the connection once nothing is on its way."""
        self._shutting_down = True
        newest = self._newest
        if newest is not None and not newest.response_complete:
            newest.keep_alive = False
        elif not self._in_head:  # The response to a head that is being received says close.
            self.loop.call_later(SHUTDOWN_GRACE_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        newest = self._newest
        if (newest is None or newest.response_complete) and not self._in_head:
            self._stopped = True
            self.transport.close()


def protocol_class(settings: CallerSettings) -> type[CallerProtocol]:
    """Returns the protocol class for uvicorn with these settings."""
    return type("BoundCallerProtocol", (CallerProtocol,), {"caller_settings": settings})


__all__ = ["CallerLeft", "CallerProtocol", "protocol_class"]
