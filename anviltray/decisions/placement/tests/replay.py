"""Replays the requests of one availability zone on instances with slots and faults."""

import heapq
import random

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import ACCEPTED_AFTER_S, Shed, UnservedShare
from anviltray.decisions.placement.tests.test_placement import (
    DURATION_S,
    HOSTS,
    NEWS_DELAY_S,
    Host,
    _is_sick,
    _phases,
    instance,
    request,
)

SLOTS = 6
SERVICE_S = 0.25
TARGET_S = 0.8
BROKEN_SHARE = 0.85
FAULT_S = 0.002  # A reset or an error comes at once.


class Replay:
    """One zone; `arrivals` has (time, served) and `sends` (time, instance, outcome).

    Every host knows of the others what they report after a delay. Requests are not sent again.
    """

    def __init__(self, seed, rate_s, count, lost_share=0.0):
        self.rng = random.Random(seed)
        self.hosts = [Host(seed * 100 + number) for number in range(HOSTS)]
        self.unserved = [UnservedShare() for _ in self.hosts]
        self.instances = [instance(number, slots=SLOTS) for number in range(count)]
        self.phases = {item.id: _phases(self.rng) for item in self.instances}
        self.free_s = {item.id: [0.0] * SLOTS for item in self.instances}
        self.lost_share = lost_share
        self.arrivals, self.sends, self.events, self.order = [], [], [], 0
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self.rng.expovariate(rate_s)
            self.push(now_s, self.arrive)
        while self.events:
            now_s, _, function, arguments = heapq.heappop(self.events)
            function(now_s, *arguments)

    def push(self, now_s, function, *arguments):
        self.order += 1
        heapq.heappush(self.events, (now_s, self.order, function, arguments))

    def arrive(self, now_s):
        number = self.rng.randrange(HOSTS)
        host, unserved = self.hosts[number], self.unserved[number]
        wanted = request(target_s=TARGET_S, priority=1)._replace(
            no_other_explorers=True, unserved_share=unserved.share(now_s, "s")
        )
        chosen = host.choose(now_s, wanted, self.instances)
        if isinstance(chosen, Shed):
            unserved.on_request_ended(now_s, "s", served=False)
            self.arrivals.append((now_s, False))
            return
        key = chosen.instance.id
        host.board.on_request_started(key)
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
        self.tell(now_s, number)

    def outcome(self, now_s, key):
        """Returns how a request ends."""
        sick = _is_sick(self.phases[key], now_s) and self.rng.random() < BROKEN_SHARE
        broken = sick or self.rng.random() < self.lost_share
        return ExchangeOutcome.BROKEN if broken else ExchangeOutcome.OK

    def accept(self, now_s, number, key):
        self.hosts[number].board.on_request_accepted(now_s, key)
        self.tell(now_s, number)

    def end(self, now_s, number, key, outcome, latency_s):
        board = self.hosts[number].board
        if outcome is ExchangeOutcome.SERVER_ERROR:
            board.on_request_accepted(
                now_s, key
            )  # Any answer shows that the instance took the request.
        board.on_request_ended(now_s, key, "s", outcome, latency_s)
        served = outcome is ExchangeOutcome.OK
        self.unserved[number].on_request_ended(now_s, "s", served)
        self.arrivals.append((now_s, served))
        self.tell(now_s, number)

    def tell(self, now_s, number):
        observations = self.hosts[number].board.pop_observations()
        if observations:
            self.push(now_s + NEWS_DELAY_S, self.hear, number, observations)

    def hear(self, now_s, sender, observations):
        for number, host in enumerate(self.hosts):
            if number != sender:
                host.board.on_peer_observations(now_s, str(sender), observations)

    def served_share(self):
        return sum(served for _, served in self.arrivals) / len(self.arrivals)


def sound_since(phases, at_s):
    """Tells whether an instance is sound at a moment and in the two seconds after it."""
    return not any(_is_sick(phases, at_s + step / 5) for step in range(11))
