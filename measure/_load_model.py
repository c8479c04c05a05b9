"""Discrete-event simulation of nodes and upstreams that runs the production policies."""

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

LOCALITIES = (("r1", "r1-a"), ("r1", "r1-b"), ("r2", "r2-a"), ("r2", "r2-b"))
SERVICE = "service"
DIGEST_PEERS = 8  # Peers that receive the load digest of a node.


class Policy(NamedTuple):
    """Policies of the nodes; the defaults are the production policies."""

    router: str = "two_choices"  # Name in the registry of routers.
    admission: bool = True  # Whether nodes use admission control.
    retry_budget: bool = True  # Whether the retry budget limits retries.
    hedge_after_s: float = 0.0  # Age of a request at which a hedge starts; 0 means never.


class Scenario(NamedTuple):
    """Size and load of the simulated fleet."""

    nodes: int = 48  # Number of nodes.
    upstreams: int = 30  # Number of instances.
    slots: int = 6  # Slots per instance.
    load: float = 0.7  # Offered load as a share of the capacity.
    deadline_s: float = 1.0  # Time that a caller waits for a response.
    median_s: float = 0.02  # Median of the log-normal service time.
    sigma: float = 0.5  # Standard deviation of the logarithm of the service time.
    shed_at: int = 2  # An instance sheds requests above this multiple of its slots.
    attempts: int = 3  # Attempts that the retry rule allows.
    caller_retries: int = 0  # Retries of a caller after a rejection or failure.
    skew: float = 0.0  # Share of the callers that use the first quarter of the nodes.
    one_region: bool = False  # All callers use the nodes of the first region.


class Request:
    """One request of a caller."""

    __slots__ = (
        "arrived_s",
        "attempted",
        "attempts",
        "caller",
        "deadline_s",
        "done",
        "node",
        "remaining_retries",
        "started_s",
    )

    def __init__(
        self, node: "Node", caller: str, now_s: float, deadline_s: float, remaining_retries: int
    ):
        self.node = node
        self.caller = caller
        self.arrived_s = now_s
        self.started_s = now_s
        self.deadline_s = deadline_s
        self.remaining_retries = remaining_retries
        self.attempts: RequestAttempts | None = None
        self.attempted: frozenset[str] = frozenset()
        self.done = False


class Instance:
    """One upstream with slots and a bounded queue; it sheds requests above the bound."""

    def __init__(self, upstream: RoutableUpstream, scenario: Scenario, slow: float = 1.0) -> None:
        self.upstream = upstream
        self.slow = slow
        self.busy = 0
        self.queue: list[Callable[[], object]] = []
        self.limit = scenario.slots * scenario.shed_at
        self.busy_s = 0.0
        self.changed_s = 0.0
        self.started = 0

    def load(self) -> float:
        """Returns the running and queued requests per slot."""
        return (self.busy + len(self.queue)) / self.upstream.slots

    def account(self, now_s: float) -> None:
        """Adds the busy time since the last change."""
        self.busy_s += self.busy * (now_s - self.changed_s)
        self.changed_s = now_s


class Node:
    """Policies of one node."""

    def __init__(self, locality: NodeLocality, fleet: "Fleet", seed: int) -> None:
        self.locality = locality
        self.load_tracker = LoadTracker(locality.node, seed + 1)
        # The link budget is effectively unlimited: these measurements are about load, not bytes.
        link = LinkBudget(1e9)
        self.router = routers[fleet.policy.router](
            locality.region,
            locality.zone,
            self.load_tracker,
            Random(seed),
            node=locality.node,
            link=link,
        )
        self.retry_budget = RetryBudget()
        self.admission = Admission()
        scenario = fleet.scenario
        self.admission.set_capacity(0.0, scenario.upstreams * scenario.slots, scenario.nodes)
        self.tickets: dict[int, Request] = {}


