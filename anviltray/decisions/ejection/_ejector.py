"""Outlier ejection at one node: turns evidence into routable sets and messages to peers."""

from collections.abc import Iterator, Mapping, Sequence
from math import log
from random import Random

from anviltray.decisions._types import ExchangeOutcome, RoutableSet
from anviltray.decisions.detection import Detector, Reading
from anviltray.decisions.ejection._local_fault import LocalFaultDetector
from anviltray.decisions.ejection._member import Member, MemberState
from anviltray.decisions.ejection._peers import EVIDENCE_REFRESH_S, PeerStore
from anviltray.decisions.ejection._probing import rendezvous_rank
from anviltray.decisions.ejection._service import NO_EVIDENCE, CombinedEvidence, ServiceState
from anviltray.decisions.ejection._types import EjectionUpdate, StateChange
from anviltray.declarations import Service
from anviltray.messages import Ejection, Evidence, UpstreamEvidence

# Log-likelihood ratios below the first value are explained by chance and are not sent. Changes
# below the second do not cause another message. Ratios are rounded to the step before sending.
_MIN_REPORTED_RATIO = 2.0
_MIN_REPORTED_CHANGE = 1.0
_RATIO_STEP = 0.5

# Ratio sent about an upstream that a peer suspects but that has responded well to this node
# within the given time.
_CONTRADICTION_RATIO = -2.0
_CONTRADICTION_MAX_AGE_S = 1.0

_MAX_MESSAGE_UPSTREAMS = 8

# Largest share of the threshold that one node contributes to the sum of all.
_MAX_NODE_SHARE = 0.5

# Share of the threshold that ejects a half-open upstream again.
_HALF_OPEN_THRESHOLD_SHARE = 1 / 3

# The evidence behind an ejection is sent for this long and then dropped.
_EVIDENCE_AFTER_EJECTION_S = 1.0

_WARMING_S = 3.0
_NEW_UPSTREAM_WARMING_S = 5.0

# This process was paused if the gap between updates is longer than this many intervals, and than
# the minimum.
_PAUSE_INTERVALS = 4
_MIN_PAUSE_S = 0.2

# After a pause, peer messages that have queued up are read for this long before any decision.
_CATCH_UP_S = 0.3

# Nodes readmit an upstream one after another by rank, so that the few requests of the first node
# show whether it has recovered.
_READMISSION_STEP_S = 1.0
_MAX_READMISSION_STEPS = 4


