"""TCP relay with injected faults, controlled in process."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable
from enum import StrEnum

from standins._serving import address_of, bind

_CHUNK_BYTES = 65536


class Direction(StrEnum):
    """Direction of bytes through a relay."""

    TO_TARGET = "to_target"  # From the client.
    TO_CLIENT = "to_client"  # To the client.


class Connection:
    """One relayed connection."""

    def __init__(self, number: int, source: str) -> None:
        self.number = number  # Sequence number within the relay, from 1.
        self.source = source  # IP address of the client.
        self.silent = False  # Forwards neither data nor the end of the stream any more.
        self.forwarded = dict.fromkeys(Direction, 0)  # Forwarded bytes by direction.
        self.writers: list[asyncio.StreamWriter] = []


class Relay:
    """Relays TCP connections to `target` and applies faults to them.

    A cut simulates a network partition: it holds back data and the end of a connection, as packet
    loss does, and delivers them after `heal`, as retransmission does. A connection opened during a
    cut is accepted, since the kernel accepts it, but reaches the target only after the cut has
    ended in both directions. A silenced connection never recovers. `source` limits a fault to
    connections from one IP address; the relay connects to the target from the same address.
    """

    def __init__(self, target: str, address: str = "127.0.0.1:0") -> None:
        self.target = target
        self.address = address
        self.connections: dict[int, Connection] = {}
        self._connection_numbers = itertools.count(1)
        self._cuts: set[tuple[Direction, str]] = set()
        self._faults_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens and returns the address."""
        listener = bind(self.address)
        self.address = address_of(listener)
        self._server = await asyncio.start_server(self._accept, sock=listener)
        return self.address

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self.refuse()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def cut(self, directions: Iterable[Direction] = tuple(Direction), source: str = "") -> None:
        """Holds back all data in `directions`, on current and new connections, until `heal`."""
        self._cuts.update((direction, source) for direction in directions)
        self._notify_waiters()

    def heal(self) -> None:
        """Ends all cuts; silenced connections remain silent."""
        self._cuts.clear()
        self._notify_waiters()

    def silence_current(self, source: str = "") -> None:
        """Makes all current connections permanently silent; new connections work."""
        for connection in self._connections_from(source):
            connection.silent = True
        self._notify_waiters()

    def silence(self, number: int) -> None:
        """Makes one connection permanently silent; raises KeyError if it has closed."""
        self.connections[number].silent = True
        self._notify_waiters()

    def reset_current(self, source: str = "") -> None:
        """Resets all current connections to the client and to the target."""
        for connection in self._connections_from(source):
            for writer in connection.writers:
                writer.transport.abort()

    def refuse(self) -> None:
        """Closes the listening socket and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_current()

    async def listen(self) -> None:
        """Accepts connections again after `refuse`."""
        if self._server is None:
            await self.start()

    def _connections_from(self, source: str) -> list[Connection]:
        return [each for each in self.connections.values() if source in ("", each.source)]

    def _notify_waiters(self) -> None:
        changed, self._faults_changed = self._faults_changed, asyncio.Event()
        changed.set()

    async def _wait_until_open(self, connection: Connection, *directions: Direction) -> None:
        """Returns when no fault blocks `connection` in `directions`."""
        while connection.silent or any(
            (direction, source) in self._cuts
            for direction in directions
            for source in ("", connection.source)
        ):
            await self._faults_changed.wait()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        source = writer.get_extra_info("peername")[0]
        connection = Connection(next(self._connection_numbers), source)
        connection.writers.append(writer)
        self.connections[connection.number] = connection
        try:
            # asyncio would log an exception of the server's task.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._relay(connection, reader, writer)
        finally:
            for each in connection.writers:
                each.transport.abort()
            del self.connections[connection.number]

    async def _relay(
        self, connection: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._wait_until_open(connection, *Direction)
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port), local_addr=(connection.source, 0)
        )
        connection.writers.append(target_writer)
        async with asyncio.TaskGroup() as group:
            for direction, source_end, sink in (
                (Direction.TO_TARGET, reader, target_writer),
                (Direction.TO_CLIENT, target_reader, writer),
            ):
                group.create_task(self._forward(connection, direction, source_end, sink))

    async def _forward(
        self,
        connection: Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                await self._wait_until_open(connection, direction)
                data = await reader.read(_CHUNK_BYTES)
                await self._wait_until_open(connection, direction)
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                connection.forwarded[direction] += len(data)
                await writer.drain()
        except OSError:
            await self._wait_until_open(connection, direction)
            writer.transport.abort()
