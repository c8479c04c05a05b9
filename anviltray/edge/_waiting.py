"""Holds requests of one host until an instance of their service has room."""

import asyncio
import math
from collections.abc import Callable
from itertools import count
from random import Random

from anviltray.decisions.placement import Placed, Shed
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
from anviltray.edge._call import EdgeCall
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._state import EdgeState

# Chooses an instance with at most this load, in requests per slot.
ChooseInstance = Callable[[float], Placed | Shed]


class _Waiter:
    """A request that waits; `start` has the instance once there is room."""

    __slots__ = ("choose", "limit", "start")

    def __init__(self, choose: ChooseInstance, limit: float) -> None:
        self.choose = choose
        self.limit = limit
        self.start: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()


class _ServiceWaits:
    """Waiting requests of one service."""

    __slots__ = ("admission", "in_flight", "queue", "shares", "waiters")

    def __init__(self, weight: Callable[[str], float]) -> None:
        self.queue = WaitingQueue(weight)
        self.shares = ShortageShares(weight)
        self.admission = WaitingAdmission()
        self.waiters: dict[int, _Waiter] = {}
        self.in_flight = 0  # Attempts of this host.


class InstanceWaits:
    """Places requests at once or when there is room, or sheds them.

    A response to a request of this host makes room for its next one, so each response starts one
    waiting request. Room that other hosts report is seen by all hosts of the zone at the same time,
    so each takes it with the probability of one among the serving hosts.
    """

    def __init__(self, state: EdgeState, metrics: EdgeMetrics, rng: Random) -> None:
        self._state = state
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._services: dict[str, _ServiceWaits] = {}
        self._tickets = count(1)
        state.health_tracker.on_room = self._on_reported_room

    async def place(self, call: EdgeCall, choose: ChooseInstance) -> Placed | Shed:
        """Returns the instance for a request, or why it is rejected; may wait in between.

        If it is cancelled, the request no longer waits.
        """
        service = self._service(call.service)
        placed = await self._place(service, call, choose)
        started = isinstance(placed, Placed)
        service.shares.on_request(self._loop.time(), call.priority, call.account, started)
        return placed

    async def _place(
        self, service: _ServiceWaits, call: EdgeCall, choose: ChooseInstance
    ) -> Placed | Shed:
        now_s, target_s = self._loop.time(), call.route.target_latency_s
        mean_s = self._state.health_tracker.mean_latency_s(call.service)
        entitled = service.shares.is_entitled(now_s, call.priority, call.account)
        limit = start_limit(call.priority, target_s, mean_s, entitled)
        room = ServiceRoom(service.in_flight, mean_s)
        waiting = len(service.queue)
        if not entitled or not waiting:
            placed = choose(limit)
            # Without candidates there is nothing to wait for, or a time that instances have named.
            if isinstance(placed, Placed) or not placed.candidates:
                return placed
            if not entitled:
                self._metrics.count("waits_not_entitled")
                delay_s = service.admission.return_delay_s(now_s, room, waiting)
                return placed._replace(retry_after_s=delay_s)
        wait_s = latest_wait_s(target_s - call.elapsed_s(), target_s, call.remaining_s(), mean_s)
        ahead = service.queue.ahead_of(call.priority, call.account)
        verdict = service.admission.admit(now_s, room, ahead, waiting, wait_s)
        if isinstance(verdict, Refused):
            self._metrics.count("waits_refused")
            candidates = len(self._state.directory.usable(call.service))
            return Shed(verdict.retry_after_s, verdict.expected_s, candidates)
        entry = {
            "waits_ms": 0,
            "expected_ms": round(verdict.expected_s * 1000),
            "ahead": round(ahead, 1),
        }
        call.history.append(entry)
        try:
            return await self._wait(service, call, _Waiter(choose, limit), now_s + wait_s)
        finally:
            entry["waits_ms"] = round((self._loop.time() - now_s) * 1000)

    async def _wait(
        self, service: _ServiceWaits, call: EdgeCall, waiter: _Waiter, latest_s: float
    ) -> Placed | Shed:
        """Waits until there is room or until `latest_s`, then takes what there is."""
        self._metrics.count("waits")
        queue, ticket = service.queue, next(self._tickets)
        mean_s = self._state.health_tracker.mean_latency_s(call.service)
        target_left_s = call.route.target_latency_s - call.elapsed_s()
        in_target_s = min(latest_s, self._loop.time() + max(0.0, target_left_s - mean_s))
        service.waiters[ticket] = waiter
        queue.add(WaitingRequest(ticket, call.account, call.priority, in_target_s, latest_s))
        if len(queue) > 1:
            self._start_next(service)
        try:
            async with asyncio.timeout_at(latest_s):
                return await waiter.start
        except TimeoutError:
            self._metrics.count("waits_ended")
            queue.remove(ticket)
            placed = waiter.choose(math.inf)
            if isinstance(placed, Shed):
                room = ServiceRoom(service.in_flight, mean_s)
                delay_s = service.admission.return_delay_s(self._loop.time(), room, len(queue))
                placed = placed._replace(retry_after_s=delay_s)
            return placed
        finally:
            queue.remove(ticket)
            del service.waiters[ticket]

    def _service(self, name: str) -> _ServiceWaits:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceWaits(self._state.account_weight)
        return service

    def on_attempt_started(self, name: str) -> None:
        """Counts an attempt of this host at an instance of a service."""
        self._service(name).in_flight += 1

    def on_attempt_ended(self, name: str) -> None:
        """Starts the next waiting request in place of an attempt that has ended."""
        service = self._services[name]
        service.in_flight -= 1
        self._start_next(service)

    def keep_only(self, services: frozenset[str]) -> None:
        """Drops the queues of services that no longer exist and have no requests."""
        for name in [name for name in self._services if name not in services]:
            if not self._services[name].in_flight and not self._services[name].waiters:
                del self._services[name]

    def _on_reported_room(self, key: str) -> None:
        """Handles a report that a request of another host to an instance has ended."""
        instance = self._state.directory.instances.get(key)
        service = None if instance is None else self._services.get(instance.service)
        if service is None or not service.waiters:
            return
        if self._rng.random() * self._state.serving_hosts < 1.0:
            self._start_next(service)

    def _start_next(self, service: _ServiceWaits) -> None:
        """Starts the next waiting request if an instance has room for it."""
        now_s = self._loop.time()
        while (head := service.queue.head(now_s)) is not None:
            waiter = service.waiters[head.ticket]
            if waiter.start.done():
                service.queue.remove(head.ticket)  # Its caller has left.
                continue
            placed = waiter.choose(waiter.limit)
            if isinstance(placed, Placed):
                service.queue.start(head)
                waiter.start.set_result(placed)
            return
