"""State of one service on the ejection board."""

from collections.abc import Collection, Iterator
from typing import NamedTuple

from anviltray.decisions._types import RoutableSet, RoutableUpstream
from anviltray.decisions.detection import SENSITIVITIES, Reading, detectors
from anviltray.decisions.ejection._floor import Candidate, floor_slots, select
from anviltray.decisions.ejection._member import PROBE_LIMIT, PROBE_MEMORY_S, Member, MemberState
from anviltray.decisions.ejection._types import StateChange
from anviltray.declarations import Service
from anviltray.messages import UpstreamEvidence

_RATIO_LIMIT = 60.0


class Consensus(NamedTuple):
    """Evidence of all nodes about one upstream."""

    ratio: float  # Sum of the ratios beyond what chance explains.
    supporters: int  # Nodes with evidence against it.
    contradictors: int  # Nodes that get good answers from it.


NO_CONSENSUS = Consensus(0.0, 0, 0)


class ServiceState:
    """Members of one service, the evidence about them and the set that is routed to."""

    def __init__(self, service: Service, detector: str) -> None:
        self.service = service
        self.sensitivity = SENSITIVITIES[service.sensitivity]
        self.detector = detectors[detector](self.sensitivity)
        self.floor = floor_slots(service)
        self.members: dict[str, Member] = {}
        self.readings: dict[str, Reading] = {}
        self.published: dict[str, UpstreamEvidence] = {}
        self.consensus: dict[str, Consensus] = {}
        self.sent: dict[str, UpstreamEvidence] = {}
        self.heard: dict[str, list[float]] = {}
        self.probed_s = float("-inf")
        self.evidence_sent_s = float("-inf")
        self.ejected_sent: tuple[str, ...] = ()
        self.ejection_sent_s = float("-inf")
        self.routable = RoutableSet(0, service.name, ())
        self.busy = True

    def configure(self, service: Service, now_s: float, warming_s: float) -> None:
        """Takes a declaration; upstreams that are new in a known service start warming."""
        first = not self.members
        if service.sensitivity != self.service.sensitivity:
            self.sensitivity = SENSITIVITIES[service.sensitivity]
            self.detector.tune(self.sensitivity)
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
        self.detector.watch(members)
        for address, member in members.items():
            if member.warming_until_s > now_s:
                self.detector.warming(now_s, address, member.warming_until_s)
        self.readings = {a: r for a, r in self.readings.items() if a in members}
        self.published = {a: e for a, e in self.published.items() if a in members}
        self.consensus = {a: c for a, c in self.consensus.items() if a in members}
        self.busy = True

    def usable(self, leaving: Collection[str]) -> Iterator[tuple[str, Member]]:
        """Yields the members that are neither leaving nor taken out by an operator."""
        for address, member in self.members.items():
            if member.upstream.state == "active" and address not in leaving:
                yield address, member

    def settle(self, now_s: float, leaving: Collection[str], generation: int) -> bool:
        """Applies the floor and rebuilds the routable set; returns whether the set changed."""
        usable = list(self.usable(leaving))
        removed = select(
            [
                Candidate(
                    address,
                    member.upstream.slots,
                    member.counted(now_s),
                    max(member.level, 1) if member.suspected else 0,
                )
                for address, member in usable
            ],
            self.floor,
            self.heard,
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
        self.busy = any(
            member.state is not MemberState.HEALTHY or now_s < member.warming_until_s
            for member in self.members.values()
        )
        if upstreams == self.routable.upstreams and self.routable.generation:
            return False
        self.routable = RoutableSet(generation, self.service.name, upstreams)
        return True

    def own_ratio(self, now_s: float, address: str) -> float:
        """Returns this node's current evidence against one upstream, with failed probes."""
        reading = self.readings.get(address)
        ratio = reading.log_likelihood_ratio if reading is not None else 0.0
        return min(ratio + self.members[address].probes(now_s), _RATIO_LIMIT)

    def noteworthy(self, now_s: float, ratio: float) -> bool:
        """Returns whether the evidence of this node against any upstream may reach `ratio`."""
        least = ratio - PROBE_LIMIT if now_s - self.probed_s < PROBE_MEMORY_S else ratio
        return any(reading.log_likelihood_ratio >= least for reading in self.readings.values())

    def change(self, address: str, before: MemberState) -> StateChange:
        """Returns the log entry for a change of one member."""
        member = self.members[address]
        return StateChange(self.service.name, address, before, member.state, member.reason)
