"""Slots, queue, executions and faults of an upstream stand-in."""

import asyncio
import math
import random
from collections import Counter, deque
from collections.abc import Callable

from standins._waiting import poll_until
from standins.upstream._options import Faults, UpstreamOptions


class Refused(Exception):
    """The request was not started; the argument is the reason."""


class _Request:
    def __init__(self, request_id: str, deadline_s: float, stall_draw: float) -> None:
        self.request_id = request_id
        self.deadline_s = deadline_s  # Loop time after which it is not started.
        self.stall_draw = stall_draw  # Stalled while this is below the share of stalled requests.
        self.slot: asyncio.Future[None] | None = None
        self.started = False
        self.cancelled = asyncio.Event()


class Engine:
    """Runs requests on the slots of one instance.

    A request is counted as executed at the moment it starts. It starts only with its whole body,
    a free slot, time left before its deadline and no cancellation. `record` is called with its
    identifier at that moment.
    """

    def __init__(
        self, options: UpstreamOptions, record: Callable[[str], None] | None = None
    ) -> None:
        self.options = options
        self._record_execution = record
        self.executions: Counter[str] = Counter()
        self.arrivals = 0
        self.refusals: Counter[str] = Counter()
        self.arrivals_draining = 0
        self.last_arrival_s = 0.0
        self.draining = False
        self.drain_refuses = False
        self._faults = Faults()
        self._faults_set_s = 0.0
        self._service_random = random.Random(options.seed)
        self._fault_random = random.Random(options.seed + 1)
        self._busy = 0
        self._waiting: deque[_Request] = deque()
        self._requests: dict[str, list[_Request]] = {}
        self._owed_s = 0.0
        self._connections_charged = 0
        self._cold_until_s = self._now_s() + options.cold_s
        self._cold_s = options.cold_s
        # Oldest first: time, load and drain state, for the reports that lag.
        self._history: deque[tuple[float, float, bool]] = deque([(-math.inf, 0.0, False)])

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()

    @property
    def faults(self) -> Faults:
        """The faults that are present now."""
        return self._faults.at(self._now_s() - self._faults_set_s)

    @property
    def load(self) -> float:
        """Share of slots in use."""
        return self._busy / self.options.slots

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    @property
    def reported_load(self) -> float:
        """Load that answers carry."""
        reported = self._faults.reported_load
        return self.load if reported < 0 else reported

    @property
    def cold_share(self) -> float:
        """1 at a cold start, falling to 0 when warm."""
        if self._cold_s <= 0:
            return 0.0
        return min(max((self._cold_until_s - self._now_s()) / self._cold_s, 0.0), 1.0)

    def set_faults(self, faults: Faults) -> None:
        """Replaces all faults; a flap period starts now."""
        self._faults = faults
        self._faults_set_s = self._now_s()

    def set_drain(self, draining: bool, refuses: bool) -> None:
        """Announces draining; with `refuses`, new requests are refused as well."""
        self.draining, self.drain_refuses = draining, refuses
        self.arrivals_draining = 0
        self._record()

    def cool(self, cold_s: float) -> None:
        """Makes the instance as cold as after a start."""
        self._cold_s = cold_s
        self._cold_until_s = self._now_s() + cold_s

    def charge_connections(self, opened: int) -> None:
        """Adds the cost of connections opened since the last call to the next service time."""
        new = opened - self._connections_charged
        self._connections_charged = opened
        self._owed_s += new * self.options.connection_cost_s

    def lagging_report(self) -> tuple[float, bool]:
        """Returns the load and the drain state as they were one report lag ago."""
        seen_s = self._now_s() - self.options.report_lag_s
        while len(self._history) > 1 and self._history[1][0] <= seen_s:
            self._history.popleft()
        _, load, draining = self._history[0]
        return load, draining

    def arrive(self, request_id: str, deadline_s: float) -> _Request:
        """Registers a request whose head has arrived; `leave` must follow."""
        self.arrivals += 1
        self.arrivals_draining += self.draining
        self.last_arrival_s = self._now_s()
        request = _Request(request_id, deadline_s, self._fault_random.random())
        self._requests.setdefault(request_id, []).append(request)
        return request

    def leave(self, request: _Request) -> None:
        """Forgets a request that is answered or gone."""
        known = self._requests[request.request_id]
        known.remove(request)
        if not known:
            del self._requests[request.request_id]

    async def run(self, request: _Request) -> None:
        """Runs a request; raises Refused if it was not started."""
        if not self.faults.stall_started:
            await self._hold(request)
        try:
            await self._take_slot(request)
        except Refused as refusal:
            self.refusals[str(refusal)] += 1
            if not self.faults.stall_sheds:
                await self._hold(request)
            raise
        try:
            request.started = True
            self.executions[request.request_id] += 1
            if self._record_execution is not None:
                self._record_execution(request.request_id)
            try:
                await asyncio.wait_for(request.cancelled.wait(), self._service_time_s())
            except TimeoutError:
                await self._hold(request)
        finally:
            self._release_slot()
        await asyncio.sleep(self.faults.late_s)

    async def probe(self) -> None:
        """Occupies a slot, if one is free, for the time of a health check."""
        if self._busy >= self.options.slots:
            return
        self._busy += 1
        self._record()
        try:
            await asyncio.sleep(self.options.probe_cost_s)
        finally:
            self._release_slot()

    def cancel(self, request_id: str) -> bool | None:
        """Cancels the requests with this identifier.

        Returns whether any of them had started, or None if none is known: a request that is still
        on its way may then start later.
        """
        requests = self._requests.get(request_id, [])
        if not requests and request_id not in self.executions:
            return None
        for request in requests:
            request.cancelled.set()
            if request.slot is not None:
                _refuse(request.slot, "cancelled")
        return request_id in self.executions

    def draw(self, share: float) -> bool:
        """Decides with the fixed seed whether a fault hits a request."""
        return self._fault_random.random() < share

    async def _hold(self, request: _Request) -> None:
        await poll_until(lambda: request.stall_draw >= self.faults.stall_share)

    async def _take_slot(self, request: _Request) -> None:
        if self.draining and self.drain_refuses:
            raise Refused("draining")
        if self._busy < self.options.slots:
            self._busy += 1
            self._record()
        elif len(self._waiting) >= self.options.queue:
            raise Refused("queue full")
        else:
            await self._wait_for_slot(request)
        # A cancellation may have been answered after the slot was granted to a waiting request.
        if request.cancelled.is_set():
            self._release_slot()
            raise Refused("cancelled")
        if request.deadline_s <= self._now_s():
            self._release_slot()
            raise Refused("deadline passed")

    async def _wait_for_slot(self, request: _Request) -> None:
        loop = asyncio.get_running_loop()
        slot = request.slot = loop.create_future()
        self._waiting.append(request)
        timer = None
        if request.deadline_s < math.inf:
            timer = loop.call_at(request.deadline_s, _refuse, slot, "deadline passed")
        try:
            await slot
        finally:
            if timer is not None:
                timer.cancel()
            if request in self._waiting:
                self._waiting.remove(request)

    def _release_slot(self) -> None:
        self._busy -= 1
        while self._waiting:
            slot = self._waiting.popleft().slot
            if slot is not None and not slot.done():
                self._busy += 1
                slot.set_result(None)
                break
        self._record()

    def _service_time_s(self) -> float:
        drawn_s = self._service_random.lognormvariate(
            math.log(self.options.median_s), self.options.sigma
        )
        cold = 1 + (self.options.cold_factor - 1) * self.cold_share
        owed_s, self._owed_s = self._owed_s, 0.0
        return drawn_s * cold * self.faults.slow_factor + owed_s

    def _record(self) -> None:
        self._history.append((self._now_s(), self.load, self.draining))
        self.lagging_report()


def _refuse(slot: asyncio.Future[None], reason: str) -> None:
    if not slot.done():
        slot.set_exception(Refused(reason))
