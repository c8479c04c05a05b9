"""The board: evidence in, routable sets and messages out."""

from collections.abc import Iterator, Mapping, Sequence
from math import log
from random import Random

from anviltray.decisions._types import ExchangeOutcome, RoutableSet
from anviltray.decisions.detection import Detector, Reading
from anviltray.decisions.ejection._member import Member, MemberState
from anviltray.decisions.ejection._own_side import OwnSide
from anviltray.decisions.ejection._peers import EVIDENCE_REFRESH_S, PeerLedger
from anviltray.decisions.ejection._probing import rendezvous_rank
from anviltray.decisions.ejection._service import NO_CONSENSUS, Consensus, ServiceState
from anviltray.decisions.ejection._types import EjectionUpdate, StateChange
from anviltray.declarations import Service
from anviltray.messages import Ejection, Evidence, UpstreamEvidence

# Evidence below this is chance and is not sent; smaller changes are not sent again.
_NOTEWORTHY = 2.0
_CHANGE = 1.0
_STEP = 0.5

# Ratio sent about an upstream that a peer suspects and that answers well here.
_CONTRADICTION = -2.0
_CONTRADICTION_AGE_S = 1.0

_MESSAGE_UPSTREAMS = 8

# Largest share of the threshold that one node contributes to the sum of all.
_NODE_SHARE = 0.5

# An upstream on trial is removed again by this share of the threshold.
_TRIAL_SHARE = 1 / 3

# Evidence that an ejection is based on is sent this long, then dropped.
_EVIDENCE_AFTER_EJECTION_S = 1.0

_WARMING_S = 3.0
_NEW_UPSTREAM_WARMING_S = 5.0

# A gap between updates of this many intervals is a pause of this process.
_PAUSE_INTERVALS = 4
_PAUSE_LEAST_S = 0.2

# After a pause the peers' messages that queued up are read before anything is decided.
_CATCH_UP_S = 0.3

# Later ranked nodes readmit later, so that the first one's few requests decide.
_READMISSION_STEP_S = 1.0
_READMISSION_STEPS = 4


