"""Proxies caller requests: routing, instance selection, retries and the response."""

import asyncio

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
from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import Placed, PlacementRequest, Shed
from anviltray.declarations import Instance
from anviltray.edge._admission import RequestAdmission
from anviltray.edge._attempt import AttemptRecorder, CompleteResponse, NotExecuted, OutcomeUnknown
from anviltray.edge._call import EdgeCall
from anviltray.edge._loans import RetryLoans
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._progress import (
    MIN_FAILURE_STATUS,
    AttemptResult,
    RequestProgress,
    is_success,
)
from anviltray.edge._response_buffer import ResponseBuffer, can_stream, stream
from anviltray.edge._state import EdgeState
from anviltray.platform import decode_statements, is_promise
from anviltray.settings import CallerSettings
from anviltray.upstreams import (
    MISDIRECTED,
    ConnectFailed,
    ConnectionsExhausted,
    ForeignResponse,
    InvalidResponse,
    UpstreamError,
    UpstreamRequest,
    UpstreamResponse,
)

_log = logbook.Logger("anviltray.requests")

# Failed connects per request; not counted as attempts, since they cost the instances nothing.
_MAX_CONNECT_FAILURES = 3
# Interval at which a request without a response looks for a free instance and a retry for a second
# attempt, if there were none at first.
_HEDGE_RETRY_INTERVAL_S = 0.2
# A host that has just started responds to its first requests when it has loaded its state, which
# takes a few tenths of a second. Callers give up after a second or a third of their time if they
# get no sign of progress.
_MAX_LOAD_WAIT_S = 1.0
_LOAD_WAIT_SHARE = 1 / 3
_MAX_LOAD_WAITERS = 200  # Requests that wait at the same time; more are rejected at once.
# A host without its state after this time reaches neither the store nor a peer, so it rejects
# requests at once.
_LOAD_GRACE_S = 3.0
_DEFAULT_RETRY_AFTER_S = 0.4  # Retry-After if placement gives no estimate.
_MIN_RETRY_AFTER_S = 0.1  # Retry-After if another host can serve the request at once.

_STOPPING = Problem(
    503, "stopping", "the host is about to end", retry_after_s=_MIN_RETRY_AFTER_S, close=True
)
_REFUSED = Problem(
    503, "refused", "no instance accepts the request now", retry_after_s=_DEFAULT_RETRY_AFTER_S
)
_UPSTREAM_FAILED = Problem(
    502, "upstream-failed", "the exchange with the instance failed", "unknown"
)
_TIMEOUT = Problem(504, "timeout", "the time of the request is over", "unknown")
_BODY_TIMEOUT = Problem(408, "body-timeout", "the request body took too long", close=True)
_INTERNAL_ERROR = Problem(500, "internal-error", "the host failed", "unknown", close=True)


