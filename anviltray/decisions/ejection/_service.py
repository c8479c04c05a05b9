"""Ejection state of one service."""

from collections.abc import Collection, Iterator
from typing import NamedTuple

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.detection import SENSITIVITIES, Reading, detectors
from anviltray.decisions.ejection._floor import Candidate, floor_slots, select_removals
from anviltray.decisions.ejection._member import (
    PROBE_DECAY_S,
    PROBE_MAX_SUSPICION,
    Member,
    MemberState,
)
from anviltray.decisions.ejection._types import StateChange
from anviltray.declarations import Service
from anviltray.messages import UpstreamEvidence

_MAX_RATIO = 60.0


class CombinedEvidence(NamedTuple):
    """Evidence of all nodes about one upstream, added up."""

    ratio: float  # Sum of the log-likelihood ratios beyond what chance explains.
    nodes_against: int  # Nodes with evidence against the upstream.
    nodes_for: int  # Nodes that get good responses from it.


NO_EVIDENCE = CombinedEvidence(0.0, 0, 0)


class ServiceState:
    """Members of one service, the evidence about them and the routable set."""

    def __init__(self, service: Service, detector: str) -> None:
        self.service = service
        self.sensitivity = SENSITIVITIES[service.sensitivity]
        self.detector = detectors[detector](self.sensitivity)
        self.floor = floor_slots(service)
        self.members: dict[str, Member] = {}
        self.readings: dict[str, Reading] = {}
        self.own_entries: dict[str, UpstreamEvidence] = {}
        self.combined: dict[str, CombinedEvidence] = {}
        self.sent_entries: dict[str, UpstreamEvidence] = {}
        self.peer_ejections: dict[str, list[float]] = {}
        self.probe_failed_s = float("-inf")
        self.evidence_sent_s = float("-inf")
        self.ejected_sent: tuple[str, ...] = ()
        self.ejection_sent_s = float("-inf")
        self.routable = RoutableSet(0, service.name, ())
        self.in_transition = True

    def configure(self, service: Service, now_s: float, warming_s: float) -> None:
        """Applies a declaration; upstreams added to an existing service start with a warm-up."""
        first = not self.members
        if service.sensitivity != self.service.sensitivity:
            self.sensitivity = SENSITIVITIES[service.sensitivity]
            self.detector.set_sensitivity(self.sensitivity)
        self.service = service
        self.floor = floor_slots(service)
        members = {}
        for upstream in service.upstreams:
            member = self.members.get(upstream.address)
            if member is None:
                member = Member(upstream, now_s)
                if not first:
                    member.warming_until_s = now_s + warming_s
            member.upstream = upstream
            members[upstream.address] = member
        self.members = members
        self.detector.set_upstreams(members)
        for address, member in members.items():
            if member.warming_until_s > now_s:
                self.detector.set_warming(now_s, address, member.warming_until_s)
        self.readings = {a: r for a, r in self.readings.items() if a in members}
        self.own_entries = {a: e for a, e in self.own_entries.items() if a in members}
        self.combined = {a: c for a, c in self.combined.items() if a in members}
        self.in_transition = True

    def usable_members(self, draining: Collection[str]) -> Iterator[tuple[str, Member]]:
        """Yields the members that are neither draining nor taken out of service by an operator."""
        for address, member in self.members.items():
            if member.upstream.state == "active" and address not in draining:
                yield address, member

    def rebuild_routable(self, now_s: float, draining: Collection[str], generation: int) -> bool:
        """Applies the floor and rebuilds the routable set; returns whether the set changed."""
        usable = list(self.usable_members(draining))
        removed = select_removals(
            [
                Candidate(
                    address,
                    member.upstream.slots,
                    member.is_healthy_capacity(now_s),
                    max(member.suspicion_level, 1) if member.suspected else 0,
                )
                for address, member in usable
            ],
            self.floor,
            self.peer_ejections,
        )
        for address, member in self.members.items():
            member.removed = address in removed
        upstreams = tuple(
            sorted(
                RoutableUpstream(
                    address,
                    member.upstream.region,
                    member.upstream.zone,
                    member.upstream.slots,
                    member.weight(now_s),
                )
                for address, member in usable
                if address not in removed
            )
        )
        self.in_transition = any(
            member.state is not MemberState.HEALTHY or now_s < member.warming_until_s
            for member in self.members.values()
        )
        if upstreams == self.routable.upstreams and self.routable.generation:
            return False
        self.routable = RoutableSet(generation, self.service.name, upstreams)
        return True

    def own_ratio(self, now_s: float, address: str) -> float:
        """Returns this node's evidence against one upstream, including failed probes."""
        reading = self.readings.get(address)
        ratio = reading.log_likelihood_ratio if reading is not None else 0.0
        return min(ratio + self.members[address].current_probe_suspicion(now_s), _MAX_RATIO)

    def can_reach_ratio(self, now_s: float, ratio: float) -> bool:
        """Returns whether the evidence of this node against any upstream may reach `ratio`."""
        min_ratio = (
            ratio - PROBE_MAX_SUSPICION if now_s - self.probe_failed_s < PROBE_DECAY_S else ratio
        )
        return any(reading.log_likelihood_ratio >= min_ratio for reading in self.readings.values())

    def state_change(self, address: str, before: MemberState) -> StateChange:
        """Returns the log entry for a change of one member."""
        member = self.members[address]
        return StateChange(self.service.name, address, before, member.state, member.reason)
