"""Load of the upstreams as one node observes it or receives it from peers."""

from collections.abc import Iterable
from typing import NamedTuple

from anviltray.messages import LoadDigest, UpstreamLoad

NEVER_S = float("-inf")  # Time of a value that was never measured.
_LATENCY_WEIGHT = 0.2  # Weight of one sample in an upstream's mean, which covers about five.
_SERVICE_WEIGHT = 0.02  # Weight of one sample in the means over all upstreams of a service.
_DIGEST_LIFETIME_S = 5.0  # Digests expire after this time, which is five lost ones in a row.


class UpstreamRecord:
    """Load of one upstream; updated by the tracker and read by routers."""

    __slots__ = (
        "address",
        "latency_s",
        "measured_s",
        "outstanding",
        "outstanding_at_report",
        "peer_outstanding",
        "reported_load",
        "reported_s",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.outstanding = 0  # Requests in flight from this node.
        self.outstanding_at_report = 0  # Requests in flight from this node at the last report.
        self.peer_outstanding = 0  # Requests in flight from other nodes.
        self.reported_load = 0.0  # Share of slots in use in the last report.
        self.reported_s = NEVER_S  # Time of the last report.
        self.latency_s = 0.0  # Recent mean latency; 0 before the first response.
        self.measured_s = NEVER_S  # Time of the last latency sample.


class _PeerDigest(NamedTuple):
    incarnation: int
    sequence: int
    received_s: float
    upstreams: tuple[UpstreamLoad, ...]


class ServiceMeans:
    """Means over the upstreams of one service, towards which stale values decay."""

    __slots__ = ("latency_s", "reported_load")

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.reported_load = 0.0


class LoadTracker:
    """Outstanding requests, latencies, reported loads and digests of peers by upstream.

    An address belongs to the service of the last `set_members` call that included it; routers call
    `set_members` when the routable set changes.
    """

    def __init__(self, node: str = "", incarnation: int = 0) -> None:
        self._node = node
        self._incarnation = incarnation
        self._sequence = 0
        self._records: dict[str, UpstreamRecord] = {}
        self._members: dict[str, tuple[str, ...]] = {}
        self._service_of: dict[str, str] = {}
        self._means: dict[str, ServiceMeans] = {}
        self._peer_digests: dict[tuple[str, str], _PeerDigest] = {}
        self.link_bytes_s = 0.0  # Traffic rate to other regions, sent with the next digest.

    def set_members(self, service: str, addresses: Iterable[str]) -> None:
        """Sets the upstreams of a service and drops the records of removed idle upstreams."""
        new = tuple(addresses)
        for address in set(self._members.get(service, ())) - set(new):
            if self._service_of.get(address) == service:
                del self._service_of[address]
                if self._records[address].outstanding == 0:
                    del self._records[address]
        self._members[service] = new
        for address in new:
            self._service_of[address] = service
            self.record(address)

    def record(self, address: str) -> UpstreamRecord:
        """Returns the record of an upstream, creating it if needed."""
        record = self._records.get(address)
        if record is None:
            record = self._records[address] = UpstreamRecord(address)
        return record

    def means(self, service: str) -> ServiceMeans:
        """Returns the means of a service, creating them if needed."""
        means = self._means.get(service)
        if means is None:
            means = self._means[service] = ServiceMeans()
        return means

    def on_exchange_started(self, address: str) -> None:
        """Counts a request as in flight."""
        self.record(address).outstanding += 1

    def on_exchange_ended(
        self, now_s: float, address: str, latency_s: float, reported_load: float | None
    ) -> None:
        """Records the end of a request; `reported_load` is the reported share of slots in use."""
        record = self.record(address)
        record.outstanding = max(0, record.outstanding - 1)
        if address not in self._service_of:
            if record.outstanding == 0:
                del self._records[address]
            return
        means = self.means(self._service_of[address])
        if reported_load is not None and reported_load >= 0:
            record.reported_load = reported_load
            record.reported_s = now_s
            record.outstanding_at_report = record.outstanding
            means.reported_load += _SERVICE_WEIGHT * (reported_load - means.reported_load)
        if record.latency_s <= 0:
            record.latency_s = latency_s
        else:
            record.latency_s += _LATENCY_WEIGHT * (latency_s - record.latency_s)
        record.measured_s = now_s
        if means.latency_s <= 0:
            means.latency_s = latency_s
        else:
            means.latency_s += _SERVICE_WEIGHT * (latency_s - means.latency_s)

    def on_peer_digest(self, now_s: float, message: LoadDigest) -> None:
        """Replaces the digest of a peer for a service; ignores outdated messages."""
        self._drop_expired_digests(now_s)
        key = (message.node, message.service)
        previous = self._peer_digests.get(key)
        if message.node == self._node or (
            previous is not None
            and previous.incarnation == message.incarnation
            and previous.sequence >= message.sequence
        ):
            return
        self._remove_digest(key)
        # Records of upstreams that this node does not use would never be removed.
        known_upstreams = tuple(
            upstream for upstream in message.upstreams if upstream.address in self._service_of
        )
        self._peer_digests[key] = _PeerDigest(
            message.incarnation, message.sequence, now_s, known_upstreams
        )
        for upstream in known_upstreams:
            self.record(upstream.address).peer_outstanding += upstream.outstanding

    def digest(self, now_s: float, service: str) -> LoadDigest:
        """Returns the digest of this node for a service, without unused upstreams."""
        self._drop_expired_digests(now_s)
        self._sequence += 1
        loads = []
        for address in self._members.get(service, ()):
            record = self._records[address]
            if record.outstanding or record.reported_s > now_s - _DIGEST_LIFETIME_S:
                loads.append(UpstreamLoad(address, record.outstanding, record.reported_load))
        return LoadDigest(
            self._node, self._incarnation, self._sequence, service, tuple(loads), self.link_bytes_s
        )

    def _remove_digest(self, key: tuple[str, str]) -> None:
        previous = self._peer_digests.pop(key, None)
        if previous is None:
            return
        for upstream in previous.upstreams:
            record = self._records.get(upstream.address)
            if record is not None:
                record.peer_outstanding = max(0, record.peer_outstanding - upstream.outstanding)

    def _drop_expired_digests(self, now_s: float) -> None:
        expired_before_s = now_s - _DIGEST_LIFETIME_S
        # Digests are in the order of arrival, so the oldest comes first.
        while self._peer_digests:
            key, digest = next(iter(self._peer_digests.items()))
            if digest.received_s > expired_before_s:
                return
            self._remove_digest(key)
