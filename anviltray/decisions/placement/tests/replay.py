"""Simulates the requests of an availability zone to instances with limited slots and faults."""

import heapq
import random

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import (
    ACCEPTED_AFTER_S,
    Shed,
    UnservedShare,
)
from anviltray.decisions.placement.tests.test_placement import (
    DURATION_S,
    HOSTS,
    REPORT_DELAY_S,
    Host,
    _is_unhealthy,
    _phases,
    instance,
    request,
)

SLOTS = 6
SERVICE_S = 0.25
TARGET_S = 0.8
BROKEN_SHARE = 0.85
FAULT_S = 0.002  # Time until a reset or an error.
OUTCOMES_INTERVAL_S = 1.0  # Interval at which hosts report how their requests ended.


class ZoneSimulation:
    """Simulation of one zone; `arrivals` has (time, served), `sends` (time, instance, outcome).

    Hosts receive the observations of the other hosts after a delay. Requests are not retried.
    """

    def __init__(
        self, seed, rate_s, count, lost_share=0.0, hosts=HOSTS, slots=SLOTS, idempotent=0.0
    ):
        self.rng = random.Random(seed)
        self.hosts = [Host(seed * 100 + number) for number in range(hosts)]
        self.unserved = [UnservedShare() for _ in self.hosts]
        self.idempotent = idempotent
        self.instances = [instance(number, slots=slots) for number in range(count)]
        self.phases = {item.id: _phases(self.rng) for item in self.instances}
        self.free_s = {item.id: [0.0] * slots for item in self.instances}
        self.lost_share = lost_share
        self.arrivals, self.sends, self.events, self.order = [], [], [], 0
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self.rng.expovariate(rate_s)
            self.push(now_s, self.arrive)
        for number in range(hosts):
            self.push(OUTCOMES_INTERVAL_S * number / hosts, self.report_outcomes, number)
        while self.events:
            now_s, _, function, arguments = heapq.heappop(self.events)
            function(now_s, *arguments)

    def push(self, now_s, function, *arguments):
        self.order += 1
        heapq.heappush(self.events, (now_s, self.order, function, arguments))

    def arrive(self, now_s):
        number = self.rng.randrange(len(self.hosts))
        host, unserved = self.hosts[number], self.unserved[number]
        # The retry budget is used up, so idempotent requests explore only in a degraded service.
        idempotent = self.idempotent > 0 and self.rng.random() < self.idempotent
        placement_request = request(target_s=TARGET_S, priority=1, retryable=idempotent)._replace(
            first_attempt=True,
            unserved_share=unserved.share(now_s, "s"),
            unrepeatable=not idempotent,
        )
        placed = host.choose(now_s, placement_request, self.instances)
        if isinstance(placed, Shed):
            unserved.on_request_ended(now_s, "s", served=False)
            self.arrivals.append((now_s, False))
            return
        key = placed.instance.id
        host.tracker.on_request_started(0.0, key)
        outcome = self.outcome(now_s, key)
        self.sends.append((now_s, key, outcome))
        if outcome is not ExchangeOutcome.OK:
            self.push(now_s + FAULT_S, self.end, number, key, outcome, FAULT_S)
        else:
            slots = self.free_s[key]
            start_s = max(now_s, heapq.heappop(slots))
            end_s = start_s + SERVICE_S * self.rng.uniform(0.5, 1.5)
            heapq.heappush(slots, end_s)
            self.push(now_s + ACCEPTED_AFTER_S, self.accept, number, key)
            self.push(end_s, self.end, number, key, outcome, end_s - now_s)
        self.report(now_s, number)

    def outcome(self, now_s, key):
        """Returns the outcome of a request that is sent now."""
        failed = _is_unhealthy(self.phases[key], now_s) and self.rng.random() < BROKEN_SHARE
        broken = failed or self.rng.random() < self.lost_share
        return ExchangeOutcome.BROKEN if broken else ExchangeOutcome.OK

    def accept(self, now_s, number, key):
        self.hosts[number].tracker.on_request_accepted(now_s, key)
        self.report(now_s, number)

    def end(self, now_s, number, key, outcome, latency_s):
        tracker = self.hosts[number].tracker
        if outcome is ExchangeOutcome.SERVER_ERROR:
            # Any response shows that the instance accepted the request.
            tracker.on_request_accepted(now_s, key)
        tracker.on_request_ended(now_s, key, "s", outcome, latency_s)
        served = outcome is ExchangeOutcome.OK
        self.unserved[number].on_request_ended(now_s, "s", served)
        self.arrivals.append((now_s, served))
        self.report(now_s, number)

    def report(self, now_s, number):
        observations = self.hosts[number].tracker.pop_observations()
        if observations:
            self.push(now_s + REPORT_DELAY_S, self.receive, number, observations)

    def receive(self, now_s, sender, observations):
        for number, host in enumerate(self.hosts):
            if number != sender:
                host.tracker.on_peer_observations(now_s, str(sender), observations)

    def report_outcomes(self, now_s, number):
        outcomes = self.unserved[number].pop_outcomes()
        if outcomes:
            self.push(now_s + REPORT_DELAY_S, self.receive_outcomes, number, outcomes)
        if now_s < DURATION_S:
            self.push(now_s + OUTCOMES_INTERVAL_S, self.report_outcomes, number)

    def receive_outcomes(self, now_s, sender, outcomes):
        for number, unserved in enumerate(self.unserved):
            if number != sender:
                unserved.on_peer_outcomes(now_s, outcomes)

    def served_share(self):
        return sum(served for _, served in self.arrivals) / len(self.arrivals)


def is_healthy_from(phases, at_s):
    """Returns whether an instance is healthy from `at_s` until two seconds later."""
    return not any(_is_unhealthy(phases, at_s + step / 5) for step in range(11))
