"""Serves callers with uvicorn until a stop event is set."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol

import logbook
import uvicorn

from anviltray.callers._pressure import CallerPressure
from anviltray.callers._protocol import CallerProtocol, protocol_class
from anviltray.settings import CallerSettings, build_caller_settings

_log = logbook.Logger("anviltray.callers")

# Interval between checks of the time limits of connections.
CHECK_INTERVAL_S = 0.25
INTERNAL_CHECK_INTERVAL_S = 1.0
# Idle connections of the platform and of other hosts are closed after this time.
_INTERNAL_IDLE_LIMIT_S = 5.0
_INTERNAL_HEAD_TIMEOUT_S = 5.0
BACKLOG = 2048
# Connections that are accepted before those before them are checked against the limits. asyncio
# accepts as many at once as the listener queues, by default.
_ACCEPT_BATCH = 32
_HEADERS_INTERVAL_S = 1.0  # The Date header has a resolution of a second.


class Application(Protocol):
    """ASGI application that serves callers."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request."""

    def expire_queued(self) -> None:
        """Expires requests that have waited too long; called several times a second."""


class _Server(uvicorn.Server):
    """uvicorn's server without its signal handlers and its ten wake-ups a second.

    The node handles signals itself, and ends the server by `request_exit`.
    """

    def __init__(
        self, config: uvicorn.Config, on_started: Callable[[], None] = lambda: None
    ) -> None:
        super().__init__(config)
        self._on_started = on_started
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        """Ends `serve` after a graceful shutdown."""
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        """Keeps the default headers current until the end is requested."""
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_HEADERS_INTERVAL_S):
                    await self._exit_requested.wait()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts accepting connections, then calls `on_started`."""
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(BACKLOG)
        self._on_started()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield


def bind(address: str) -> socket.socket:
    """Returns a listening socket for "IP:port"; raises OSError."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets with this protocol number. Without it, a response
    # written in several parts waits 40 ms for the delayed acknowledgement of the caller.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host.strip("[]"), int(port)))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


async def serve(
    application: Application,
    settings: CallerSettings,
    listener: socket.socket,
    stop: asyncio.Event,
    on_started: Callable[[], None] = lambda: None,
    protocol: type[CallerProtocol] | None = None,
) -> None:
    """Serves on `listener` until `stop` is set, then shuts down gracefully.

    Before it sets `stop`, the node announces its shutdown (`context.shutting_down`) and waits for
    the lifetime of the entry addresses that it has returned to callers. Then the listener is closed
    at once, idle connections after a short grace period and the others after their last response.
    With a `protocol` from `protocol_class`, the limits can be changed while serving.
    """
    protocol = protocol or protocol_class(settings)
    config = uvicorn.Config(
        application,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        backlog=_ACCEPT_BATCH,
        timeout_graceful_shutdown=None,
    )
    config.load()
    # Bypasses uvicorn's wrappers, which are needed only for options that are off here.
    config.loaded_app = application
    server = _Server(config, on_started)
    checks = asyncio.create_task(
        _check_timeouts(server, CHECK_INTERVAL_S, application.expire_queued)
    )
    serving = asyncio.create_task(server.serve([listener]))
    stopping = asyncio.create_task(stop.wait())
    try:
        await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
        server.request_exit()
        await serving
    finally:
        for task in (checks, stopping):
            task.cancel()
        if not serving.done():
            serving.cancel()
        await asyncio.gather(checks, stopping, serving, return_exceptions=True)
        protocol.hangups.close()


def internal_settings(connection_limit: int = 256) -> CallerSettings:
    """Returns the limits of addresses for the platform, operators and other hosts."""
    return build_caller_settings(
        {
            "answer_lifetime_s": _INTERNAL_IDLE_LIMIT_S,
            "head_timeout_s": _INTERNAL_HEAD_TIMEOUT_S,
            "connection_limit": connection_limit,
        }
    )


async def serve_internal(
    application: Any,
    listeners: Sequence[socket.socket],
    stop: asyncio.Event,
    pressure: CallerPressure | None = None,
    connection_limit: int = 256,
) -> None:
    """Serves an ASGI application on several listeners until `stop` is set.

    Anyone may connect to these addresses, so they share the memory of `pressure` with callers, but
    not their number of connections: the platform still gets a response while callers hold theirs.
    """
    protocol = protocol_class(internal_settings(connection_limit), pressure, keeps_served=False)
    config = uvicorn.Config(
        application,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        backlog=_ACCEPT_BATCH,
    )
    server = _Server(config)
    checks = asyncio.create_task(_check_timeouts(server, INTERNAL_CHECK_INTERVAL_S))
    serving = asyncio.create_task(server.serve(list(listeners)))
    try:
        await stop.wait()
        server.request_exit()
        await serving
    finally:
        checks.cancel()
        await asyncio.gather(checks, return_exceptions=True)
        protocol.hangups.close()


async def _check_timeouts(
    server: uvicorn.Server, interval_s: float, expire_queued: Callable[[], None] = lambda: None
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(interval_s)
        try:
            now = loop.time()
            for connection in list(server.server_state.connections):
                if isinstance(connection, CallerProtocol):
                    connection.check_timeouts(now)
            expire_queued()
        except Exception:
            # The loop must continue: without it, slow callers could hold connections indefinitely.
            _log.exception("unexpected error while enforcing the time limits of connections")
