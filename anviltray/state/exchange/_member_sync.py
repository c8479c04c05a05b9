"""Failure detection and the spread of membership between nodes."""

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
from anviltray.state.membership import Membership, Merge, Probe

_PING_EVERY = 2  # Each opened connection is probed once in so many probe intervals.
# A connection without any received byte for this many probe periods is replaced by a new one.
_SILENT_PERIODS = 3
_MEMBERS_CHUNK = 32  # Members in one message, about 4 KB.


class MemberSync:
    """Probes the peers and exchanges membership updates with them.

    `links` is the live mapping of the exchange, `drop` closes a connection and removes it from
    there, `forward` queues a message for every peer but one, `spawn` starts a task, `changed` is
    called with each member that changes.
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
        changed: Callable[[Member], None],
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
        self._on_change = changed

    def link_up(self, link: Link) -> None:
        """Takes over what a new connection proves and compares the views."""
        self._membership.reached(link.peer.node)
        self._merge(link, self._membership.merge(_now_s(), (link.peer,)))
        self.send_digest(link)

    def link_lost(self, link: Link) -> None:
        """Starts a probe through relays of a peer whose connection broke."""
        self._membership.lost(_now_s(), link.peer.node)

    def address_failed(self, address: str) -> None:
        """Starts a probe through relays of the node at an address that cannot be reached."""
        for member in self._membership.usable():
            if member.peer_address == address and member.node not in self._links:
                self._membership.lost(_now_s(), member.node)

    async def detect_failures(self) -> None:
        """Probes the opened connections in turn and closes silent ones."""
        tick_s = min(self._settings.ping_timeout_s, self._settings.ping_interval_s) / 2
        period_s = self._settings.ping_interval_s * _PING_EVERY
        while True:
            await asyncio.sleep(tick_s)
            now_s = _now_s()
            for link in tuple(self._links.values()):
                if now_s - link.heard_s > _SILENT_PERIODS * period_s:
                    self._counters["silent_connections"] += 1
                    self._drop(link, CloseCode.TRY_AGAIN_LATER)
                elif link.opened_here and now_s - link.pinged_s >= period_s:
                    link.pinged_s = now_s
                    link.send(self._membership.probe(now_s, link.peer.node).ping)
            step = self._membership.step(now_s, tuple(self._links))
            self._send_probes(step.probes)
            self._changed(step.changed, None)

    async def probe_stranger(self) -> None:
        """Probes a node without a connection, so that no node stays unobserved."""
        strangers = [
            member.node
            for member in self._membership.usable()
            if member.node not in self._links and member.node != self._membership.own.node
        ]
        if strangers:
            node = self._rng.choice(strangers)
            if not await self._reach(node):
                self._membership.lost(_now_s(), node)

    def send_digest(self, link: Link) -> None:
        """Sends the digest, at most once per probe interval so that two nodes do not loop."""
        now_s = _now_s()
        if now_s - link.digest_sent_s >= self._settings.ping_interval_s:
            link.digest_sent_s = now_s
            link.send(self._membership.digest())

    def on_ping(self, link: Link, ping: Ping) -> None:
        """Answers a direct probe, or carries out an indirect one."""
        if ping.target == self._membership.own.node:
            link.send(PingAnswer(ping.sequence, ping.target, True))
        else:
            self._spawn(self._probe_for(link, ping))

    def on_ping_answer(self, _: Link, answer: PingAnswer) -> None:
        """Ends a probe."""
        self._membership.answered(answer.sequence, answer.reached)

    def on_members(self, link: Link, message: Members) -> None:
        """Merges updates, passes them on and corrects older views."""
        self._merge(link, self._membership.merge(_now_s(), message.members))

    def on_digest(self, link: Link, digest: MembersDigest) -> None:
        """Sends the members that differ, and the own digest to get the peer's."""
        if digest == self._membership.digest():
            return
        differing = self._membership.differing(digest)
        for start in range(0, len(differing), _MEMBERS_CHUNK):
            link.send(Members(differing[start : start + _MEMBERS_CHUNK]), BULK)
        self.send_digest(link)

    def _send_probes(self, probes: Iterable[Probe]) -> None:
        for probe in probes:
            link = self._links.get(probe.to)
            if link is not None:
                link.send(probe.ping)

    async def _probe_for(self, link: Link, ping: Ping) -> None:
        reached = await self._reach(ping.target)
        link.send(PingAnswer(ping.sequence, ping.target, reached))

    async def _reach(self, node: str) -> bool:
        """Tells whether a new connection to a node can be opened.

        An existing connection proves less: it may be silent while the node is well, or appear open
        after the node died.
        """
        member = self._membership.members.get(node)
        if member is None:
            return False
        try:
            socket, other = await open_connection(
                member.peer_address, PROBE_PATH, self._hello(), self._key
            )
        except (ConnectFailed, HandshakeError):
            return False
        await socket.close()
        if other.member.node != node:
            return False
        self._changed(self._membership.merge(_now_s(), (other.member,)).changed, None)
        return True

    def _merge(self, link: Link, merge: Merge) -> None:
        if merge.corrections:
            link.send(Members(merge.corrections))
        self._changed(merge.changed, link)

    def _changed(self, changed: tuple[Member, ...], source: Link | None) -> None:
        """Passes changed members on and tells the exchange."""
        self._counters["member_changes"] += len(changed)
        for start in range(0, len(changed), _MEMBERS_CHUNK):
            self._forward(Members(changed[start : start + _MEMBERS_CHUNK]), source)
        for member in changed:
            self._on_change(member)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
