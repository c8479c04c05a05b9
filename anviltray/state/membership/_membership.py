"""SWIM-style membership: who is in the fleet, who is suspected, who is leaving."""

import random
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from anviltray.messages import Member, MembersDigest, Ping
from anviltray.platform import HostEntry
from anviltray.settings import ExchangeSettings

BUCKETS = 64  # Buckets of the digest; at 3,800 nodes a changed one holds about 60 members.
INDIRECT_PROBES = 3  # Relays asked before a suspicion; all three fail together by chance rarely.
# A dead member is remembered for this many suspicion timeouts, so that late messages which call it
# alive do not bring it back.
_DEAD_TIMEOUTS = 15
_RANKS = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3}


class Merge(NamedTuple):
    """Result of merging updates from a peer."""

    changed: tuple[Member, ...]  # Members that changed here, to be passed on.
    corrections: tuple[Member, ...]  # Members that the sender has an older view of.


class Probe(NamedTuple):
    """One message of the failure detector."""

    to: str  # Node to send it to.
    ping: Ping  # The message; its target differs from `to` in an indirect probe.


class Step(NamedTuple):
    """Result of the passage of time."""

    probes: tuple[Probe, ...]  # Messages to send now.
    changed: tuple[Member, ...]  # Members that changed here, to be passed on.


class _Pending(NamedTuple):
    """A probe that waits for its answer."""

    target: str  # Node that is probed.
    deadline_s: float  # Time by which an answer is due.
    indirect: bool  # True once relays have been asked.


