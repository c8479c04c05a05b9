"""Proxies caller requests: routing, instance selection, retries and the response."""

import asyncio
from functools import partial
from random import Random

import logbook

from anviltray.callers import (
    CallerExchange,
    CallerHeaders,
    HeadReader,
    InputError,
    Problem,
    RequestBody,
    RequestHead,
    add_content_length,
)
from anviltray.decisions.placement import Placed, PlacementRequest, Shed
from anviltray.edge._admission import RequestAdmission
from anviltray.edge._allotments import Allotments, OverAllotment
from anviltray.edge._attempt import CompleteResponse, NotExecuted
from anviltray.edge._attempts import InstanceAttempts
from anviltray.edge._call import EdgeCall
from anviltray.edge._load_wait import LoadWait
from anviltray.edge._loans import RetryLoans
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._progress import (
    MIN_FAILURE_STATUS,
    AttemptResult,
    RequestProgress,
    is_success,
)
from anviltray.edge._state import EdgeState
from anviltray.edge._waiting import InstanceWaits
from anviltray.settings import CallerSettings

_log = logbook.Logger("anviltray.requests")

# Failed connects per request; not counted as attempts, since they cost the instances nothing.
_MAX_CONNECT_FAILURES = 3
# Interval at which a request without a response looks for a free instance and a retry for a second
# attempt, if there were none at first.
_HEDGE_RETRY_INTERVAL_S = 0.2
# Part of a request's time in which it waits for its allotted rate while the host starts.
_ALLOTMENT_WAIT_SHARE = 1 / 4
# Limit for a host that ends to write its last responses, which wait for nothing else.
_INTERRUPTION_TIMEOUT_S = 0.2
_DEFAULT_RETRY_AFTER_S = 0.4  # Retry-After if placement gives no estimate.
_MIN_RETRY_AFTER_S = 0.1  # Retry-After if another host can serve the request at once.

_STOPPING = Problem(
    503, "stopping", "the host is about to end", retry_after_s=_MIN_RETRY_AFTER_S, close=True
)
_REFUSED = Problem(
    503, "refused", "no instance accepts the request now", retry_after_s=_DEFAULT_RETRY_AFTER_S
)
_OVER_ALLOTMENT = Problem(429, "over-allotment", "the account has used its allotted rate")
_UPSTREAM_FAILED = Problem(
    502, "upstream-failed", "the exchange with the instance failed", "unknown"
)
_TIMEOUT = Problem(504, "timeout", "the time of the request is over", "unknown")
_INTERRUPTED = Problem(
    502,
    "interrupted",
    "the host ended before the whole response had arrived",
    "unknown",
    close=True,
)
_BODY_TIMEOUT = Problem(408, "body-timeout", "the request body took too long", close=True)
_INTERNAL_ERROR = Problem(500, "internal-error", "the host failed", "unknown", close=True)


