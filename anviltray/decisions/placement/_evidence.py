"""How likely each instance is sick, from what the hosts of one availability zone see.

Load pattern: at any moment some instances reset most of what they get, for seconds at a time, while
their health checks pass. Others answer with errors or not at all; one that errs at once has the
fewest requests in flight and would attract the load of its zone. One host sends an instance less
than one request a second, so it learns of this too late; the hosts of a zone together see several.
"""

import math
from collections.abc import Iterable, Mapping

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.placement._belief import PhaseBelief, PhaseModel
from anviltray.messages import InstanceBelief, InstanceObservation

# A request that has been in flight for this long was accepted: instances that reset requests do so
# within milliseconds.
ACCEPTED_AFTER_S = 0.06
# A request that the instance's kernel has not acknowledged after this was sent into the void. Links
# that lose some packets need one retransmission, 200 ms after the first segment.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.3
# A request counts as overdue after this multiple of the mean time of its service, and not earlier
# than the least time.
_OVERDUE_FACTOR = 4.0
_OVERDUE_LEAST_S = 1.0

# Resets, from a recorded day: phases last 9 s, those between them 20 s.
_RESETTING = PhaseModel(faulty_s=9.0, sound_s=20.0)
FAULTY_SHARE = _RESETTING.faulty_share
# Errors and missing answers, from the same day: phases last 6 s and are a hundredth of the time.
_ERRING = PhaseModel(faulty_s=6.0, sound_s=600.0)
# Probability of a broken exchange at a resetting and at a sound instance.
_BROKEN_WHEN_SICK = 0.85
_BROKEN_WHEN_SOUND = 0.003
_BROKEN = math.log(_BROKEN_WHEN_SICK / _BROKEN_WHEN_SOUND)
_ACCEPTED = math.log((1 - _BROKEN_WHEN_SICK) / (1 - _BROKEN_WHEN_SOUND))
# A whole good response, of which the acceptance was counted before.
_GOOD = math.log(0.7)
_RESET_EVIDENCE = {
    ExchangeOutcome.BROKEN: _BROKEN,
    ExchangeOutcome.CONNECT_FAILED: _BROKEN,
    ExchangeOutcome.OK: _GOOD,
}
# Erring instances fail half of their requests or more, sound ones up to one in 25.
_FAILED_ANSWER = math.log(13.0)
_WHOLE_ANSWER = math.log(0.55)
_ERROR_EVIDENCE = {
    ExchangeOutcome.SERVER_ERROR: _FAILED_ANSWER,
    ExchangeOutcome.OK: _WHOLE_ANSWER,
}
# One failed answer of an instance is no reason to avoid it; the belief after it is below this.
_LEAST_ERROR_DOUBT = 0.15
# A refusal for load shows work that this zone does not know of. It counts like this many requests
# for each slot, and half as much after the half-life.
_REFUSAL_LOAD = 1.0
_REFUSAL_LOAD_LIMIT = 3.0
_REFUSAL_HALF_LIFE_S = 0.5
# What the own zone has seen of an instance goes before the belief of another zone for this long.
_OWN_EVIDENCE_S = 2.0

_LATENCY_WEIGHT = 0.1  # Weight of one latency in the mean of a service.
_FIRST_LATENCY_S = 0.4  # Assumed before the first response.