class OutlierEjector:
    """Decides which upstreams of each service this node routes to.

    Evidence of this node comes from `on_exchange_started`, `on_first_byte`, `on_exchange_ended`
    and `on_probe_result`, that of others from their messages. `update` is called every
    `flush_interval_s` and takes all decisions; between two calls only configuration, leaving and
    warming change the sets. An upstream that only this node finds unhealthy is avoided here; one
    that several nodes find unhealthy, and at least as many as get good answers from it, is
    ejected. Both end by themselves.
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
        self._pause_s = max(flush_interval_s * _PAUSE_INTERVALS, _PAUSE_LEAST_S)
        self._probers = probers
        self._detector = detector
        self._services: dict[str, ServiceState] = {}
        self._routable: dict[str, RoutableSet] = {}
        self._addresses: dict[str, ServiceState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._peers = PeerLedger(node)
        self._own_side = OwnSide()
        self._suspended: frozenset[str] = frozenset()
        self._exchanges: dict[int, Detector] = {}
        self._touched: dict[str, ServiceState] = {}
        self._number = 0
        self._sequence = 0
        self._generation = 0
        self._updated_s = float("inf")
        self._hold_until_s = float("-inf")
        self._nodes: tuple[str, ...] = (node,)
        self._targets: tuple[str, ...] | None = None

    # Configuration

    def configure(self, services: Mapping[str, Service], now_s: float) -> None:
        """Takes the declared services; what is known about kept upstreams stays."""
        self._updated_s = min(self._updated_s, now_s)
        for name in self._services.keys() - services.keys():
            self._services.pop(name).detector.watch(())
            del self._routable[name]
            self._touched.pop(name, None)
        for name, service in services.items():
            state = self._services.get(name)
            if state is None:
                state = self._services[name] = ServiceState(service, self._detector)
            elif state.service == service:
                continue
            state.configure(service, now_s, _NEW_UPSTREAM_WARMING_S)
            self._settle(state, now_s)
        self._addresses = {a: s for s in self._services.values() for a in s.members}
        self._targets = None

    def set_draining(self, now_s: float, addresses: frozenset[str]) -> None:
        """Takes all leaving upstreams; none of them is routed to."""
        changed = self._leaving ^ addresses
        self._leaving = addresses
        self._targets = None
        for state in {id(s): s for a in changed if (s := self._addresses.get(a))}.values():
            self._settle(state, now_s)

    def on_cold_response(self, now_s: float, address: str) -> None:
        """Takes a cold answer: latencies are no evidence for a while, traffic is reduced."""
        state = self._addresses.get(address)
        if state is None:
            return
        member = state.members[address]
        known = now_s < member.warming_until_s
        member.warming_until_s = max(member.warming_until_s, now_s + _WARMING_S)
        state.detector.warming(now_s, address, member.warming_until_s)
        if not known:
            self._settle(state, now_s)

    # Evidence of this node

    def on_exchange_started(
        self, now_s: float, service: str, address: str, fresh_connection: bool
    ) -> int:
        """Returns the number of a new exchange with an upstream."""
        if now_s - self._updated_s > self._pause_s:
            self._resume(now_s)
        self._number = number = self._number + 1
        state = self._services.get(service)
        if state is not None:
            self._exchanges[number] = state.detector
            self._touched[service] = state
            state.detector.started(now_s, address, number, fresh_connection)
        return number

    def on_first_byte(self, now_s: float, exchange: int) -> None:
        """Takes the first byte of a response."""
        if now_s - self._updated_s > self._pause_s:
            self._resume(now_s)
        detector = self._exchanges.get(exchange)
        if detector is not None:
            detector.first_byte(now_s, exchange)

    def on_exchange_ended(self, now_s: float, exchange: int, outcome: ExchangeOutcome) -> None:
        """Takes the end of an exchange; one that is unknown or has ended is ignored."""
        if now_s - self._updated_s > self._pause_s:
            self._resume(now_s)
        detector = self._exchanges.pop(exchange, None)
        if detector is not None:
            detector.ended(now_s, exchange, outcome)

    def on_probe_result(self, now_s: float, address: str, healthy: bool) -> None:
        """Takes the result of a probe; a good one proves nothing."""
        state = self._addresses.get(address)
        if state is not None and not healthy:
            state.members[address].probe_failed(now_s)
            state.probed_s = now_s
            self._touched[state.service.name] = state

    # Evidence of peers

    def on_peer_evidence(self, now_s: float, message: Evidence) -> None:
        """Takes a peer's evidence, which replaces its earlier one."""
        if self._peers.add_evidence(now_s, message) and message.service in self._services:
            self._touched[message.service] = self._services[message.service]

    def on_peer_ejection(self, now_s: float, message: Ejection) -> None:
        """Takes a peer's ejections, which replace its earlier ones."""
        if self._peers.add_ejection(now_s, message) and message.service in self._services:
            self._touched[message.service] = self._services[message.service]

    def remove_peer(self, now_s: float, node: str) -> None:
        """Drops what a node has said."""
        self._peers.gone(node)

    # Decisions

    def routable(self, service: str) -> RoutableSet:
        """Returns the current set of a service, the same object until it changes."""
        routable = self._routable.get(service)
        return RoutableSet(0, service, ()) if routable is None else routable

    def update(self, now_s: float) -> EjectionUpdate:
        """Takes all decisions that are due at `now_s`."""
        if now_s - self._updated_s > self._pause_s:
            self._resume(now_s)
        self._updated_s = now_s
        states = self._touched
        self._touched = {}
        surveys: dict[str, dict[str, Reading]] = {}
        for name, state in states.items():
            readings = state.detector.survey(now_s)
            state.readings.update(readings)
            if state.busy:
                readings = {a: r for a, r in readings.items() if not state.members[a].suspected}
            surveys[name] = readings
        self._suspended, ended = self._own_side.observe(now_s, surveys)
        for name in ended & self._services.keys():
            self._services[name].detector.discard(now_s)
            self._services[name].readings.clear()
        messages: list[Evidence | Ejection] = []
        changes: list[StateChange] = []
        for name, state in states.items():
            self._weigh(now_s, state)
            quiet = not (state.consensus or state.busy or state.heard)
            self._hear(now_s, state)
            quiet = quiet and not state.heard
            changed = [] if quiet else list(self._decide(now_s, state))
            changes += changed
            if changed or state.busy or state.heard:
                self._settle(state, now_s)
            messages += self._messages(now_s, state)
            if state.busy or state.published or surveys[name] or self._peers.concerns(name):
                self._touched[name] = state
        return EjectionUpdate(tuple(messages), tuple(changes))

    def _resume(self, now_s: float) -> None:
        """Drops evidence and expired state after a pause of this process."""
        self._updated_s = now_s
        self._hold_until_s = now_s + _CATCH_UP_S
        self._peers.clear()
        for state in self._services.values():
            state.detector.discard(now_s)
            state.readings.clear()
            if state.busy:
                for member in state.members.values():
                    if member.suspected and member.until_s <= now_s:
                        member.readmit()
                self._settle(state, now_s)

    def _settle(self, state: ServiceState, now_s: float) -> None:
        self._hear(now_s, state)
        if state.settle(now_s, self._leaving, self._generation + 1):
            self._generation += 1
            self._routable[state.service.name] = state.routable
        if state.busy:
            self._touched[state.service.name] = state

    def _hear(self, now_s: float, state: ServiceState) -> None:
        """Notes until when peers have ejected upstreams of a service."""
        state.heard = {}
        for _, heard in self._peers.ejections(now_s, state.service.name):
            for address in heard.addresses:
                state.heard.setdefault(address, []).append(heard.expires_s)

    def _weigh(self, now_s: float, state: ServiceState) -> None:
        """Adds up the evidence of all nodes, as it is sent, so that all nodes get equal sums."""
        name = state.service.name
        stated = [(node, item.upstreams) for node, item in self._peers.evidence(now_s, name)]
        if not (stated or state.sent or state.noteworthy(now_s, _NOTEWORTHY - _STEP / 2)):
            state.published = {}
            state.consensus = {}
            return
        questioned = {
            address
            for _, upstreams in stated
            for address, item in upstreams.items()
            if item.log_likelihood_ratio > 0
        }
        state.published = (
            {} if name in self._suspended else dict(self._own(now_s, state, questioned))
        )
        if self._evidence_due(now_s, state):
            state.sent = state.published
            state.evidence_sent_s = now_s
        chance = log(max(self._peers.node_count + 1, len(self._nodes)))
        # One node with a broken path must not eject together with chance at another one.
        share = state.sensitivity.threshold * _NODE_SHARE
        sums: dict[str, list[float]] = {}
        for upstreams in (state.sent, *(upstreams for _, upstreams in stated)):
            for address, item in upstreams.items():
                total = sums.setdefault(address, [0.0, 0, 0])
                excess = item.log_likelihood_ratio - chance
                if excess > 0:
                    total[0] += min(excess, share)
                    total[1] += 1
                elif item.log_likelihood_ratio < 0:
                    total[2] += 1
        state.consensus = {a: Consensus(t[0], int(t[1]), int(t[2])) for a, t in sums.items()}

    def _own(
        self, now_s: float, state: ServiceState, questioned: set[str]
    ) -> Iterator[tuple[str, UpstreamEvidence]]:
        """Yields the entries of this node's evidence message."""
        entries = []
        for address, reading in state.readings.items():
            ratio = round(state.own_ratio(now_s, address) / _STEP) * _STEP
            if ratio < _NOTEWORTHY:
                recent = now_s - reading.answered_s < _CONTRADICTION_AGE_S
                if address not in questioned or not recent or ratio > _STEP:
                    continue
                ratio = _CONTRADICTION
            entries.append(UpstreamEvidence(address, ratio, reading.samples, reading.reachable))
        entries.sort(key=lambda entry: (-entry.log_likelihood_ratio, entry.address))
        for entry in entries[:_MESSAGE_UPSTREAMS]:
            yield entry.address, entry

    def _decide(self, now_s: float, state: ServiceState) -> Iterator[StateChange]:
        """Changes the states of the members; the floor is applied afterwards."""
        for address, member in state.members.items():
            before = member.state
            if member.suspected:
                self._review(now_s, state, address, member)
            elif before is MemberState.RETURNING or address in state.consensus:
                self._judge(now_s, state, address, member)
            elif address in state.heard:
                self._adopt(now_s, state, address, member)
            if member.state is not before:
                yield state.change(address, before)

    def _judge(self, now_s: float, state: ServiceState, address: str, member: Member) -> None:
        """Removes a member that is in use if the evidence suffices."""
        reading = state.readings.get(address)
        on_trial = member.state is MemberState.RETURNING
        if on_trial and reading is not None:
            member.answers = reading.answers
        if now_s < self._hold_until_s:
            return
        limit = state.sensitivity.threshold * (_TRIAL_SHARE if on_trial else 1.0)
        consensus = state.consensus.get(address, NO_CONSENSUS)
        suspended = state.service.name in self._suspended
        own = 0.0 if suspended else state.own_ratio(now_s, address)
        many = self._many(consensus, limit)
        if not many and own < limit:
            if on_trial and member.trial_over():
                member.restore(now_s)
            return
        alone = len(self._nodes) == 1 and not self._peers.node_count
        member.reachable = reading is None or reading.reachable
        member.reason = self._reason(own, consensus)
        member.level = self._level(state, max(own, consensus.ratio))
        after = MemberState.EJECTED if many or alone else MemberState.AVOIDED
        member.eject(now_s, after, state.sensitivity, self._delay_s(address))

    def _review(self, now_s: float, state: ServiceState, address: str, member: Member) -> None:
        """Ends or upgrades a removal and keeps its rank up to date."""
        consensus = state.consensus.get(address, NO_CONSENSUS)
        own = state.own_ratio(now_s, address)
        many = self._many(consensus, state.sensitivity.threshold)
        member.level = max(member.level, self._level(state, max(own, consensus.ratio)))
        if now_s >= member.until_s:
            state.detector.reset(now_s, address)
            state.readings.pop(address, None)
            member.readmit()
        elif not member.removed and own < _NOTEWORTHY and not consensus.supporters:
            member.restore(now_s)
        elif many and member.state is MemberState.AVOIDED:
            member.state = MemberState.EJECTED
            member.reason = self._reason(own, consensus)
        elif member.removed and now_s - member.removed_s >= _EVIDENCE_AFTER_EJECTION_S:
            state.detector.reset(now_s, address)
            state.readings.pop(address, None)
        if member.state is MemberState.EJECTED:
            self._extend(state, address, member)

    def _extend(self, state: ServiceState, address: str, member: Member) -> None:
        """Follows a peer whose trial of the upstream failed.

        Differences within the staggering of readmissions are no relapse. Following them would
        let nodes extend each other's ejections for ever.
        """
        longest_s = max(state.heard.get(address, ()), default=member.until_s)
        if longest_s > member.until_s + (_READMISSION_STEPS + 1) * _READMISSION_STEP_S:
            member.until_s = longest_s + self._delay_s(address)

    def _adopt(self, now_s: float, state: ServiceState, address: str, member: Member) -> None:
        """Ejects what most of the peers have ejected, for a node that has just started."""
        expiries = state.heard[address]
        known = max(self._peers.node_count, len(self._nodes) - 1)
        if len(expiries) >= 2 and 2 * len(expiries) > known and now_s >= self._hold_until_s:
            member.reason = f"ejected by {len(expiries)} of {known} peers"
            member.level = 1
            member.eject(now_s, MemberState.EJECTED, state.sensitivity, 0.0)
            member.until_s = min(expiries)

    @staticmethod
    def _many(consensus: Consensus, limit: float) -> bool:
        return (
            consensus.ratio >= limit
            and consensus.supporters >= 2
            and consensus.supporters >= consensus.contradictors
        )

    @staticmethod
    def _level(state: ServiceState, ratio: float) -> int:
        """Quantises suspicion, so that small differences in time do not change the ranks."""
        return 1 + min(int(ratio / state.sensitivity.threshold / 2), 3)

    @staticmethod
    def _reason(own: float, consensus: Consensus) -> str:
        return (
            f"ratio {own:.1f} here, {consensus.ratio:.1f} in sum, "
            f"{consensus.supporters} nodes against, {consensus.contradictors} for it"
        )

    def _delay_s(self, address: str) -> float:
        rank = rendezvous_rank(self._node, self._nodes, address)
        return min(rank, _READMISSION_STEPS) * _READMISSION_STEP_S

    # Messages

    def _messages(self, now_s: float, state: ServiceState) -> Iterator[Evidence | Ejection]:
        name = state.service.name
        if state.evidence_sent_s == now_s:
            self._sequence += 1
            entries = tuple(state.sent.values())
            yield Evidence(self._node, self._incarnation, self._sequence, name, 0.0, entries)
        ejected = {
            address: member.until_s
            for address, member in state.members.items()
            if member.removed and member.state is MemberState.EJECTED
        }
        addresses = tuple(sorted(ejected, key=lambda a: (-ejected[a], a))[:_MESSAGE_UPSTREAMS])
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
        if state.published.keys() != state.sent.keys():
            return True
        if not state.published:
            return False
        return now_s - state.evidence_sent_s >= EVIDENCE_REFRESH_S or any(
            abs(item.log_likelihood_ratio - state.sent[address].log_likelihood_ratio) >= _CHANGE
            or item.reachable != state.sent[address].reachable
            for address, item in state.published.items()
        )

    # Operators and probes

    def probe_targets(self, now_s: float, nodes: Sequence[str]) -> tuple[str, ...]:
        """Returns the upstreams that this node probes, given the names of all live nodes."""
        known = tuple(sorted({*nodes, self._node}))
        if known != self._nodes or self._targets is None:
            self._nodes = known
            self._targets = tuple(
                address
                for address in sorted(self._addresses)
                if address not in self._leaving
                and rendezvous_rank(self._node, known, address) < self._probers
            )
        return self._targets

    def rows(self, service: str, now_s: float) -> list[dict[str, object]]:
        """Returns one row per upstream of a service for operators' queries."""
        state = self._services.get(service)
        if state is None:
            return []
        return [self._row(state, address, now_s) for address in sorted(state.members)]

    def explain(self, address: str, now_s: float) -> list[dict[str, object]]:
        """Returns why an upstream is in its state: its row, the parts of the evidence, peers."""
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
        for node, stated in self._peers.evidence(now_s, name):
            item = stated.upstreams.get(address)
            if item is not None:
                rows.append({"source": "peer evidence", "node": node, **item._asdict()})
        for node, heard in self._peers.ejections(now_s, name):
            if address in heard.addresses:
                remaining_s = round(heard.expires_s - now_s, 1)
                rows.append({"source": "peer ejection", "node": node, "remaining_s": remaining_s})
        return rows

    def _row(self, state: ServiceState, address: str, now_s: float) -> dict[str, object]:
        member = state.members[address]
        consensus = state.consensus.get(address, NO_CONSENSUS)
        return {
            "service": state.service.name,
            "address": address,
            "region": member.upstream.region,
            "zone": member.upstream.zone,
            "slots": member.upstream.slots,
            "state": str(member.state),
            "declared": member.upstream.state,
            "leaving": address in self._leaving,
            "warming": now_s < member.warming_until_s,
            "reachable": member.reachable,
            "routed": any(item.address == address for item in state.routable.upstreams),
            "weight": member.weight(now_s),
            "kept_by_floor": member.suspected and not member.removed,
            "ratio_here": round(state.own_ratio(now_s, address), 1),
            "ratio_sum": round(consensus.ratio, 1),
            "nodes_against": consensus.supporters,
            "nodes_for": consensus.contradictors,
            "remaining_s": round(max(0.0, member.until_s - now_s), 1) if member.suspected else 0.0,
            "relapses": member.relapses,
            "reason": member.reason,
        }
