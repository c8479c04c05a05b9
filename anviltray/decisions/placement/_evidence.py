"""How likely each instance is sick, from what the hosts of one availability zone see.

Load pattern: at any moment some instances reset most of what they get, for seconds at a time, while
their health checks pass. One host sends an instance less than one request a second, so it learns of
this too late; the hosts of a zone together see several.
"""

import math
from collections.abc import Iterable, Mapping

from anviltray.decisions._types import ExchangeOutcome
from anviltray.messages import InstanceBelief, InstanceObservation

# A request that has been in flight for this long was accepted: instances that reset requests do so
# within milliseconds.
ACCEPTED_AFTER_S = 0.06
# A request counts as overdue after this multiple of the mean time of its service, and not earlier
# than the least time.
_OVERDUE_FACTOR = 4.0
_OVERDUE_LEAST_S = 1.0

# Two-state model of an instance, from a recorded day: sick phases last 9 s and sound ones 20 s.
# Without news, the probability of sickness moves towards the share of sick time.
_SICK_PHASE_S = 9.0
_SOUND_PHASE_S = 20.0
SICK_SHARE = _SICK_PHASE_S / (_SICK_PHASE_S + _SOUND_PHASE_S)
_RELAXATION_S = 1 / (1 / _SICK_PHASE_S + 1 / _SOUND_PHASE_S)
# Probability of a broken exchange at a sick and at a sound instance.
_BROKEN_WHEN_SICK = 0.85
_BROKEN_WHEN_SOUND = 0.003
_BROKEN = math.log(_BROKEN_WHEN_SICK / _BROKEN_WHEN_SOUND)
_ACCEPTED = math.log((1 - _BROKEN_WHEN_SICK) / (1 - _BROKEN_WHEN_SOUND))
# A 5xx response or a slow one is also what sound instances give to some requests.
_SERVER_ERROR = math.log(5.0)
_OVERDUE = math.log(12.0)
# A whole good response, of which the acceptance was counted before.
_GOOD = math.log(0.7)
_EVIDENCE = {
    ExchangeOutcome.BROKEN: _BROKEN,
    ExchangeOutcome.CONNECT_FAILED: _BROKEN,
    ExchangeOutcome.SERVER_ERROR: _SERVER_ERROR,
    ExchangeOutcome.OK: _GOOD,
}
# A refusal for load shows work that this zone does not know of. It counts like this many requests
# for each slot, and half as much after the half-life.
_REFUSAL_LOAD = 1.0
_REFUSAL_LOAD_LIMIT = 3.0
_REFUSAL_HALF_LIFE_S = 0.5
# What the own zone has seen of an instance goes before the belief of another zone for this long.
_OWN_EVIDENCE_S = 2.0
_LOG_ODDS_LIMIT = 6.0  # Bounds the belief, so that a change is noticed after few requests.

_LATENCY_WEIGHT = 0.1  # Weight of one latency in the mean of a service.
_FIRST_LATENCY_S = 0.4  # Assumed before the first response.


