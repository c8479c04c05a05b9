"""Slots, queue, executions and faults of an upstream stand-in."""

import asyncio
import math
import random
from collections import Counter, deque
from collections.abc import Callable

from standins._waiting import poll_until
from standins.upstream._options import Faults, UpstreamOptions


class RequestRejected(Exception):
    """The request was rejected before it started; the argument is the reason."""


class _Request:
    def __init__(self, request_id: str, deadline_s: float, stall_draw: float) -> None:
        self.request_id = request_id
        self.deadline_s = deadline_s  # Loop time after which the request is not started.
        self.stall_draw = stall_draw  # The request stalls while this is below stall_share.
        self.slot: asyncio.Future[None] | None = None
        self.started = False
        self.cancelled = asyncio.Event()


class Engine:
    """Runs requests on the slots of one instance.

    A request counts as executed when it starts. It starts only if its complete body has arrived,
    a slot is free, its deadline has not passed and it was not cancelled. `record` is called with
    the identifier of the request at its start.
    """

    def __init__(
        self, options: UpstreamOptions, record: Callable[[str], None] | None = None
    ) -> None:
        self.options = options
        self._record_execution = record
        self.executions: Counter[str] = Counter()
        self.arrivals = 0
        self.rejections: Counter[str] = Counter()
        self.arrivals_draining = 0
        self.last_arrival_s = 0.0
        self.draining = False
        self.rejects_while_draining = False
        self._faults = Faults()
        self._faults_set_s = 0.0
        self._service_random = random.Random(options.seed)
        self._fault_random = random.Random(options.seed + 1)
        self._busy_slots = 0
        self._queue: deque[_Request] = deque()
        self._requests: dict[str, list[_Request]] = {}
        self._pending_cost_s = 0.0
        self._connections_counted = 0
        self._cold_until_s = self._now_s() + options.cold_s
        self._cold_s = options.cold_s
        # Oldest first: time, load and draining state, for the delayed reports.
        self._history: deque[tuple[float, float, bool]] = deque([(-math.inf, 0.0, False)])

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()

    @property
    def faults(self) -> Faults:
        """Faults that are active now."""
        return self._faults.at(self._now_s() - self._faults_set_s)

    @property
    def load(self) -> float:
        """Share of slots in use."""
        return self._busy_slots / self.options.slots

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def reported_load(self) -> float:
        """Load that responses report."""
        reported = self._faults.reported_load
        return self.load if reported < 0 else reported

    @property
    def cold_share(self) -> float:
        """Remaining share of the warm-up: 1 at a cold start, 0 when warm."""
        if self._cold_s <= 0:
            return 0.0
        return min(max((self._cold_until_s - self._now_s()) / self._cold_s, 0.0), 1.0)

    def set_faults(self, faults: Faults) -> None:
        """Replaces all faults and starts a new flap period."""
        self._faults = faults
        self._faults_set_s = self._now_s()

    def set_draining(self, draining: bool, rejects: bool) -> None:
        """Sets whether the instance announces draining; with `rejects` it rejects new requests."""
        self.draining, self.rejects_while_draining = draining, rejects
        self.arrivals_draining = 0
        self._record_history()

    def set_cold(self, cold_s: float) -> None:
        """Restarts the warm-up, with a duration of `cold_s`."""
        self._cold_s = cold_s
        self._cold_until_s = self._now_s() + cold_s

    def add_connection_cost(self, opened: int) -> None:
        """Adds the cost of connections opened since the last call to the next service time."""
        new = opened - self._connections_counted
        self._connections_counted = opened
        self._pending_cost_s += new * self.options.connection_cost_s

    def lagging_report(self) -> tuple[float, bool]:
        """Returns the load and the draining state of `report_lag_s` ago."""
        report_time_s = self._now_s() - self.options.report_lag_s
        while len(self._history) > 1 and self._history[1][0] <= report_time_s:
            self._history.popleft()
        _, load, draining = self._history[0]
        return load, draining

    def register(self, request_id: str, deadline_s: float) -> _Request:
        """Registers a request whose head has arrived; the caller must `deregister` it."""
        self.arrivals += 1
        self.arrivals_draining += self.draining
        self.last_arrival_s = self._now_s()
        request = _Request(request_id, deadline_s, self._fault_random.random())
        self._requests.setdefault(request_id, []).append(request)
        return request

    def deregister(self, request: _Request) -> None:
        """Removes a request that was answered or abandoned by its caller."""
        same_id = self._requests[request.request_id]
        same_id.remove(request)
        if not same_id:
            del self._requests[request.request_id]

    async def run(self, request: _Request) -> None:
        """Runs a request; raises RequestRejected if it is not started."""
        if not self.faults.stall_started:
            await self._wait_while_stalled(request)
        try:
            await self._acquire_slot(request)
        except RequestRejected as rejection:
            self.rejections[str(rejection)] += 1
            if not self.faults.stall_sheds:
                await self._wait_while_stalled(request)
            raise
        try:
            request.started = True
            self.executions[request.request_id] += 1
            if self._record_execution is not None:
                self._record_execution(request.request_id)
            try:
                await asyncio.wait_for(request.cancelled.wait(), self._service_time_s())
            except TimeoutError:
                await self._wait_while_stalled(request)
        finally:
            self._release_slot()
        await asyncio.sleep(self.faults.late_s)

    async def probe(self) -> None:
        """Occupies a slot, if one is free, for the duration of a health check."""
        if self._busy_slots >= self.options.slots:
            return
        self._busy_slots += 1
        self._record_history()
        try:
            await asyncio.sleep(self.options.probe_cost_s)
        finally:
            self._release_slot()

    def cancel(self, request_id: str) -> bool | None:
        """Cancels the requests with this identifier.

        Returns whether any of them had started, or None if the identifier is unknown: its request
        may still be in transit and start later.
        """
        requests = self._requests.get(request_id, [])
        if not requests and request_id not in self.executions:
            return None
        for request in requests:
            request.cancelled.set()
            if request.slot is not None:
                _reject(request.slot, "cancelled")
        return request_id in self.executions

    def should_inject_fault(self, share: float) -> bool:
        """Returns whether a fault with this share affects the next request; the seed is fixed."""
        return self._fault_random.random() < share

    async def _wait_while_stalled(self, request: _Request) -> None:
        await poll_until(lambda: request.stall_draw >= self.faults.stall_share)

    async def _acquire_slot(self, request: _Request) -> None:
        if self.draining and self.rejects_while_draining:
            raise RequestRejected("draining")
        if self._busy_slots < self.options.slots:
            self._busy_slots += 1
            self._record_history()
        elif len(self._queue) >= self.options.queue:
            raise RequestRejected("queue full")
        else:
            await self._wait_for_slot(request)
        # The request may have been cancelled after a slot was granted to it, but before it resumed.
        if request.cancelled.is_set():
            self._release_slot()
            raise RequestRejected("cancelled")
        if request.deadline_s <= self._now_s():
            self._release_slot()
            raise RequestRejected("deadline passed")

    async def _wait_for_slot(self, request: _Request) -> None:
        loop = asyncio.get_running_loop()
        slot = request.slot = loop.create_future()
        self._queue.append(request)
        timer = None
        if request.deadline_s < math.inf:
            timer = loop.call_at(request.deadline_s, _reject, slot, "deadline passed")
        try:
            await slot
        finally:
            if timer is not None:
                timer.cancel()
            if request in self._queue:
                self._queue.remove(request)

    def _release_slot(self) -> None:
        self._busy_slots -= 1
        while self._queue:
            slot = self._queue.popleft().slot
            if slot is not None and not slot.done():
                self._busy_slots += 1
                slot.set_result(None)
                break
        self._record_history()

    def _service_time_s(self) -> float:
        drawn_s = self._service_random.lognormvariate(
            math.log(self.options.median_s), self.options.sigma
        )
        cold = 1 + (self.options.cold_factor - 1) * self.cold_share
        pending_cost_s, self._pending_cost_s = self._pending_cost_s, 0.0
        return drawn_s * cold * self.faults.slow_factor + pending_cost_s

    def _record_history(self) -> None:
        self._history.append((self._now_s(), self.load, self.draining))
        self.lagging_report()


def _reject(slot: asyncio.Future[None], reason: str) -> None:
    if not slot.done():
        slot.set_exception(RequestRejected(reason))