class Membership:
    """What one node knows of the others; pure, with the time as an argument.

    Views of one node are ordered by revision, then by status. Only the node itself raises its
    revision: to refute a suspicion and to replace the view of an earlier process, whose random
    incarnation has no order. Of two incarnations with the same revision the higher number wins
    until the live process raises its revision. Leaving is sticky: no revision of an incarnation
    takes it back. The host list adds candidates and marks leaving nodes; it never removes a node.
    """

    def __init__(self, own: Member, settings: ExchangeSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.own = own
        self._members: dict[str, Member] = {own.node: own}
        self._suspected_s: dict[str, float] = {}
        self._dead_s: dict[str, float] = {}
        self._hints: dict[str, HostEntry] = {}
        self._hinted_leaving: dict[str, int] = {}
        self._pending: dict[int, _Pending] = {}
        self._sequence = 0
        self._buckets = [0] * BUCKETS
        self._count(own)
        self.members: Mapping[str, Member] = MappingProxyType(self._members)

    def usable(self) -> tuple[Member, ...]:
        """Returns the members that are not dead, with this node."""
        return tuple(member for member in self._members.values() if member.status != "dead")

    def serving(self) -> tuple[Member, ...]:
        """Returns the members that new work may go to: neither dead nor leaving."""
        return tuple(
            member
            for member in self._members.values()
            if member.status in ("alive", "suspect")
            and self._hinted_leaving.get(member.node) != member.incarnation
        )

    def is_current(self, node: str, incarnation: int) -> bool:
        """Tells whether a message of this incarnation is not from an earlier process."""
        member = self._members.get(node)
        return member is None or member.incarnation == incarnation

    def digest(self) -> MembersDigest:
        """Returns the digests of the members that are not dead."""
        return MembersDigest(tuple(self._buckets))

    def differing(self, digest: MembersDigest) -> tuple[Member, ...]:
        """Returns the members in the buckets of which another node has another digest."""
        if len(digest.buckets) != BUCKETS:
            return self.usable()
        buckets = {
            index for index, value in enumerate(digest.buckets) if value != self._buckets[index]
        }
        return tuple(member for member in self.usable() if _bucket(member.node) in buckets)

    def merge(self, now_s: float, updates: Iterable[Member]) -> Merge:
        """Takes over the updates that are newer than this node's views."""
        changed: list[Member] = []
        corrections: list[Member] = []
        for update in updates:
            if update.status not in _RANKS:
                continue
            if update.node == self.own.node:
                if self._refute(update):
                    changed.append(self.own)
                elif update != self.own:
                    corrections.append(self.own)
                continue
            known = self._members.get(update.node)
            if known is None:
                # An unknown dead node needs no entry, since nothing is sent to it.
                if update.status != "dead":
                    self._set(now_s, update)
                    changed.append(update)
                continue
            merged = _join(known, update)
            if merged != known:
                self._set(now_s, merged)
                changed.append(merged)
            if merged != update:
                corrections.append(merged)
        return Merge(tuple(changed), tuple(corrections))

    def leave(self) -> Member:
        """Marks this node as leaving and returns it to be sent."""
        self._set_own(self.own._replace(status="leaving", revision=self.own.revision + 1))
        return self.own

    def hint(self, hosts: Iterable[HostEntry]) -> tuple[str, ...]:
        """Takes the host list as a hint; returns the nodes that it newly marks as leaving.

        The mark belongs to the incarnation known at that time, and a later "live" of the lagging
        list does not take it back. An entry that says "leaving" all along does not apply to a
        process that started meanwhile.
        """
        self._hints = {
            host.node: host
            for host in hosts
            if host.role == "node" and host.node and host.node != self.own.node
        }
        marked: list[str] = []
        for node, host in self._hints.items():
            member = self._members.get(node)
            if member is None or member.peer_address != host.peer_address:
                continue
            if host.state == "leaving" and node not in self._hinted_leaving:
                self._hinted_leaving[node] = member.incarnation
                marked.append(node)
            elif host.state == "live" and self._hinted_leaving.get(node) != member.incarnation:
                self._hinted_leaving.pop(node, None)
        for node in self._hinted_leaving.keys() - self._members.keys():
            del self._hinted_leaving[node]
        return tuple(marked)

    def candidates(self) -> tuple[Member, ...]:
        """Returns the members to connect to, with those that only the host list names."""
        known = [member for member in self.usable() if member.node != self.own.node]
        for node, host in self._hints.items():
            member = self._members.get(node)
            moved = member is not None and member.status == "dead"
            if host.state == "live" and (member is None or moved):
                known.append(
                    Member(
                        node,
                        0,
                        -1,
                        "alive",
                        host.region,
                        host.zone,
                        host.address,
                        host.peer_address,
                    )
                )
        return tuple(known)

    def probe(self, now_s: float, target: str) -> Probe:
        """Starts a direct probe of a connected peer."""
        self._sequence += 1
        deadline_s = now_s + self._settings.ping_timeout_s
        self._pending[self._sequence] = _Pending(target, deadline_s, False)
        return Probe(target, Ping(self._sequence, target))

    def lost(self, now_s: float, target: str) -> None:
        """Notes that the connection to a peer broke; relays are asked at the next step."""
        member = self._members.get(target)
        if member is None or member.status == "dead":
            return
        if any(item.target == target for item in self._pending.values()):
            return
        self._sequence += 1
        self._pending[self._sequence] = _Pending(target, now_s, False)

    def answered(self, sequence: int, reached: bool) -> None:
        """Takes the answer to a probe, which ends all probes of its target.

        A relay that did not reach the target proves nothing, since the trouble may be its own.
        """
        pending = self._pending.get(sequence)
        if pending is None or not reached:
            return
        self.reached(pending.target)

    def reached(self, node: str) -> None:
        """Ends all probes of a node that has been heard of on a new connection."""
        self._pending = {
            number: item for number, item in self._pending.items() if item.target != node
        }
        member = self._members.get(node)
        if member is not None and member.status == "leaving":
            self._suspected_s.pop(node, None)

    def step(self, now_s: float, connected: Iterable[str]) -> Step:
        """Moves overdue probes on: to relays, to suspicion, to death.

        `connected` are the peers with an open connection. A node that has lost all of them while
        it knows of several has trouble of its own and suspects nobody.
        """
        relays = [node for node in connected if node != self.own.node]
        probes: list[Probe] = []
        changed: list[Member] = []
        for sequence, item in list(self._pending.items()):
            if item.deadline_s > now_s:
                continue
            helpers = [node for node in relays if node != item.target]
            if not item.indirect and helpers:
                deadline_s = now_s + 2 * self._settings.ping_timeout_s
                self._pending[sequence] = item._replace(indirect=True, deadline_s=deadline_s)
                chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
                probes.extend(Probe(node, Ping(sequence, item.target)) for node in chosen)
                continue
            del self._pending[sequence]
            if helpers or len(self.usable()) <= 2:
                changed.extend(self._suspect(now_s, item.target))
        changed.extend(self._expire(now_s))
        return Step(tuple(probes), tuple(changed))

    def _suspect(self, now_s: float, node: str) -> list[Member]:
        member = self._members.get(node)
        if member is None or member.status == "dead" or node in self._suspected_s:
            return []
        if member.status == "leaving":
            # Its status stays; the timer alone decides about its death.
            self._suspected_s[node] = now_s
            return []
        suspect = member._replace(status="suspect")
        self._set(now_s, suspect)
        return [suspect]

    def _expire(self, now_s: float) -> list[Member]:
        changed: list[Member] = []
        timeout_s = self._settings.suspect_timeout_s
        for node, since_s in list(self._suspected_s.items()):
            if now_s - since_s >= timeout_s:
                dead = self._members[node]._replace(status="dead")
                self._set(now_s, dead)
                changed.append(dead)
        for node, since_s in list(self._dead_s.items()):
            if now_s - since_s >= _DEAD_TIMEOUTS * timeout_s:
                del self._dead_s[node]
                self._count(self._members.pop(node))
        return changed

    def _refute(self, update: Member) -> bool:
        """Raises the own revision if the view of another node would replace this node's own."""
        if _join(self.own, update) == self.own:
            return False
        revision = max(self.own.revision, update.revision) + 1
        self._set_own(self.own._replace(revision=revision))
        return True

    def _set_own(self, own: Member) -> None:
        self._count(self.own)
        self.own = own
        self._members[own.node] = own
        self._count(own)

    def _set(self, now_s: float, member: Member) -> None:
        """Stores a view of another node and starts or stops its timers."""
        node = member.node
        known = self._members.get(node)
        if known is not None:
            self._count(known)
        self._members[node] = member
        self._count(member)
        refuted = known is not None and (
            member.incarnation != known.incarnation or member.revision > known.revision
        )
        if member.status == "suspect":
            if refuted or node not in self._suspected_s:
                self._suspected_s[node] = now_s
        elif member.status != "leaving" or refuted:
            self._suspected_s.pop(node, None)
        if member.status == "dead":
            self._dead_s.setdefault(node, now_s)
        else:
            self._dead_s.pop(node, None)

    def _count(self, member: Member) -> None:
        """Adds a member to its bucket's digest, or removes it: XOR is its own inverse."""
        if member.status == "dead":
            return
        key = f"{member.node}|{member.incarnation}|{member.revision}|{member.status}"
        self._buckets[_bucket(member.node)] ^= xxhash.xxh3_64_intdigest(key.encode())


def _bucket(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode()) % BUCKETS


def _join(first: Member, second: Member) -> Member:
    """Returns the newer of two views of one node, the same for both orders of the arguments."""
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda member: (member.revision, member.incarnation))
    newer = max(first, second, key=_order)
    older = min(first, second, key=_order)
    if older.status == "leaving" and newer.status in ("alive", "suspect"):
        return newer._replace(status="leaving")
    return newer


def _order(member: Member) -> tuple[int, int]:
    return member.revision, _RANKS[member.status]
