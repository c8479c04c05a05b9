"""The relay, switched in process."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable
from enum import StrEnum

from standins._serving import address_of, bind

_CHUNK_BYTES = 65536


class Direction(StrEnum):
    """Direction of bytes through a relay."""

    TO_TARGET = "to_target"  # From the connecting end.
    TO_CLIENT = "to_client"  # Back to the connecting end.


class Connection:
    """One relayed connection."""

    def __init__(self, number: int, source: str) -> None:
        self.number = number  # Counts the connections of a relay from 1.
        self.source = source  # IP address of the connecting end.
        self.silent = False  # Forwards nothing any more, not even its end.
        self.forwarded = dict.fromkeys(Direction, 0)  # Bytes.
        self.writers: list[asyncio.StreamWriter] = []


class Relay:
    """Relays TCP connections to `target` and applies faults to them.

    A cut holds back bytes and the end of a connection, as lost packets do, and delivers them after
    `heal`, as retransmission does. A new connection during a cut is accepted, since the kernel
    does that, but reaches the target only after the cut has ended in both directions. A silenced
    connection never recovers. `source` limits a fault to connections from one IP address; the
    connection to the target comes from the same address.
    """

    def __init__(self, target: str, address: str = "127.0.0.1:0") -> None:
        self.target = target
        self.address = address
        self.connections: dict[int, Connection] = {}
        self._numbers = itertools.count(1)
        self._cuts: set[tuple[Direction, str]] = set()
        self._changed = asyncio.Event()
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
        """Loses all bytes in `directions`, on current and new connections, until `heal`."""
        self._cuts.update((direction, source) for direction in directions)
        self._notify()

    def heal(self) -> None:
        """Ends all cuts; silenced connections remain silent."""
        self._cuts.clear()
        self._notify()

    def silence_current(self, source: str = "") -> None:
        """Makes all current connections permanently silent; new ones work."""
        for connection in self._matching(source):
            connection.silent = True
        self._notify()

    def silence(self, number: int) -> None:
        """Makes one connection permanently silent; raises KeyError if it is gone."""
        self.connections[number].silent = True
        self._notify()

    def reset_current(self, source: str = "") -> None:
        """Resets both ends of all current connections."""
        for connection in self._matching(source):
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

    def _matching(self, source: str) -> list[Connection]:
        return [each for each in self.connections.values() if source in ("", each.source)]

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _passing(self, connection: Connection, *directions: Direction) -> None:
        """Returns when bytes may pass in `directions`."""
        while connection.silent or any(
            (direction, source) in self._cuts
            for direction in directions
            for source in ("", connection.source)
        ):
            await self._changed.wait()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        source = writer.get_extra_info("peername")[0]
        connection = Connection(next(self._numbers), source)
        connection.writers.append(writer)
        self.connections[connection.number] = connection
        try:
            # The server's task must end without an error: asyncio would report it.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._relay(connection, reader, writer)
        finally:
            for each in connection.writers:
                each.transport.abort()
            del self.connections[connection.number]

    async def _relay(
        self, connection: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._passing(connection, *Direction)
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
                group.create_task(self._pump(connection, direction, source_end, sink))

    async def _pump(
        self,
        connection: Connection,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                await self._passing(connection, direction)
                data = await reader.read(_CHUNK_BYTES)
                await self._passing(connection, direction)
                if not data:
                    writer.write_eof()
                    return
                writer.write(data)
                connection.forwarded[direction] += len(data)
                await writer.drain()
        except OSError:
            await self._passing(connection, direction)
            writer.transport.abort()
