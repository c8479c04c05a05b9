"""One authenticated connection to a peer."""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

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
        self._probes: set[asyncio.Task[None]] = set()

    def send(self, message: Message, priority: int | None = None) -> None:
        """Queues a message; a peer that is too slow is disconnected."""
        if isinstance(message, Ping | PingAnswer):
            # Waiting behind other data would look like a failure of this node.
            task = asyncio.get_running_loop().create_task(self._send_now(message))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)
            return
        now_s = asyncio.get_running_loop().time()
        try:
            self._queue.put(now_s, message, priority)
        except QueueOverflow:
            self._counters["overflows"] += 1
            self.close(CloseCode.TRY_AGAIN_LATER)

    async def write(self) -> None:
        """Sends queued messages until the connection closes."""
        loop = asyncio.get_running_loop()
        while True:
            priority = await self._queue.wait()
            await self._budget.turn(priority)
            item = self._queue.take()
            if item is not None:
                await self._send_now(aged(item.message, loop.time() - item.queued_s))

    async def _send_now(self, message: Message) -> None:
        data = encode_message(message)
        size = len(data) + FRAME_BYTES
        self._budget.charge(size)
        self._counters["sent_messages"] += 1
        self._counters["sent_bytes"] += size
        if self.crosses_regions:
            self._counters["link_bytes"] += size
        # The reader notices a closed connection too.
        with suppress(ConnectionClosed):
            await self._socket.send(data)

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

    def has(self, message: Message) -> None:
        """Notes that the peer has a message, so that a queued copy need not be sent."""
        self._queue.discard(message)

    @property
    def closed_in_order(self) -> bool:
        """True if one side closed a connection that it no longer needs."""
        return self._socket.close_code == CloseCode.NORMAL_CLOSURE

    def close(self, code: int = CloseCode.NORMAL_CLOSURE) -> asyncio.Task[None]:
        """Closes the connection without waiting for it; returns the task that does it."""
        if self._closing is None:
            loop = asyncio.get_running_loop()
            self._closing = loop.create_task(self._socket.close(code))
        return self._closing
