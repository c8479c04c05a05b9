"""Virtual-time model of nodes and upstreams that drives the real policies."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import count
from math import log
from random import Random
from typing import NamedTuple

from anviltray.decisions import ExchangeOutcome, RoutableSet, RoutableUpstream
from anviltray.decisions.attempts import AttemptEvent, RequestAttempts
from anviltray.decisions.limits import Admission, Admitted, LinkBudget, Queued
from anviltray.decisions.retries import RetryBudget
from anviltray.decisions.routing import LoadTracker, NodeLocality, routers
from anviltray.declarations import RetryRule

PLACES = (("r1", "r1-a"), ("r1", "r1-b"), ("r2", "r2-a"), ("r2", "r2-b"))
SERVICE = "service"
PEERS = 8  # peers that get a node's load digest.


class Policy(NamedTuple):
    """What the nodes do; the defaults are the shipped policies."""

    router: str = "two_choices"  # Name in the registry of routers.
    admission: bool = True  # Admission in front of the service; otherwise no limit.
    retry_budget: bool = True  # Retries within the budget; otherwise without bound.
    hedge_after_s: float = 0.0  # Age at which a second attempt starts; 0 never.


class Shape(NamedTuple):
    """The fleet and its load."""

    nodes: int = 48  # Entry hosts.
    upstreams: int = 30  # Instances.
    slots: int = 6  # Slots of an instance.
    load: float = 0.7  # Offered load against the capacity.
    deadline_s: float = 1.0  # Time that a caller waits for a response.
    median_s: float = 0.02  # Median of the log-normal service time.
    sigma: float = 0.5  # Its standard deviation in logarithms.
    shed_at: int = 2  # An instance sheds load when it holds this many times its slots.
    attempts: int = 3  # Attempts that the retry rule allows.
    caller_retries: int = 0  # Times that a refused or failed caller comes back.
    skew: float = 0.0  # Share of the callers that use the first quarter of the nodes.
    one_region: bool = False  # All callers use the nodes of the first region.


class Request:
    """One request of a caller."""

    __slots__ = (
        "arrived_s",
        "attempts",
        "caller",
        "deadline_s",
        "done",
        "left",
        "node",
        "started_s",
        "tried",
    )

    def __init__(self, node: "Node", caller: str, now_s: float, deadline_s: float, left: int):
        self.node = node
        self.caller = caller
        self.arrived_s = now_s
        self.started_s = now_s
        self.deadline_s = deadline_s
        self.left = left
        self.attempts: RequestAttempts | None = None
        self.tried: frozenset[str] = frozenset()
        self.done = False


class Instance:
    """One upstream: slots, a short queue, and shedding above it."""

    def __init__(self, upstream: RoutableUpstream, shape: Shape, slow: float = 1.0) -> None:
        self.upstream = upstream
        self.slow = slow
        self.busy = 0
        self.waiting: list[Callable[[], object]] = []
        self.limit = shape.slots * shape.shed_at
        self.busy_s = 0.0
        self.changed_s = 0.0
        self.started = 0

    def load(self) -> float:
        """Returns the share of slots in use, with the queue."""
        return (self.busy + len(self.waiting)) / self.upstream.slots

    def account(self, now_s: float) -> None:
        """Adds the busy time since the last change."""
        self.busy_s += self.busy * (now_s - self.changed_s)
        self.changed_s = now_s


class Node:
    """Policies of one entry host."""

    def __init__(self, place: NodeLocality, fleet: "Fleet", seed: int) -> None:
        self.place = place
        self.board = LoadTracker(place.node, seed + 1)
        # The link is wide here: these measurements are about load, not bytes.
        link = LinkBudget(1e9)
        self.router = routers[fleet.policy.router](
            place.region, place.zone, self.board, Random(seed), node=place.node, link=link
        )
        self.budget = RetryBudget()
        self.admission = Admission()
        shape = fleet.shape
        self.admission.set_capacity(0.0, shape.upstreams * shape.slots, shape.nodes)
        self.tickets: dict[int, Request] = {}


class Fleet:
    """Event loop in virtual time; all counts start at `measure_from_s`."""

    def __init__(self, shape: Shape, policy: Policy, seed: int = 1) -> None:
        self.shape = shape
        self.policy = policy
        self.rng = Random(seed)
        self.now_s = 0.0
        self.measure_from_s = 0.0
        self.counts: Counter[str] = Counter()
        self.latencies_s: list[float] = []
        # Good responses by second; new requests by the second of their arrival, and those of them
        # that were good without a return of the caller.
        self.good_by_second: Counter[int] = Counter()
        self.new_good_by_second: Counter[int] = Counter()
        self.offered_by_second: Counter[int] = Counter()
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._order = count()
        self._tickets = count()
        self.rule = RetryRule(("GET",), "/", shape.attempts, policy.hedge_after_s > 0)
        upstreams = tuple(
            RoutableUpstream(f"u{number:03}", *PLACES[number % 4], shape.slots, 1.0)
            for number in range(shape.upstreams)
        )
        self.instances = {item.address: Instance(item, shape) for item in upstreams}
        self.routable = RoutableSet(1, SERVICE, upstreams)
        places = [
            NodeLocality(f"n{number:03}", *PLACES[number % 4]) for number in range(shape.nodes)
        ]
        self.nodes = [Node(place, self, index) for index, place in enumerate(places)]
        first = PLACES[0][0]
        self.entries = [
            node for node in self.nodes if node.place.region == first or not shape.one_region
        ]
        for node in self.nodes:
            node.router.set_nodes(places)
        mean_s = shape.median_s * 2.718281828 ** (shape.sigma**2 / 2)
        self.capacity = shape.upstreams * shape.slots / mean_s
        self.load = shape.load
        self._next_arrival()
        self.after(1.0, self._exchange_digests)

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Runs all events before a time."""
        while self._events and self._events[0][0] < until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def reset(self) -> None:
        """Forgets what was counted so far, for example a warm-up."""
        self.measure_from_s = self.now_s
        self.counts.clear()
        self.latencies_s.clear()
        for instance in self.instances.values():
            instance.account(self.now_s)
            instance.busy_s = 0.0
            instance.started = 0

    def _next_arrival(self) -> None:
        rate = self.capacity * self.load
        self.after(-log(1 - self.rng.random()) / rate, self._arrive)

    def _arrive(self) -> None:
        self._next_arrival()
        nodes = self.entries
        if self.rng.random() < self.shape.skew:
            nodes = nodes[: max(1, len(nodes) // 4)]
        node = nodes[self.rng.randrange(len(nodes))]
        caller = f"c{self.rng.randrange(50)}"
        self.counts["offered"] += 1
        self.offered_by_second[int(self.now_s)] += 1
        self._enter(node, caller, self.shape.caller_retries)

    def _enter(self, node: Node, caller: str, left: int) -> None:
        request = Request(node, caller, self.now_s, self.now_s + self.shape.deadline_s, left)
        self.counts["requests"] += 1
        if not self.policy.admission:
            self._start(request)
            return
        ticket = next(self._tickets)
        result = node.admission.admit(self.now_s, caller, request.deadline_s, ticket)
        if isinstance(result, Admitted | Queued):
            node.tickets[ticket] = request
            if isinstance(result, Admitted):
                self._start(request, ticket)
        else:
            self.counts["refused"] += 1
            self._come_back(request, result.retry_after_s)
        for expired in node.admission.expire(self.now_s):
            self.counts["expired"] += 1
            self._come_back(node.tickets.pop(expired), node.admission.retry_after_s(self.now_s))

    def _come_back(self, request: Request, delay_s: float) -> None:
        request.done = True
        if request.left > 0:
            node, caller, left = request.node, request.caller, request.left - 1
            self.after(delay_s, lambda: self._enter(node, caller, left))

    def _start(self, request: Request, ticket: int = -1) -> None:
        request.attempts = RequestAttempts(self.rule)
        request.started_s = self.now_s
        request.node.budget.record_request(self.now_s)
        self._attempt(request, ticket)
        hedge_s = self.policy.hedge_after_s
        if hedge_s:
            self.after(hedge_s, lambda: self._try_again(request, ticket, hedge=True))

    def _attempt(self, request: Request, ticket: int) -> bool:
        node = request.node
        chosen = node.router.choose(self.routable, self.now_s, request.tried, False, 400)
        if chosen is None or request.attempts is None:
            return False
        request.tried |= {chosen.address}
        number = request.attempts.start()
        request.attempts.record(number, AttemptEvent.WRITE)
        node.board.on_exchange_started(chosen.address)
        self.counts["attempts"] += 1
        sent_s = self.now_s
        delay_s = 0.008 if chosen.region != node.place.region else 0.0005
        self.counts["far"] += chosen.region != node.place.region
        instance = self.instances[chosen.address]

        def finished(outcome: ExchangeOutcome, load: float) -> None:
            self.after(delay_s, lambda: answered(outcome, load))

        def answered(outcome: ExchangeOutcome, load: float) -> None:
            node.board.on_exchange_ended(self.now_s, chosen.address, self.now_s - sent_s, load)
            self._answered(request, ticket, number, outcome)

        self.after(delay_s, lambda: self._serve(instance, request, finished))
        return True

    def _serve(
        self,
        instance: Instance,
        request: Request,
        finished: Callable[[ExchangeOutcome, float], None],
    ) -> None:
        if instance.busy + len(instance.waiting) >= instance.limit:
            self.counts["shed"] += 1
            finished(ExchangeOutcome.REFUSED, instance.load())
            return

        def run() -> None:
            if self.now_s >= request.deadline_s and self.policy.admission:
                # The deadline travels with the request, so a late one is not started.
                finished(ExchangeOutcome.REFUSED, instance.load())
                self._next_waiting(instance)
                return
            instance.account(self.now_s)
            instance.busy += 1
            instance.started += 1
            median_s = self.shape.median_s * instance.slow
            self.after(self.rng.lognormvariate(log(median_s), self.shape.sigma), end)

        def end() -> None:
            instance.account(self.now_s)
            instance.busy -= 1
            finished(ExchangeOutcome.OK, instance.load())
            self._next_waiting(instance)

        if instance.busy < instance.upstream.slots:
            run()
        else:
            instance.waiting.append(run)

    def _next_waiting(self, instance: Instance) -> None:
        if instance.waiting and instance.busy < instance.upstream.slots:
            instance.waiting.pop(0)()

    def _answered(
        self, request: Request, ticket: int, number: int, outcome: ExchangeOutcome
    ) -> None:
        attempts = request.attempts
        if attempts is None or request.done:
            return
        if outcome is ExchangeOutcome.REFUSED:
            attempts.record(number, AttemptEvent.REFUSED)
            if not self._try_again(request, ticket):
                self._end(request, ticket, outcome)
            return
        attempts.record(number, AttemptEvent.RESPONSE)
        attempts.record(number, AttemptEvent.COMPLETE)
        self._end(request, ticket, outcome)

    def _try_again(self, request: Request, ticket: int, hedge: bool = False) -> bool:
        attempts = request.attempts
        if attempts is None or request.done:
            return False
        if hedge and len(attempts.states) > 1:
            return False
        if not attempts.can_start(self.now_s, request.deadline_s):
            return False
        if self.policy.retry_budget and not request.node.budget.try_acquire(self.now_s):
            return False
        return self._attempt(request, ticket)

    def _end(self, request: Request, ticket: int, outcome: ExchangeOutcome) -> None:
        request.done = True
        latency_s = self.now_s - request.arrived_s
        if outcome is ExchangeOutcome.OK and self.now_s <= request.deadline_s:
            self.counts["good"] += 1
            self.good_by_second[int(self.now_s)] += 1
            if request.left == self.shape.caller_retries:
                self.new_good_by_second[int(request.arrived_s)] += 1
            self.latencies_s.append(latency_s)
        else:
            self.counts["failed"] += 1
            # Without admission nothing tells the caller when to come back.
            limited = self.policy.admission
            delay_s = request.node.admission.retry_after_s(self.now_s) if limited else 0.1
            self._come_back(request, delay_s)
        if not self.policy.admission:
            return
        node = request.node
        del node.tickets[ticket]
        took_s = self.now_s - request.started_s
        for started in node.admission.release(self.now_s, ticket, took_s, outcome):
            self._start(node.tickets[started], started)
        for expired in node.admission.expire(self.now_s):
            self.counts["expired"] += 1
            self._come_back(node.tickets.pop(expired), node.admission.retry_after_s(self.now_s))

    def _exchange_digests(self) -> None:
        self.after(1.0, self._exchange_digests)
        for node in self.nodes:
            digest = node.board.digest(self.now_s, SERVICE)
            for peer in self.rng.sample(self.nodes, min(PEERS, len(self.nodes))):
                if peer is not node:
                    peer.board.on_peer_digest(self.now_s, digest)

    def loads(self) -> Iterator[float]:
        """Returns the busy share of each instance since the reset."""
        passed_s = self.now_s - self.measure_from_s
        for instance in self.instances.values():
            instance.account(self.now_s)
            yield instance.busy_s / passed_s / instance.upstream.slots
