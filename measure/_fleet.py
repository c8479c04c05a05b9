"""Discrete-event simulation of outlier ejectors: Poisson arrivals and log-normal latencies."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.ejection import OutlierEjector, StateChange, floor_slots
from anviltray.declarations import Service, Upstream

SERVICE = "service"
FLUSH_INTERVAL_S = 0.05
MESSAGE_DELAY_S = 0.008
MEDIAN_S = 0.02
SIGMA = 0.5
DEADLINE_S = 30.0

NEVER = float("inf")


class Response(NamedTuple):
    """Simulated response to one request."""

    first_byte_s: float  # Seconds until the first byte.
    end_s: float  # Seconds until the end.
    outcome: ExchangeOutcome  # Result at the end.
    cold: bool = False  # Whether the upstream reports that it is warming up.


Behaviour = Callable[[float, int, int, Random], Response]


def build_service(sensitivity: str, upstreams: int = 8) -> Service:
    """Returns a service whose floor is half of its capacity."""
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


def healthy(now_s: float, node: int, upstream: int, rng: Random) -> Response:
    """Returns a successful response with log-normal latency."""
    latency_s = MEDIAN_S * rng.lognormvariate(0.0, SIGMA)
    return Response(latency_s * 0.9, latency_s, ExchangeOutcome.OK)


class Fleet:
    """Simulated nodes that send requests to the upstreams of one service and exchange messages."""

    def __init__(
        self,
        service: Service,
        nodes: int,
        rate: float,
        behaviour: Behaviour,
        seed: int,
        detector: str = "likelihood_ratio",
        stagger_s: float = FLUSH_INTERVAL_S,
    ) -> None:
        self.rng = Random(seed)
        self.now_s = 0.0
        self.behaviour = behaviour
        self.service = service
        self.floor = floor_slots(service)
        self.addresses = [upstream.address for upstream in service.upstreams]
        self.index = {address: i for i, address in enumerate(self.addresses)}
        self.rate = rate
        self.ejectors = [
            OutlierEjector(f"n{i}", "r", f"z{i % 2}", self.rng, detector=detector)
            for i in range(nodes)
        ]
        self.floor_violations = 0
        self.requests = 0
        self.messages = 0
        self.changes: list[tuple[float, int, StateChange]] = []
        self.last_sent_s = [0.0] * len(self.addresses)
        self.first_sent_s = [NEVER] * len(self.addresses)
        self._idle_connections = [[0] * len(self.addresses) for _ in self.ejectors]
        self._routable_sets = [ejector.routable(SERVICE) for ejector in self.ejectors]
        self._weights: list[tuple[list[int], list[float]]] = [([], []) for _ in self.ejectors]
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._event_count = 0
        for node, ejector in enumerate(self.ejectors):
            ejector.configure({SERVICE: service}, 0.0)
            ejector.probe_targets(0.0, [f"n{i}" for i in range(nodes)])
            self.schedule(self.rng.random() * stagger_s, self._update, node)
            self.schedule(self.rng.expovariate(rate), self._on_arrival, node)

    def schedule(self, time_s: float, action: Callable[..., None], *arguments: object) -> None:
        """Schedules an action at a point in virtual time."""
        self._event_count += 1
        heappush(self._heap, (time_s, self._event_count, action, arguments))

    def run(self, until_s: float, stop: Callable[[], bool] | None = None) -> None:
        """Runs until `until_s`, or until `stop` returns true after an update of a node."""
        heap = self._heap
        while heap and heap[0][0] <= until_s:
            self.now_s, _, action, arguments = heappop(heap)
            action(*arguments)
            if stop is not None and action == self._update and stop():
                return
        self.now_s = until_s

    def routes_to(self, node: int, upstream: int) -> bool:
        """Returns whether a node sends requests to an upstream."""
        return upstream in self._weights[node][0]

    def _update(self, node: int) -> None:
        now_s = self.now_s
        update = self.ejectors[node].update(now_s)
        self.changes += [(now_s, node, change) for change in update.changes]
        self._refresh_weights(node)
        for message in update.messages:
            self.messages += 1
            for peer in range(len(self.ejectors)):
                if peer != node:
                    self.schedule(now_s + MESSAGE_DELAY_S, self._deliver, peer, message)
        self.schedule(now_s + FLUSH_INTERVAL_S, self._update, node)

    def _deliver(self, node: int, message: object) -> None:
        ejector = self.ejectors[node]
        if type(message).__name__ == "Evidence":
            ejector.on_peer_evidence(self.now_s, message)  # type: ignore[arg-type]
        else:
            ejector.on_peer_ejection(self.now_s, message)  # type: ignore[arg-type]

    def _refresh_weights(self, node: int) -> None:
        routable = self.ejectors[node].routable(SERVICE)
        if routable is self._routable_sets[node]:
            return
        self._routable_sets[node] = routable
        slots = sum(item.slots for item in routable.upstreams)
        if slots < self.floor and len(routable.upstreams) < len(self.addresses):
            self.floor_violations += 1
        self._weights[node] = (
            [self.index[item.address] for item in routable.upstreams],
            [item.weight for item in routable.upstreams],
        )

    def _on_arrival(self, node: int) -> None:
        now_s = self.now_s
        rng = self.rng
        self.schedule(now_s + rng.expovariate(self.rate), self._on_arrival, node)
        if not self._weights[node][0]:
            self._refresh_weights(node)
        indices, weights = self._weights[node]
        upstream = rng.choices(indices, weights)[0]
        self.requests += 1
        self.last_sent_s[upstream] = now_s
        if self.first_sent_s[upstream] > now_s:
            self.first_sent_s[upstream] = now_s
        idle_connections = self._idle_connections[node]
        is_new_connection = idle_connections[upstream] == 0
        if not is_new_connection:
            idle_connections[upstream] -= 1
        ejector = self.ejectors[node]
        exchange = ejector.on_exchange_started(
            now_s, SERVICE, self.addresses[upstream], is_new_connection
        )
        response = self.behaviour(now_s, node, upstream, rng)
        if response.first_byte_s < response.end_s:
            self.schedule(now_s + response.first_byte_s, self._on_first_byte, node, exchange)
        if response.end_s < NEVER:
            self.schedule(now_s + response.end_s, self._on_end, node, upstream, exchange, response)

    def _on_first_byte(self, node: int, exchange: int) -> None:
        self.ejectors[node].on_first_byte(self.now_s, exchange)

    def _on_end(self, node: int, upstream: int, exchange: int, response: Response) -> None:
        ejector = self.ejectors[node]
        ejector.on_exchange_ended(self.now_s, exchange, response.outcome)
        if response.cold:
            ejector.on_cold_response(self.now_s, self.addresses[upstream])
            self._refresh_weights(node)
        if response.outcome in (ExchangeOutcome.OK, ExchangeOutcome.SERVER_ERROR):
            self._idle_connections[node][upstream] += 1
