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
from anviltray.state.exchange._queue import PeerQueue, QueueOverflow, add_queue_delay

# Larger messages are rejected. The largest ones sent are snapshot parts and chunks of members.
MAX_MESSAGE_BYTES = 1 << 18
FRAME_OVERHEAD_BYTES = 8  # Websocket frame header and mask of a short message.


class Link:
    """Owns one websocket: `write` sends queued messages within the budget, `read` receives.

    `config_version` is the newest configuration version that the peer has reported.
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
        self.last_received_s = asyncio.get_running_loop().time()
        self.last_ping_s = self.last_received_s
        self.digest_sent_s = float("-inf")
        self._budget = budget
        self._counters = counters
        self._queue = PeerQueue(counters)
        self._closing: asyncio.Task[None] | None = None
        self._immediate_sends: set[asyncio.Task[None]] = set()

    def send(self, message: Message, priority: int | None = None) -> None:
        """Queues a message; closes the connection if the peer is too slow."""
        if isinstance(message, Ping | PingAnswer):
            # If probes waited behind other data, this node would appear to have failed.
            task = asyncio.get_running_loop().create_task(self._send_now(message))
            self._immediate_sends.add(task)
            task.add_done_callback(self._immediate_sends.discard)
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
            await self._budget.wait_for_tokens(priority)
            item = self._queue.pop()
            if item is not None:
                await self._send_now(add_queue_delay(item.message, loop.time() - item.queued_s))

    async def _send_now(self, message: Message) -> None:
        data = encode_message(message)
        size = len(data) + FRAME_OVERHEAD_BYTES
        self._budget.charge(size)
        self._counters["sent_messages"] += 1
        self._counters["sent_bytes"] += size
        if self.crosses_regions:
            self._counters["link_bytes"] += size
        # The reader detects a closed connection too.
        with suppress(ConnectionClosed):
            await self._socket.send(data)

    async def read(self, on_message: Callable[["Link", Message], None]) -> None:
        """Passes received messages to `on_message` until the connection closes."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await self._socket.recv()
            except ConnectionClosed:
                return
            self.last_received_s = loop.time()
            self._counters["received_messages"] += 1
            self._counters["received_bytes"] += len(data) + FRAME_OVERHEAD_BYTES
            try:
                if isinstance(data, str):
                    raise MessageError("expected a binary message")
                message = decode_message(data)
            except MessageError:
                # A node of another version may send messages unknown to this one.
                self._counters["undecodable_messages"] += 1
                continue
            on_message(self, message)

    def discard_queued(self, message: Message) -> None:
        """Removes the queued copy of a message that the peer has already."""
        self._queue.discard(message)

    @property
    def closed_normally(self) -> bool:
        """Whether a side closed the connection because it was no longer needed."""
        return self._socket.close_code == CloseCode.NORMAL_CLOSURE

    def close(self, code: int = CloseCode.NORMAL_CLOSURE) -> asyncio.Task[None]:
        """Starts closing the connection and returns the task that does it."""
        if self._closing is None:
            loop = asyncio.get_running_loop()
            self._closing = loop.create_task(self._socket.close(code))
        return self._closing
