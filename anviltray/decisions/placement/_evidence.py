"""Estimates the health of each instance from the requests of all hosts of an availability zone.

Load pattern: at any moment some instances reset most connections for several seconds while their
health checks pass. Others return errors or do not respond; an instance that fails requests
immediately has the fewest requests in flight and would attract the load of its zone. One host sends
an instance less than one request per second, too few to detect this in time, so the hosts of a zone
share their observations.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.placement._belief import PhaseBelief, PhaseModel
from anviltray.decisions.placement._rate_limits import RequestRateLimit
from anviltray.messages import InstanceBelief, InstanceLoad, InstanceObservation

# A request that is still in flight after this time was accepted: an unhealthy instance resets the
# connection within milliseconds.
ACCEPTED_AFTER_S = 0.06
# A request that the kernel of the instance has not acknowledged within this time counts as
# undelivered. On links with packet loss a retransmission follows 200 ms after the first segment.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.3
# Phases of connection resets last 9 s on average, with 20 s between two of them.
_RESET_PHASES = PhaseModel(unhealthy_s=9.0, healthy_s=20.0)
UNHEALTHY_SHARE = _RESET_PHASES.unhealthy_share
# Phases of errors and missing responses last 6 s on average and take up 1 % of the time.
_ERROR_PHASES = PhaseModel(unhealthy_s=6.0, healthy_s=600.0)
# Probability of a broken exchange at an instance that resets connections and at a healthy one.
_BROKEN_IF_UNHEALTHY = 0.85
_BROKEN_IF_HEALTHY = 0.003
_BROKEN_EVIDENCE = math.log(_BROKEN_IF_UNHEALTHY / _BROKEN_IF_HEALTHY)
_ACCEPTED_EVIDENCE = math.log((1 - _BROKEN_IF_UNHEALTHY) / (1 - _BROKEN_IF_HEALTHY))
# A complete successful response; the acceptance of its request was counted separately before.
_OK_EVIDENCE = math.log(0.7)
_RESET_EVIDENCE = {
    ExchangeOutcome.BROKEN: _BROKEN_EVIDENCE,
    ExchangeOutcome.CONNECT_FAILED: _BROKEN_EVIDENCE,
    ExchangeOutcome.OK: _OK_EVIDENCE,
}
# In an error phase an instance fails at least half of its requests, a healthy one up to 1 in 25.
_FAILURE_EVIDENCE = math.log(13.0)
_SUCCESS_EVIDENCE = math.log(0.55)
_ERROR_EVIDENCE = {
    ExchangeOutcome.SERVER_ERROR: _FAILURE_EVIDENCE,
    ExchangeOutcome.OK: _SUCCESS_EVIDENCE,
}
# Lower error probabilities are ignored. The probability after a single failed response is below
# this, so that one failure does not divert traffic from an instance.
_MIN_ERROR_PROBABILITY = 0.15
# An instance that refuses a request for load has work that this zone does not know of.
# A refusal counts as this many requests per slot and decays exponentially with the half-life.
_REFUSAL_LOAD = 1.0
_REFUSAL_LOAD_LIMIT = 3.0
_REFUSAL_HALF_LIFE_S = 0.5
# Evidence from the local zone takes precedence over beliefs of other zones for this long.
_LOCAL_EVIDENCE_PRECEDENCE_S = 2.0
# Requests in flight that another zone has reported are forgotten this long after its latest report;
# it sends reports twice a second, and none when there is nothing to report.
_ZONE_REPORT_LIFETIME_S = 1.2

_NO_CHANGE = -1.0  # Reported in place of a rate limit that has not changed.
_LATENCY_WEIGHT = 0.1  # Weight of one sample in the moving average of a service's latency.
_INITIAL_LATENCY_S = 0.4  # Assumed before the first response.


class InstanceHealth:
    """Estimated health and load of one instance."""

    __slots__ = (
        "_error_belief",
        "_outstanding_by_peer",
        "_outstanding_by_zone",
        "_refusal_load",
        "_refused_s",
        "_reset_belief",
        "last_error_s",
        "last_explored_s",
        "last_local_evidence_s",
        "last_reset_s",
        "last_used_s",
        "limit_per_s",
        "outstanding",
        "peer_outstanding",
        "rate_limit",
        "resets_in_row",
        "unreported_error_evidence",
        "unreported_limit_per_s",
        "unreported_refusals",
        "unreported_requests",
        "unreported_reset_evidence",
        "zone_outstanding",
    )

    def __init__(self) -> None:
        self.outstanding = 0  # Requests in flight from this host.
        self.peer_outstanding = 0  # Requests in flight from the other hosts of the zone.
        self.last_error_s = float("-inf")  # Time of the latest error or late response.
        self.last_explored_s = float("-inf")  # Time of the last exploration request.
        self.last_local_evidence_s = float("-inf")  # Time of the latest local zone evidence.
        self.last_reset_s = float("-inf")  # Time of the latest broken exchange.
        self.resets_in_row = 0  # Broken exchanges since the latest evidence of acceptance.
        self.last_used_s = float("-inf")  # Time of the latest request from any host of the zone.
        # Evidence of resets and of errors that the other hosts have not received yet.
        self.unreported_reset_evidence = 0.0  # Log-likelihood ratio.
        self.unreported_error_evidence = 0.0  # Log-likelihood ratio.
        self.unreported_refusals = 0  # Refusals that the other hosts have not received yet.
        self.unreported_requests = 0  # Requests that the other hosts have not heard of yet.
        self.unreported_limit_per_s = _NO_CHANGE  # A limit that they have not received yet.
        # Requests per second that the instance takes from the whole fleet, by its latest response.
        self.limit_per_s = math.inf
        self.rate_limit: RequestRateLimit | None = None  # Those that this zone may send.
        self._refusal_load = 0.0  # Requests per slot at the time `_refused_s`.
        self._refused_s = 0.0
        self._reset_belief = PhaseBelief(_RESET_PHASES)
        self._error_belief = PhaseBelief(_ERROR_PHASES)
        self.zone_outstanding = 0  # Requests in flight from other zones that have reported them.
        self._outstanding_by_peer: dict[str, int] = {}
        self._outstanding_by_zone: dict[str, int] = {}

    @property
    def local_outstanding(self) -> int:
        """Requests in flight from all hosts of the local zone."""
        return self.outstanding + self.peer_outstanding

    @property
    def total_outstanding(self) -> int:
        """Requests in flight from all hosts of the zone and from other zones."""
        return self.outstanding + self.peer_outstanding + self.zone_outstanding

    @property
    def last_evidence_s(self) -> float:
        """Time of the latest evidence."""
        return max(self._reset_belief.updated_s, self._error_belief.updated_s)

    def reset_probability(self, now_s: float) -> float:
        """Returns the probability that the instance resets most connections."""
        return self._reset_belief.probability(now_s)

    def error_probability(self, now_s: float) -> float:
        """Returns the probability that many of its responses are errors or late."""
        return self._error_belief.probability(now_s)

    def unhealthy_probability(self, now_s: float) -> float:
        """Returns the probability that the instance is unhealthy for either reason."""
        reset, error = self.reset_probability(now_s), self.error_probability(now_s)
        if error < _MIN_ERROR_PROBABILITY:
            return reset
        return reset + (1 - reset) * error

    @property
    def min_unhealthy_probability(self) -> float:
        """Probability below which `unhealthy_probability` does not fall without new evidence."""
        return self._reset_belief.lower_bound

    def add_evidence(self, now_s: float, reset_evidence: float, error_evidence: float) -> None:
        """Adds evidence of resets and of errors as log-likelihood ratios."""
        if reset_evidence:
            self._reset_belief.add_evidence(now_s, reset_evidence)
        if reset_evidence > 0:
            # A reset follows at once, so a peer may never report the request as in flight.
            self.last_used_s = now_s
            self.last_reset_s = now_s
            self.resets_in_row += 1
        elif reset_evidence < 0:
            self.resets_in_row = 0
        if error_evidence:
            self._error_belief.add_evidence(now_s, error_evidence)
        if error_evidence > 0:
            self.last_error_s = now_s
        self.last_local_evidence_s = now_s

    def on_zone_belief(self, now_s: float, belief: InstanceBelief) -> None:
        """Adopts the belief of the instance's zone unless the local zone has recent evidence."""
        if now_s - self.last_local_evidence_s >= _LOCAL_EVIDENCE_PRECEDENCE_S:
            self._reset_belief.set_probability(now_s, belief.resetting)
            self._error_belief.set_probability(now_s, belief.erring)

    def on_refusals(self, now_s: float, count: int) -> None:
        """Records that the instance refused `count` requests for load."""
        load = self.refusal_load(now_s) + count * _REFUSAL_LOAD
        self._refusal_load = min(_REFUSAL_LOAD_LIMIT, load)
        self._refused_s = now_s

    def refusal_load(self, now_s: float) -> float:
        """Returns the load, in requests per slot, that recent refusals imply beyond known load."""
        if self._refusal_load == 0.0:
            return 0.0
        return float(self._refusal_load * 0.5 ** ((now_s - self._refused_s) / _REFUSAL_HALF_LIFE_S))

    def set_peer(self, host: str, outstanding: int) -> None:
        """Sets the requests in flight from another host."""
        if outstanding > 0:
            self._outstanding_by_peer[host] = outstanding
        else:
            self._outstanding_by_peer.pop(host, None)
        self.peer_outstanding = sum(self._outstanding_by_peer.values())

    def peer_outstanding_of(self, host: str) -> int:
        """Returns the requests in flight from another host."""
        return self._outstanding_by_peer.get(host, 0)

    def set_zone(self, zone: str, outstanding: int) -> None:
        """Sets the requests in flight from another zone."""
        if outstanding > 0:
            self._outstanding_by_zone[zone] = outstanding
        else:
            self._outstanding_by_zone.pop(zone, None)
        self.zone_outstanding = sum(self._outstanding_by_zone.values())

    def outstanding_without(self, zone: str) -> int:
        """Returns the requests in flight except those that `zone` has reported itself."""
        return self.total_outstanding - self._outstanding_by_zone.get(zone, 0)