class EdgeDispatcher:
    """ASGI application that proxies the requests of one host."""

    def __init__(
        self,
        state: EdgeState,
        loans: RetryLoans,
        metrics: EdgeMetrics,
        settings: CallerSettings,
        caller_headers: CallerHeaders,
        instance_header: str,
    ) -> None:
        """`instance_header` is the name of the header with the only instance that may respond."""
        self._state = state
        self._loans = loans
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._caller_headers = caller_headers
        self._load_waiters = 0
        self._load_due_s = self._loop.time() + _LOAD_GRACE_S
        self.set_limits(settings)
        self._instance_header = instance_header
        self._admission = RequestAdmission(state)

    def set_limits(self, settings: CallerSettings) -> None:
        """Applies the size limits and timeouts for requests."""
        dialect = self._state.upstreams.dialect
        self._reader = HeadReader(settings, dialect, self._caller_headers)
        self._body_limit = settings.body_limit_bytes

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
            await self._wait_for_load(head)
            if exchange.disconnected:
                self._metrics.count("callers_left")
                return
        admitted = self._admission.admit(head)
        if isinstance(admitted, Problem):
            self._reject(exchange, head, admitted)
            return
        body = RequestBody(exchange, head.content_length, self._body_limit)
        call = EdgeCall(exchange, head, body, admitted, state.clock, received_s)
        exchange.on_disconnect = call.on_disconnect
        timer = self._loop.call_later(call.remaining_s(), call.expire)
        status = 0
        try:
            status = await self._forward(call)
        except InputError as error:
            problem = error.problem
            if call.history and problem.status == _BODY_TIMEOUT.status:
                problem = _TIMEOUT._replace(close=True)
            status = self._end_with_problem(call, problem)
        except asyncio.CancelledError:
            if exchange.disconnected and not call.timed_out:
                self._metrics.count("callers_left")
            elif call.clear_timeout():
                status = self._end_with_problem(call, self._timeout_problem(call))
            else:
                raise
        except Exception:
            _log.exception("request {} failed", head.request_id)
            status = self._end_with_problem(call, _INTERNAL_ERROR)
        finally:
            timer.cancel()
            exchange.on_disconnect = None
            self._record_request(call, status)

    def _reject(self, exchange: CallerExchange, head: RequestHead, problem: Problem) -> None:
        """Responds to a request that the configuration does not admit."""
        self._respond_problem(exchange, head, problem)
        self._metrics.record_response("unrouted", problem.status, 0.0)
        _log.info(
            problem.name,
            extra={
                "id": head.request_id,
                "status": problem.status,
                "version": self._configuration_version,
            },
        )

    async def _wait_for_load(self, head: RequestHead) -> None:
        """Waits until the host has loaded its state, at most for a part of the request's time."""
        if self._load_waiters >= _MAX_LOAD_WAITERS or self._loop.time() > self._load_due_s:
            return
        self._load_waiters += 1
        self._metrics.count("load_waits")
        try:
            async with asyncio.timeout(min(_MAX_LOAD_WAIT_S, head.deadline_s * _LOAD_WAIT_SHARE)):
                await self._state.loaded.wait()
        except TimeoutError:
            pass
        finally:
            self._load_waiters -= 1

    def _timeout_problem(self, call: EdgeCall) -> Problem:
        if call.history:
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
        if not self._state.accepts_requests:
            return self._end_with_problem(call, _STOPPING)
        self._state.retry_budget(call.service).record_request(self._state.clock.now_s())
        progress = RequestProgress(_REFUSED)
        # Timers are late after a suspension of the host, so each attempt checks the time.
        while call.remaining_s() > 0:
            placed = self._choose_instance(call, progress)
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
        problem = _UPSTREAM_FAILED if progress.may_have_executed else progress.problem
        return self._end_with_problem(call, problem)

    def _choose_instance(self, call: EdgeCall, progress: RequestProgress) -> Placed | Shed:
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
        if call.remaining_s() < self._state.health_tracker.mean_latency_s(call.service):
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
            return placed, await self._attempt(call, placed)
        health = self._state.health_tracker.health(placed.instance.id)
        delay_s = self._state.response_times.hedge_delay_s(
            route.name, route.target_latency_s, health.error_probability(now_s)
        )
        first = asyncio.create_task(self._attempt(call, placed))
        running = {first: placed}
        try:
            await asyncio.wait(running, timeout=delay_s)
            while not first.done():
                hedge = await self._choose_hedge(call, progress, placed)
                # The response may have arrived while a retry was borrowed.
                if hedge is not None and not first.done():
                    self._metrics.count("hedges")
                    running[asyncio.create_task(self._attempt(call, hedge))] = hedge
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

    async def _attempt(self, call: EdgeCall, placed: Placed) -> AttemptResult | None:
        """Sends the request to an instance; returns None if the response was streamed."""
        state, route = self._state, call.route
        stages = state.response_times.late_stages(route.name, route.target_latency_s, placed.load)
        recorder = AttemptRecorder(state.health_tracker, call.service, placed, stages)
        recorder.on_evidence = state.urgent.set
        entry = recorder.placement_fields()
        call.history.append(entry)
        try:
            result = await self._exchange(call, recorder)
        except asyncio.CancelledError:
            if timed_out := call.timed_out:
                # The connection may be dead, and so may idle ones to the same address.
                state.upstreams.close_idle(placed.instance.address)
                entry["result"] = "timed-out"
            elif call.exchange.disconnected:
                entry["result"] = "caller-left"
            else:
                entry["result"] = "overtaken"
                self._record_response_time(call, recorder)
            recorder.finish(ExchangeOutcome.TIMED_OUT if timed_out else ExchangeOutcome.ABANDONED)
            raise
        except BaseException:
            recorder.finish(ExchangeOutcome.ABANDONED)
            raise
        finally:
            if recorder.written:
                self._metrics.record_attempt(call.service, repeat=call.sent)
                call.sent = True
            if recorder.skipped_count:
                self._metrics.count("skipped_responses")
            entry |= recorder.exchange_fields()
        entry["result"] = (
            result.status
            if isinstance(result, CompleteResponse)
            else ("passed-on" if result is None else result.reason)
        )
        if is_success(result):
            self._record_response_time(call, recorder)
        return result

    def _record_response_time(self, call: EdgeCall, recorder: AttemptRecorder) -> None:
        route = call.route
        elapsed_s = self._loop.time() - recorder.started_s
        self._state.response_times.record(route.name, route.target_latency_s, elapsed_s)

    async def _exchange(self, call: EdgeCall, recorder: AttemptRecorder) -> AttemptResult | None:
        client = self._state.upstreams
        response: UpstreamResponse | None = None
        try:
            # From here on the request may be written, so only an idempotent one may be cancelled.
            call.cancellable = call.route.idempotent
            async with asyncio.timeout(None) as limit:
                if call.route.idempotent:
                    recorder.on_unacknowledged = lambda: limit.reschedule(self._loop.time())
                response = await client.send(
                    recorder.placed.instance.address, self._request(call, recorder.placed), recorder
                )
                return await self._read_response(call, recorder, response)
        except TimeoutError:
            # The instance has not acknowledged the request; another one may still respond in time.
            recorder.finish(ExchangeOutcome.ABANDONED)
            client.close_idle(recorder.placed.instance.address)
            return OutcomeUnknown("vanished")
        except (ConnectFailed, ConnectionsExhausted) as error:
            call.cancellable = True
            if isinstance(error, ConnectionsExhausted):
                recorder.finish(ExchangeOutcome.ABANDONED)
                return NotExecuted("no-connection", reached_instance=False)
            recorder.finish(ExchangeOutcome.CONNECT_FAILED)
            return NotExecuted("unreachable", reached_instance=False)
        except UpstreamError as error:
            if call.body.error is not None:
                raise call.body.error from error
            recorder.finish(ExchangeOutcome.BROKEN)
            client.close_idle(recorder.placed.instance.address)
            recorder.error = str(error)
            if isinstance(error, ForeignResponse):
                self._metrics.count("foreign_responses")
            return OutcomeUnknown("invalid" if isinstance(error, InvalidResponse) else "broken")
        finally:
            if response is not None:
                response.close()

    def _request(self, call: EdgeCall, placed: Placed) -> UpstreamRequest:
        head, body = call.head, call.body
        remaining_s = call.remaining_s()
        headers = head.headers + self._state.upstreams.dialect.request_headers(
            remaining_s, head.request_id
        )
        headers.append((self._instance_header, placed.instance.id))
        source = body.source()
        if source is not None and not isinstance(source, bytes) and not body.chunked:
            headers.append(("Content-Length", str(body.length)))
        return UpstreamRequest(
            head.method,
            head.target,
            headers,
            source,
            body.chunked,
            unrepeatable=not call.route.idempotent,
            request_id=head.request_id,
        )

    async def _read_response(
        self, call: EdgeCall, recorder: AttemptRecorder, response: UpstreamResponse
    ) -> AttemptResult | None:
        """Reads a response and classifies the result of the attempt."""
        statements = decode_statements(response.status, response.headers)
        recorder.response_status = response.status
        recorder.not_executed = response.signals.refused
        if response.status == MISDIRECTED:
            self._state.directory.mark_misdirected(recorder.placed.instance)
            recorder.finish(ExchangeOutcome.ABANDONED)
            if not response.signals.refused:
                return self._unconfirmed()
            call.cancellable = True
            return NotExecuted("misdirected")
        recorder.report_limit(statements.limit_per_s)
        if 200 <= response.status < 300 and not statements.sealed:
            raise InvalidResponse("a success without the seal of the instance")
        if statements.leaving:
            self._drain_instance(call, recorder.placed.instance)
        if statements.retry_after_s > 0:
            recorder.retry_after_s = statements.retry_after_s
            self._set_backoff(call, recorder.placed.instance, statements.retry_after_s)
        if response.signals.refused:
            recorder.finish(ExchangeOutcome.REFUSED)
            call.cancellable = True
            return NotExecuted("refused")
        if is_promise(response.status):
            recorder.finish(ExchangeOutcome.SERVER_ERROR)
            return self._unconfirmed()
        recorder.report_accepted()
        with ResponseBuffer(call.exchange) as buffer:
            while chunk := await response.read_chunk():
                buffer.append(chunk)
                if buffer.is_full:
                    if call.exchange.response_started:
                        recorder.finish(ExchangeOutcome.ABANDONED)
                        return OutcomeUnknown("overtaken")
                    if not can_stream(call.exchange):
                        recorder.finish(ExchangeOutcome.ABANDONED)
                        return OutcomeUnknown("no-memory")
                    del chunk  # Not kept while the caller reads slowly.
                    with stream(call.exchange):
                        await self._stream_response(call, recorder, response, buffer)
                    return None
            failed = response.status >= 500
            recorder.finish(ExchangeOutcome.SERVER_ERROR if failed else ExchangeOutcome.OK)
            return CompleteResponse(response.status, response.headers, buffer.content())

    def _unconfirmed(self) -> OutcomeUnknown:
        """Returns the result for a status that would deny an execution that may have happened."""
        self._metrics.count("unconfirmed_rejections")
        return OutcomeUnknown("unconfirmed")

    def _drain_instance(self, call: EdgeCall, instance: Instance) -> None:
        """Takes an instance out of use whose response says that it is about to end."""
        state = self._state
        if state.directory.mark_leaving(self._loop.time(), instance):
            state.upstreams.close_idle(instance.address)
            self._metrics.count("leaving_instances")
            _log.info(
                "instance is leaving, by its own response",
                extra={
                    "id": call.head.request_id,
                    "instance": instance.id,
                    "service": instance.service,
                },
            )

    def _set_backoff(self, call: EdgeCall, instance: Instance, duration_s: float) -> None:
        """Keeps requests from an instance that has rejected one and named the time to wait."""
        if self._state.directory.set_backoff(self._loop.time(), instance, duration_s):
            self._metrics.count("instance_backoffs")
            _log.info(
                "instance wants no requests for a time",
                extra={
                    "id": call.head.request_id,
                    "instance": instance.id,
                    "service": instance.service,
                    "retry_after_s": duration_s,
                },
            )

    async def _stream_response(
        self,
        call: EdgeCall,
        recorder: AttemptRecorder,
        response: UpstreamResponse,
        buffer: ResponseBuffer,
    ) -> None:
        """Streams a response to the caller as it arrives, from what is in `buffer` on."""
        exchange = call.exchange
        closing = self._state.shutting_down
        await exchange.begin(response.status, response.headers, b"", closing)
        try:
            while chunk := buffer.pop_first() or await response.read_chunk():
                await exchange.write(chunk)
                if exchange.disconnected:
                    recorder.finish(ExchangeOutcome.ABANDONED)
                    return
        except UpstreamError:
            recorder.finish(ExchangeOutcome.BROKEN)
            exchange.abort()
            return
        recorder.finish(ExchangeOutcome.OK)
        exchange.end()

    def _respond(self, call: EdgeCall, response: CompleteResponse) -> int:
        headers = list(response.headers)
        add_content_length(call.head.method, response.status, headers, len(response.body))
        call.exchange.respond(response.status, headers, response.body, self._state.shutting_down)
        return response.status
