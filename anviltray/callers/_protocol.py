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
from anviltray.callers._hangups import HangupWatch
from anviltray.callers._pressure import CallerPressure
from anviltray.callers._problems import InputError, Problem, problem_body, problem_headers
from anviltray.decisions.limits import CallerMemory, ConnectionLoad
from anviltray.settings import CallerSettings

if TYPE_CHECKING:
    from uvicorn._types import ASGI3Application

# High-water mark of the write buffer; above it, no more of the response is read from the upstream.
WRITE_BUFFER_BYTES = 65536
# asyncio reads up to 256 KiB at once, which hundreds of connections would hold at the same time.
READ_LIMIT_BYTES = 65536
# Memory of an idle connection: its objects and what the kernel keeps for it.
CONNECTION_BYTES = 12288
# Memory of one field of a head beyond its bytes: a tuple and two byte strings.
FIELD_BYTES = 130
# A complete head is held as received, decoded, and as sent to an instance.
HEAD_COPIES = 3
# Memory of a request beyond its head and body.
EXCHANGE_BYTES = 1536
# Memory of a request that is being served: its tasks and its connection to an instance.
REQUEST_BYTES = 16384
# Bytes that a caller has to send or read at least for its connection to make progress.
PROGRESS_BYTES = 16384
# The kernel resets a connection that is closed with unread input, which can discard a response in
# flight. Input is therefore read and dropped for this time before the connection is closed.
LINGERING_CLOSE_S = 1.0
# Rejected connections that linger, as a share of the limit; further ones are closed without a
# response, as each takes a descriptor.
LINGERING_SHARE = 0.1
MIN_LINGERING = 4
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
_TOO_MANY_REQUESTS = Problem(
    400, "pipeline-limit", "too many requests were sent ahead", "unknown", close=True
)
_NO_MEMORY = Problem(
    503,
    "memory-limit",
    "the node has no memory for the request",
    "unknown",
    retry_after_s=1,
    close=True,
)
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

    # Set in the subclass that `protocol_class` creates.
    caller_settings: CallerSettings
    pressure: CallerPressure
    hangups: HangupWatch
    keeps_served: bool  # Whether connections are kept for further requests of their callers.

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.address = ""  # IP address of the caller.
        self.released = False  # Whether the connection is closed and its memory given back.
        self._held_bytes = CONNECTION_BYTES  # Without requests whose task outlives the connection.
        self._unsent_bytes = 0  # Part of it in the write buffer.
        self._parsed_bytes = 0  # Part of it in the head that is being received.
        self._moved_bytes = 0  # Bytes since the last progress.
        self._progressed_s = 0.0  # Time of the last progress.
        # Whether the next request waits until the caller has read the responses before it.
        self._next_deferred = False
        self._unsent_since_s: float | None = None  # Last time the caller read; None if it has all.
        self._served = False  # Whether a request on this connection has been answered.
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
        self._closed_by_caller = False  # Whether the caller has closed; input may still be unread.

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)  # type: ignore[arg-type]
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        transport.max_size = READ_LIMIT_BYTES  # type: ignore[attr-defined]
        now = self.loop.time()
        self._idle_started_at = self._head_started_at = self._progressed_s = now
        self.address = self.client[0] if self.client else ""
        pressure = self.pressure
        pressure.add(self)
        pressure.memory.used_bytes += CONNECTION_BYTES
        pressure.relieve()
        limit = self.caller_settings.connection_limit
        connections: set[CallerProtocol] = self.connections  # type: ignore[assignment]
        if len(connections) > limit and not pressure.make_room(self, connections, limit):
            pressure.record("rejected_connections", self.address)
            if len(connections) - limit > limit * LINGERING_SHARE + MIN_LINGERING:
                self.close_at_once()
            else:
                self._reject(_TOO_MANY_CONNECTIONS)
        elif pressure.memory.is_full:
            pressure.record("closed_for_memory", self.address)
            self.close_at_once()

    def connection_lost(self, exc: Exception | None) -> None:
        exchanges = [self._current, self._last_received]
        self._release()  # Requests that have not started are dropped.
        super().connection_lost(exc)
        for exchange in exchanges:
            if exchange is None or exchange.response_complete:
                continue
            exchange.disconnected = True
            exchange.message_event.set()
            on_disconnect = exchange.on_disconnect
            if on_disconnect is not None:
                on_disconnect()

    def _release(self) -> None:
        """Gives the memory back, except that of a request whose task continues.

        Objects of a connection refer to each other until the garbage collector runs, so what is
        large is dropped here.
        """
        if self.released:
            return
        self.released = True
        self.pressure.discard(self)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            self.hangups.discard(sock)
        exchange = self._current
        continuing = 0 if exchange is None else exchange.detach()
        self.pressure.memory.used_bytes -= self._held_bytes - continuing
        self._held_bytes = 0
        for request in (exchange, self._last_received, *self._queued()):
            if request is not None:
                request.drop_head()
        if self.headers is not None:
            self.headers.clear()
        self.pipeline.clear()

    def close_at_once(self) -> None:
        """Closes the connection without a response and gives its memory back.

        The task of a request that waits for its caller then ends at once.
        """
        self._input_stopped = True
        exchange = self._current
        if exchange is not None:
            exchange.release()
        self._release()
        if exchange is not None and exchange.response_started and not exchange.response_complete:
            exchange.abort()
        else:
            self.transport.abort()

    def hold(self, change_bytes: int) -> None:
        """Adds to the memory that this connection holds, or subtracts from it."""
        if not self.released:
            self._held_bytes += change_bytes
            self.pressure.memory.used_bytes += change_bytes

    def update_unsent(self) -> None:
        """Counts what the caller has not read of responses; called after each write."""
        if self.released:
            return
        unsent = self.transport.get_write_buffer_size()
        change = unsent - self._unsent_bytes
        if not unsent:
            self._unsent_since_s = None
        elif change < 0 or self._unsent_since_s is None:
            self._unsent_since_s = self.loop.time()
        if change:
            self._unsent_bytes = unsent
            self.hold(change)
            if change < 0:
                self._move(-change)
            else:
                self.pressure.relieve()

    def load(self, now_s: float) -> ConnectionLoad:
        """Returns what the connection holds, and whether it may be closed.

        It may while the caller has to send the rest of a head or a body, or to read.
        """
        if self._is_serving():
            queued = sum(request.held_bytes for request in self._queued())
            return ConnectionLoad(self.address, queued, queued, 0.0, True, queued > 0)
        held = self._held_bytes
        unread = self._last_received is not None and self._last_received.more_body
        return ConnectionLoad(
            self.address,
            held,
            max(0, held - CONNECTION_BYTES),
            now_s - self._progressed_s,
            self.keeps_served and self._served and not self._input_stopped and not unread,
            True,
        )

    def give_up(self) -> None:
        """Gives back what `load` reports; closes the connection at once or after a response.

        Requests that are given up have not run.
        """
        if not self._is_serving():
            self.close_at_once()
            return
        self._input_stopped = True
        for request in self._queued():
            self.hold(-request.held_bytes)
            request.drop_head()
        self.pipeline.clear()
        if self._current is not None:
            self._current.keep_alive = False

    def _is_serving(self) -> bool:
        """Returns whether a complete request runs; only those behind it can be given up then."""
        exchange = self._current
        if exchange is None or exchange.response_complete or self.flow.write_paused:
            return False
        return exchange is not self._last_received or not exchange.more_body

    def _queued(self) -> list[CallerExchange]:
        return [request for request, _ in self.pipeline if isinstance(request, CallerExchange)]

    def _move(self, size_bytes: int) -> None:
        self._moved_bytes += size_bytes
        if self._moved_bytes >= PROGRESS_BYTES:
            self._moved_bytes = 0
            self._progressed_s = self.loop.time()

    def data_received(self, data: bytes) -> None:
        if self._input_stopped:
            return
        self._receive(data)
        if self.released:
            return
        self._move(len(data))
        parsed = self._head_bytes + FIELD_BYTES * len(self.headers) if self._in_head else 0
        if parsed != self._parsed_bytes:
            self.hold(parsed - self._parsed_bytes)
            self._parsed_bytes = parsed
        self.pressure.relieve()

    def _receive(self, data: bytes) -> None:
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
            settings = self.caller_settings
            if (
                self._head_bytes > settings.header_limit_bytes
                or len(self.headers) > settings.field_limit
            ):
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
        head_size = self._head_size()
        self._rejection = self._head_rejection(http_version, url.path, upgrade, head_size)
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
        head_bytes = HEAD_COPIES * (head_size + FIELD_BYTES * len(self.headers))
        exchange.hold(EXCHANGE_BYTES + head_bytes)
        self.cycle = self._last_received = exchange
        if (previous is None or previous.response_complete) and not self._next_deferred:
            self._start_asgi_task(exchange, self.app)
        else:
            self.pipeline.appendleft((exchange, self.app))
            self._pause_reading()

    def _head_rejection(
        self, http_version: str, raw_path: bytes, upgrade: bool, head_size: int
    ) -> Problem | None:
        """Returns the problem for a head that the parser accepts but this node rejects, or None."""
        settings = self.caller_settings
        # The rest of the read may belong to the body, and blanks around values are not counted.
        received = self._head_bytes + self._read_bytes
        if min(received, head_size) > settings.header_limit_bytes:
            return _HEAD_TOO_LARGE
        if len(self.headers) > settings.field_limit:
            return _HEAD_TOO_LARGE
        if http_version not in ("1.1", "1.0"):
            return _BAD_VERSION
        # A target without a path is the asterisk form of OPTIONS, which matches no service.
        if not raw_path.startswith(b"/"):
            return _BAD_FRAMING
        if len(self.pipeline) >= settings.pipeline_limit or (
            self.pipeline
            and sum(request.held_bytes for request in self._queued())
            > settings.pipeline_limit_bytes
        ):
            self.pressure.record("rejected_pipelined", self.address)
            return _TOO_MANY_REQUESTS
        if self.pressure.memory.is_full:
            self.pressure.record("rejected_requests", self.address)
            return _NO_MEMORY
        # httptools does not parse the body of an upgrade request. Without its body, the upstream
        # would run a different request.
        if upgrade and any(name in _BODY_HEADERS for name, _ in self.headers):
            return _UPGRADE_WITH_BODY
        return None

    def _head_size(self) -> int:
        return len(self.url) + sum(len(name) + len(value) + 3 for name, value in self.headers)

    def on_body(self, body: bytes) -> None:
        exchange = self._last_received
        if exchange is None or exchange.response_complete or self._rejection is not None:
            return
        exchange.body += body
        exchange.hold(len(body))
        exchange.message_event.set()
        if len(exchange.body) > HIGH_WATER_LIMIT:
            self._pause_reading()

    def _pause_reading(self) -> None:
        """Pauses reading, and has the end of the connection reported apart from its input."""
        self.flow.pause_reading()
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            self.hangups.add(sock, self._on_hangup)
        if self._closed_by_caller:
            self._on_hangup()

    def _on_hangup(self) -> None:
        """Closes the connection that the caller has closed, as the transport does after input.

        While input is read, the transport finds the end itself, after what came before it.
        """
        self._closed_by_caller = True
        if self.flow.read_paused and not self.transport.is_closing():
            self.pressure.memory.counters["hangups"] += 1
            self.transport.close()

    def on_message_complete(self) -> None:
        exchange = self._last_received
        if exchange is None or exchange.response_complete or self._rejection is not None:
            return
        exchange.more_body = False
        exchange.message_event.set()

    # Requests

    def _start_asgi_task(self, cycle: Any, app: "ASGI3Application") -> None:
        self._current = cycle
        cycle.hold(REQUEST_BYTES)
        task = self.loop.create_task(cycle.run_asgi(app))
        task.add_done_callback(self.tasks.discard)
        task.add_done_callback(cycle.on_task_done)
        self.tasks.add(task)

    def on_response_complete(self) -> None:
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        self._served = True
        self.update_unsent()
        if not self._unsent_bytes:
            self._progressed_s = self.loop.time()
        if self.flow.write_paused and not self._input_stopped:
            self._next_deferred = True
        else:
            self._start_next()

    def resume_writing(self) -> None:
        """Continues after the caller has read; called by the transport."""
        super().resume_writing()
        self.update_unsent()
        if self._next_deferred and not self.transport.is_closing():
            self._next_deferred = False
            self._start_next()

    def _start_next(self) -> None:
        """Starts the next pipelined request, or waits for one."""
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
        if self._in_head or self._rejection is not None:
            self.headers.clear()  # No request uses them, and the connection lingers.
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
        self.update_unsent()
        unsent_since = self._unsent_since_s
        if unsent_since is not None and now_s - unsent_since > settings.reader_timeout_s:
            self.pressure.record("closed_stalled_readers", self.address)
            self.close_at_once()
            return
        exchange = self._current
        if exchange is not None and not exchange.response_complete:
            waiting, blocked = exchange.read_waiting_since, exchange.write_blocked_since
            if waiting is not None and now_s - waiting > settings.body_timeout_s:
                self._input_stopped = True
                exchange.fail_input(InputError(_BODY_TOO_SLOW))
            if blocked is not None and now_s - blocked > settings.reader_timeout_s:
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


def protocol_class(
    settings: CallerSettings, pressure: CallerPressure | None = None, keeps_served: bool = True
) -> type[CallerProtocol]:
    """Returns a protocol class for uvicorn that uses these settings.

    All listeners of a process share one `pressure`; by default a new one with the budget of the
    settings is created. Without `keeps_served`, any idle connection makes room for a new one.
    """
    pressure = pressure or CallerPressure(CallerMemory(settings.memory_limit_bytes))
    attributes = {
        "caller_settings": settings,
        "pressure": pressure,
        "hangups": HangupWatch(),
        "keeps_served": keeps_served,
    }
    return type("BoundCallerProtocol", (CallerProtocol,), attributes)


__all__ = ["CallerDisconnected", "CallerProtocol", "protocol_class"]
