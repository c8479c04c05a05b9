"""One authenticated connection to a peer."""

import asyncio
from collections import Counter
from collections.abc import Callable

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from anviltray.messages import (
    Hello,
    Member,
    Message,
    MessageError,
    Ping,
    PingAnswer,
    decode_message,
    encode_message,
)
from anviltray.state.exchange._budget import ByteBudget
from anviltray.state.exchange._queue import PeerQueue, QueueOverflow, aged

# A message larger than this is refused. The largest one is a snapshot part or a chunk of members.
MAX_MESSAGE_BYTES = 1 << 18
FRAME_BYTES = 8  # Websocket frame header and mask of a short message.


class Link:
    """Owns one websocket: a writer task drains the queue within the budget, `read` delivers.

    `config_version` is the newest configuration version that the peer has named.
    """

    def __init__(
        self,
        socket: Connection,
        hello: Hello,
        *,
        opened_here: bool,
        crosses_regions: bool,
        budget: ByteBudget,
        counters: Counter[str],
    ) -> None:
        self._socket = socket
        self.peer: Member = hello.member
        self.config_version = hello.config_version
        self.opened_here = opened_here
        self.crosses_regions = crosses_regions
        self.heard_s = asyncio.get_running_loop().time()
        self.pinged_s = self.heard_s
        self.digest_sent_s = float("-inf")
        self._budget = budget
        self._counters = counters
        self._queue = PeerQueue(counters)
        self._closing: asyncio.Task[None] | None = None

    def send(self, message: Message, priority: int | None = None) -> None:
        """Queues a message; a peer that is too slow is disconnected."""
        now_s = asyncio.get_running_loop().time()
        try:
            self._queue.put(now_s, message, priority)
        except QueueOverflow:
            self._counters["overflows"] += 1
            self.close()

    async def write(self) -> None:
        """Sends queued messages until the connection closes."""
        loop = asyncio.get_running_loop()
        while True:
            item = await self._queue.get()
            data = encode_message(aged(item.message, loop.time() - item.queued_s))
            size = len(data) + FRAME_BYTES
            if isinstance(item.message, Ping | PingAnswer):
                # Waiting behind bulk data would look like a failure of this node.
                self._budget.charge(size)
            else:
                await self._budget.take(size, item.priority)
            self._counters["sent_messages"] += 1
            self._counters["sent_bytes"] += size
            if self.crosses_regions:
                self._counters["link_bytes"] += size
            try:
                await self._socket.send(data)
            except ConnectionClosed:
                return

    async def read(self, deliver: Callable[["Link", Message], None]) -> None:
        """Passes received messages to `deliver` until the connection closes."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self._socket.recv()
            except ConnectionClosed:
                return
            self.heard_s = loop.time()
            self._counters["received_messages"] += 1
            self._counters["received_bytes"] += len(data) + FRAME_BYTES
            try:
                if isinstance(data, str):
                    raise MessageError("expected a binary message")
                message = decode_message(data)
            except MessageError:
                # A node of another version may send what this one does not know.
                self._counters["undecodable_messages"] += 1
                continue
            deliver(self, message)

    def close(self) -> None:
        """Closes the connection without waiting for it."""
        if self._closing is None:
            self._closing = asyncio.get_running_loop().create_task(self._socket.close())