class InstanceHealth:
    """Belief about one instance and its load."""

    __slots__ = (
        "_erring",
        "_peers",
        "_refusal_load",
        "_refused_s",
        "_resetting",
        "error_news",
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
        self.news = 0.0  # Evidence of resets that was not reported yet, a log-likelihood ratio.
        self.error_news = 0.0  # The same for errors.
        self.refusals = 0  # Refusals that were not reported yet.
        self._refusal_load = 0.0  # Requests for each slot as of `_refused_s`.
        self._refused_s = 0.0
        self._resetting = PhaseBelief(_RESETTING)
        self._erring = PhaseBelief(_ERRING)
        self._peers: dict[str, int] = {}

    @property
    def total_outstanding(self) -> int:
        """Requests in flight from all hosts of the zone."""
        return self.outstanding + self.peer_outstanding

    @property
    def updated_s(self) -> float:
        """Time of the newest evidence."""
        return max(self._resetting.updated_s, self._erring.updated_s)

    def resetting(self, now_s: float) -> float:
        """Returns the probability that the instance resets most requests."""
        return self._resetting.probability(now_s)

    def erring(self, now_s: float) -> float:
        """Returns the probability that it answers many requests with errors or too late."""
        return self._erring.probability(now_s)

    def fault_probability(self, now_s: float) -> float:
        """Returns the probability that the instance is sick in any way."""
        resetting, erring = self.resetting(now_s), self.erring(now_s)
        if erring < _LEAST_ERROR_DOUBT:
            return resetting
        return resetting + (1 - resetting) * erring

    def learn(self, now_s: float, ratio: float, error_ratio: float) -> None:
        """Adds evidence of resets and of errors, both as log-likelihood ratios."""
        if ratio:
            self._resetting.learn(now_s, ratio)
        if error_ratio:
            self._erring.learn(now_s, error_ratio)
        self.learned_s = now_s

    def adopt(self, now_s: float, belief: InstanceBelief) -> None:
        """Takes the belief of the zone in which the instance is."""
        if now_s - self.learned_s >= _OWN_EVIDENCE_S:
            self._resetting.adopt(now_s, belief.resetting)
            self._erring.adopt(now_s, belief.erring)

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


class HealthTracker:
    """Evidence of all instances, from this host and from the others of its zone."""

    def __init__(self) -> None:
        self._evidence: dict[str, InstanceHealth] = {}
        self._changed: set[str] = set()
        self._latency_s: dict[str, float] = {}
        self.urgent = False  # There is news against an instance.

    def health(self, instance: str) -> InstanceHealth:
        """Returns the evidence about an instance."""
        evidence = self._evidence.get(instance)
        if evidence is None:
            evidence = self._evidence[instance] = InstanceHealth()
        return evidence

    def mean_latency_s(self, service: str) -> float:
        """Returns the mean time that a response of a service takes."""
        return self._latency_s.get(service, _FIRST_LATENCY_S)

    def overdue_after_s(self, service: str) -> float:
        """Returns the time after which a request without a response speaks for sickness."""
        return max(_OVERDUE_LEAST_S, _OVERDUE_FACTOR * self.mean_latency_s(service))

    def on_request_started(self, instance: str) -> None:
        """A request was sent."""
        self.health(instance).outstanding += 1
        self._changed.add(instance)

    def on_request_accepted(self, now_s: float, instance: str) -> None:
        """A request has been in flight for `ACCEPTED_AFTER_S`, or got a response."""
        self._learn(now_s, instance, _ACCEPTED, 0.0)

    def on_request_unacknowledged(self, now_s: float, instance: str) -> None:
        """A request has not been received after `ACKNOWLEDGEMENT_TIMEOUT_S`.

        The instance or its link is gone, as if a connection could not be opened.
        """
        self._learn(now_s, instance, _BROKEN, 0.0)

    def on_request_overdue(self, now_s: float, instance: str) -> None:
        """A request has got no response for `overdue_after_s`."""
        self._learn(now_s, instance, 0.0, _FAILED_ANSWER)

    def on_request_ended(
        self,
        now_s: float,
        instance: str,
        service: str,
        outcome: ExchangeOutcome,
        latency_s: float,
    ) -> None:
        """A request has ended."""
        self.health(instance).outstanding -= 1
        self._changed.add(instance)
        ratio = _RESET_EVIDENCE.get(outcome, 0.0)
        error_ratio = _ERROR_EVIDENCE.get(outcome, 0.0)
        if ratio or error_ratio:
            self._learn(now_s, instance, ratio, error_ratio)
        if outcome is ExchangeOutcome.REFUSED:
            self.health(instance).refused(now_s, 1)
            self.health(instance).refusals += 1
            self.urgent = True
        elif outcome is ExchangeOutcome.OK:
            mean_s = self.mean_latency_s(service)
            self._latency_s[service] = mean_s + _LATENCY_WEIGHT * (latency_s - mean_s)

    def _learn(self, now_s: float, instance: str, ratio: float, error_ratio: float) -> None:
        evidence = self.health(instance)
        evidence.learn(now_s, ratio, error_ratio)
        evidence.news += ratio
        evidence.error_news += error_ratio
        self._changed.add(instance)
        if ratio > 0 or error_ratio > 0:
            self.urgent = True

    def pop_observations(self) -> tuple[InstanceObservation, ...]:
        """Returns what has changed since the last call, for the other hosts of the zone."""
        observations = []
        for instance in sorted(self._changed):
            evidence = self.health(instance)
            observations.append(
                InstanceObservation(
                    instance,
                    evidence.outstanding,
                    evidence.news,
                    evidence.error_news,
                    evidence.refusals,
                )
            )
            evidence.news, evidence.error_news, evidence.refusals = 0.0, 0.0, 0
        self._changed.clear()
        self.urgent = False
        return tuple(observations)

    def on_peer_observations(
        self, now_s: float, host: str, observations: Iterable[InstanceObservation]
    ) -> None:
        """Takes the observations of another host."""
        for observation in observations:
            evidence = self.health(observation.instance)
            evidence.set_peer(host, observation.outstanding)
            ratio = observation.log_likelihood_ratio
            error_ratio = observation.error_log_likelihood_ratio
            if ratio or error_ratio:
                evidence.learn(now_s, ratio, error_ratio)
            if observation.refusals > 0:
                evidence.refused(now_s, observation.refusals)

    def beliefs(self, now_s: float, instances: Iterable[str]) -> tuple[InstanceBelief, ...]:
        """Returns what this zone believes about instances of which it has fresh evidence."""
        found = []
        for instance in instances:
            evidence = self.health(instance)
            if now_s - evidence.learned_s < _RESETTING.relaxation_s:
                found.append(
                    InstanceBelief(
                        instance,
                        round(evidence.resetting(now_s), 3),
                        round(evidence.erring(now_s), 3),
                        evidence.total_outstanding,
                    )
                )
        return tuple(found)

    def on_zone_beliefs(self, now_s: float, zone: str, beliefs: Iterable[InstanceBelief]) -> None:
        """Takes the beliefs of another zone about its instances."""
        for belief in beliefs:
            evidence = self.health(belief.instance)
            evidence.adopt(now_s, belief)
            evidence.set_peer(zone, belief.outstanding)

    def remove_peer(self, host: str) -> None:
        """Forgets the requests in flight from a host that has ended or is cut off."""
        for evidence in self._evidence.values():
            evidence.set_peer(host, 0)

    def keep_only(self, instances: Mapping[str, object]) -> None:
        """Forgets instances that are no longer registered and have no request in flight."""
        for key in [key for key in self._evidence if key not in instances]:
            if self._evidence[key].outstanding == 0:
                del self._evidence[key]
                self._changed.discard(key)
