"""SWIM-style membership: which nodes are in the fleet, suspected or leaving."""

import random
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

import xxhash

from anviltray.messages import Member, MembersDigest, Ping
from anviltray.platform import HostEntry
from anviltray.settings import ExchangeSettings

DIGEST_BUCKETS = 64  # Buckets of the digest; at 3,800 nodes a changed one holds about 60 members.
INDIRECT_PROBES = 3  # Relays asked before a suspicion; all three rarely fail together by chance.
# Number of suspicion timeouts for which a dead member is kept, so that late messages that report it
# as alive do not bring it back.
_DEAD_RETENTION_TIMEOUTS = 15
_STATUS_ORDER = {"alive": 0, "suspect": 1, "leaving": 2, "dead": 3}


class MergeResult(NamedTuple):
    """Result of merging updates from a peer."""

    changed: tuple[Member, ...]  # Members that changed on this node, to be forwarded.
    corrections: tuple[Member, ...]  # Members of which the sender has an older view.


class Probe(NamedTuple):
    """A message of the failure detector."""

    to: str  # Node that gets the message.
    ping: Ping  # The message; in an indirect probe, its target differs from `to`.


class StepResult(NamedTuple):
    """Result of advancing the time."""

    probes: tuple[Probe, ...]  # Messages to send now.
    changed: tuple[Member, ...]  # Members that changed on this node, to be forwarded.


class _PendingProbe(NamedTuple):
    """A probe that waits for its answer."""

    target: str  # Node that is probed.
    deadline_s: float  # Time by which an answer is due.
    indirect: bool  # True if relays have been asked.


