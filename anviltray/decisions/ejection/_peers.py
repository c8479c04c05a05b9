"""Evidence and ejections reported by peers, with expiry and rejection of outdated messages."""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from anviltray.messages import Ejection, Evidence, UpstreamEvidence

# Evidence is sent again every second while it holds, so it expires after two lost messages.
EVIDENCE_LIFETIME_S = 2.5
EVIDENCE_REFRESH_S = 1.0

# Messages of a replaced incarnation are rejected for this long, which exceeds any message delay.
_RETIRED_INCARNATION_S = 60.0

_MAX_UPSTREAMS = 32
_MAX_RATIO = 60.0
_MAX_EJECTION_S = 300.0
_MAX_NODES = 8192

_Value = TypeVar("_Value")


class PeerEvidence(NamedTuple):
    """A peer's evidence about the upstreams of one service."""

    expires_s: float  # Time on the local clock at which it expires.
    upstreams: dict[str, UpstreamEvidence]  # By address.


class PeerEjections(NamedTuple):
    """A peer's ejections of one service."""

    expires_s: float  # Time on the local clock at which they expire.
    addresses: frozenset[str]  # Ejected upstreams.


class _Peer:
    """Current incarnation of one peer and its last message numbers."""

    __slots__ = ("gathered_s", "incarnation", "retired", "sequences")

    def __init__(self, incarnation: int, gathered_s: float) -> None:
        self.incarnation = incarnation
        self.gathered_s = gathered_s  # When its newest evidence was gathered, on the local clock.
        self.sequences: dict[tuple[str, str], int] = {}
        # Replaced incarnations and the times until which their messages are rejected.
        self.retired: dict[int, float] = {}


class PeerStore:
    """Evidence and ejections of the peers of one node.

    Incarnations are random numbers without order. A message with a different incarnation replaces
    the current one only if its evidence was gathered later than all evidence received from the
    current one; messages of the replaced incarnation are then rejected. The age of a message is
    summed over its hops, so wall clocks of nodes are never compared.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._peers: dict[str, _Peer] = {}
        self._evidence: dict[str, dict[str, PeerEvidence]] = {}
        self._ejections: dict[str, dict[str, PeerEjections]] = {}

    @property
    def node_count(self) -> int:
        """Number of peers that have sent a message."""
        return len(self._peers)

    def add_evidence(self, now_s: float, message: Evidence) -> bool:
        """Stores a peer's evidence; returns whether it was current."""
        age_s = max(message.age_s, 0.0)
        if age_s >= EVIDENCE_LIFETIME_S or not self._accept(now_s, message, now_s - age_s):
            return False
        upstreams = {
            item.address: item._replace(
                log_likelihood_ratio=min(max(item.log_likelihood_ratio, -_MAX_RATIO), _MAX_RATIO)
            )
            for item in message.upstreams[:_MAX_UPSTREAMS]
        }
        evidence = PeerEvidence(now_s - age_s + EVIDENCE_LIFETIME_S, upstreams)
        self._store(self._evidence, message.service, message.node, evidence if upstreams else None)
        return True

    def add_ejection(self, now_s: float, message: Ejection) -> bool:
        """Stores a peer's ejections; returns whether they were current."""
        if not self._accept(now_s, message, None):
            return False
        expires_s = now_s + min(message.remaining_s, _MAX_EJECTION_S)
        addresses = frozenset(message.addresses[:_MAX_UPSTREAMS])
        ejections = PeerEjections(expires_s, addresses) if addresses and expires_s > now_s else None
        self._store(self._ejections, message.service, message.node, ejections)
        return True

    def remove(self, node: str) -> None:
        """Drops the evidence and ejections of a node; its old messages are still rejected."""
        for evidence_by_node in self._evidence.values():
            evidence_by_node.pop(node, None)
        for ejections_by_node in self._ejections.values():
            ejections_by_node.pop(node, None)

    def clear(self) -> None:
        """Drops the evidence and ejections of all nodes."""
        self._evidence.clear()
        self._ejections.clear()

    def evidence(self, now_s: float, service: str) -> Iterator[tuple[str, PeerEvidence]]:
        """Yields the evidence of each node that has not expired."""
        by_node = self._evidence.get(service, {})
        for node, evidence in list(by_node.items()):
            if evidence.expires_s <= now_s:
                del by_node[node]
            else:
                yield node, evidence

    def ejections(self, now_s: float, service: str) -> Iterator[tuple[str, PeerEjections]]:
        """Yields the ejections of each node that have not expired."""
        by_node = self._ejections.get(service, {})
        for node, ejections in list(by_node.items()):
            if ejections.expires_s <= now_s:
                del by_node[node]
            else:
                yield node, ejections

    def has_reports(self, service: str) -> bool:
        """Returns whether evidence or ejections of any peer are stored for a service."""
        return bool(self._evidence.get(service) or self._ejections.get(service))

    @staticmethod
    def _store(
        table: dict[str, dict[str, _Value]],
        service: str,
        node: str,
        value: _Value | None,
    ) -> None:
        if value is None:
            table.get(service, {}).pop(node, None)
        else:
            table.setdefault(service, {})[node] = value

    def _accept(self, now_s: float, message: Evidence | Ejection, gathered_s: float | None) -> bool:
        if message.node == self._node:
            return False
        peer = self._peers.get(message.node)
        if peer is None:
            if len(self._peers) >= _MAX_NODES:
                return False
            peer = _Peer(message.incarnation, now_s if gathered_s is None else gathered_s)
            self._peers[message.node] = peer
        elif peer.incarnation != message.incarnation and not self._replace_incarnation(
            now_s, peer, message.node, message.incarnation, gathered_s
        ):
            return False
        key = (type(message).__name__, message.service)
        if message.sequence <= peer.sequences.get(key, -1):
            return False
        peer.sequences[key] = message.sequence
        if gathered_s is not None:
            peer.gathered_s = max(peer.gathered_s, gathered_s)
        return True

    def _replace_incarnation(
        self, now_s: float, peer: _Peer, node: str, incarnation: int, gathered_s: float | None
    ) -> bool:
        """Makes another incarnation the current one; returns False if it is older."""
        peer.retired = {i: until_s for i, until_s in peer.retired.items() if until_s > now_s}
        if incarnation in peer.retired:
            return False
        # Ejections carry no age. They replace only an incarnation whose evidence has expired.
        newer = now_s - EVIDENCE_LIFETIME_S if gathered_s is None else gathered_s
        if newer <= peer.gathered_s:
            return False
        peer.retired[peer.incarnation] = now_s + _RETIRED_INCARNATION_S
        peer.incarnation = incarnation
        peer.gathered_s = now_s if gathered_s is None else gathered_s
        peer.sequences = {}
        self.remove(node)
        return True