class Fleet:
    """Event loop in virtual time; all counts begin at `measure_from_s`."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int = 1) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = Random(seed)
        self.now_s = 0.0
        self.measure_from_s = 0.0
        self.counts: Counter[str] = Counter()
        self.latencies_s: list[float] = []
        # Good responses by second; new requests by the second of their arrival, in total and those
        # that succeeded without a retry of the caller.
        self.good_by_second: Counter[int] = Counter()
        self.new_good_by_second: Counter[int] = Counter()
        self.offered_by_second: Counter[int] = Counter()
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._order = count()
        self._tickets = count()
        self.rule = RetryRule(("GET",), "/", scenario.attempts, policy.hedge_after_s > 0)
        upstreams = tuple(
            RoutableUpstream(f"u{number:03}", *LOCALITIES[number % 4], scenario.slots, 1.0)
            for number in range(scenario.upstreams)
        )
        self.instances = {item.address: Instance(item, scenario) for item in upstreams}
        self.routable = RoutableSet(1, SERVICE, upstreams)
        localities = [
            NodeLocality(f"n{number:03}", *LOCALITIES[number % 4])
            for number in range(scenario.nodes)
        ]
        self.nodes = [Node(locality, self, index) for index, locality in enumerate(localities)]
        first = LOCALITIES[0][0]
        self.entry_nodes = [
            node for node in self.nodes if node.locality.region == first or not scenario.one_region
        ]
        for node in self.nodes:
            node.router.set_nodes(localities)
        mean_s = scenario.median_s * 2.718281828 ** (scenario.sigma**2 / 2)
        self.capacity = scenario.upstreams * scenario.slots / mean_s
        self.load = scenario.load
        self._schedule_arrival()
        self.schedule(1.0, self._exchange_digests)

    def schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedules an action after a delay."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), action))

    def run(self, until_s: float) -> None:
        """Runs all events before a time."""
        while self._events and self._events[0][0] < until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def reset(self) -> None:
        """Resets all counts, for example after a warm-up."""
        self.measure_from_s = self.now_s
        self.counts.clear()
        self.latencies_s.clear()
        for instance in self.instances.values():
            instance.account(self.now_s)
            instance.busy_s = 0.0
            instance.started = 0

    def _schedule_arrival(self) -> None:
        rate = self.capacity * self.load
        self.schedule(-log(1 - self.rng.random()) / rate, self._on_arrival)

    def _on_arrival(self) -> None:
        self._schedule_arrival()
        nodes = self.entry_nodes
        if self.rng.random() < self.scenario.skew:
            nodes = nodes[: max(1, len(nodes) // 4)]
        node = nodes[self.rng.randrange(len(nodes))]
        caller = f"c{self.rng.randrange(50)}"
        self.counts["offered"] += 1
        self.offered_by_second[int(self.now_s)] += 1
        self._submit(node, caller, self.scenario.caller_retries)

    def _submit(self, node: Node, caller: str, remaining_retries: int) -> None:
        request = Request(
            node, caller, self.now_s, self.now_s + self.scenario.deadline_s, remaining_retries
        )
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
            self._retry_by_caller(request, result.retry_after_s)
        for expired in node.admission.expire(self.now_s):
            self.counts["expired"] += 1
            self._retry_by_caller(
                node.tickets.pop(expired), node.admission.retry_after_s(self.now_s)
            )

    def _retry_by_caller(self, request: Request, delay_s: float) -> None:
        request.done = True
        if request.remaining_retries > 0:
            node, caller, remaining_retries = (
                request.node,
                request.caller,
                request.remaining_retries - 1,
            )
            self.schedule(delay_s, lambda: self._submit(node, caller, remaining_retries))

    def _start(self, request: Request, ticket: int = -1) -> None:
        request.attempts = RequestAttempts(self.rule)
        request.started_s = self.now_s
        request.node.retry_budget.record_request(self.now_s)
        self._attempt(request, ticket)
        hedge_s = self.policy.hedge_after_s
        if hedge_s:
            self.schedule(hedge_s, lambda: self._start_retry(request, ticket, hedge=True))

    def _attempt(self, request: Request, ticket: int) -> bool:
        node = request.node
        chosen = node.router.choose(self.routable, self.now_s, request.attempted, False, 400)
        if chosen is None or request.attempts is None:
            return False
        request.attempted |= {chosen.address}
        number = request.attempts.start()
        request.attempts.record(number, AttemptEvent.WRITE)
        node.load_tracker.on_exchange_started(chosen.address)
        self.counts["attempts"] += 1
        sent_s = self.now_s
        delay_s = 0.008 if chosen.region != node.locality.region else 0.0005
        self.counts["far"] += chosen.region != node.locality.region
        instance = self.instances[chosen.address]

        def on_finished(outcome: ExchangeOutcome, load: float) -> None:
            self.schedule(delay_s, lambda: on_response(outcome, load))

        def on_response(outcome: ExchangeOutcome, load: float) -> None:
            node.load_tracker.on_exchange_ended(
                self.now_s, chosen.address, self.now_s - sent_s, load
            )
            self._on_response(request, ticket, number, outcome)

        self.schedule(delay_s, lambda: self._serve(instance, request, on_finished))
        return True

    def _serve(
        self,
        instance: Instance,
        request: Request,
        on_finished: Callable[[ExchangeOutcome, float], None],
    ) -> None:
        if instance.busy + len(instance.queue) >= instance.limit:
            self.counts["shed"] += 1
            on_finished(ExchangeOutcome.REFUSED, instance.load())
            return

        def run() -> None:
            if self.now_s >= request.deadline_s and self.policy.admission:
                # The deadline is forwarded with the request, so an expired one is not started.
                on_finished(ExchangeOutcome.REFUSED, instance.load())
                self._start_next(instance)
                return
            instance.account(self.now_s)
            instance.busy += 1
            instance.started += 1
            median_s = self.scenario.median_s * instance.slow
            self.schedule(self.rng.lognormvariate(log(median_s), self.scenario.sigma), end)

        def end() -> None:
            instance.account(self.now_s)
            instance.busy -= 1
            on_finished(ExchangeOutcome.OK, instance.load())
            self._start_next(instance)

        if instance.busy < instance.upstream.slots:
            run()
        else:
            instance.queue.append(run)

    def _start_next(self, instance: Instance) -> None:
        if instance.queue and instance.busy < instance.upstream.slots:
            instance.queue.pop(0)()

    def _on_response(
        self, request: Request, ticket: int, number: int, outcome: ExchangeOutcome
    ) -> None:
        attempts = request.attempts
        if attempts is None or request.done:
            return
        if outcome is ExchangeOutcome.REFUSED:
            attempts.record(number, AttemptEvent.REFUSED)
            if not self._start_retry(request, ticket):
                self._complete(request, ticket, outcome)
            return
        attempts.record(number, AttemptEvent.RESPONSE)
        attempts.record(number, AttemptEvent.COMPLETE)
        self._complete(request, ticket, outcome)

    def _start_retry(self, request: Request, ticket: int, hedge: bool = False) -> bool:
        attempts = request.attempts
        if attempts is None or request.done:
            return False
        if hedge and len(attempts.states) > 1:
            return False
        if not attempts.can_start(self.now_s, request.deadline_s):
            return False
        if self.policy.retry_budget and not request.node.retry_budget.try_acquire(self.now_s):
            return False
        return self._attempt(request, ticket)

    def _complete(self, request: Request, ticket: int, outcome: ExchangeOutcome) -> None:
        request.done = True
        latency_s = self.now_s - request.arrived_s
        if outcome is ExchangeOutcome.OK and self.now_s <= request.deadline_s:
            self.counts["good"] += 1
            self.good_by_second[int(self.now_s)] += 1
            if request.remaining_retries == self.scenario.caller_retries:
                self.new_good_by_second[int(request.arrived_s)] += 1
            self.latencies_s.append(latency_s)
        else:
            self.counts["failed"] += 1
            # Without admission control the caller gets no retry delay.
            limited = self.policy.admission
            delay_s = request.node.admission.retry_after_s(self.now_s) if limited else 0.1
            self._retry_by_caller(request, delay_s)
        if not self.policy.admission:
            return
        node = request.node
        del node.tickets[ticket]
        service_time_s = self.now_s - request.started_s
        for started in node.admission.release(self.now_s, ticket, service_time_s, outcome):
            self._start(node.tickets[started], started)
        for expired in node.admission.expire(self.now_s):
            self.counts["expired"] += 1
            self._retry_by_caller(
                node.tickets.pop(expired), node.admission.retry_after_s(self.now_s)
            )

    def _exchange_digests(self) -> None:
        self.schedule(1.0, self._exchange_digests)
        for node in self.nodes:
            digest = node.load_tracker.digest(self.now_s, SERVICE)
            for peer in self.rng.sample(self.nodes, min(DIGEST_PEERS, len(self.nodes))):
                if peer is not node:
                    peer.load_tracker.on_peer_digest(self.now_s, digest)

    def loads(self) -> Iterator[float]:
        """Returns the busy share of each instance since the reset."""
        elapsed_s = self.now_s - self.measure_from_s
        for instance in self.instances.values():
            instance.account(self.now_s)
            yield instance.busy_s / elapsed_s / instance.upstream.slots
