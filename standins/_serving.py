"""HTTP server and parsing of control calls, shared by the stand-ins."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from typing import Any, TypeVar

import falcon
import falcon.asgi
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

_Fields = TypeVar("_Fields", bound=tuple[Any, ...])
_Scope = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
_Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
_Application = Callable[[_Scope, _Receive, _Send], Awaitable[None]]

_TRANSPORT = "standins.transport"
_DISCONNECTED = "standins.disconnected"


class _Protocol(HttpToolsProtocol):
    """Adds a connection limit and passes the transport to the application."""

    connection_limit = 0
    connections_opened = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        type(self).connections_opened += 1
        if self.connection_limit and len(self.connections) > self.connection_limit:
            transport.abort()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope["extensions"] = {_TRANSPORT: self.transport}  # type: ignore[dict-item]


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers: the process may run several servers or be a test."""
        yield


def bind(address: str) -> socket.socket:
    """Returns a TCP socket bound to "IP:port"; port 0 takes a free one."""
    host, _, port = address.rpartition(":")
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol. Without it, each response
    # waits about 40 ms between head and body for a delayed acknowledgement.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> str:
    """Returns the "IP:port" that a socket is bound to."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


class HttpServer:
    """Serves a Falcon application on one address, in the running event loop.

    Connections above `connection_limit` are aborted; 0 sets no limit. If `address` has port 0,
    `start` replaces it by the actual port, which `refuse` and `listen` keep.
    """

    def __init__(self, application: Any, address: str, connection_limit: int = 0) -> None:
        self.address = address

        class Protocol(_Protocol):
            """Subclass per server, so that connections are counted per server."""

        Protocol.connection_limit = connection_limit
        self._protocol = Protocol
        config = uvicorn.Config(
            _watch_disconnects(application),
            loop="asyncio",
            http=self._protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            # Longer than the idle time-out of a node, so that nodes close idle connections first.
            timeout_keep_alive=120,
            backlog=1024,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None
        self._listening = False

    @property
    def connections_opened(self) -> int:
        """Number of connections accepted since the start, including aborted ones."""
        return self._protocol.connections_opened

    async def start(self) -> str:
        """Listens and returns the address."""
        listener = bind(self.address)
        self.address = address_of(listener)
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0.002)
        self._listening = True
        return self.address

    def refuse(self) -> None:
        """Closes the listening socket and all connections; new ones get ECONNREFUSED."""
        self._listening = False
        for server in self._server.servers:
            server.close()
        self.abort_connections()

    async def listen(self) -> None:
        """Accepts connections again after `refuse`."""
        if not self._listening:
            self._listening = True
            await self._server.startup(sockets=[bind(self.address)])

    def abort_connections(self) -> None:
        """Resets every open connection."""
        for connection in list(self._server.server_state.connections):
            transport = connection.transport
            if transport is not None:
                transport.abort()

    async def close(self) -> None:
        """Stops listening, resets the connections and cancels their requests."""
        if self._task is None:
            return
        self.refuse()
        for task in list(self._server.server_state.tasks):
            task.cancel()
        # The server's shutdown would wait 0.2 s, even though all connections are reset already.
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None


def _watch_disconnects(application: Any) -> _Application:
    async def watched(scope: _Scope, receive: _Receive, send: _Send) -> None:
        async def receive_watched() -> MutableMapping[str, Any]:
            message = await receive()
            if message["type"] == "http.disconnect":
                scope[_DISCONNECTED] = True
            return message

        with contextlib.suppress(asyncio.CancelledError):
            await application(scope, receive_watched, send)

    return watched


def is_body_truncated(request: falcon.asgi.Request) -> bool:
    """Returns whether the client disconnected before the end of the body; call it after reading.

    Falcon ends the stream in the same way for a complete body and for a disconnect.
    """
    return bool(request.scope.get(_DISCONNECTED))


def abort_connection(request: falcon.asgi.Request) -> None:
    """Resets the connection of `request`, which then gets no response."""
    request.scope["extensions"][_TRANSPORT].abort()


def write_unasked(request: falcon.asgi.Request, data: bytes) -> None:
    """Writes bytes to the connection of `request`, ahead of its response."""
    request.scope["extensions"][_TRANSPORT].write(data)


def connection_of(request: falcon.asgi.Request) -> asyncio.Transport:
    """Returns the connection of `request`, which can be referenced weakly."""
    transport: asyncio.Transport = request.scope["extensions"][_TRANSPORT]
    return transport


async def read_object(request: falcon.asgi.Request) -> dict[str, Any]:
    """Returns the JSON object in the body; an empty body counts as an empty object."""
    if not request.content_length:
        return {}
    data = await request.get_media()
    if not isinstance(data, dict):
        raise falcon.HTTPBadRequest(description="the body must be a JSON object")
    return data


class ServedStandin:
    """A stand-in that serves a Falcon application on one address."""

    def __init__(self, application: Any, address: str) -> None:
        self._server = HttpServer(application, address)

    @property
    def address(self) -> str:
        """IP:port of the stand-in."""
        return self._server.address

    @property
    def connections_opened(self) -> int:
        """Number of connections accepted since the start."""
        return self._server.connections_opened

    async def start(self) -> str:
        """Listens and returns the address."""
        return await self._server.start()

    def refuse(self) -> None:
        """Resets all connections and refuses new ones."""
        self._server.refuse()

    async def listen(self) -> None:
        """Accepts connections again after `refuse`."""
        await self._server.listen()

    def abort_connections(self) -> None:
        """Resets every open connection."""
        self._server.abort_connections()

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        await self._server.close()


def build_fields(kind: type[_Fields], data: dict[str, Any]) -> _Fields:
    """Builds a NamedTuple of bool, int, float and str fields from `data`.

    Absent fields get their defaults. Unknown names and wrong types raise HTTPBadRequest, so that a
    misspelt fault makes the test fail instead of running it without the fault.
    """
    types: dict[str, type] = kind.__annotations__
    for name, value in data.items():
        expected = types.get(name)
        if expected is None:
            raise falcon.HTTPBadRequest(description=f"unknown field {name!r}")
        accepted = (int, float) if expected is float else (expected,)
        if type(value) not in accepted:
            raise falcon.HTTPBadRequest(description=f"{name} must be {expected.__name__}")
    return kind(**data)


async def run_until_signal() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
