"""What the hosts of one availability zone have seen of each instance a moment ago.

Load pattern: at any moment some instances reset most of what they get, for about a second, while
their health checks pass. One host sends an instance less than one request a second, so it learns of
this too late; the hosts of a zone together see dozens.
"""

from collections.abc import Iterable, Mapping

from anviltray.decisions._types import ExchangeOutcome
from anviltray.messages import InstanceObservation

# A request that has been in flight for this long was accepted: instances that reset requests do so
# within milliseconds.
ACCEPTED_AFTER_S = 0.06
# Weight of one failure. A 5xx response is also what a sound instance answers to some requests.
_WEIGHTS = {
    ExchangeOutcome.BROKEN: 1.0,
    ExchangeOutcome.CONNECT_FAILED: 1.0,
    ExchangeOutcome.TIMED_OUT: 1.0,
    ExchangeOutcome.SERVER_ERROR: 0.4,
}
SUSPECT_SCORE = 0.7  # Score from which an instance is avoided.
SCORE_HALF_LIFE_S = 2.0  # Time in which a score without news falls to half.
_SCORE_LIMIT = 4.0
_PROOF_FACTOR = 0.45  # What one accepted request leaves of the score.
_LATENCY_WEIGHT = 0.1  # Weight of one latency in the mean of a service.
_FIRST_LATENCY_S = 0.4  # Assumed before the first response.


class InstanceEvidence:
    """Evidence about one instance."""

    __slots__ = (
        "_peers",
        "explored_s",
        "failed_s",
        "failures",
        "outstanding",
        "peer_outstanding",
        "proofs",
        "proved_s",
        "score",
        "scored_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0  # Requests in flight from this host.
        self.peer_outstanding = 0  # Those from the other hosts of the zone.
        self.score = 0.0  # Suspicion as of `scored_s`.
        self.scored_s = 0.0
        self.failed_s = float("-inf")  # Last failure that any host of the zone saw.
        self.proved_s = float("-inf")  # Start of the newest request that was accepted.
        self.explored_s = float("-inf")  # Last request sent in spite of the suspicion.
        self.failures = 0.0  # Not reported yet.
        self.proofs = 0  # Not reported yet.
        self._peers: dict[str, int] = {}

    @property
    def total_outstanding(self) -> int:
        """Requests in flight from all hosts of the zone."""
        return self.outstanding + self.peer_outstanding

    def suspicion(self, now_s: float) -> float:
        """Returns the score as of now."""
        if self.score == 0.0:
            return 0.0
        return float(self.score * 0.5 ** ((now_s - self.scored_s) / SCORE_HALF_LIFE_S))

    def failed(self, now_s: float, weight: float) -> None:
        """Adds a failure."""
        self.score = min(_SCORE_LIMIT, self.suspicion(now_s) + weight)
        self.scored_s = now_s
        self.failed_s = now_s

    def proved(self, now_s: float, started_s: float, count: int = 1) -> None:
        """Adds requests that were accepted; a start before the last failure proves nothing."""
        self.proved_s = max(self.proved_s, started_s)
        if started_s > self.failed_s:
            self.score = self.suspicion(now_s) * _PROOF_FACTOR**count
            self.scored_s = now_s

    def set_peer(self, host: str, outstanding: int) -> None:
        """Sets the requests in flight from another host."""
        if outstanding:
            self._peers[host] = outstanding
        else:
            self._peers.pop(host, None)
        self.peer_outstanding = sum(self._peers.values())


class EvidenceBoard:
    """Evidence of all instances, from this host and from the others of its zone."""

    def __init__(self) -> None:
        self._evidence: dict[str, InstanceEvidence] = {}
        self._changed: set[str] = set()
        self._latency_s: dict[str, float] = {}
        self.urgent = False  # A failure has not been reported yet.

    def of(self, instance: str) -> InstanceEvidence:
        """Returns the evidence about an instance."""
        evidence = self._evidence.get(instance)
        if evidence is None:
            evidence = self._evidence[instance] = InstanceEvidence()
        return evidence

    def mean_latency_s(self, service: str) -> float:
        """Returns the mean time that a response of a service takes."""
        return self._latency_s.get(service, _FIRST_LATENCY_S)

    def started(self, instance: str) -> None:
        """A request was sent."""
        self.of(instance).outstanding += 1
        self._changed.add(instance)

    def accepted(self, now_s: float, instance: str, started_s: float) -> None:
        """A request has been in flight for `ACCEPTED_AFTER_S`, or got a response."""
        evidence = self.of(instance)
        evidence.proved(now_s, started_s)
        evidence.proofs += 1
        self._changed.add(instance)

    def ended(
        self,
        now_s: float,
        instance: str,
        service: str,
        outcome: ExchangeOutcome,
        latency_s: float,
    ) -> None:
        """A request has ended."""
        evidence = self.of(instance)
        evidence.outstanding -= 1
        self._changed.add(instance)
        weight = _WEIGHTS.get(outcome, 0.0)
        if weight:
            evidence.failed(now_s, weight)
            evidence.failures += weight
            self.urgent = True
        elif outcome is ExchangeOutcome.OK:
            mean_s = self.mean_latency_s(service)
            self._latency_s[service] = mean_s + _LATENCY_WEIGHT * (latency_s - mean_s)

    def take_observations(self) -> tuple[InstanceObservation, ...]:
        """Returns what has changed since the last call, for the other hosts of the zone."""
        reports = []
        for instance in sorted(self._changed):
            evidence = self.of(instance)
            reports.append(
                InstanceObservation(
                    instance, evidence.outstanding, evidence.failures, evidence.proofs
                )
            )
            evidence.failures, evidence.proofs = 0.0, 0
        self._changed.clear()
        self.urgent = False
        return tuple(reports)

    def peer_observations(
        self, now_s: float, host: str, reports: Iterable[InstanceObservation]
    ) -> None:
        """Takes the reports of another host."""
        for report in reports:
            evidence = self.of(report.instance)
            evidence.set_peer(host, report.outstanding)
            if report.failures > 0:
                evidence.failed(now_s, report.failures)
            if report.proofs > 0:
                evidence.proved(now_s, now_s - ACCEPTED_AFTER_S, report.proofs)

    def peer_gone(self, host: str) -> None:
        """Forgets the requests in flight from a host that has ended or is cut off."""
        for evidence in self._evidence.values():
            evidence.set_peer(host, 0)

    def keep_only(self, instances: Mapping[str, object]) -> None:
        """Forgets instances that are no longer registered and have no request in flight."""
        for key in [key for key in self._evidence if key not in instances]:
            if self._evidence[key].outstanding == 0:
                del self._evidence[key]
                self._changed.discard(key)
