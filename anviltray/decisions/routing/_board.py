"""What one node knows about the load of upstreams."""

from collections.abc import Iterable
from typing import NamedTuple

from anviltray.messages import LoadDigest, UpstreamLoad

NEVER_S = float("-inf")  # time of a value that was never measured.
_LATENCY_WEIGHT = 0.2  # of one latency in the mean of an upstream; about five requests.
_OVERALL_WEIGHT = 0.02  # of one sample in the means over all upstreams of a service.
_PEER_LIFETIME_S = 5.0  # a digest counts this long; five lost ones in a row mean a silent peer.


class UpstreamRecord:
    """Load of one upstream; updated by the board and read by routers."""

    __slots__ = (
        "address",
        "latency_s",
        "measured_s",
        "outstanding",
        "outstanding_at_report",
        "peer_outstanding",
        "reported",
        "reported_s",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.outstanding = 0  # Own requests in flight.
        self.outstanding_at_report = 0  # Own requests in flight at the last report.
        self.peer_outstanding = 0  # Requests in flight from other nodes.
        self.reported = 0.0  # Share of slots in use, as last reported.
        self.reported_s = NEVER_S  # Time of that report.
        self.latency_s = 0.0  # Recent mean latency; 0 before the first response.
        self.measured_s = NEVER_S  # Time of the last latency.


class _PeerDigest(NamedTuple):
    incarnation: int
    sequence: int
    received_s: float
    upstreams: tuple[UpstreamLoad, ...]


class ServiceMeans:
    """Means over the upstreams of one service, to which stale values decay."""

    __slots__ = ("latency_s", "reported")

    def __init__(self) -> None:
        self.latency_s = 0.0
        self.reported = 0.0


class LoadTracker:
    """Own outstanding requests, latencies, reported loads and peers' digests by upstream.

    Addresses belong to the service that `set_members` named last; the routers call it when the
    routable set changes.
    """

    def __init__(self, node: str = "", incarnation: int = 0) -> None:
        self._node = node
        self._incarnation = incarnation
        self._sequence = 0
        self._records: dict[str, UpstreamRecord] = {}
        self._members: dict[str, tuple[str, ...]] = {}
        self._service_of: dict[str, str] = {}
        self._means: dict[str, ServiceMeans] = {}
        self._peers: dict[tuple[str, str], _PeerDigest] = {}
        self.link_bytes_s = 0.0  # Rate to other regions that the next digest reports.

    def set_members(self, service: str, addresses: Iterable[str]) -> None:
        """Sets the upstreams of a service and forgets idle ones that left it."""
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
        """Returns the record of an upstream and creates it if needed."""
        record = self._records.get(address)
        if record is None:
            record = self._records[address] = UpstreamRecord(address)
        return record

    def means(self, service: str) -> ServiceMeans:
        """Returns the means of a service."""
        means = self._means.get(service)
        if means is None:
            means = self._means[service] = ServiceMeans()
        return means

    def on_exchange_started(self, address: str) -> None:
        """Counts a request in flight."""
        self.record(address).outstanding += 1

    def on_exchange_ended(
        self, now_s: float, address: str, latency_s: float, reported_load: float | None
    ) -> None:
        """Ends a request; `reported_load` is the share of slots in use from the response."""
        record = self.record(address)
        record.outstanding = max(0, record.outstanding - 1)
        if address not in self._service_of:
            if record.outstanding == 0:
                del self._records[address]
            return
        means = self.means(self._service_of[address])
        if reported_load is not None and reported_load >= 0:
            record.reported = reported_load
            record.reported_s = now_s
            record.outstanding_at_report = record.outstanding
            means.reported += _OVERALL_WEIGHT * (reported_load - means.reported)
        if record.latency_s <= 0:
            record.latency_s = latency_s
        else:
            record.latency_s += _LATENCY_WEIGHT * (latency_s - record.latency_s)
        record.measured_s = now_s
        if means.latency_s <= 0:
            means.latency_s = latency_s
        else:
            means.latency_s += _OVERALL_WEIGHT * (latency_s - means.latency_s)

    def on_peer_digest(self, now_s: float, message: LoadDigest) -> None:
        """Replaces what a peer reported about a service; older messages are ignored."""
        self._drop_silent_peers(now_s)
        key = (message.node, message.service)
        known = self._peers.get(key)
        if message.node == self._node or (
            known is not None
            and known.incarnation == message.incarnation
            and known.sequence >= message.sequence
        ):
            return
        self._remove_peer(key)
        # Upstreams that this node does not know would leave records that nothing removes.
        known_upstreams = tuple(
            upstream for upstream in message.upstreams if upstream.address in self._service_of
        )
        self._peers[key] = _PeerDigest(
            message.incarnation, message.sequence, now_s, known_upstreams
        )
        for upstream in known_upstreams:
            self.record(upstream.address).peer_outstanding += upstream.outstanding

    def digest(self, now_s: float, service: str) -> LoadDigest:
        """Returns this node's digest of a service, without upstreams that it does not use."""
        self._drop_silent_peers(now_s)
        self._sequence += 1
        loads = []
        for address in self._members.get(service, ()):
            record = self._records[address]
            if record.outstanding or record.reported_s > now_s - _PEER_LIFETIME_S:
                loads.append(UpstreamLoad(address, record.outstanding, record.reported))
        return LoadDigest(
            self._node, self._incarnation, self._sequence, service, tuple(loads), self.link_bytes_s
        )

    def _remove_peer(self, key: tuple[str, str]) -> None:
        known = self._peers.pop(key, None)
        if known is None:
            return
        for upstream in known.upstreams:
            record = self._records.get(upstream.address)
            if record is not None:
                record.peer_outstanding = max(0, record.peer_outstanding - upstream.outstanding)

    def _drop_silent_peers(self, now_s: float) -> None:
        oldest_s = now_s - _PEER_LIFETIME_S
        # Digests are stored in the order of their arrival, so the oldest comes first.
        while self._peers:
            key, digest = next(iter(self._peers.items()))
            if digest.received_s > oldest_s:
                return
            self._remove_peer(key)
