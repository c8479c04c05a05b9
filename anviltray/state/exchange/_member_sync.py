"""Failure detection and the exchange of membership updates between nodes."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any

from websockets.frames import CloseCode

from anviltray.messages import Hello, Member, Members, MembersDigest, Ping, PingAnswer
from anviltray.settings import ExchangeSettings
from anviltray.state.exchange._connector import PROBE_PATH, ConnectFailed, open_connection
from anviltray.state.exchange._handshake import HandshakeError
from anviltray.state.exchange._link import Link
from anviltray.state.exchange._queue import BULK
from anviltray.state.membership import Membership, MergeResult, Probe

_INTERVALS_PER_PING = 2  # Each opened connection is probed once per this many probe intervals.
# A connection on which nothing is received for this many probe periods is replaced with a new one.
_TIMEOUT_PERIODS = 3
_MEMBERS_CHUNK = 32  # Members in one message, about 4 KB.


class MemberSync:
    """Probes the peers and exchanges membership updates with them.

    `links` is a live view of the connections of the exchange. `drop` closes a connection and
    removes it from there, `forward` queues a message for every peer but one, and `spawn` starts a
    task. `on_change` is called with each member that changes.
    """

    def __init__(
        self,
        membership: Membership,
        settings: ExchangeSettings,
        rng: random.Random,
        counters: Counter[str],
        links: Mapping[str, Link],
        *,
        hello: Callable[[], Hello],
        key: bytes,
        drop: Callable[[Link, int], None],
        forward: Callable[[Members, Link | None], None],
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        on_change: Callable[[Member], None],
    ) -> None:
        self._membership = membership
        self._settings = settings
        self._rng = rng
        self._counters = counters
        self._links = links
        self._hello = hello
        self._key = key
        self._drop = drop
        self._forward = forward
        self._spawn = spawn
        self._on_change = on_change

    def on_link_up(self, link: Link) -> None:
        """Marks a newly connected peer as reachable and compares the views of the membership."""
        self._membership.mark_reachable(link.peer.node)
        self._merge(link, self._membership.merge(_now_s(), (link.peer,)))
        self.send_digest(link)

    def on_link_lost(self, link: Link) -> None:
        """Starts an indirect probe of a peer whose connection was lost."""
        self._membership.on_connection_lost(_now_s(), link.peer.node)

    def on_connect_failed(self, address: str) -> None:
        """Starts an indirect probe of a node whose address cannot be reached."""
        for member in self._membership.usable():
            if member.peer_address == address and member.node not in self._links:
                self._membership.on_connection_lost(_now_s(), member.node)

    async def detect_failures(self) -> None:
        """Probes the opened connections and drops those on which nothing is received."""
        tick_s = min(self._settings.ping_timeout_s, self._settings.ping_interval_s) / 2
        period_s = self._settings.ping_interval_s * _INTERVALS_PER_PING
        while True:
            await asyncio.sleep(tick_s)
            now_s = _now_s()
            for link in tuple(self._links.values()):
                if now_s - link.last_received_s > _TIMEOUT_PERIODS * period_s:
                    self._counters["silent_connections"] += 1
                    self._drop(link, CloseCode.TRY_AGAIN_LATER)
                elif link.opened_here and now_s - link.last_ping_s >= period_s:
                    link.last_ping_s = now_s
                    link.send(self._membership.probe(now_s, link.peer.node).ping)
            step = self._membership.step(now_s, tuple(self._links))
            self._send_probes(step.probes)
            self._on_members_changed(step.changed, None)

    async def probe_unconnected_node(self) -> None:
        """Probes a random node without a connection, to detect its failure too."""
        unconnected = [
            member.node
            for member in self._membership.usable()
            if member.node not in self._links and member.node != self._membership.own.node
        ]
        if unconnected:
            node = self._rng.choice(unconnected)
            if not await self._is_reachable(node):
                self._membership.on_connection_lost(_now_s(), node)

    def send_digest(self, link: Link) -> None:
        """Sends the digest, at most once per probe interval, to prevent an endless exchange."""
        now_s = _now_s()
        if now_s - link.digest_sent_s >= self._settings.ping_interval_s:
            link.digest_sent_s = now_s
            link.send(self._membership.digest())

    def on_ping(self, link: Link, ping: Ping) -> None:
        """Responds to a direct probe, or carries out an indirect one."""
        if ping.target == self._membership.own.node:
            link.send(PingAnswer(ping.sequence, ping.target, True))
        else:
            self._spawn(self._relay_probe(link, ping))

    def on_ping_answer(self, _: Link, answer: PingAnswer) -> None:
        """Handles the response to a probe."""
        self._membership.on_probe_answer(answer.sequence, answer.reached)

    def on_members(self, link: Link, message: Members) -> None:
        """Merges updates, forwards changes and corrects older views of the sender."""
        self._merge(link, self._membership.merge(_now_s(), message.members))

    def on_digest(self, link: Link, digest: MembersDigest) -> None:
        """Sends the members that differ, and the own digest so that the peer does the same."""
        if digest == self._membership.digest():
            return
        differing = self._membership.differing_members(digest)
        for start in range(0, len(differing), _MEMBERS_CHUNK):
            link.send(Members(differing[start : start + _MEMBERS_CHUNK]), BULK)
        self.send_digest(link)

    def _send_probes(self, probes: Iterable[Probe]) -> None:
        for probe in probes:
            link = self._links.get(probe.to)
            if link is not None:
                link.send(probe.ping)

    async def _relay_probe(self, link: Link, ping: Ping) -> None:
        reached = await self._is_reachable(ping.target)
        link.send(PingAnswer(ping.sequence, ping.target, reached))

    async def _is_reachable(self, node: str) -> bool:
        """Returns whether a new connection to a node can be opened.

        An existing connection is less reliable: it may be broken although the node is healthy, or
        appear open after the node has died.
        """
        member = self._membership.members.get(node)
        if member is None:
            return False
        try:
            socket, peer_hello = await open_connection(
                member.peer_address, PROBE_PATH, self._hello(), self._key
            )
        except (ConnectFailed, HandshakeError):
            return False
        await socket.close()
        if peer_hello.member.node != node:
            return False
        self._on_members_changed(
            self._membership.merge(_now_s(), (peer_hello.member,)).changed, None
        )
        return True

    def _merge(self, link: Link, merge: MergeResult) -> None:
        if merge.corrections:
            link.send(Members(merge.corrections))
        self._on_members_changed(merge.changed, link)

    def _on_members_changed(self, changed: tuple[Member, ...], source: Link | None) -> None:
        """Forwards changed members to the peers and notifies the exchange."""
        self._counters["member_changes"] += len(changed)
        for start in range(0, len(changed), _MEMBERS_CHUNK):
            self._forward(Members(changed[start : start + _MEMBERS_CHUNK]), source)
        for member in changed:
            self._on_change(member)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