class _ZoneReport(NamedTuple):
    received_s: float  # Time of the report.
    instances: frozenset[str]  # Instances with requests in flight.


class HealthTracker:
    """Tracks the health of all instances from requests of this host and reports of its peers."""

    def __init__(self, limit_share: Callable[[str], float] = lambda instance: 1.0) -> None:
        """`limit_share` returns the share of an instance's rate limit that this zone may use."""
        self._limit_share = limit_share
        self._instances: dict[str, InstanceHealth] = {}
        self._changed: set[str] = set()
        self._mean_latencies_s: dict[str, float] = {}
        # Latest reports of other zones about their own instances and about those of this zone.
        self._belief_reports: dict[str, _ZoneReport] = {}
        self._load_reports: dict[str, _ZoneReport] = {}
        self.urgent = False  # Whether there is unreported evidence against an instance.
        # Called with an instance when another host has reported that a request there has ended.
        self.on_room: Callable[[str], None] = lambda instance: None

    def health(self, instance: str) -> InstanceHealth:
        """Returns the health of an instance and starts to track it if needed."""
        health = self._instances.get(instance)
        if health is None:
            health = self._instances[instance] = InstanceHealth()
        return health

    def mean_latency_s(self, service: str) -> float:
        """Returns the mean latency of the responses of a service."""
        return self._mean_latencies_s.get(service, _INITIAL_LATENCY_S)

    def on_request_started(self, now_s: float, instance: str) -> None:
        """Records that a request was sent."""
        health = self.health(instance)
        health.outstanding += 1
        health.unreported_requests += 1
        if health.rate_limit is not None:
            health.rate_limit.on_requests(now_s, 1)
        self._changed.add(instance)

    def on_request_accepted(self, now_s: float, instance: str) -> None:
        """Records a request that got a response or is in flight after `ACCEPTED_AFTER_S`."""
        self._add_evidence(now_s, instance, _ACCEPTED_EVIDENCE, 0.0)

    def on_request_unacknowledged(self, now_s: float, instance: str) -> None:
        """Records a request that was not acknowledged within `ACKNOWLEDGEMENT_TIMEOUT_S`.

        The instance or its link is down, so this counts like a failed connection attempt.
        """
        self._add_evidence(now_s, instance, _BROKEN_EVIDENCE, 0.0)

    def on_late_response(self, now_s: float, instance: str, log_likelihood_ratio: float) -> None:
        """Records that the response to a request is later than usual.

        The ratio is negative when a late response has arrived after all, see `ResponseTimes`.
        """
        self._add_evidence(now_s, instance, 0.0, log_likelihood_ratio)

    def on_request_ended(
        self,
        now_s: float,
        instance: str,
        service: str,
        outcome: ExchangeOutcome,
        latency_s: float,
    ) -> None:
        """Records the outcome and latency of a request."""
        self.health(instance).outstanding -= 1
        self._changed.add(instance)
        reset_evidence = _RESET_EVIDENCE.get(outcome, 0.0)
        error_evidence = _ERROR_EVIDENCE.get(outcome, 0.0)
        if reset_evidence or error_evidence:
            self._add_evidence(now_s, instance, reset_evidence, error_evidence)
        if outcome is ExchangeOutcome.REFUSED:
            self.health(instance).on_refusals(now_s, 1)
            self.health(instance).unreported_refusals += 1
            self.urgent = True
        elif outcome is ExchangeOutcome.OK:
            mean_s = self.mean_latency_s(service)
            self._mean_latencies_s[service] = mean_s + _LATENCY_WEIGHT * (latency_s - mean_s)

    def on_limit(self, now_s: float, instance: str, limit_per_s: float) -> bool:
        """Records the limit that a response of an instance names, or infinity if it names none.

        Returns whether it has changed.
        """
        health = self.health(instance)
        if limit_per_s == health.limit_per_s:
            return False
        self._set_limit(now_s, instance, limit_per_s)
        health.unreported_limit_per_s = limit_per_s
        self._changed.add(instance)
        self.urgent = True
        return True

    def _set_limit(self, now_s: float, instance: str, limit_per_s: float) -> None:
        health = self.health(instance)
        health.limit_per_s = limit_per_s
        if limit_per_s == math.inf:
            health.rate_limit = None
            return
        rate_s = limit_per_s * self._limit_share(instance)
        if health.rate_limit is None:
            health.rate_limit = RequestRateLimit(now_s, rate_s)
        else:
            health.rate_limit.set_rate(now_s, rate_s)

    def _add_evidence(
        self, now_s: float, instance: str, reset_evidence: float, error_evidence: float
    ) -> None:
        health = self.health(instance)
        health.add_evidence(now_s, reset_evidence, error_evidence)
        health.unreported_reset_evidence += reset_evidence
        health.unreported_error_evidence += error_evidence
        self._changed.add(instance)
        if reset_evidence > 0 or error_evidence > 0:
            self.urgent = True

    def pop_observations(self) -> tuple[InstanceObservation, ...]:
        """Returns the changes since the last call, to be sent to the other hosts of the zone."""
        observations = []
        for instance in sorted(self._changed):
            health = self.health(instance)
            observations.append(
                InstanceObservation(
                    instance,
                    health.outstanding,
                    health.unreported_reset_evidence,
                    health.unreported_error_evidence,
                    health.unreported_refusals,
                    health.unreported_requests,
                    health.unreported_limit_per_s,
                )
            )
            (
                health.unreported_reset_evidence,
                health.unreported_error_evidence,
                health.unreported_refusals,
                health.unreported_requests,
                health.unreported_limit_per_s,
            ) = (0.0, 0.0, 0, 0, _NO_CHANGE)
        self._changed.clear()
        self.urgent = False
        return tuple(observations)

    def on_peer_observations(
        self, now_s: float, host: str, observations: Iterable[InstanceObservation]
    ) -> None:
        """Merges the observations of another host of the zone."""
        freed = []
        for observation in observations:
            health = self.health(observation.instance)
            reset_evidence = observation.log_likelihood_ratio
            error_evidence = observation.error_log_likelihood_ratio
            previous = health.peer_outstanding_of(host)
            if observation.outstanding > previous:
                health.last_used_s = now_s
            elif observation.outstanding < previous:
                freed.append(observation.instance)
            health.set_peer(host, observation.outstanding)
            if reset_evidence or error_evidence:
                health.add_evidence(now_s, reset_evidence, error_evidence)
            if observation.refusals > 0:
                health.on_refusals(now_s, observation.refusals)
            if observation.limit_per_s >= 0:
                self._set_limit(now_s, observation.instance, observation.limit_per_s)
            if health.rate_limit is not None and observation.requests > 0:
                health.rate_limit.on_requests(now_s, observation.requests)
        for instance in freed:
            self.on_room(instance)

    def beliefs(
        self, now_s: float, instances: Iterable[str], receiver: str
    ) -> tuple[InstanceBelief, ...]:
        """Returns the beliefs about those `instances` of which this zone has recent evidence.

        They are meant for the zone `receiver`, which knows its own requests in flight.
        """
        beliefs = []
        for instance in instances:
            health = self.health(instance)
            if now_s - health.last_local_evidence_s < _RESET_PHASES.relaxation_s:
                beliefs.append(
                    InstanceBelief(
                        instance,
                        round(health.reset_probability(now_s), 3),
                        round(health.error_probability(now_s), 3),
                        health.outstanding_without(receiver),
                    )
                )
        return tuple(beliefs)

    def loads(self, instances: Iterable[str]) -> tuple[InstanceLoad, ...]:
        """Returns what this zone has in flight at those `instances`, if anything."""
        found = ((key, self._instances.get(key)) for key in instances)
        return tuple(
            InstanceLoad(key, health.local_outstanding)
            for key, health in found
            if health is not None and health.local_outstanding > 0
        )

    def on_zone_loads(self, now_s: float, zone: str, loads: Iterable[InstanceLoad]) -> None:
        """Replaces what another zone has in flight at the instances of this zone."""
        outstanding = {load.instance: load.outstanding for load in loads}
        self._set_zone(self._load_reports, now_s, zone, outstanding)

    def instances_used_by(self, zone: str) -> frozenset[str]:
        """Returns the instances of this zone at which another zone has requests in flight."""
        report = self._load_reports.get(zone)
        return frozenset() if report is None else report.instances

    def expire_zone_reports(self, now_s: float) -> None:
        """Drops what zones have reported that do not report any more."""
        for reports in (self._belief_reports, self._load_reports):
            for zone, report in tuple(reports.items()):
                if now_s - report.received_s > _ZONE_REPORT_LIFETIME_S:
                    self._set_zone(reports, now_s, zone, {})
                    del reports[zone]

    def _set_zone(
        self,
        reports: dict[str, _ZoneReport],
        now_s: float,
        zone: str,
        outstanding: Mapping[str, int],
    ) -> None:
        previous = reports.get(zone)
        if previous is not None:
            for instance in previous.instances - outstanding.keys():
                if instance in self._instances:
                    self._instances[instance].set_zone(zone, 0)
        for instance, count in outstanding.items():
            self.health(instance).set_zone(zone, count)
        reports[zone] = _ZoneReport(now_s, frozenset(outstanding))

    def on_zone_beliefs(self, now_s: float, zone: str, beliefs: Iterable[InstanceBelief]) -> None:
        """Merges the beliefs of another zone about its own instances."""
        outstanding = {}
        for belief in beliefs:
            self.health(belief.instance).on_zone_belief(now_s, belief)
            outstanding[belief.instance] = belief.outstanding
        previous = {key: self.health(key).zone_outstanding for key in outstanding}
        self._set_zone(self._belief_reports, now_s, zone, outstanding)
        for key, count in previous.items():
            if self.health(key).zone_outstanding < count:
                self.on_room(key)

    def remove_peer(self, host: str) -> None:
        """Drops the requests in flight from a host that has stopped or is unreachable."""
        for health in self._instances.values():
            health.set_peer(host, 0)

    def keep_only(self, instances: Mapping[str, object]) -> None:
        """Drops instances that are not in `instances` and have no request in flight."""
        for key in [key for key in self._instances if key not in instances]:
            if self._instances[key].outstanding == 0:
                del self._instances[key]
                self._changed.discard(key)
