"""Virtual fleet of ejection boards: Poisson arrivals, log-normal latencies, an event heap."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.ejection import OutlierEjector, StateChange, floor_slots
from anviltray.declarations import Service, Upstream

SERVICE = "service"
FLUSH_S = 0.05
DELAY_S = 0.008
MEDIAN_S = 0.02
SIGMA = 0.5
DEADLINE_S = 30.0

NEVER = float("inf")


class Answer(NamedTuple):
    """What becomes of one request."""

    first_byte_s: float  # Seconds until the first byte.
    end_s: float  # Seconds until the end.
    outcome: ExchangeOutcome  # Result at the end.
    cold: bool = False  # The upstream says that it is warming.


Behaviour = Callable[[float, int, int, Random], Answer]


def declare(sensitivity: str, upstreams: int = 8) -> Service:
    """Returns a service with a floor of half its capacity."""
    return Service(
        name=SERVICE,
        upstreams=tuple(
            Upstream(f"10.0.0.{i}:80", "r", f"z{i % 2}", 4, "active") for i in range(upstreams)
        ),
        routes=(),
        floor_slots=0,
        floor_share=0.5,
        sensitivity=sensitivity,
        objective_share=0.999,
        objective_latency_ms=1000.0,
        retry_rules=(),
    )


def healthy(now_s: float, node: int, upstream: int, rng: Random) -> Answer:
    """Log-normal latency without errors."""
    latency_s = MEDIAN_S * rng.lognormvariate(0.0, SIGMA)
    return Answer(latency_s * 0.9, latency_s, ExchangeOutcome.OK)


class Fleet:
    """Nodes that send requests to the upstreams of one service and exchange their messages."""

    def __init__(
        self,
        service: Service,
        nodes: int,
        rate: float,
        behaviour: Behaviour,
        seed: int,
        detector: str = "likelihood_ratio",
        stagger_s: float = FLUSH_S,
    ) -> None:
        self.rng = Random(seed)
        self.now_s = 0.0
        self.behaviour = behaviour
        self.service = service
        self.floor = floor_slots(service)
        self.addresses = [upstream.address for upstream in service.upstreams]
        self.index = {address: i for i, address in enumerate(self.addresses)}
        self.rate = rate
        self.boards = [
            OutlierEjector(f"n{i}", "r", f"z{i % 2}", self.rng, detector=detector)
            for i in range(nodes)
        ]
        self.floor_violations = 0
        self.requests = 0
        self.messages = 0
        self.changes: list[tuple[float, int, StateChange]] = []
        self.last_sent_s = [0.0] * len(self.addresses)
        self.first_sent_s = [NEVER] * len(self.addresses)
        self._idle = [[0] * len(self.addresses) for _ in self.boards]
        self._routed = [board.routable(SERVICE) for board in self.boards]
        self._weights: list[tuple[list[int], list[float]]] = [([], []) for _ in self.boards]
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._count = 0
        for node, board in enumerate(self.boards):
            board.configure({SERVICE: service}, 0.0)
            board.probe_targets(0.0, [f"n{i}" for i in range(nodes)])
            self.at(self.rng.random() * stagger_s, self._update, node)
            self.at(self.rng.expovariate(rate), self._arrive, node)

    def at(self, time_s: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedules an action."""
        self._count += 1
        heappush(self._heap, (time_s, self._count, action, arguments))

    def run(self, until_s: float, stop: Callable[[], bool] | None = None) -> None:
        """Runs until a time, or until `stop` is true after an update."""
        heap = self._heap
        while heap and heap[0][0] <= until_s:
            self.now_s, _, action, arguments = heappop(heap)
            action(*arguments)
            if stop is not None and action == self._update and stop():
                return
        self.now_s = until_s

    def routes_to(self, node: int, upstream: int) -> bool:
        """Returns whether a node has an upstream in its set."""
        return upstream in self._weights[node][0]

    def _update(self, node: int) -> None:
        now_s = self.now_s
        update = self.boards[node].update(now_s)
        self.changes += [(now_s, node, change) for change in update.changes]
        self._check(node)
        for message in update.messages:
            self.messages += 1
            for peer in range(len(self.boards)):
                if peer != node:
                    self.at(now_s + DELAY_S, self._deliver, peer, message)
        self.at(now_s + FLUSH_S, self._update, node)

    def _deliver(self, node: int, message: object) -> None:
        board = self.boards[node]
        if type(message).__name__ == "Evidence":
            board.on_peer_evidence(self.now_s, message)  # type: ignore[arg-type]
        else:
            board.on_peer_ejection(self.now_s, message)  # type: ignore[arg-type]

    def _check(self, node: int) -> None:
        routable = self.boards[node].routable(SERVICE)
        if routable is self._routed[node]:
            return
        self._routed[node] = routable
        slots = sum(item.slots for item in routable.upstreams)
        if slots < self.floor and len(routable.upstreams) < len(self.addresses):
            self.floor_violations += 1
        self._weights[node] = (
            [self.index[item.address] for item in routable.upstreams],
            [item.weight for item in routable.upstreams],
        )

    def _arrive(self, node: int) -> None:
        now_s = self.now_s
        rng = self.rng
        self.at(now_s + rng.expovariate(self.rate), self._arrive, node)
        if not self._weights[node][0]:
            self._check(node)
        indices, weights = self._weights[node]
        upstream = rng.choices(indices, weights)[0]
        self.requests += 1
        self.last_sent_s[upstream] = now_s
        if self.first_sent_s[upstream] > now_s:
            self.first_sent_s[upstream] = now_s
        idle = self._idle[node]
        fresh = idle[upstream] == 0
        if not fresh:
            idle[upstream] -= 1
        board = self.boards[node]
        exchange = board.on_exchange_started(now_s, SERVICE, self.addresses[upstream], fresh)
        answer = self.behaviour(now_s, node, upstream, rng)
        if answer.first_byte_s < answer.end_s:
            self.at(now_s + answer.first_byte_s, self._first_byte, node, exchange)
        if answer.end_s < NEVER:
            self.at(now_s + answer.end_s, self._end, node, upstream, exchange, answer)

    def _first_byte(self, node: int, exchange: int) -> None:
        self.boards[node].on_first_byte(self.now_s, exchange)

    def _end(self, node: int, upstream: int, exchange: int, answer: Answer) -> None:
        board = self.boards[node]
        board.on_exchange_ended(self.now_s, exchange, answer.outcome)
        if answer.cold:
            board.on_cold_response(self.now_s, self.addresses[upstream])
            self._check(node)
        if answer.outcome in (ExchangeOutcome.OK, ExchangeOutcome.SERVER_ERROR):
            self._idle[node][upstream] += 1
