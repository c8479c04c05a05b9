"""Simulates a zone that is short of room, with and without requests that wait at their hosts."""

import heapq
from collections import defaultdict
from typing import NamedTuple

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import ACCEPTED_AFTER_S, Placed
from anviltray.decisions.placement.tests.replay import FAULT_S, ZoneSimulation
from anviltray.decisions.placement.tests.test_placement import request
from anviltray.decisions.waiting import (
    Refused,
    ServiceRoom,
    ShortageShares,
    WaitingAdmission,
    WaitingQueue,
    WaitingRequest,
    latest_wait_s,
    start_limit,
)

DEADLINE_FACTOR = 4.0  # Time limit of the callers as a multiple of the target latency.


class Kind(NamedTuple):
    """One kind of request and its share of the traffic."""

    name: str
    share: float
    priority: int
    service_s: float  # Mean service time.
    target_s: float
    account: str = ""
    repeats: int = 0  # How often its callers return 20 ms after a rejection.


class Result(NamedTuple):
    kind: Kind
    status: str  # "served" or "rejected".
    elapsed_s: float  # Time since the first arrival.


class _Call(NamedTuple):
    ticket: int
    kind: Kind
    arrived_s: float
    service_s: float
    repeats: int


class CrowdedZone(ZoneSimulation):
    """A zone whose instances have bounded queues and whose request rate changes.

    `rates` has (end, rate) pairs. With `waiting`, requests wait at their hosts. `slow` has the
    factor of the service time of some instances. `results` has one entry for each request,
    `instance_rejections` counts what full instances have rejected.
    """

    def __init__(self, seed, rates, count, kinds, waiting, slots=2, queue=8, hosts=14, slow=()):
        self.rates, self.kinds, self.waiting, self.queue_size = rates, kinds, waiting, queue
        self.slots, self.slow = slots, dict(slow)
        self.results, self.instance_rejections, self.tickets = [], 0, 0
        self.busy = defaultdict(int)  # Requests in the slots and the queue of each instance.
        self.started = defaultdict(list)  # Times at which the requests of an instance began.
        self.queues = [WaitingQueue() for _ in range(hosts)]
        self.admissions = [WaitingAdmission() for _ in range(hosts)]
        self.shares = [ShortageShares() for _ in range(hosts)]
        self.calls = [{} for _ in range(hosts)]
        self.in_flight = [0] * hosts
        super().__init__(seed, max(rate for _, rate in rates), count, hosts=hosts, slots=slots)

    def arrive(self, now_s):
        rate_s = next((rate for end_s, rate in self.rates if now_s < end_s), 0.0)
        if self.rng.random() > rate_s / max(rate for _, rate in self.rates):
            return
        kind = self.rng.choices(self.kinds, [kind.share for kind in self.kinds])[0]
        self.tickets += 1
        service_s = kind.service_s * self.rng.uniform(0.5, 1.5)
        self.submit(now_s, _Call(self.tickets, kind, now_s, service_s, 0))

    def submit(self, now_s, call):
        number = self.pick_host(now_s)
        if not self.waiting:
            self.place(now_s, number, call)
            return
        kind, queue = call.kind, self.queues[number]
        if not self.shares[number].is_entitled(now_s, kind.priority, kind.account):
            if not self.place(now_s, number, call, self.limit(number, call, entitled=False)):
                self.reject(now_s, number, call)
            return
        if not len(queue) and self.place(now_s, number, call, self.limit(number, call)):
            return
        mean_s = self.hosts[number].tracker.mean_latency_s("s")
        left_s = kind.target_s - (now_s - call.arrived_s)
        deadline_s = left_s + (DEADLINE_FACTOR - 1) * kind.target_s
        wait_s = latest_wait_s(left_s, kind.target_s, deadline_s, mean_s)
        room = ServiceRoom(self.in_flight[number], mean_s)
        ahead = queue.ahead_of(kind.priority, kind.account)
        verdict = self.admissions[number].admit(now_s, room, ahead, len(queue), wait_s)
        if isinstance(verdict, Refused):
            self.reject(now_s, number, call)
            return
        in_target_s = now_s + max(0.0, min(wait_s, left_s - mean_s))
        queue.add(
            WaitingRequest(call.ticket, kind.account, kind.priority, in_target_s, now_s + wait_s)
        )
        self.calls[number][call.ticket] = call
        self.push(now_s + wait_s, self.end_wait, number, call)
        if len(queue) > 1:
            self.start_next(now_s, number)

    def pick_host(self, now_s):
        return self.rng.randrange(len(self.hosts))

    def peers(self, number):
        """Returns the other hosts of the zone of a host."""
        return [other for other in range(len(self.hosts)) if other != number]

    def round_trip_s(self, number, instance):
        return 0.0

    def limit(self, number, call, entitled=True):
        mean_s = self.hosts[number].tracker.mean_latency_s("s")
        return start_limit(call.kind.priority, call.kind.target_s, mean_s, entitled)

    def end_wait(self, now_s, number, call):
        if self.queues[number].remove(call.ticket):
            del self.calls[number][call.ticket]
            self.place(now_s, number, call)

    def start_next(self, now_s, number):
        head = self.queues[number].head(now_s)
        if head is None:
            return
        call = self.calls[number][head.ticket]
        if self.place(now_s, number, call, self.limit(number, call)):
            del self.calls[number][head.ticket]
            self.queues[number].start(head)

    def place(self, now_s, number, call, max_load=float("inf")):
        """Sends a request and returns True; rejects it if there is no limit and no room."""
        wanted = request(target_s=call.kind.target_s, priority=call.kind.priority)._replace(
            max_load=max_load, first_attempt=True, unrepeatable=True
        )
        placed = self.hosts[number].choose(now_s, wanted, self.instances)
        if isinstance(placed, Placed):
            kind = call.kind
            self.shares[number].on_request(now_s, kind.priority, kind.account, True)
            self.send(now_s, number, call, placed)
            return True
        if max_load == float("inf"):
            self.reject(now_s, number, call)
        return False

    def send(self, now_s, number, call, placed):
        key = placed.instance.id
        self.hosts[number].tracker.on_request_started(0.0, key)
        self.in_flight[number] += 1
        if self.busy[key] >= self.slots + self.queue_size:
            self.instance_rejections += 1
            self.push(now_s + FAULT_S, self.finish, number, call, placed, "rejected", FAULT_S)
        else:
            self.busy[key] += 1
            slots = self.free_s[key]
            start_s = max(now_s, heapq.heappop(slots))
            end_s = start_s + call.service_s * self.slowness(key, now_s)
            heapq.heappush(slots, end_s)
            self.started[key].append(start_s)
            self.push(now_s + ACCEPTED_AFTER_S, self.accept, number, key)
            end_s += self.round_trip_s(number, placed.instance)
            self.push(end_s, self.finish, number, call, placed, "served", end_s - now_s)
        self.report(now_s, number)

    def slowness(self, key, now_s):
        """Returns the factor of the service time of an instance."""
        return self.slow.get(key, 1.0)

    def finish(self, now_s, number, call, placed, status, latency_s):
        key = placed.instance.id
        served = status == "served"
        outcome = ExchangeOutcome.OK if served else ExchangeOutcome.REFUSED
        self.busy[key] -= served
        self.in_flight[number] -= 1
        tracker = self.hosts[number].tracker
        tracker.on_request_ended(now_s, key, "s", outcome, latency_s)
        if served:
            self.results.append(Result(call.kind, "served", now_s - call.arrived_s))
        else:
            self.reject(now_s, number, call)
        self.report(now_s, number)
        if self.waiting:
            self.start_next(now_s, number)

    def reject(self, now_s, number, call):
        self.shares[number].on_request(now_s, call.kind.priority, call.kind.account, False)
        if call.repeats < call.kind.repeats:
            self.tickets += 1
            again = call._replace(ticket=self.tickets, repeats=call.repeats + 1)
            self.push(now_s + 0.02, self.submit, again)
        else:
            self.results.append(Result(call.kind, "rejected", now_s - call.arrived_s))

    def receive(self, now_s, sender, observations):
        peers = self.peers(sender)
        for number in peers:
            self.hosts[number].tracker.on_peer_observations(now_s, str(sender), observations)
            # Each host takes room that others report with the probability of one among them.
            takes_room = self.rng.random() * (len(peers) + 1) < 1.0
            if self.calls[number] and takes_room:
                self.start_next(now_s, number)

    def share(self, condition, *names):
        """Returns the share of the requests of some kinds, or of all, that fulfil a condition."""
        results = [each for each in self.results if not names or each.kind.name in names]
        return sum(map(condition, results)) / max(1, len(results))


def served(result):
    return result.status == "served"


def in_target(result):
    return result.status == "served" and result.elapsed_s <= result.kind.target_s


def held_in_vain(result):
    """Returns whether a rejected request took more than an eighth of its target latency."""
    return result.status == "rejected" and result.elapsed_s > result.kind.target_s / 8
