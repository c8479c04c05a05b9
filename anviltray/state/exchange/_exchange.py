"""The task that connects a node with its peers."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import logbook
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException
from websockets.frames import CloseCode

from anviltray.messages import (
    SCHEMA_VERSION,
    ConfigAnnounce,
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    Counters,
    Ejection,
    Evidence,
    Hello,
    LoadDigest,
    Member,
    Members,
    MembersDigest,
    Message,
    Ping,
    PingAnswer,
    Query,
    QueryAnswer,
)
from anviltray.platform import HostEntry
from anviltray.settings import Settings
from anviltray.state.configuration import ConfigurationStore
from anviltray.state.exchange._budget import ByteBudget
from anviltray.state.exchange._config_sync import ConfigSync, RegionRank
from anviltray.state.exchange._connector import (
    CLOSE_TIMEOUT_S,
    OPEN_TIMEOUT_S,
    PEER_PATH,
    Backoff,
    ConnectFailed,
    open_connection,
)
from anviltray.state.exchange._flood import FloodFilter
from anviltray.state.exchange._handshake import (
    HandshakeError,
    WrongKey,
    authenticate,
    make_hello,
)
from anviltray.state.exchange._link import MAX_MESSAGE_BYTES, Link
from anviltray.state.exchange._member_sync import MemberSync
from anviltray.state.exchange._queries import Queries, QueryHandler, QueryResult
from anviltray.state.membership import (
    Location,
    Membership,
    rendezvous_rank,
    select_peers,
)

_log = logbook.Logger("anviltray.state.exchange")
_Message = TypeVar("_Message")

_BURST_S = 2.0  # Seconds of the byte budget that may be sent at once.
_ANNOUNCE_INTERVAL_S = 2.0  # Configuration anti-entropy with one peer.
_DIGEST_INTERVAL_S = 10.0  # Membership anti-entropy with one peer; a digest takes about 600 bytes.
_STRANGER_INTERVAL_S = 10.0  # Probe of a node without a connection, so none stays unobserved.
# Evidence of other nodes is passed on to so many peers. About 0.25 % of the nodes miss a message,
# and the next one of the same node replaces it; all 16 peers would take the byte budget of 48 nodes
# that report the same upstream.
_FANOUT = 6
_INBOUND_PER_PEER = 4  # Accepted connections as a multiple of the opened ones.


class Exchange:
    """Owns the connections to the peers and the membership.

    `on` registers a handler for one message type, called as `handler(now_s, message)` once for
    each new message. Evidence, Ejection, Leaving and Query reach every node, Counters every node of
    the availability zone, LoadDigest the connected peers. `counters` holds the numbers of messages
    and bytes, `link_bytes` for other regions, and failures.
    """

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        key: bytes,
        rng: random.Random,
    ) -> None:
        self._settings = settings.exchange
        self._location = Location(settings.region, settings.zone)
        self._store = store
        self._key = key
        self._rng = rng
        self.counters: Counter[str] = Counter()
        self.membership = Membership(_own_member(settings, rng), settings.exchange, rng)
        self._hosts: tuple[HostEntry, ...] = ()
        self._links: dict[str, Link] = {}
        self._connecting: set[str] = set()
        self._backoff = Backoff()
        self._flood_filter = FloodFilter()
        self._budget = ByteBudget(settings.exchange.budget_bytes_s, _BURST_S)
        self._config = ConfigSync(
            store, settings.region, lambda: tuple(self._links.values()), self._region_rank
        )
        self._members = MemberSync(
            self.membership,
            settings.exchange,
            rng,
            self.counters,
            self._links,
            hello=self._hello,
            key=key,
            drop=self._drop,
            forward=self._forward,
            spawn=self._spawn,
            changed=self._member_changed,
        )
        self._queries = Queries(settings.node, lambda _: (), self._flood_own, self._send_to)
        self._handlers: dict[type[Any], list[Callable[[float, Any], None]]] = {}
        self._member_listeners: list[Callable[[Member], None]] = []
        self._key_states: dict[str, bool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self._wake = asyncio.Event()
        self._stopping = False
        self._internal = self._internal_handlers()

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the connected nodes."""
        return tuple(self._links)

    @property
    def isolated(self) -> bool:
        """True if this node knows others and has no connection to any."""
        return not self._links and len(self.membership.usable()) > 1

    def on(self, kind: type[_Message], handler: Callable[[float, _Message], None]) -> None:
        """Registers a handler for one type of message from other nodes."""
        self._handlers.setdefault(kind, []).append(handler)

    def subscribe_to_members(self, listener: Callable[[Member], None]) -> None:
        """Calls `listener` with each member that changes, also with one that dies."""
        self._member_listeners.append(listener)

    def set_query_handler(self, handler: QueryHandler) -> None:
        """Sets the function that answers an operator's query with rows."""
        self._queries.handler = handler

    def set_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Takes the platform's host list as a hint."""
        self.membership.hint(hosts)
        if hosts != self._hosts:
            self._hosts = hosts
            self._wake.set()

    def send(self, message: Message) -> None:
        """Sends a message of this node to its peers."""
        self._flood_filter.is_new(self._now_s(), message)
        self._forward(message, None)

    async def query(self, text: str, timeout_s: float) -> QueryResult:
        """Asks every node; names those that did not answer within `timeout_s`."""
        nodes = [member.node for member in self.membership.usable()]
        return await self._queries.ask(text, timeout_s, nodes)

    def not_ready_reason(self) -> str | None:
        """Returns why the configuration does not let this node serve yet."""
        return self._store.not_ready_reason()

    async def start(self) -> None:
        """Listens at the peer address and starts the tasks; raises OSError if it is in use."""
        host, _, port = self.membership.own.peer_address.rpartition(":")
        self._server = await serve(
            self._accept,
            host.removeprefix("[").removesuffix("]"),
            int(port),
            compression=None,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            max_size=MAX_MESSAGE_BYTES,
            server_header=None,
        )
        for task in (self._connect_peers(), self._members.detect_failures(), self._repair()):
            self._spawn(task)

    async def stop(self) -> None:
        """Tells the peers that this node leaves, then closes everything."""
        self._stopping = True
        self._forward(Members((self.membership.leave(),)), None)
        # The writers get one flush interval to send the news.
        await asyncio.sleep(self._settings.flush_interval_s)
        await self.abort()

    async def abort(self) -> None:
        """Closes everything without telling the peers."""
        self._stopping = True
        self._config.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*self._closing, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    # Connections

    async def _connect_peers(self) -> None:
        """Keeps connections to the selected peers open."""
        while True:
            self._wake.clear()
            complete = self._choose_peers()
            # The selection takes milliseconds at fleet scale, so it is not repeated without need.
            timeout_s = self._settings.ping_interval_s if not complete else _DIGEST_INTERVAL_S
            try:
                async with asyncio.timeout(timeout_s):
                    await self._wake.wait()
            except TimeoutError:
                continue
            # Several changes within a short time cost one selection.
            await asyncio.sleep(self._settings.flush_interval_s)

    def _choose_peers(self) -> bool:
        """Opens missing connections and closes surplus ones; returns True if none is missing."""
        now_s = self._now_s()
        candidates = {
            member.node: member
            for member in self.membership.candidates()
            if member.node in self._links or not self._backoff.blocked(now_s, member.peer_address)
        }
        chosen = select_peers(
            self.membership.own.node, self._location, candidates.values(), self._settings.peers
        )
        missing = [candidates[node].peer_address for node in chosen if node not in self._links]
        if not candidates:
            missing = [
                address
                for address in self._settings.seeds
                if address != self.membership.own.peer_address
                and not self._backoff.blocked(now_s, address)
            ]
        for address in missing:
            if address not in self._connecting:
                self._connecting.add(address)
                self._spawn(self._open(address))
        if not missing and not self._connecting:
            for node, link in tuple(self._links.items()):
                if link.opened_here and node not in chosen:
                    link.close()
        return bool(candidates) and not missing

    async def _open(self, address: str) -> None:
        try:
            socket, other = await open_connection(address, PEER_PATH, self._hello(), self._key)
        except HandshakeError as error:
            self._refused(address, error)
        except ConnectFailed:
            self.counters["connect_failures"] += 1
            self._backoff.failed(self._now_s(), address)
            self._members.address_failed(address)
        else:
            self._accepted(address)
            self._backoff.succeeded(address)
            self._connecting.discard(address)
            await self._run_link(socket, other, opened_here=True)
        finally:
            self._connecting.discard(address)

    async def _accept(self, socket: ServerConnection) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        remote = str(socket.remote_address[0]) if socket.remote_address else "unknown"
        path = socket.request.path if socket.request is not None else ""
        inbound = sum(1 for link in self._links.values() if not link.opened_here)
        if path == PEER_PATH and inbound >= _INBOUND_PER_PEER * self._settings.peers:
            self.counters["refused_full"] += 1
            return
        try:
            other = await authenticate(
                socket, self._hello(), self._key, opener=False, timeout_s=OPEN_TIMEOUT_S
            )
        except HandshakeError as error:
            self._refused(remote, error)
            return
        except (OSError, WebSocketException):
            self.counters["connect_failures"] += 1
            return
        self._accepted(remote)
        if path == PEER_PATH and not self._stopping:
            await self._run_link(socket, other, opened_here=False)

    async def _run_link(self, socket: Any, other: Hello, *, opened_here: bool) -> None:
        link = Link(
            socket,
            other,
            opened_here=opened_here,
            crosses_regions=other.member.region != self._location.region,
            budget=self._budget,
            counters=self.counters,
        )
        if not self._register(link):
            await socket.close()
            return
        writer = asyncio.create_task(link.write())
        try:
            self._link_up(link)
            await link.read(self._deliver)
        finally:
            writer.cancel()
            if self._links.get(link.peer.node) is link:
                del self._links[link.peer.node]
                self._link_down(link)
            closing = link.close(
                CloseCode.GOING_AWAY if self._stopping else CloseCode.NORMAL_CLOSURE
            )
            self._closing.add(closing)
            closing.add_done_callback(self._closing.discard)

    def _register(self, link: Link) -> bool:
        """Keeps one of two connections with the same node; both sides choose the same one."""
        node = link.peer.node
        other = self._links.get(node)
        if other is not None and other.peer.incarnation == link.peer.incarnation:
            by_smaller = self.membership.own.node < node
            if other.opened_here != link.opened_here and link.opened_here != by_smaller:
                return False
        self._links[node] = link
        if other is not None:
            other.close()
        return True

    def _link_up(self, link: Link) -> None:
        self._members.link_up(link)
        self._config.link_up(link)
        self._wake.set()

    def _link_down(self, link: Link) -> None:
        self._config.link_down(link)
        if not self._stopping and not link.closed_in_order:
            self._members.link_lost(link)
        self._wake.set()

    def _drop(self, link: Link, code: int) -> None:
        """Closes a connection and removes it without waiting for the other side."""
        link.close(code)
        if self._links.get(link.peer.node) is link:
            del self._links[link.peer.node]
            self._link_down(link)

    def _hello(self) -> Hello:
        return make_hello(self.membership.own, SCHEMA_VERSION, self._store.version)

    def _refused(self, remote: str, error: HandshakeError) -> None:
        self.counters["wrong_keys" if isinstance(error, WrongKey) else "refused_peers"] += 1
        self._backoff.failed(self._now_s(), remote)
        if self._key_states.get(remote, True):
            self._key_states[remote] = False
            _log.warning("peer connection with {} refused: {}", remote, error)

    def _accepted(self, remote: str) -> None:
        if not self._key_states.pop(remote, True):
            _log.info("peer connection with {} accepted again", remote)

    # Messages

    def _internal_handlers(self) -> dict[type[Message], Callable[[Link, Any], None]]:
        return {
            Ping: self._members.on_ping,
            PingAnswer: self._members.on_ping_answer,
            Members: self._members.on_members,
            MembersDigest: self._members.on_digest,
            ConfigAnnounce: self._config.on_announce,
            ConfigRequest: self._config.on_request,
            ConfigRecords: self._config.on_records,
            ConfigSnapshot: self._config.on_snapshot,
            QueryAnswer: lambda _, message: self._queries.on_answer(message),
        }

    def _deliver(self, link: Link, message: Message) -> None:
        internal = self._internal.get(type(message))
        if internal is not None:
            internal(link, message)
            return
        now_s = self._now_s()
        if isinstance(message, Evidence | Ejection | LoadDigest | Counters) and (
            message.node == self.membership.own.node
            or not self.membership.is_current(message.node, message.incarnation)
        ):
            return
        link.has(message)
        if not self._flood_filter.is_new(now_s, message):
            self.counters["duplicate_messages"] += 1
            return
        self._handle(link, now_s, message)
        if not isinstance(message, LoadDigest):
            self._forward(message, link)

    def _handle(self, link: Link, now_s: float, message: Message) -> None:
        """Calls the handlers; an error in one of them must not close the connection."""
        try:
            if isinstance(message, Query):
                self._queries.on_query(link.peer.node, message)
            for handler in self._handlers.get(type(message), ()):
                handler(now_s, message)
        except Exception:
            self.counters["handler_errors"] += 1
            _log.exception("handler of {} failed", type(message).__name__)

    def _forward(self, message: Message, source: Link | None) -> None:
        """Queues a message for every peer but its source, or for some of them."""
        links = [link for link in self._links.values() if link is not source]
        if isinstance(message, Counters):
            links = [link for link in links if (link.peer.region, link.peer.zone) == self._location]
        elif isinstance(message, Evidence) and source is not None and len(links) > _FANOUT:
            links = self._rng.sample(links, _FANOUT)
        for link in links:
            link.send(message)

    def _flood_own(self, query: Query) -> None:
        self.send(query)

    def _send_to(self, node: str, answer: QueryAnswer) -> None:
        link = self._links.get(node)
        if link is not None:
            link.send(answer)

    def _member_changed(self, member: Member) -> None:
        for listener in self._member_listeners:
            listener(member)
        self._wake.set()

    async def _repair(self) -> None:
        """Anti-entropy of configuration and membership, and probes of unconnected nodes."""
        next_digest_s = next_stranger_s = self._now_s() + _DIGEST_INTERVAL_S
        while True:
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            now_s = self._now_s()
            self._config.retry()
            if self._links:
                self._config.announce_to(self._rng.choice(tuple(self._links.values())))
            if self._links and now_s >= next_digest_s:
                next_digest_s = now_s + _DIGEST_INTERVAL_S
                self._members.send_digest(self._rng.choice(tuple(self._links.values())))
            if now_s >= next_stranger_s:
                next_stranger_s = now_s + _STRANGER_INTERVAL_S
                await self._members.probe_stranger()
                self._try_seed()

    def _try_seed(self) -> None:
        """Connects to a seed that is no member, as after a partition that outlived the memory."""
        now_s = self._now_s()
        known = {member.peer_address for member in self.membership.usable()}
        unknown = [address for address in self._settings.seeds if address not in known]
        if unknown:
            address = self._rng.choice(unknown)
            if address not in self._connecting and not self._backoff.blocked(now_s, address):
                self._connecting.add(address)
                self._spawn(self._open(address))

    def _region_rank(self) -> RegionRank:
        region = self._location.region
        nodes = [member.node for member in self.membership.serving() if member.region == region]
        position = rendezvous_rank(f"configuration|{region}", self.membership.own.node, nodes)
        return RegionRank(position, len(nodes))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters["task_errors"] += 1
            _log.critical("exchange task failed: {!r}", task.exception())

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()


def _own_member(settings: Settings, rng: random.Random) -> Member:
    """Returns this node with a new incarnation."""
    return Member(
        settings.node,
        rng.getrandbits(63),
        0,
        "alive",
        settings.region,
        settings.zone,
        settings.caller_address,
        settings.peer_address,
    )
