"""Connections of a node to its peers, and the delivery of messages over them."""

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

_BURST_S = 2.0  # Burst of the byte budget, in seconds of its rate.
_ANNOUNCE_INTERVAL_S = 2.0  # Anti-entropy of the configuration, with one peer each time.
# Anti-entropy of the membership, with one peer each time; a digest takes about 600 bytes.
_DIGEST_INTERVAL_S = 10.0
# Interval at which one random node without a connection is probed, to detect its failure too.
_UNCONNECTED_PROBE_INTERVAL_S = 10.0
# Number of peers to which evidence of other nodes is forwarded. About 0.25 % of the nodes miss a
# message, which the next one of the same node replaces. Forwarding to all 16 peers would use up the
# byte budget of a fleet of 48 nodes that all report the same upstream.
_FANOUT = 6
_INBOUND_PER_PEER = 4  # Limit of accepted connections, as a multiple of the opened ones.


class Exchange:
    """Owns the connections to the peers and the membership.

    `add_handler` registers a handler for one message type, called as `handler(now_s, message)` once
    for each new message. Evidence, Ejection, DrainingUpstreams and Query are sent to every node,
    Counters to every node of the availability zone, LoadDigest to the connected peers. `counters`
    has the numbers of messages, bytes and failures; `link_bytes` are bytes sent to other
    regions.
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
        self.membership = Membership(_create_own_member(settings, rng), settings.exchange, rng)
        self._hosts: tuple[HostEntry, ...] = ()
        self._links: dict[str, Link] = {}
        self._connecting: set[str] = set()
        self._backoff = Backoff()
        self._flood_filter = FloodFilter()
        self._budget = ByteBudget(settings.exchange.budget_bytes_s, _BURST_S)
        self._config_sync = ConfigSync(
            store, settings.region, lambda: tuple(self._links.values()), self._region_rank
        )
        self._member_sync = MemberSync(
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
            on_change=self._on_member_changed,
        )
        self._queries = Queries(settings.node, lambda _: (), self._flood_query, self._send_to)
        self._handlers: dict[type[Any], list[Callable[[float, Any], None]]] = {}
        self._member_listeners: list[Callable[[Member], None]] = []
        self._handshake_accepted: dict[str, bool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._server: Server | None = None
        self._peers_changed = asyncio.Event()
        self._stopping = False
        self._internal_handlers = self._create_internal_handlers()

    @property
    def peers(self) -> tuple[str, ...]:
        """Names of the connected nodes."""
        return tuple(self._links)

    @property
    def isolated(self) -> bool:
        """Whether this node knows of other nodes but is connected to none."""
        return not self._links and len(self.membership.usable()) > 1

    def add_handler(self, kind: type[_Message], handler: Callable[[float, _Message], None]) -> None:
        """Registers a handler for one type of message from other nodes."""
        self._handlers.setdefault(kind, []).append(handler)

    def subscribe_to_members(self, listener: Callable[[Member], None]) -> None:
        """Calls `listener` with each member that changes, including one that becomes dead."""
        self._member_listeners.append(listener)

    def set_query_handler(self, handler: QueryHandler) -> None:
        """Sets the function that returns the rows for an operator's query."""
        self._queries.handler = handler

    def set_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Applies the host list of the platform to the membership."""
        self.membership.apply_host_list(hosts)
        if hosts != self._hosts:
            self._hosts = hosts
            self._peers_changed.set()

    def send(self, message: Message) -> None:
        """Sends a message of this node to its peers."""
        self._flood_filter.is_new(self._now_s(), message)
        self._forward(message, None)

    async def query(self, text: str, timeout_s: float) -> QueryResult:
        """Queries every node; the result lists those that did not respond within `timeout_s`."""
        nodes = [member.node for member in self.membership.usable()]
        return await self._queries.execute(text, timeout_s, nodes)

    def not_ready_reason(self) -> str | None:
        """Returns why this node must not serve requests yet, or None if it may."""
        return self._store.not_ready_reason()

    async def start(self) -> None:
        """Listens on the peer address and starts the tasks; raises OSError if it is in use."""
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
        for task in (
            self._connect_peers(),
            self._member_sync.detect_failures(),
            self._run_anti_entropy(),
        ):
            self._spawn(task)

    async def stop(self) -> None:
        """Announces to the peers that this node is leaving, then closes all connections."""
        self._stopping = True
        self._forward(Members((self.membership.leave(),)), None)
        # Waits one flush interval, so that the writers can send the announcement.
        await asyncio.sleep(self._settings.flush_interval_s)
        await self.abort()

    async def abort(self) -> None:
        """Closes all connections and ends all tasks without notifying the peers."""
        self._stopping = True
        self._config_sync.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    # Connections

    async def _connect_peers(self) -> None:
        """Keeps connections to the selected peers open."""
        while True:
            self._peers_changed.clear()
            complete = self._update_connections()
            # The selection takes milliseconds in a large fleet, so it runs less often if complete.
            timeout_s = self._settings.ping_interval_s if not complete else _DIGEST_INTERVAL_S
            try:
                async with asyncio.timeout(timeout_s):
                    await self._peers_changed.wait()
            except TimeoutError:
                continue
            # Combines several changes within a short time into one selection.
            await asyncio.sleep(self._settings.flush_interval_s)

    def _update_connections(self) -> bool:
        """Opens missing connections and closes unneeded ones; returns True if none is missing."""
        now_s = self._now_s()
        candidates = {
            member.node: member
            for member in self.membership.candidates()
            if member.node in self._links
            or not self._backoff.is_blocked(now_s, member.peer_address)
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
                and not self._backoff.is_blocked(now_s, address)
            ]
        for address in missing:
            if address not in self._connecting:
                self._connecting.add(address)
                self._spawn(self._open_connection(address))
        if not missing and not self._connecting:
            for node, link in tuple(self._links.items()):
                if link.opened_here and node not in chosen:
                    link.close()
        return bool(candidates) and not missing

    async def _open_connection(self, address: str) -> None:
        try:
            socket, peer_hello = await open_connection(address, PEER_PATH, self._hello(), self._key)
        except HandshakeError as error:
            self._on_peer_refused(address, error)
        except ConnectFailed:
            self.counters["connect_failures"] += 1
            self._backoff.record_failure(self._now_s(), address)
            self._member_sync.on_connect_failed(address)
        else:
            self._on_peer_accepted(address)
            self._backoff.record_success(address)
            self._connecting.discard(address)
            await self._run_link(socket, peer_hello, opened_here=True)
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
            peer_hello = await authenticate(
                socket, self._hello(), self._key, opener=False, timeout_s=OPEN_TIMEOUT_S
            )
        except HandshakeError as error:
            self._on_peer_refused(remote, error)
            return
        except (OSError, WebSocketException):
            self.counters["connect_failures"] += 1
            return
        self._on_peer_accepted(remote)
        if path == PEER_PATH and not self._stopping:
            await self._run_link(socket, peer_hello, opened_here=False)

    async def _run_link(self, socket: Any, peer_hello: Hello, *, opened_here: bool) -> None:
        link = Link(
            socket,
            peer_hello,
            opened_here=opened_here,
            crosses_regions=peer_hello.member.region != self._location.region,
            budget=self._budget,
            counters=self.counters,
        )
        if not self._register(link):
            await socket.close()
            return
        writer = asyncio.create_task(link.write())
        try:
            self._on_link_up(link)
            await link.read(self._on_message)
        finally:
            writer.cancel()
            if self._links.get(link.peer.node) is link:
                del self._links[link.peer.node]
                self._on_link_down(link)
            closing = link.close(
                CloseCode.GOING_AWAY if self._stopping else CloseCode.NORMAL_CLOSURE
            )
            self._closing_tasks.add(closing)
            closing.add_done_callback(self._closing_tasks.discard)

    def _register(self, link: Link) -> bool:
        """Keeps one of two connections to the same node; both sides keep the same one."""
        node = link.peer.node
        existing = self._links.get(node)
        if existing is not None and existing.peer.incarnation == link.peer.incarnation:
            opened_by_smaller = self.membership.own.node < node
            if existing.opened_here != link.opened_here and link.opened_here != opened_by_smaller:
                return False
        self._links[node] = link
        if existing is not None:
            existing.close()
        return True

    def _on_link_up(self, link: Link) -> None:
        self._member_sync.on_link_up(link)
        self._config_sync.on_link_up(link)
        self._peers_changed.set()

    def _on_link_down(self, link: Link) -> None:
        self._config_sync.on_link_down(link)
        if not self._stopping and not link.closed_normally:
            self._member_sync.on_link_lost(link)
        self._peers_changed.set()

    def _drop(self, link: Link, code: int) -> None:
        """Closes a connection and removes it without waiting for the other side."""
        link.close(code)
        if self._links.get(link.peer.node) is link:
            del self._links[link.peer.node]
            self._on_link_down(link)

    def _hello(self) -> Hello:
        return make_hello(self.membership.own, SCHEMA_VERSION, self._store.version)

    def _on_peer_refused(self, remote: str, error: HandshakeError) -> None:
        self.counters["wrong_keys" if isinstance(error, WrongKey) else "refused_peers"] += 1
        self._backoff.record_failure(self._now_s(), remote)
        if self._handshake_accepted.get(remote, True):
            self._handshake_accepted[remote] = False
            _log.warning("handshake with {} failed: {}", remote, error)

    def _on_peer_accepted(self, remote: str) -> None:
        if not self._handshake_accepted.pop(remote, True):
            _log.info("handshake with {} succeeded again", remote)

    # Messages

    def _create_internal_handlers(self) -> dict[type[Message], Callable[[Link, Any], None]]:
        return {
            Ping: self._member_sync.on_ping,
            PingAnswer: self._member_sync.on_ping_answer,
            Members: self._member_sync.on_members,
            MembersDigest: self._member_sync.on_digest,
            ConfigAnnounce: self._config_sync.on_announce,
            ConfigRequest: self._config_sync.on_request,
            ConfigRecords: self._config_sync.on_records,
            ConfigSnapshot: self._config_sync.on_snapshot,
            QueryAnswer: lambda _, message: self._queries.on_answer(message),
        }

    def _on_message(self, link: Link, message: Message) -> None:
        internal_handler = self._internal_handlers.get(type(message))
        if internal_handler is not None:
            internal_handler(link, message)
            return
        now_s = self._now_s()
        if isinstance(message, Evidence | Ejection | LoadDigest | Counters) and (
            message.node == self.membership.own.node
            or not self.membership.is_current(message.node, message.incarnation)
        ):
            return
        link.discard_queued(message)
        if not self._flood_filter.is_new(now_s, message):
            self.counters["duplicate_messages"] += 1
            return
        self._call_handlers(link, now_s, message)
        if not isinstance(message, LoadDigest):
            self._forward(message, link)

    def _call_handlers(self, link: Link, now_s: float, message: Message) -> None:
        """Calls the handlers; an exception in a handler must not close the connection."""
        try:
            if isinstance(message, Query):
                self._queries.on_query(link.peer.node, message)
            for handler in self._handlers.get(type(message), ()):
                handler(now_s, message)
        except Exception:
            self.counters["handler_errors"] += 1
            _log.exception("a handler of {} messages failed", type(message).__name__)

    def _forward(self, message: Message, source: Link | None) -> None:
        """Queues a message for all peers that should get it, except its source."""
        links = [link for link in self._links.values() if link is not source]
        if isinstance(message, Counters):
            links = [link for link in links if (link.peer.region, link.peer.zone) == self._location]
        elif isinstance(message, Evidence) and source is not None and len(links) > _FANOUT:
            links = self._rng.sample(links, _FANOUT)
        for link in links:
            link.send(message)

    def _flood_query(self, query: Query) -> None:
        self.send(query)

    def _send_to(self, node: str, answer: QueryAnswer) -> None:
        link = self._links.get(node)
        if link is not None:
            link.send(answer)

    def _on_member_changed(self, member: Member) -> None:
        for listener in self._member_listeners:
            listener(member)
        self._peers_changed.set()

    async def _run_anti_entropy(self) -> None:
        """Runs anti-entropy of configuration and membership, and probes unconnected nodes."""
        next_digest_s = next_probe_s = self._now_s() + _DIGEST_INTERVAL_S
        while True:
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            now_s = self._now_s()
            self._config_sync.retry()
            if self._links:
                self._config_sync.announce_to(self._rng.choice(tuple(self._links.values())))
            if self._links and now_s >= next_digest_s:
                next_digest_s = now_s + _DIGEST_INTERVAL_S
                self._member_sync.send_digest(self._rng.choice(tuple(self._links.values())))
            if now_s >= next_probe_s:
                next_probe_s = now_s + _UNCONNECTED_PROBE_INTERVAL_S
                await self._member_sync.probe_unconnected_node()
                self._connect_unknown_seed()

    def _connect_unknown_seed(self) -> None:
        """Connects to a seed that is not a member, to heal a partition.

        After a long partition, each side has removed the members of the other side.
        """
        now_s = self._now_s()
        member_addresses = {member.peer_address for member in self.membership.usable()}
        unknown_seeds = [
            address for address in self._settings.seeds if address not in member_addresses
        ]
        if unknown_seeds:
            address = self._rng.choice(unknown_seeds)
            if address not in self._connecting and not self._backoff.is_blocked(now_s, address):
                self._connecting.add(address)
                self._spawn(self._open_connection(address))

    def _region_rank(self) -> RegionRank:
        region = self._location.region
        nodes = [member.node for member in self.membership.serving() if member.region == region]
        position = rendezvous_rank(f"configuration|{region}", self.membership.own.node, nodes)
        return RegionRank(position, len(nodes))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.counters["task_errors"] += 1
            _log.critical("a task of the exchange failed: {!r}", task.exception())

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()


def _create_own_member(settings: Settings, rng: random.Random) -> Member:
    """Returns the member entry of this node, with a new random incarnation."""
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
