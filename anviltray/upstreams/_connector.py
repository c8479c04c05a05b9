"""Connections to upstreams: which idle one may be reused, and how many may be open."""

import functools
import select
from time import monotonic

from aiohttp import ClientPayloadError, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection


class _ResponseHandler(ResponseHandler):
    """Ends the body of a response when the rest of it cannot be parsed.

    aiohttp reports an invalid chunk to the reader of the next head only, and the reader of the
    body would wait for its deadline.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the body of the current response.

        aiohttp takes the loss of the connection for the end of a body without length, also if the
        upstream has reset it.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the connection was lost: {exc}"))
        super().connection_lost(exc)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Sets the error for the readers of the head and of the body."""
        payload = self._payload
        super().set_exception(exc, *cause)
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            payload.set_exception(ClientPayloadError(f"the response body is invalid: {exc}"))


class UpstreamConnector(TCPConnector):
    """aiohttp's pool with a bound per instance and a choice by idle time.

    aiohttp reuses the connection that has been idle longest. Here the one used last is taken, so
    that surplus connections age and retire, and it is checked for unread input first: a closed
    connection or a late response is found before a byte of the next request is written.
    """

    def __init__(
        self, idle_limit_s: float, connections_per_instance: int, source_ip: str = ""
    ) -> None:
        # aiohttp uses the keep-alive time only as the pause between two clean-ups here.
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
        self._open: dict[ConnectionKey, int] = {}  # Connections in use or being opened.

    def take(self, key: ConnectionKey, idle_limit_s: float) -> Connection | None:
        """Returns an idle connection of at most that idle time, or None."""
        idle = self._conns.get(key)
        if idle is None:
            return None
        now = monotonic()
        taken: ResponseHandler | None = None
        while idle:
            protocol, since = idle[-1]
            if now - since > idle_limit_s:
                break  # The others have been idle for longer.
            idle.pop()
            if _is_reusable(protocol):
                taken = protocol
                break
            protocol.close()
        if not idle:
            del self._conns[key]
        if taken is None:
            return None
        self._acquired.add(taken)
        self._open[key] = self._open.get(key, 0) + 1
        return Connection(self, key, taken, self._loop)

    async def open(
        self, request: ClientRequest, key: ConnectionKey, timeout: ClientTimeout
    ) -> Connection:
        """Opens a new connection; the caller has checked `has_room`."""
        self._open[key] = self._open.get(key, 0) + 1
        try:
            return await self.connect(request, [], timeout)
        except BaseException:
            self._closed_one(key)
            raise

    def has_room(self, key: ConnectionKey) -> bool:
        """Tells whether one more connection stays within the bound; closes old idle ones for it."""
        room = self.connections_per_instance - self._open.get(key, 0)
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
        """Closes all idle connections of an instance, so that the next exchange opens a new one."""
        for protocol, _ in self._conns.pop(key, ()):
            protocol.close()

    def open_connections(self, key: ConnectionKey) -> int:
        """Returns the number of connections to an instance, in use or idle."""
        return self._open.get(key, 0) + len(self._conns.get(key, ()))

    async def _get(self, key: ConnectionKey, traces: object) -> Connection | None:
        # `connect` asks here before it opens a connection; the choice was made in `take`.
        return None

    def _release(
        self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False
    ) -> None:
        self._closed_one(key)
        over = self.open_connections(key) >= self.connections_per_instance
        super()._release(key, protocol, should_close=should_close or over)

    def _closed_one(self, key: ConnectionKey) -> None:
        left = self._open.get(key, 0) - 1
        if left > 0:
            self._open[key] = left
        else:
            self._open.pop(key, None)

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
    """Tells whether an idle connection is open and has nothing to read.

    Input on an idle connection is its end or a late response; a response would be taken for that
    of the next request.
    """
    transport = protocol.transport
    if transport is None or transport.is_closing() or protocol.should_close:
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return not poller.poll(0)