class InstanceEvidence:
    """Belief about one instance and its load."""

    __slots__ = (
        "_log_odds",
        "_peers",
        "_refusal_load",
        "_refused_s",
        "_updated_s",
        "explored_s",
        "learned_s",
        "news",
        "outstanding",
        "peer_outstanding",
        "refusals",
    )

    def __init__(self) -> None:
        self.outstanding = 0  # Requests in flight from this host.
        self.peer_outstanding = 0  # Those from the other hosts of the zone.
        self.explored_s = float("-inf")  # Last request sent to learn its state.
        self.learned_s = float("-inf")  # Newest evidence of the own zone.
        self.news = 0.0  # Log-likelihood ratio that was not reported yet.
        self.refusals = 0  # Refusals that were not reported yet.
        self._refusal_load = 0.0  # Requests for each slot as of `_refused_s`.
        self._refused_s = 0.0
        self._log_odds = math.log(SICK_SHARE / (1 - SICK_SHARE))
        self._updated_s = float("-inf")
        self._peers: dict[str, int] = {}

    @property
    def total_outstanding(self) -> int:
        """Requests in flight from all hosts of the zone."""
        return self.outstanding + self.peer_outstanding

    @property
    def updated_s(self) -> float:
        """Time of the newest evidence."""
        return self._updated_s

    def sickness(self, now_s: float) -> float:
        """Returns the probability that the instance is sick."""
        believed = 1 / (1 + math.exp(-self._log_odds))
        kept = math.exp(-max(0.0, now_s - self._updated_s) / _RELAXATION_S)
        return SICK_SHARE + (believed - SICK_SHARE) * kept

    def learn(self, now_s: float, log_likelihood_ratio: float) -> None:
        """Adds evidence; above 0 it speaks for sickness."""
        sickness = self.sickness(now_s)
        log_odds = math.log(sickness / (1 - sickness)) + log_likelihood_ratio
        self._log_odds = max(-_LOG_ODDS_LIMIT, min(_LOG_ODDS_LIMIT, log_odds))
        self._updated_s = self.learned_s = now_s

    def adopt(self, now_s: float, sickness: float) -> None:
        """Takes the belief of the zone in which the instance is."""
        if now_s - self.learned_s < _OWN_EVIDENCE_S or not 0 < sickness < 1:
            return
        log_odds = math.log(sickness / (1 - sickness))
        self._log_odds = max(-_LOG_ODDS_LIMIT, min(_LOG_ODDS_LIMIT, log_odds))
        self._updated_s = now_s

    def refused(self, now_s: float, count: int) -> None:
        """Takes refusals for load."""
        load = self.refusal_load(now_s) + count * _REFUSAL_LOAD
        self._refusal_load = min(_REFUSAL_LOAD_LIMIT, load)
        self._refused_s = now_s

    def refusal_load(self, now_s: float) -> float:
        """Returns the requests for each slot that recent refusals show beyond the known ones."""
        if self._refusal_load == 0.0:
            return 0.0
        return float(self._refusal_load * 0.5 ** ((now_s - self._refused_s) / _REFUSAL_HALF_LIFE_S))

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
        self.urgent = False  # There is news against an instance.

    def of(self, instance: str) -> InstanceEvidence:
        """Returns the evidence about an instance."""
        evidence = self._evidence.get(instance)
        if evidence is None:
            evidence = self._evidence[instance] = InstanceEvidence()
        return evidence

    def mean_latency_s(self, service: str) -> float:
        """Returns the mean time that a response of a service takes."""
        return self._latency_s.get(service, _FIRST_LATENCY_S)

    def overdue_after_s(self, service: str) -> float:
        """Returns the time after which a request without a response speaks for sickness."""
        return max(_OVERDUE_LEAST_S, _OVERDUE_FACTOR * self.mean_latency_s(service))

    def started(self, instance: str) -> None:
        """A request was sent."""
        self.of(instance).outstanding += 1
        self._changed.add(instance)

    def accepted(self, now_s: float, instance: str) -> None:
        """A request has been in flight for `ACCEPTED_AFTER_S`, or got a response."""
        self._learn(now_s, instance, _ACCEPTED)

    def overdue(self, now_s: float, instance: str) -> None:
        """A request has got no response for `overdue_after_s`."""
        self._learn(now_s, instance, _OVERDUE)

    def ended(
        self,
        now_s: float,
        instance: str,
        service: str,
        outcome: ExchangeOutcome,
        latency_s: float,
    ) -> None:
        """A request has ended."""
        self.of(instance).outstanding -= 1
        self._changed.add(instance)
        ratio = _EVIDENCE.get(outcome, 0.0)
        if ratio:
            self._learn(now_s, instance, ratio)
        if outcome is ExchangeOutcome.REFUSED:
            self.of(instance).refused(now_s, 1)
            self.of(instance).refusals += 1
            self.urgent = True
        elif outcome is ExchangeOutcome.OK:
            mean_s = self.mean_latency_s(service)
            self._latency_s[service] = mean_s + _LATENCY_WEIGHT * (latency_s - mean_s)

    def _learn(self, now_s: float, instance: str, ratio: float) -> None:
        evidence = self.of(instance)
        evidence.learn(now_s, ratio)
        evidence.news += ratio
        self._changed.add(instance)
        if ratio > 0:
            self.urgent = True

    def take_observations(self) -> tuple[InstanceObservation, ...]:
        """Returns what has changed since the last call, for the other hosts of the zone."""
        observations = []
        for instance in sorted(self._changed):
            evidence = self.of(instance)
            observations.append(
                InstanceObservation(
                    instance, evidence.outstanding, evidence.news, evidence.refusals
                )
            )
            evidence.news, evidence.refusals = 0.0, 0
        self._changed.clear()
        self.urgent = False
        return tuple(observations)

    def peer_observations(
        self, now_s: float, host: str, observations: Iterable[InstanceObservation]
    ) -> None:
        """Takes the observations of another host."""
        for observation in observations:
            evidence = self.of(observation.instance)
            evidence.set_peer(host, observation.outstanding)
            if observation.log_likelihood_ratio:
                evidence.learn(now_s, observation.log_likelihood_ratio)
            if observation.refusals > 0:
                evidence.refused(now_s, observation.refusals)

    def beliefs(self, now_s: float, instances: Iterable[str]) -> tuple[InstanceBelief, ...]:
        """Returns what this zone believes about instances of which it has fresh evidence."""
        found = []
        for instance in instances:
            evidence = self.of(instance)
            if now_s - evidence.learned_s < _RELAXATION_S:
                sickness = round(evidence.sickness(now_s), 3)
                found.append(InstanceBelief(instance, sickness, evidence.total_outstanding))
        return tuple(found)

    def zone_beliefs(self, now_s: float, zone: str, beliefs: Iterable[InstanceBelief]) -> None:
        """Takes the beliefs of another zone about its instances."""
        for belief in beliefs:
            evidence = self.of(belief.instance)
            evidence.adopt(now_s, belief.sickness)
            evidence.set_peer(zone, belief.outstanding)

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