class Membership:
    """The view that one node has of all nodes; does no I/O and gets the time as an argument.

    Views of one node are ordered by revision, then by status. Only the node itself increases its
    revision: to refute a suspicion, or to replace the view of an earlier process. Incarnations are
    random and have no order. Of two incarnations with the same revision, the higher number wins
    until the running process increases its revision. No revision of an incarnation removes its
    status "leaving". The host list adds candidates and marks leaving nodes, but never removes a
    node.
    """

    def __init__(self, own: Member, settings: ExchangeSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self.own = own
        self._members: dict[str, Member] = {own.node: own}
        self._suspected_since_s: dict[str, float] = {}
        self._dead_since_s: dict[str, float] = {}
        self._listed_nodes: dict[str, HostEntry] = {}
        self._leaving_incarnations: dict[str, int] = {}
        self._pending: dict[int, _PendingProbe] = {}
        self._sequence = 0
        self._buckets = [0] * DIGEST_BUCKETS
        self._toggle_in_digest(own)
        self.members: Mapping[str, Member] = MappingProxyType(self._members)

    def usable(self) -> tuple[Member, ...]:
        """Returns the members that are not dead, including this node."""
        return tuple(member for member in self._members.values() if member.status != "dead")

    def serving(self) -> tuple[Member, ...]:
        """Returns the members that may get new work, which are neither dead nor leaving."""
        return tuple(
            member
            for member in self._members.values()
            if member.status in ("alive", "suspect")
            and self._leaving_incarnations.get(member.node) != member.incarnation
        )

    def is_current(self, node: str, incarnation: int) -> bool:
        """Returns whether `incarnation` is the current one of a node, or the node is unknown."""
        member = self._members.get(node)
        return member is None or member.incarnation == incarnation

    def digest(self) -> MembersDigest:
        """Returns the digest of the members that are not dead."""
        return MembersDigest(tuple(self._buckets))

    def differing_members(self, digest: MembersDigest) -> tuple[Member, ...]:
        """Returns the members in the buckets that differ from the digest of another node."""
        if len(digest.buckets) != DIGEST_BUCKETS:
            return self.usable()
        buckets = {
            index for index, value in enumerate(digest.buckets) if value != self._buckets[index]
        }
        return tuple(member for member in self.usable() if _bucket(member.node) in buckets)

    def merge(self, now_s: float, updates: Iterable[Member]) -> MergeResult:
        """Applies the updates that are newer than the views of this node."""
        changed: list[Member] = []
        corrections: list[Member] = []
        for update in updates:
            if update.status not in _STATUS_ORDER:
                continue
            if update.node == self.own.node:
                if self._refute(update):
                    changed.append(self.own)
                elif update != self.own:
                    corrections.append(self.own)
                continue
            current = self._members.get(update.node)
            if current is None:
                # An unknown dead node needs no entry, because nothing is sent to it.
                if update.status != "dead":
                    self._set_member(now_s, update)
                    changed.append(update)
                continue
            merged = _merge_views(current, update)
            if merged != current:
                self._set_member(now_s, merged)
                changed.append(merged)
            if merged != update:
                corrections.append(merged)
        return MergeResult(tuple(changed), tuple(corrections))

    def leave(self) -> Member:
        """Marks this node as leaving and returns its entry, to be sent to the peers."""
        self._set_own(self.own._replace(status="leaving", revision=self.own.revision + 1))
        return self.own

    def apply_host_list(self, hosts: Iterable[HostEntry]) -> tuple[str, ...]:
        """Applies the host list and returns the nodes that it newly marks as leaving.

        The mark applies to the current incarnation. The host list may be out of date, so a later
        "live" does not remove the mark, and an entry that stays "leaving" does not apply to a
        process that has started since.
        """
        self._listed_nodes = {
            host.node: host
            for host in hosts
            if host.role == "node" and host.node and host.node != self.own.node
        }
        marked: list[str] = []
        for node, host in self._listed_nodes.items():
            member = self._members.get(node)
            if member is None or member.peer_address != host.peer_address:
                continue
            if host.state == "leaving" and node not in self._leaving_incarnations:
                self._leaving_incarnations[node] = member.incarnation
                marked.append(node)
            elif (
                host.state == "live" and self._leaving_incarnations.get(node) != member.incarnation
            ):
                self._leaving_incarnations.pop(node, None)
        for node in self._leaving_incarnations.keys() - self._members.keys():
            del self._leaving_incarnations[node]
        return tuple(marked)

    def candidates(self) -> tuple[Member, ...]:
        """Returns the nodes to connect to, including those that are only in the host list."""
        candidates = [member for member in self.usable() if member.node != self.own.node]
        for node, host in self._listed_nodes.items():
            member = self._members.get(node)
            is_dead = member is not None and member.status == "dead"
            if host.state == "live" and (member is None or is_dead):
                candidates.append(
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
        return tuple(candidates)

    def probe(self, now_s: float, target: str) -> Probe:
        """Starts a direct probe of a connected peer."""
        self._sequence += 1
        deadline_s = now_s + self._settings.ping_timeout_s
        self._pending[self._sequence] = _PendingProbe(target, deadline_s, False)
        return Probe(target, Ping(self._sequence, target))

    def on_connection_lost(self, now_s: float, target: str) -> None:
        """Starts a probe of a peer whose connection was lost; the next step asks relays."""
        member = self._members.get(target)
        if member is None or member.status == "dead":
            return
        if any(item.target == target for item in self._pending.values()):
            return
        self._sequence += 1
        self._pending[self._sequence] = _PendingProbe(target, now_s, False)

    def on_probe_answer(self, sequence: int, reached: bool) -> None:
        """Ends all probes of the target if the answer to a probe says that it was reached.

        An answer that it was not reached is ignored, since the relay itself may be at fault.
        """
        pending = self._pending.get(sequence)
        if pending is None or not reached:
            return
        self.mark_reachable(pending.target)

    def mark_reachable(self, node: str) -> None:
        """Ends all probes of a node that was reached by a probe or a new connection."""
        self._pending = {
            number: item for number, item in self._pending.items() if item.target != node
        }
        member = self._members.get(node)
        if member is not None and member.status == "leaving":
            self._suspected_since_s.pop(node, None)

    def step(self, now_s: float, connected: Iterable[str]) -> StepResult:
        """Handles overdue probes: asks relays, then suspects the target, then declares it dead.

        `connected` are the peers with an open connection. A node that knows several others but has
        lost all connections is probably at fault itself, so it suspects no other node.
        """
        relays = [node for node in connected if node != self.own.node]
        probes: list[Probe] = []
        changed: list[Member] = []
        for sequence, item in list(self._pending.items()):
            if item.deadline_s > now_s:
                continue
            available_relays = [node for node in relays if node != item.target]
            if not item.indirect and available_relays:
                deadline_s = now_s + 2 * self._settings.ping_timeout_s
                self._pending[sequence] = item._replace(indirect=True, deadline_s=deadline_s)
                chosen = self._rng.sample(
                    available_relays, min(INDIRECT_PROBES, len(available_relays))
                )
                probes.extend(Probe(node, Ping(sequence, item.target)) for node in chosen)
                continue
            del self._pending[sequence]
            if available_relays or len(self.usable()) <= 2:
                changed.extend(self._suspect(now_s, item.target))
        changed.extend(self._expire(now_s))
        return StepResult(tuple(probes), tuple(changed))

    def _suspect(self, now_s: float, node: str) -> list[Member]:
        member = self._members.get(node)
        if member is None or member.status == "dead" or node in self._suspected_since_s:
            return []
        if member.status == "leaving":
            # The status stays; the node is declared dead when the timer expires.
            self._suspected_since_s[node] = now_s
            return []
        suspect = member._replace(status="suspect")
        self._set_member(now_s, suspect)
        return [suspect]

    def _expire(self, now_s: float) -> list[Member]:
        changed: list[Member] = []
        timeout_s = self._settings.suspect_timeout_s
        for node, since_s in list(self._suspected_since_s.items()):
            if now_s - since_s >= timeout_s:
                dead = self._members[node]._replace(status="dead")
                self._set_member(now_s, dead)
                changed.append(dead)
        for node, since_s in list(self._dead_since_s.items()):
            if now_s - since_s >= _DEAD_RETENTION_TIMEOUTS * timeout_s:
                del self._dead_since_s[node]
                self._toggle_in_digest(self._members.pop(node))
        return changed

    def _refute(self, update: Member) -> bool:
        """Increases the own revision if `update` would replace the own view of this node."""
        if _merge_views(self.own, update) == self.own:
            return False
        revision = max(self.own.revision, update.revision) + 1
        self._set_own(self.own._replace(revision=revision))
        return True

    def _set_own(self, own: Member) -> None:
        self._toggle_in_digest(self.own)
        self.own = own
        self._members[own.node] = own
        self._toggle_in_digest(own)

    def _set_member(self, now_s: float, member: Member) -> None:
        """Stores the view of another node and starts or stops its timers."""
        node = member.node
        current = self._members.get(node)
        if current is not None:
            self._toggle_in_digest(current)
        self._members[node] = member
        self._toggle_in_digest(member)
        refuted = current is not None and (
            member.incarnation != current.incarnation or member.revision > current.revision
        )
        if member.status == "suspect":
            if refuted or node not in self._suspected_since_s:
                self._suspected_since_s[node] = now_s
        elif member.status != "leaving" or refuted:
            self._suspected_since_s.pop(node, None)
        if member.status == "dead":
            self._dead_since_s.setdefault(node, now_s)
        else:
            self._dead_since_s.pop(node, None)

    def _toggle_in_digest(self, member: Member) -> None:
        """Adds a member to the digest of its bucket, or removes it: XOR is its own inverse."""
        if member.status == "dead":
            return
        key = f"{member.node}|{member.incarnation}|{member.revision}|{member.status}"
        self._buckets[_bucket(member.node)] ^= xxhash.xxh3_64_intdigest(key.encode())


def _bucket(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode()) % DIGEST_BUCKETS


def _merge_views(first: Member, second: Member) -> Member:
    """Returns the newer of two views of one node; the order of the arguments does not matter."""
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda member: (member.revision, member.incarnation))
    newer = max(first, second, key=_view_order)
    older = min(first, second, key=_view_order)
    if older.status == "leaving" and newer.status in ("alive", "suspect"):
        return newer._replace(status="leaving")
    return newer


def _view_order(member: Member) -> tuple[int, int]:
    return member.revision, _STATUS_ORDER[member.status]