class OutlierEjector:
    """Decides which upstreams of each service this node routes to.

    Evidence of this node comes from `on_exchange_started`, `on_first_byte`, `on_exchange_ended`
    and `on_probe_result`, that of others from their messages. `update` is called every
    `flush_interval_s` and makes all decisions; between two calls only configuration, draining and
    warm-up change the sets. An upstream that only this node finds unhealthy is avoided. It is
    ejected if at least two nodes find it unhealthy and no more nodes get good responses from it.
    Both states end without intervention.
    """

    def __init__(
        self,
        node: str,
        region: str,
        zone: str,
        rng: Random,
        *,
        incarnation: int | None = None,
        flush_interval_s: float = 0.05,
        probers: int = 2,
        detector: str = "likelihood_ratio",
    ) -> None:
        self._node = node
        self._region = region
        self._zone = zone
        self._incarnation = rng.getrandbits(64) if incarnation is None else incarnation
        self._pause_s = max(flush_interval_s * _PAUSE_INTERVALS, _MIN_PAUSE_S)
        self._probers = probers
        self._detector = detector
        self._services: dict[str, ServiceState] = {}
        self._routable: dict[str, RoutableSet] = {}
        self._addresses: dict[str, ServiceState] = {}
        self._draining: frozenset[str] = frozenset()
        self._peers = PeerStore(node)
        self._local_faults = LocalFaultDetector()
        self._suspended: frozenset[str] = frozenset()
        self._exchanges: dict[int, Detector] = {}
        self._pending: dict[str, ServiceState] = {}
        self._last_exchange = 0
        self._sequence = 0
        self._generation = 0
        self._updated_s = float("inf")
        self._decisions_held_until_s = float("-inf")
        self._nodes: tuple[str, ...] = (node,)
        self._probe_targets: tuple[str, ...] | None = None

    # Configuration

    def configure(self, services: Mapping[str, Service], now_s: float) -> None:
        """Replaces the declared services; the state of upstreams that remain is kept."""
        self._updated_s = min(self._updated_s, now_s)
        for name in self._services.keys() - services.keys():
            self._services.pop(name).detector.set_upstreams(())
            del self._routable[name]
            self._pending.pop(name, None)
        for name, service in services.items():
            state = self._services.get(name)
            if state is None:
                state = self._services[name] = ServiceState(service, self._detector)
            elif state.service == service:
                continue
            state.configure(service, now_s, _NEW_UPSTREAM_WARMING_S)
            self._rebuild_routable(state, now_s)
        self._addresses = {a: s for s in self._services.values() for a in s.members}
        self._probe_targets = None

    def set_draining(self, now_s: float, addresses: frozenset[str]) -> None:
        """Sets the upstreams that report draining; none of them is routed to."""
        changed = self._draining ^ addresses
        self._draining = addresses
        self._probe_targets = None
        for state in {id(s): s for a in changed if (s := self._addresses.get(a))}.values():
            self._rebuild_routable(state, now_s)

    def on_cold_response(self, now_s: float, address: str) -> None:
        """Starts a warm-up: latencies are no evidence and traffic is reduced until it ends."""
        state = self._addresses.get(address)
        if state is None:
            return
        member = state.members[address]
        was_warming = now_s < member.warming_until_s
        member.warming_until_s = max(member.warming_until_s, now_s + _WARMING_S)
        state.detector.set_warming(now_s, address, member.warming_until_s)
        if not was_warming:
            self._rebuild_routable(state, now_s)

    # Evidence of this node

    def on_exchange_started(
        self, now_s: float, service: str, address: str, fresh_connection: bool
    ) -> int:
        """Registers a new exchange with an upstream and returns its number."""
        if now_s - self._updated_s > self._pause_s:
            self._resume_after_pause(now_s)
        self._last_exchange = number = self._last_exchange + 1
        state = self._services.get(service)
        if state is not None:
            self._exchanges[number] = state.detector
            self._pending[service] = state
            state.detector.on_exchange_started(now_s, address, number, fresh_connection)
        return number

    def on_first_byte(self, now_s: float, exchange: int) -> None:
        """Records the arrival of the first byte of a response."""
        if now_s - self._updated_s > self._pause_s:
            self._resume_after_pause(now_s)
        detector = self._exchanges.get(exchange)
        if detector is not None:
            detector.on_first_byte(now_s, exchange)

    def on_exchange_ended(self, now_s: float, exchange: int, outcome: ExchangeOutcome) -> None:
        """Records the end of an exchange; one that is unknown or has already ended is ignored."""
        if now_s - self._updated_s > self._pause_s:
            self._resume_after_pause(now_s)
        detector = self._exchanges.pop(exchange, None)
        if detector is not None:
            detector.on_exchange_ended(now_s, exchange, outcome)

    def on_probe_result(self, now_s: float, address: str, healthy: bool) -> None:
        """Records the result of a probe; a successful probe is no evidence of health."""
        state = self._addresses.get(address)
        if state is not None and not healthy:
            state.members[address].on_probe_failed(now_s)
            state.probe_failed_s = now_s
            self._pending[state.service.name] = state

    # Evidence of peers

    def on_peer_evidence(self, now_s: float, message: Evidence) -> None:
        """Stores a peer's evidence, which replaces its earlier evidence."""
        if self._peers.add_evidence(now_s, message) and message.service in self._services:
            self._pending[message.service] = self._services[message.service]

    def on_peer_ejection(self, now_s: float, message: Ejection) -> None:
        """Stores a peer's ejections, which replace its earlier ones."""
        if self._peers.add_ejection(now_s, message) and message.service in self._services:
            self._pending[message.service] = self._services[message.service]

    def remove_peer(self, now_s: float, node: str) -> None:
        """Drops the evidence and ejections of a node that has left."""
        self._peers.remove(node)

    # Decisions

    def routable(self, service: str) -> RoutableSet:
        """Returns the current routable set of a service, the same object until it changes."""
        routable = self._routable.get(service)
        return RoutableSet(0, service, ()) if routable is None else routable

    def update(self, now_s: float) -> EjectionUpdate:
        """Makes all decisions that are due at `now_s`."""
        if now_s - self._updated_s > self._pause_s:
            self._resume_after_pause(now_s)
        self._updated_s = now_s
        states = self._pending
        self._pending = {}
        readings_by_service: dict[str, dict[str, Reading]] = {}
        for name, state in states.items():
            readings = state.detector.evaluate(now_s)
            state.readings.update(readings)
            if state.in_transition:
                readings = {a: r for a, r in readings.items() if not state.members[a].suspected}
            readings_by_service[name] = readings
        self._suspended, ended = self._local_faults.observe(now_s, readings_by_service)
        for name in ended & self._services.keys():
            self._services[name].detector.reset_all(now_s)
            self._services[name].readings.clear()
        messages: list[Evidence | Ejection] = []
        changes: list[StateChange] = []
        for name, state in states.items():
            self._update_evidence(now_s, state)
            idle = not (state.combined or state.in_transition or state.peer_ejections)
            self._refresh_peer_ejections(now_s, state)
            idle = idle and not state.peer_ejections
            changed = [] if idle else list(self._decide(now_s, state))
            changes += changed
            if changed or state.in_transition or state.peer_ejections:
                self._rebuild_routable(state, now_s)
            messages += self._messages(now_s, state)
            if (
                state.in_transition
                or state.own_entries
                or readings_by_service[name]
                or self._peers.has_reports(name)
            ):
                self._pending[name] = state
        return EjectionUpdate(tuple(messages), tuple(changes))

    def _resume_after_pause(self, now_s: float) -> None:
        """Drops evidence and ends expired removals after a pause of this process."""
        self._updated_s = now_s
        self._decisions_held_until_s = now_s + _CATCH_UP_S
        self._peers.clear()
        for state in self._services.values():
            state.detector.reset_all(now_s)
            state.readings.clear()
            if state.in_transition:
                for member in state.members.values():
                    if member.suspected and member.removed_until_s <= now_s:
                        member.readmit()
                self._rebuild_routable(state, now_s)

    def _rebuild_routable(self, state: ServiceState, now_s: float) -> None:
        self._refresh_peer_ejections(now_s, state)
        if state.rebuild_routable(now_s, self._draining, self._generation + 1):
            self._generation += 1
            self._routable[state.service.name] = state.routable
        if state.in_transition:
            self._pending[state.service.name] = state

    def _refresh_peer_ejections(self, now_s: float, state: ServiceState) -> None:
        """Collects, by address, when the ejections of each peer expire."""
        state.peer_ejections = {}
        for _, ejections in self._peers.ejections(now_s, state.service.name):
            for address in ejections.addresses:
                state.peer_ejections.setdefault(address, []).append(ejections.expires_s)

    def _update_evidence(self, now_s: float, state: ServiceState) -> None:
        """Updates the evidence of this node and the sums over all nodes.

        The sums use this node's evidence as it was last sent, so that all nodes get equal sums.
        """
        name = state.service.name
        peer_evidence = [(node, item.upstreams) for node, item in self._peers.evidence(now_s, name)]
        if not (
            peer_evidence
            or state.sent_entries
            or state.can_reach_ratio(now_s, _MIN_REPORTED_RATIO - _RATIO_STEP / 2)
        ):
            state.own_entries = {}
            state.combined = {}
            return
        suspected_by_peers = {
            address
            for _, upstreams in peer_evidence
            for address, item in upstreams.items()
            if item.log_likelihood_ratio > 0
        }
        state.own_entries = (
            {}
            if name in self._suspended
            else dict(self._own_evidence(now_s, state, suspected_by_peers))
        )
        if self._evidence_due(now_s, state):
            state.sent_entries = state.own_entries
            state.evidence_sent_s = now_s
        chance = log(max(self._peers.node_count + 1, len(self._nodes)))
        # Evidence of one node with a broken path plus chance evidence of another must not suffice.
        share = state.sensitivity.threshold * _MAX_NODE_SHARE
        sums: dict[str, list[float]] = {}
        for upstreams in (state.sent_entries, *(upstreams for _, upstreams in peer_evidence)):
            for address, item in upstreams.items():
                total = sums.setdefault(address, [0.0, 0, 0])
                excess = item.log_likelihood_ratio - chance
                if excess > 0:
                    total[0] += min(excess, share)
                    total[1] += 1
                elif item.log_likelihood_ratio < 0:
                    total[2] += 1
        state.combined = {a: CombinedEvidence(t[0], int(t[1]), int(t[2])) for a, t in sums.items()}

    def _own_evidence(
        self, now_s: float, state: ServiceState, suspected_by_peers: set[str]
    ) -> Iterator[tuple[str, UpstreamEvidence]]:
        """Yields the entries of this node's evidence message."""
        entries = []
        for address, reading in state.readings.items():
            ratio = round(state.own_ratio(now_s, address) / _RATIO_STEP) * _RATIO_STEP
            if ratio < _MIN_REPORTED_RATIO:
                recent = now_s - reading.last_response_s < _CONTRADICTION_MAX_AGE_S
                if address not in suspected_by_peers or not recent or ratio > _RATIO_STEP:
                    continue
                ratio = _CONTRADICTION_RATIO
            entries.append(UpstreamEvidence(address, ratio, reading.samples, reading.reachable))
        entries.sort(key=lambda entry: (-entry.log_likelihood_ratio, entry.address))
        for entry in entries[:_MAX_MESSAGE_UPSTREAMS]:
            yield entry.address, entry

    def _decide(self, now_s: float, state: ServiceState) -> Iterator[StateChange]:
        """Updates the states of the members; the floor is applied afterwards."""
        for address, member in state.members.items():
            before = member.state
            if member.suspected:
                self._review_removal(now_s, state, address, member)
            elif before is MemberState.HALF_OPEN or address in state.combined:
                self._evaluate(now_s, state, address, member)
            elif address in state.peer_ejections:
                self._adopt_peer_ejections(now_s, state, address, member)
            if member.state is not before:
                yield state.state_change(address, before)

    def _evaluate(self, now_s: float, state: ServiceState, address: str, member: Member) -> None:
        """Removes a member that is in use if the evidence reaches the threshold."""
        reading = state.readings.get(address)
        half_open = member.state is MemberState.HALF_OPEN
        if half_open and reading is not None:
            member.good_responses = reading.good_responses
        if now_s < self._decisions_held_until_s:
            return
        limit = state.sensitivity.threshold * (_HALF_OPEN_THRESHOLD_SHARE if half_open else 1.0)
        combined = state.combined.get(address, NO_EVIDENCE)
        suspended = state.service.name in self._suspended
        own = 0.0 if suspended else state.own_ratio(now_s, address)
        agreed = self._is_agreed(combined, limit)
        if not agreed and own < limit:
            if half_open and member.has_recovered():
                member.restore(now_s)
            return
        alone = len(self._nodes) == 1 and not self._peers.node_count
        member.reachable = reading is None or reading.reachable
        member.reason = self._reason(own, combined)
        member.suspicion_level = self._suspicion_level(state, max(own, combined.ratio))
        after = MemberState.EJECTED if agreed or alone else MemberState.AVOIDED
        member.eject(now_s, after, state.sensitivity, self._readmission_delay_s(address))

    def _review_removal(
        self, now_s: float, state: ServiceState, address: str, member: Member
    ) -> None:
        """Ends or upgrades a removal and updates its suspicion level."""
        combined = state.combined.get(address, NO_EVIDENCE)
        own = state.own_ratio(now_s, address)
        agreed = self._is_agreed(combined, state.sensitivity.threshold)
        member.suspicion_level = max(
            member.suspicion_level, self._suspicion_level(state, max(own, combined.ratio))
        )
        if now_s >= member.removed_until_s:
            state.detector.reset(now_s, address)
            state.readings.pop(address, None)
            member.readmit()
        elif not member.removed and own < _MIN_REPORTED_RATIO and not combined.nodes_against:
            member.restore(now_s)
        elif agreed and member.state is MemberState.AVOIDED:
            member.state = MemberState.EJECTED
            member.reason = self._reason(own, combined)
        elif member.removed and now_s - member.removed_s >= _EVIDENCE_AFTER_EJECTION_S:
            state.detector.reset(now_s, address)
            state.readings.pop(address, None)
        if member.state is MemberState.EJECTED:
            self._extend_ejection(state, address, member)

    def _extend_ejection(self, state: ServiceState, address: str, member: Member) -> None:
        """Extends an ejection to a longer one of a peer, where the upstream failed while half-open.

        Differences within the staggering of readmissions are ignored. Otherwise nodes would keep
        extending each other's ejections.
        """
        longest_s = max(state.peer_ejections.get(address, ()), default=member.removed_until_s)
        if longest_s > member.removed_until_s + (_MAX_READMISSION_STEPS + 1) * _READMISSION_STEP_S:
            member.removed_until_s = longest_s + self._readmission_delay_s(address)

    def _adopt_peer_ejections(
        self, now_s: float, state: ServiceState, address: str, member: Member
    ) -> None:
        """Ejects an upstream that most peers have ejected, so that a new node does not use it."""
        expiries = state.peer_ejections[address]
        peer_count = max(self._peers.node_count, len(self._nodes) - 1)
        if (
            len(expiries) >= 2
            and 2 * len(expiries) > peer_count
            and now_s >= self._decisions_held_until_s
        ):
            member.reason = f"ejected by {len(expiries)} of {peer_count} peers"
            member.suspicion_level = 1
            member.eject(now_s, MemberState.EJECTED, state.sensitivity, 0.0)
            member.removed_until_s = min(expiries)

    @staticmethod
    def _is_agreed(combined: CombinedEvidence, limit: float) -> bool:
        """Returns whether the sum reaches `limit` and enough nodes have evidence.

        These are at least two nodes, and no fewer than get good responses from the upstream.
        """
        return (
            combined.ratio >= limit
            and combined.nodes_against >= 2
            and combined.nodes_against >= combined.nodes_for
        )

    @staticmethod
    def _suspicion_level(state: ServiceState, ratio: float) -> int:
        """Quantises suspicion, so that small differences in timing do not change the ranks."""
        return 1 + min(int(ratio / state.sensitivity.threshold / 2), 3)

    @staticmethod
    def _reason(own: float, combined: CombinedEvidence) -> str:
        return (
            f"ratio {own:.1f} here, {combined.ratio:.1f} in sum, "
            f"{combined.nodes_against} nodes against, {combined.nodes_for} for it"
        )

    def _readmission_delay_s(self, address: str) -> float:
        rank = rendezvous_rank(self._node, self._nodes, address)
        return min(rank, _MAX_READMISSION_STEPS) * _READMISSION_STEP_S

    # Messages

    def _messages(self, now_s: float, state: ServiceState) -> Iterator[Evidence | Ejection]:
        name = state.service.name
        if state.evidence_sent_s == now_s:
            self._sequence += 1
            entries = tuple(state.sent_entries.values())
            yield Evidence(self._node, self._incarnation, self._sequence, name, 0.0, entries)
        ejected = {
            address: member.removed_until_s
            for address, member in state.members.items()
            if member.removed and member.state is MemberState.EJECTED
        }
        addresses = tuple(sorted(ejected, key=lambda a: (-ejected[a], a))[:_MAX_MESSAGE_UPSTREAMS])
        due = bool(addresses) and now_s - state.ejection_sent_s >= EVIDENCE_REFRESH_S
        if addresses != state.ejected_sent or due:
            state.ejected_sent = addresses
            state.ejection_sent_s = now_s
            self._sequence += 1
            remaining_s = min((ejected[a] for a in addresses), default=now_s) - now_s
            yield Ejection(
                self._node, self._incarnation, self._sequence, name, addresses, remaining_s
            )

    @staticmethod
    def _evidence_due(now_s: float, state: ServiceState) -> bool:
        if state.own_entries.keys() != state.sent_entries.keys():
            return True
        if not state.own_entries:
            return False
        return now_s - state.evidence_sent_s >= EVIDENCE_REFRESH_S or any(
            abs(item.log_likelihood_ratio - state.sent_entries[address].log_likelihood_ratio)
            >= _MIN_REPORTED_CHANGE
            or item.reachable != state.sent_entries[address].reachable
            for address, item in state.own_entries.items()
        )

    # Operators and probes

    def probe_targets(self, now_s: float, nodes: Sequence[str]) -> tuple[str, ...]:
        """Returns the upstreams that this node probes; `nodes` are the names of all live nodes."""
        live_nodes = tuple(sorted({*nodes, self._node}))
        if live_nodes != self._nodes or self._probe_targets is None:
            self._nodes = live_nodes
            self._probe_targets = tuple(
                address
                for address in sorted(self._addresses)
                if address not in self._draining
                and rendezvous_rank(self._node, live_nodes, address) < self._probers
            )
        return self._probe_targets

    def rows(self, service: str, now_s: float) -> list[dict[str, object]]:
        """Returns one row per upstream of a service for operators' queries."""
        state = self._services.get(service)
        if state is None:
            return []
        return [self._row(state, address, now_s) for address in sorted(state.members)]

    def explain(self, address: str, now_s: float) -> list[dict[str, object]]:
        """Returns the row of an upstream, this node's evidence and what peers report about it."""
        state = self._addresses.get(address)
        if state is None:
            return []
        name = state.service.name
        rows = [
            {"source": "decision", "node": self._node, **self._row(state, address, now_s)},
            {
                "source": "evidence",
                "node": self._node,
                "zone": self._zone,
                **state.detector.describe(now_s, address),
            },
        ]
        for node, peer_evidence in self._peers.evidence(now_s, name):
            item = peer_evidence.upstreams.get(address)
            if item is not None:
                rows.append({"source": "peer evidence", "node": node, **item._asdict()})
        for node, ejections in self._peers.ejections(now_s, name):
            if address in ejections.addresses:
                remaining_s = round(ejections.expires_s - now_s, 1)
                rows.append({"source": "peer ejection", "node": node, "remaining_s": remaining_s})
        return rows

    def _row(self, state: ServiceState, address: str, now_s: float) -> dict[str, object]:
        member = state.members[address]
        combined = state.combined.get(address, NO_EVIDENCE)
        return {
            "service": state.service.name,
            "address": address,
            "region": member.upstream.region,
            "zone": member.upstream.zone,
            "slots": member.upstream.slots,
            "state": str(member.state),
            "declared": member.upstream.state,
            "leaving": address in self._draining,
            "warming": now_s < member.warming_until_s,
            "reachable": member.reachable,
            "routed": any(item.address == address for item in state.routable.upstreams),
            "weight": member.weight(now_s),
            "kept_by_floor": member.suspected and not member.removed,
            "ratio_here": round(state.own_ratio(now_s, address), 1),
            "ratio_sum": round(combined.ratio, 1),
            "nodes_against": combined.nodes_against,
            "nodes_for": combined.nodes_for,
            "remaining_s": (
                round(max(0.0, member.removed_until_s - now_s), 1) if member.suspected else 0.0
            ),
            "relapses": member.relapses,
            "reason": member.reason,
        }
