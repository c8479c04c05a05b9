"""Connection pool for upstreams with checked reuse and a limit per instance."""

import functools
import select
from time import monotonic

from aiohttp import ClientPayloadError, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection


class _ResponseHandler(ResponseHandler):
    """Fails the body of a response if the remaining bytes cannot be parsed.

    aiohttp reports an invalid chunk only to the reader of the next response head, so the reader of
    the body would wait until its deadline.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the body of the current response if the connection was lost with an error.

        aiohttp treats a lost connection as the end of a body without length, even if the upstream
        has reset the connection.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the connection was lost: {exc}"))
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
    """

    def __init__(
        self, idle_limit_s: float, connections_per_instance: int, source_ip: str = ""
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
        self._factory = functools.partial(_ResponseHandler, loop=self._loop)  # type: ignore[assignment]
        self._idle_limit_s = idle_limit_s
        self.connections_per_instance = connections_per_instance
        self._open_counts: dict[ConnectionKey, int] = {}  # Connections in use or being opened.

    def acquire_idle(self, key: ConnectionKey, idle_limit_s: float) -> Connection | None:
        """Returns an idle connection within the idle limit, or None if there is none."""
        idle = self._conns.get(key)
        if idle is None:
            return None
        now = monotonic()
        reused: ResponseHandler | None = None
        while idle:
            protocol, idle_since = idle[-1]
            if now - idle_since > idle_limit_s:
                break  # The remaining ones have been idle for longer.
            idle.pop()
            if _is_reusable(protocol):
                reused = protocol
                break
            protocol.close()
        if not idle:
            del self._conns[key]
        if reused is None:
            return None
        self._acquired.add(reused)
        self._open_counts[key] = self._open_counts.get(key, 0) + 1
        return Connection(self, key, reused, self._loop)

    async def open(
        self, request: ClientRequest, key: ConnectionKey, timeout: ClientTimeout
    ) -> Connection:
        """Opens a new connection; the caller must have checked `has_room`."""
        self._open_counts[key] = self._open_counts.get(key, 0) + 1
        try:
            return await self.connect(request, [], timeout)
        except BaseException:
            self._decrement_open_count(key)
            raise

    def has_room(self, key: ConnectionKey) -> bool:
        """Returns whether one more connection is allowed; closes old idle ones to make room."""
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

    def _cleanup(self) -> None:
        # aiohttp calls this every `keepalive_timeout` while there are idle connections.
        if self._cleanup_handle is not None:
            self._cleanup_handle.cancel()
            self._cleanup_handle = None
        oldest = monotonic() - self._idle_limit_s
        for key in list(self._conns):
            idle = self._conns[key]
            while idle and (idle[0][1] < oldest or not idle[0][0].is_connected()):
                idle.popleft()[0].close()
            if not idle:
                del self._conns[key]
        if self._conns:
            self._cleanup_handle = self._loop.call_later(self._idle_limit_s / 4, self._cleanup)


def _is_reusable(protocol: ResponseHandler) -> bool:
    """Returns whether an idle connection is open and has no unread input.

    Input on an idle connection is an end of file or a late response, which would be mistaken for
    the response to the next request.
    """
    transport = protocol.transport
    if transport is None or transport.is_closing() or protocol.should_close:
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poller.poll(0)