class EdgeDispatcher:
    """ASGI application that proxies the requests of one host."""

    def __init__(
        self,
        state: EdgeState,
        loans: RetryLoans,
        allotments: Allotments,
        metrics: EdgeMetrics,
        settings: CallerSettings,
        caller_headers: CallerHeaders,
        instance_header: str,
        account_header: str,
    ) -> None:
        """The headers name the only instance that may respond, and the account of the caller."""
        self._state = state
        self._loans = loans
        self._allotments = allotments
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._calls: set[EdgeCall] = set()  # In flight.
        self._caller_headers = caller_headers
        self._load_wait = LoadWait(state.loaded, metrics)
        self.set_limits(settings)
        self._admission = RequestAdmission(state, metrics.count, account_header)
        self._waits = InstanceWaits(state, metrics, Random())
        self._attempts = InstanceAttempts(state, self._waits, metrics, instance_header)

    def set_limits(self, settings: CallerSettings) -> None:
        """Applies the size limits and timeouts for requests."""
        dialect = self._state.upstreams.dialect
        self._reader = HeadReader(settings, dialect, self._caller_headers)
        self._body_limit = settings.body_limit_bytes

    def keep_services(self, services: frozenset[str]) -> None:
        """Drops what is kept for services that no longer exist."""
        self._waits.keep_only(services)

    def reject_late_requests(self) -> None:
        """Ends the requests that a stopping host no longer passes on, or not as a whole.

        Those that no instance has got are rejected. A body that is still arriving at an instance
        is broken off, as its end would come too late.
        """
        late = tuple(
            call
            for call in self._calls
            if not (call.exchange.response_started or self._passes_on(call))
            and (call.exchange.more_body or not call.attempted)
        )
        for call in late:
            call.interrupt()
        if late:
            _log.info("late requests rejected", extra={"requests": len(late)})

    def _passes_on(self, call: EdgeCall) -> bool:
        return self._state.passes_on(call.expires_s, not call.exchange.more_body)

    async def interrupt_requests(self) -> int:
        """Ends all requests in flight because the host ends; returns their number.

        A request that no instance has got is rejected, the outcome of any other one is unknown. The
        connection of a response that has been streamed in part is reset.
        """
        calls = tuple(self._calls)
        for call in calls:
            call.interrupt()
        tasks = [call.task for call in calls if call.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=_INTERRUPTION_TIMEOUT_S)
        return len(calls)

    async def __call__(self, scope: object, receive: object, send: object) -> None:
        """Serves one request."""
        exchange: CallerExchange = scope["anviltray.exchange"]  # type: ignore[index]
        try:
            head = self._reader.read(exchange.scope)
        except InputError as error:
            self._metrics.record_response("invalid", error.problem.status, 0.0)
            exchange.respond_problem(error.problem)
            return
        await self._handle(exchange, head)

    def expire_queued(self) -> None:
        """Does nothing; this dispatcher has no request queues to check."""

    async def _handle(self, exchange: CallerExchange, head: RequestHead) -> None:
        state = self._state
        received_s = state.clock.now_s()
        if not state.loaded.is_set():
            await self._load_wait.wait(head)
            if exchange.disconnected:
                self._metrics.count("callers_left")
                return
        admitted = self._admission.admit(head)
        if isinstance(admitted, Problem):
            self._reject(exchange, head, admitted)
            return
        body = RequestBody(exchange, head.content_length, self._body_limit)
        call = EdgeCall(exchange, head, body, admitted, state.clock, received_s)
        self._calls.add(call)
        exchange.on_disconnect = call.on_disconnect
        timer = self._loop.call_later(call.remaining_s(), call.expire)
        status = 0
        try:
            status = await self._forward(call)
        except InputError as error:
            problem = error.problem
            if call.attempted and problem.status == _BODY_TIMEOUT.status:
                problem = _TIMEOUT._replace(close=True)
            status = self._end_with_problem(call, problem)
        except asyncio.CancelledError:
            if exchange.disconnected and not call.timed_out:
                self._metrics.count("callers_left")
            elif call.clear_cancellation():
                status = self._end_with_problem(call, self._cancellation_problem(call))
            else:
                raise
        except Exception:
            _log.exception("request {} failed", head.request_id)
            status = self._end_with_problem(call, _INTERNAL_ERROR)
        finally:
            timer.cancel()
            self._calls.discard(call)
            exchange.on_disconnect = None
            if call.allotted is not None and not call.may_have_executed:
                self._allotments.refund(call.allotted)
            self._record_request(call, status)

    def _reject(self, exchange: CallerExchange, head: RequestHead, problem: Problem) -> None:
        """Responds to a request that the configuration does not admit."""
        self._respond_problem(exchange, head, problem)
        self._metrics.record_response("unrouted", problem.status, 0.0)
        self._admission.log_rejection(head, problem)

    def _cancellation_problem(self, call: EdgeCall) -> Problem:
        if call.interrupted:
            return _INTERRUPTED if call.attempted else _STOPPING
        if call.attempted:
            # An instance may have started on the part of the body that reached it.
            return _TIMEOUT
        return _REFUSED if call.body.ended else _BODY_TIMEOUT

    @property
    def _configuration_version(self) -> int:
        configuration = self._state.configuration
        return -1 if configuration is None else configuration.version

    def _record_request(self, call: EdgeCall, status: int) -> None:
        now_s = self._loop.time()
        latency_s = call.elapsed_s()
        self._metrics.record_response(call.service, status, latency_s)
        if status:
            self._state.unserved.on_request_ended(now_s, call.service, status < MIN_FAILURE_STATUS)
        _log.info(
            "request completed" if status else "caller disconnected",
            extra={
                "id": call.head.request_id,
                "route": call.route.name,
                "service": call.service,
                "status": status,
                "problem": call.problem,
                "ms": round(latency_s * 1000),
                "version": self._configuration_version,
                "sends": call.history,
            },
        )

    def _end_with_problem(self, call: EdgeCall, problem: Problem) -> int:
        call.problem = problem.name
        return self._respond_problem(call.exchange, call.head, problem)

    def _respond_problem(
        self, exchange: CallerExchange, head: RequestHead, problem: Problem
    ) -> int:
        if exchange.response_started:
            exchange.abort()
        else:
            exchange.respond_problem(problem, head.request_id, self._state.shutting_down)
        return problem.status

    # Attempts

    async def _forward(self, call: EdgeCall) -> int:
        """Sends the request, with retries, and returns the status for the caller.

        Returns 0 if the caller disconnected.
        """
        if not call.body.ended:
            await call.body.buffer_if_short()
        if not self._passes_on(call):
            return self._end_with_problem(call, _STOPPING)
        patience_s = call.remaining_s() * _ALLOTMENT_WAIT_SHARE
        allotted = await self._allotments.acquire(call.account, patience_s)
        if isinstance(allotted, OverAllotment):
            retry_after_s = round(allotted.retry_after_s, 2)
            return self._end_with_problem(
                call, _OVER_ALLOTMENT._replace(retry_after_s=retry_after_s)
            )
        call.allotted = allotted
        self._state.retry_budget(call.service).record_request(self._state.clock.now_s())
        progress = RequestProgress(_REFUSED)
        # Timers are late after a suspension of the host, so each attempt checks the time.
        while call.remaining_s() > 0:
            placed = await self._place(call, progress)
            if isinstance(placed, Problem):
                return self._end_with_problem(call, placed)
            if isinstance(placed, Shed):
                call.history.append({"shed": placed._asdict()})
                retry_after_s = round(placed.retry_after_s, 2)
                progress.problem = _REFUSED._replace(retry_after_s=retry_after_s)
                break
            placed, result = await self._attempt_hedged(call, placed, progress)
            if result is None:
                return 200
            progress.record(placed, result)
            if not await self._should_retry(call, progress, result):
                break
            if call.exchange.disconnected:
                self._metrics.count("callers_left")
                return 0
        if progress.response is not None:
            return self._respond(call, progress.response)
        call.rejected = not progress.may_have_executed
        problem = _UPSTREAM_FAILED if progress.may_have_executed else progress.problem
        return self._end_with_problem(call, problem)

    async def _place(self, call: EdgeCall, progress: RequestProgress) -> Placed | Shed | Problem:
        """Chooses an instance, again if the request belongs to another service after its wait.

        Returns a problem if the configuration has ceased to admit the request.
        """
        while True:
            service = call.service
            placed = await self._waits.place(call, partial(self._choose_instance, call, progress))
            if call.sent or isinstance(placed, Shed):
                return placed
            admitted = self._admission.renew(call.head, call.admitted)
            if isinstance(admitted, Problem):
                return admitted
            call.set_admitted(admitted)
            if call.service == service:
                return placed

    def _choose_instance(
        self, call: EdgeCall, progress: RequestProgress, max_load: float
    ) -> Placed | Shed:
        state, route = self._state, call.route
        now_s = self._loop.time()
        first = progress.attempts == 0
        retryable = route.idempotent and progress.attempts + 1 < route.instance_limit
        request = PlacementRequest(
            call.service,
            retryable,
            may_explore=retryable and first and self._can_explore(call.service),
            priority=call.priority,
            remaining_s=call.remaining_s(),
            target_s=route.target_latency_s,
            exclude=progress.tried_instances,
            first_attempt=first,
            unserved_share=state.unserved.share(now_s, call.service),
            unrepeatable=not route.idempotent,
            max_load=max_load,
        )
        return state.placement.choose(now_s, request, state.directory.usable(call.service))

    def _can_explore(self, service: str) -> bool:
        """Returns whether there is a retry left in case an explored instance fails a request."""
        return self._state.can_explore(service) or self._loans.has_prospect(service)

    async def _choose_hedge(
        self, call: EdgeCall, progress: RequestProgress, first: Placed
    ) -> Placed | None:
        """Returns an instance with a free slot for a second attempt; acquires its retry budget."""
        state, route = self._state, call.route
        now_s = self._loop.time()
        if progress.attempts + 2 > route.instance_limit:
            return None
        request = PlacementRequest(
            call.service,
            retryable=False,
            may_explore=False,
            priority=call.priority,
            remaining_s=call.remaining_s(),
            target_s=route.target_latency_s,
            exclude=progress.tried_instances | {first.instance.id},
        )
        placed = state.placement.choose(now_s, request, state.directory.usable(call.service))
        if isinstance(placed, Shed) or placed.load > 1:
            call.history[-1]["hedge"] = "no free instance"
            return None
        if not await self._acquire_retry(call, progress.attempts + 1):
            call.history[-1]["hedge"] = "no budget"
            return None
        return placed

    async def _should_retry(
        self, call: EdgeCall, progress: RequestProgress, result: AttemptResult
    ) -> bool:
        """Returns whether to make another attempt; acquires its retry budget.

        Failed connects need no retry budget.
        """
        if isinstance(result, NotExecuted) and not result.reached_instance:
            return progress.connect_failures < _MAX_CONNECT_FAILURES
        if isinstance(result, CompleteResponse) and result.status < 500:
            return False
        if not isinstance(result, NotExecuted) and not call.route.idempotent:
            return False
        return await self._acquire_retry(call, progress.attempts)

    async def _acquire_retry(self, call: EdgeCall, attempts: int) -> bool:
        if attempts >= call.route.instance_limit or not call.body.can_resend:
            return False
        expected_s = self._state.health_tracker.mean_latency_s(call.service)
        if call.remaining_s() < expected_s or not self._state.can_repeat(expected_s):
            return False
        budget, clock = self._state.retry_budget(call.service), self._state.clock
        if budget.try_acquire(clock.now_s()):
            return True
        if await self._loans.borrow(call.service) and budget.try_acquire(clock.now_s()):
            self._metrics.count("borrowed_retries")
            return True
        self._metrics.count("retries_over_budget")
        return False

    async def _attempt_hedged(
        self, call: EdgeCall, placed: Placed, progress: RequestProgress
    ) -> tuple[Placed, AttemptResult | None]:
        """Sends the request, and if the response is overdue also to a second instance.

        Returns the first successful result, else the last one. The other attempt is cancelled.
        """
        route, now_s = call.route, self._loop.time()
        may_hedge = progress.attempts + 2 <= route.instance_limit
        if not (route.idempotent and may_hedge and call.body.ended and call.body.can_resend):
            return placed, await self._attempts.send(call, placed)
        health = self._state.health_tracker.health(placed.instance.id)
        delay_s = self._state.response_times.hedge_delay_s(
            route.name, route.target_latency_s, health.error_probability(now_s)
        )
        first = asyncio.create_task(self._attempts.send(call, placed))
        running = {first: placed}
        try:
            await asyncio.wait(running, timeout=delay_s)
            while not first.done():
                hedge = await self._choose_hedge(call, progress, placed)
                # The response may have arrived while a retry was borrowed.
                if hedge is not None and not first.done():
                    self._metrics.count("hedges")
                    running[asyncio.create_task(self._attempts.send(call, hedge))] = hedge
                    break
                await asyncio.wait(running, timeout=_HEDGE_RETRY_INTERVAL_S)
            while True:
                done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    placed, result = running.pop(task), task.result()
                    streaming = result is not None and call.exchange.response_started
                    if not running or (is_success(result) and not streaming):
                        return placed, result
                    if result is not None:
                        progress.record(placed, result)
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    def _respond(self, call: EdgeCall, response: CompleteResponse) -> int:
        headers = list(response.headers)
        add_content_length(call.head.method, response.status, headers, len(response.body))
        call.exchange.respond(response.status, headers, response.body, self._state.shutting_down)
        return response.status
