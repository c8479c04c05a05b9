"""What peers have said about upstreams, with expiry and protection against old messages."""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar

from anviltray.messages import Ejection, Evidence, UpstreamEvidence

# Evidence is repeated every second while it lasts, so two lost messages let it expire.
EVIDENCE_LIFETIME_S = 2.5
EVIDENCE_REFRESH_S = 1.0

# An incarnation that was replaced is refused this long, far beyond the delay of any message.
_RETIREMENT_S = 60.0

_UPSTREAMS_LIMIT = 32
_RATIO_LIMIT = 60.0
_EJECTION_LIMIT_S = 300.0
_NODE_LIMIT = 8192

_Statement = TypeVar("_Statement")


class Stated(NamedTuple):
    """A peer's evidence about the upstreams of one service."""

    expires_s: float  # Time on the own clock after which it is void.
    upstreams: dict[str, UpstreamEvidence]  # By address.


class Heard(NamedTuple):
    """A peer's ejections of one service."""

    expires_s: float  # Time on the own clock after which they are void.
    addresses: frozenset[str]  # Ejected upstreams.


class _Peer:
    """The last known incarnation of one node."""

    __slots__ = ("gathered_s", "incarnation", "retired", "sequences")

    def __init__(self, incarnation: int, gathered_s: float) -> None:
        self.incarnation = incarnation
        self.gathered_s = gathered_s  # When its newest evidence was gathered, on the own clock.
        self.sequences: dict[tuple[str, str], int] = {}
        self.retired: dict[int, float] = {}


class PeerLedger:
    """Evidence and ejections of the peers of one node.

    Incarnations are random numbers without order. A message of another incarnation than the
    current one is taken as the newer only if it was gathered later than everything known from the
    current one; the replaced incarnation is then refused. Ages are sums over hops, so no wall
    clock is compared.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._peers: dict[str, _Peer] = {}
        self._evidence: dict[str, dict[str, Stated]] = {}
        self._ejections: dict[str, dict[str, Heard]] = {}

    @property
    def node_count(self) -> int:
        """Number of peers heard of."""
        return len(self._peers)

    def add_evidence(self, now_s: float, message: Evidence) -> bool:
        """Takes a peer's evidence; returns whether it was current."""
        age_s = max(message.age_s, 0.0)
        if age_s >= EVIDENCE_LIFETIME_S or not self._accept(now_s, message, now_s - age_s):
            return False
        upstreams = {
            item.address: item._replace(
                log_likelihood_ratio=min(
                    max(item.log_likelihood_ratio, -_RATIO_LIMIT), _RATIO_LIMIT
                )
            )
            for item in message.upstreams[:_UPSTREAMS_LIMIT]
        }
        stated = Stated(now_s - age_s + EVIDENCE_LIFETIME_S, upstreams)
        self._store(self._evidence, message.service, message.node, stated if upstreams else None)
        return True

    def add_ejection(self, now_s: float, message: Ejection) -> bool:
        """Takes a peer's ejections; returns whether they were current."""
        if not self._accept(now_s, message, None):
            return False
        expires_s = now_s + min(message.remaining_s, _EJECTION_LIMIT_S)
        addresses = frozenset(message.addresses[:_UPSTREAMS_LIMIT])
        heard = Heard(expires_s, addresses) if addresses and expires_s > now_s else None
        self._store(self._ejections, message.service, message.node, heard)
        return True

    def gone(self, node: str) -> None:
        """Drops what a node has said; its old messages stay refused."""
        for stated in self._evidence.values():
            stated.pop(node, None)
        for heard in self._ejections.values():
            heard.pop(node, None)

    def clear(self) -> None:
        """Drops what all nodes have said."""
        self._evidence.clear()
        self._ejections.clear()

    def evidence(self, now_s: float, service: str) -> Iterator[tuple[str, Stated]]:
        """Yields the valid evidence of each node."""
        by_node = self._evidence.get(service, {})
        for node, stated in list(by_node.items()):
            if stated.expires_s <= now_s:
                del by_node[node]
            else:
                yield node, stated

    def ejections(self, now_s: float, service: str) -> Iterator[tuple[str, Heard]]:
        """Yields the valid ejections of each node."""
        by_node = self._ejections.get(service, {})
        for node, heard in list(by_node.items()):
            if heard.expires_s <= now_s:
                del by_node[node]
            else:
                yield node, heard

    def concerns(self, service: str) -> bool:
        """Returns whether any node has said something about a service."""
        return bool(self._evidence.get(service) or self._ejections.get(service))

    @staticmethod
    def _store(
        table: dict[str, dict[str, _Statement]],
        service: str,
        node: str,
        value: _Statement | None,
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
            if len(self._peers) >= _NODE_LIMIT:
                return False
            peer = _Peer(message.incarnation, now_s if gathered_s is None else gathered_s)
            self._peers[message.node] = peer
        elif peer.incarnation != message.incarnation and not self._replace(
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

    def _replace(
        self, now_s: float, peer: _Peer, node: str, incarnation: int, gathered_s: float | None
    ) -> bool:
        """Makes another incarnation the current one; returns False if it is the older one."""
        peer.retired = {i: until_s for i, until_s in peer.retired.items() if until_s > now_s}
        if incarnation in peer.retired:
            return False
        # Ejections carry no age: they replace only an incarnation that has become silent.
        newer = now_s - EVIDENCE_LIFETIME_S if gathered_s is None else gathered_s
        if newer <= peer.gathered_s:
            return False
        peer.retired[peer.incarnation] = now_s + _RETIREMENT_S
        peer.incarnation = incarnation
        peer.gathered_s = now_s if gathered_s is None else gathered_s
        peer.sequences = {}
        self.gone(node)
        return True
