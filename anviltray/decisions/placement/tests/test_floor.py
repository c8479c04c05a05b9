"""Guards against sound instances that get no requests while others of their service are refused.

Replays a zone above its capacity: instances fall sick in phases, the requests must not be
repeated, and every host knows of the others what they report after a delay.
"""

import heapq
import random

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import ACCEPTED_AFTER_S, TurnedAway, UnservedShare
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
# A service must spread its requests over this share of its sound instances in every window, if the
# share of requests that are not served lies between the bounds.
FLOOR_SHARE = 0.7
WINDOW_S = 2.0
UNSERVED_BOUNDS = (0.1, 0.5)


class Replay:
    """One zone; `arrivals` has (time, served) and `sends` (time, instance)."""

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
            only_explorer=True, unserved_share=unserved.share(now_s, "s")
        )
        chosen = host.choose(now_s, wanted, self.instances)
        if isinstance(chosen, TurnedAway):
            unserved.ended(now_s, "s", served=False)
            self.arrivals.append((now_s, False))
            return
        key = chosen.instance.id
        self.sends.append((now_s, key))
        host.board.started(key)
        sick = _is_sick(self.phases[key], now_s) and self.rng.random() < BROKEN_SHARE
        if sick or self.rng.random() < self.lost_share:
            self.end(now_s, number, key, ExchangeOutcome.BROKEN, 0.001)
        else:
            slots = self.free_s[key]
            start_s = max(now_s, heapq.heappop(slots))
            end_s = start_s + SERVICE_S * self.rng.uniform(0.5, 1.5)
            heapq.heappush(slots, end_s)
            self.push(now_s + ACCEPTED_AFTER_S, self.accept, number, key)
            self.push(end_s, self.end, number, key, ExchangeOutcome.OK, end_s - now_s)
        self.tell(now_s, number)

    def accept(self, now_s, number, key):
        self.hosts[number].board.accepted(now_s, key)
        self.tell(now_s, number)

    def end(self, now_s, number, key, outcome, latency_s):
        self.hosts[number].board.ended(now_s, key, "s", outcome, latency_s)
        served = outcome is ExchangeOutcome.OK
        self.unserved[number].ended(now_s, "s", served)
        self.arrivals.append((now_s, served))
        self.tell(now_s, number)

    def tell(self, now_s, number):
        observations = self.hosts[number].board.take_observations()
        if observations:
            self.push(now_s + NEWS_DELAY_S, self.hear, number, observations)

    def hear(self, now_s, sender, observations):
        for number, host in enumerate(self.hosts):
            if number != sender:
                host.board.peer_observations(now_s, str(sender), observations)

    def served_share(self):
        return sum(served for _, served in self.arrivals) / len(self.arrivals)

    def broken_windows(self):
        """Returns the starts of the windows in which too few sound instances get requests."""
        found = []
        for step in range(10, int(DURATION_S - WINDOW_S) * 10):
            start_s = step / 10
            inside = [served for at_s, served in self.arrivals if 0 <= at_s - start_s < WINDOW_S]
            unserved = inside.count(False) / max(1, len(inside))
            sound = {
                key for key, phases in self.phases.items() if _sound_since(phases, start_s - 2.0)
            }
            sound = {key for key in sound if _sound_since(self.phases[key], start_s + WINDOW_S)}
            used = {key for at_s, key in self.sends if 0 <= at_s - start_s < WINDOW_S} & sound
            low, high = UNSERVED_BOUNDS
            if low < unserved < high and 0 < len(used) < FLOOR_SHARE * len(sound):
                found.append(start_s)
        return found


def _sound_since(phases, at_s):
    """Tells whether an instance is sound at a moment and in the two seconds after it."""
    return not any(_is_sick(phases, at_s + step / 5) for step in range(11))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("rate_s", "count", "lost_share"),
    [
        (150.0, 8, 0.0),  # Above the capacity of the sound instances.
        (220.0, 8, 0.0),  # A burst.
        (40.0, 8, 0.15),  # Sound instances lose some answers.
    ],
)
def test_sound_instances_keep_getting_requests(seed, rate_s, count, lost_share):
    assert Replay(seed, rate_s, count, lost_share).broken_windows() == []
