"""One request of a caller and its response, built on uvicorn's request cycle.

Falcon's resources use the ASGI `receive` and `send` of the base class. Proxied requests use the
methods here, which write the head together with the first bytes of the body and avoid ASGI message
dictionaries.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, RequestResponseCycle

from anviltray.callers._problems import (
    InputError,
    Problem,
    problem_body,
    problem_headers,
)
from anviltray.decisions.limits import CallerMemory

if TYPE_CHECKING:
    from anviltray.callers._protocol import CallerProtocol

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on with 0 s.
_ORDERLY_CLOSE = struct.pack("ii", 0, 0)  # SO_LINGER off, the default.


class CallerDisconnected(InputError):
    """The caller closed the connection before the request body was complete."""

    def __init__(self) -> None:
        super().__init__(Problem(400, "caller-left", "the caller closed the connection"))


class CallerExchange(RequestResponseCycle):
    """One request and its response."""

    def __init__(self, protocol: "CallerProtocol", scope: Any, keep_alive: bool, expect: bool):
        super().__init__(
            scope=scope,
            transport=protocol.transport,
            flow=protocol.flow,
            logger=protocol.logger,
            access_logger=protocol.access_logger,
            access_log=False,
            default_headers=protocol.server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=expect,
            keep_alive=keep_alive,
            on_response=protocol.on_response_complete,
        )
        self.protocol = protocol
        self.input_error: InputError | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.on_ended: Callable[[], None] | None = None  # Called when the task has ended.
        self.read_waiting_since: float | None = None  # Loop time; None unless waiting for the body.
        self.write_blocked_since: float | None = None  # Loop time; None unless waiting to write.
        self._write_blocked_s = 0.0  # Total of the finished waits to write.
        self._chunked = False
        self._ends_by_close = False  # Whether the end of the connection ends the response.
        self.held_bytes = 0  # Memory of the head, the body and the response of this request.
        self._detached = False  # Whether the connection was lost while the request continues.
        self._finished = False

    @property
    def caller(self) -> str:
        """IP address of the caller."""
        client = self.scope["client"]
        return client[0] if client else ""

    @property
    def memory(self) -> CallerMemory:
        """The memory for callers, of which this request holds a part."""
        return self.protocol.pressure.memory

    def write_blocked_s(self) -> float:
        """Returns for how many seconds the response has waited for the caller to read."""
        if self.write_blocked_since is None:
            return self._write_blocked_s
        return self._write_blocked_s + self.protocol.loop.time() - self.write_blocked_since

    def hold(self, change_bytes: int) -> None:
        """Adds to the memory that this request holds, or subtracts from it."""
        if self._finished:
            return
        self.held_bytes += change_bytes
        if self._detached:
            self.memory.used_bytes += change_bytes
        else:
            self.protocol.hold(change_bytes)

    def relieve(self) -> None:
        """Closes connections of callers if the memory for them is short."""
        self.protocol.pressure.relieve()

    def detach(self) -> int:
        """Returns the bytes that remain held after the connection was lost."""
        self._detached = True
        return self.held_bytes

    def release(self) -> None:
        """Gives the memory back; called when the task has ended or is about to end."""
        self.hold(-self.held_bytes)
        self._finished = True
        self.body = bytearray()

    def on_task_done(self, task: "asyncio.Task[None]") -> None:
        """Gives the memory of the request back; called when its task has ended."""
        self.release()
        self.drop_head()
        self.input_error = None
        if self.on_ended is not None:
            self.on_ended()
            self.on_ended = None

    def drop_head(self) -> None:
        """Drops the header fields, which the request has copied or will not need.

        Objects of a lost connection refer to each other until the garbage collector runs.
        """
        self.scope["headers"].clear()  # type: ignore[attr-defined]

    async def receive(self) -> Any:
        """Returns the next ASGI message for an application that does not use `read_body`.

        Such an application collects the body, so it counts as held until the request ends.
        """
        if self.more_body and not self.body and self.input_error is None:
            self.read_waiting_since = self.protocol.loop.time()
        try:
            message = await super().receive()
        finally:
            self.read_waiting_since = None
        return {"type": "http.disconnect"} if self.input_error is not None else message

    async def send(self, message: Any) -> None:
        """Sends one ASGI message of an application that does not use the methods below."""
        await super().send(message)
        self.protocol.update_unsent()

    def fail_input(self, error: InputError) -> None:
        """Makes reading the request body fail with `error`."""
        self.input_error = error
        self.keep_alive = False
        self.message_event.set()

    async def read_body(self) -> tuple[bytes, bool]:
        """Returns the next bytes of the body and whether more follow; raises InputError."""
        if self.waiting_for_100_continue and not self.transport.is_closing():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            self.waiting_for_100_continue = False
        while not self.body and self.more_body and self.input_error is None:
            if self.disconnected:
                raise CallerDisconnected
            self.flow.resume_reading()
            self.message_event.clear()
            self.read_waiting_since = self.protocol.loop.time()
            try:
                await self.message_event.wait()
            finally:
                self.read_waiting_since = None
        if self.input_error is not None:
            raise self.input_error
        chunk = bytes(self.body)
        self.body = bytearray()
        self.hold(-len(chunk))
        if self.more_body:
            self.flow.resume_reading()
        return chunk, self.more_body

    def respond(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes, close: bool = False
    ) -> None:
        """Writes a complete response; `headers` must include its length."""
        if self.disconnected:
            return
        head = self._head(status, headers, close)
        if body and self.scope["method"] != "HEAD":
            head.append(body)
        self.transport.write(b"".join(head))
        self._complete()

    def respond_problem(
        self, problem: Problem, request_id: str | None = None, close: bool = False
    ) -> None:
        """Writes a problem document."""
        if problem.close or self.more_body:
            # The rest of the body stays unread, so the connection cannot carry another request.
            close = True
        body = problem_body(problem, request_id)
        headers = [*self.protocol.server_state.default_headers, *problem_headers(problem, body)]
        self.respond(problem.status, headers, body, close)

    async def begin(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        first_chunk: bytes,
        close: bool = False,
    ) -> None:
        """Writes the head and the first chunk of a streamed response."""
        if self.disconnected:
            return
        has_length = any(name == b"content-length" for name, _ in headers)
        bodiless = self.scope["method"] == "HEAD" or status in (204, 304)
        extra: list[tuple[bytes, bytes]] = []
        if not has_length and not bodiless:
            if self.scope["http_version"] == "1.1":
                self._chunked = True
                extra = [(b"transfer-encoding", b"chunked")]
            else:
                # HTTP/1.0 has no chunked coding: closing the connection ends the body, and a reset
                # indicates that it was truncated. The kernel resets it whatever closes it before
                # `end`, also if the process is killed.
                close = self._ends_by_close = True
                self._set_linger(_RESET_ON_CLOSE)
                # Each write waits until the kernel has all bytes, so none are lost after `end`.
                self.transport.set_write_buffer_limits(high=0)
        head = self._head(status, [*headers, *extra], close)
        if first_chunk:
            head.extend(self._frame(first_chunk))
        self.transport.write(b"".join(head))
        self.protocol.update_unsent()
        if self.flow.write_paused:
            await self._drain()

    async def write(self, chunk: bytes) -> None:
        """Writes one chunk; waits while the write buffer is full; no-op after a disconnect."""
        if self.disconnected:
            return
        if self._chunked:
            self.transport.write(b"".join(self._frame(chunk)))
        else:
            self.transport.write(chunk)
        self.protocol.update_unsent()
        if self.flow.write_paused:
            await self._drain()

    def end(self) -> None:
        """Ends a streamed response."""
        if self.disconnected:
            return
        if self._chunked:
            self.transport.write(b"0\r\n\r\n")
        elif self._ends_by_close:
            self._set_linger(_ORDERLY_CLOSE)
        self._complete()

    def abort(self) -> None:
        """Resets the connection, so that a truncated response cannot look complete."""
        self.disconnected = True
        if self.transport.is_closing():
            return
        self._set_linger(_RESET_ON_CLOSE)
        self.transport.abort()

    def _set_linger(self, option: bytes) -> None:
        """Sets how the kernel closes the connection."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _head(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], close: bool
    ) -> list[bytes]:
        self.response_started = True
        if close or (self.more_body and not self.body):
            self.keep_alive = False
        parts = [STATUS_LINE[status]]
        for name, value in headers:
            parts += (name, b": ", value, b"\r\n")
        # aiohttp's parser is lenient about field values; a line break would split the response.
        block = b"".join(parts)
        if block.count(b"\n") != len(headers) + 1 or block.count(b"\r") != len(headers) + 1:
            raise ValueError("a response header contains a line break")
        if self.keep_alive:
            return [block, b"\r\n"]
        return [block, b"connection: close\r\n\r\n"]

    def _frame(self, chunk: bytes) -> tuple[bytes, ...]:
        if self._chunked:
            return (b"%x\r\n" % len(chunk), chunk, b"\r\n")
        return (chunk,)

    async def _drain(self) -> None:
        self.write_blocked_since = since = self.protocol.loop.time()
        try:
            await self.flow.drain()
        finally:
            self.write_blocked_since = None
            self._write_blocked_s += self.protocol.loop.time() - since

    def _complete(self) -> None:
        self.response_complete = True
        self.message_event.set()
        if not self.keep_alive:
            self.protocol.close_after_response()
        self.on_response()
