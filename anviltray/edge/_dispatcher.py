"""Serves the requests of callers: route, placement, sends, response."""

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
from anviltray.edge._call import EdgeCall
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._send import NotRun, SendRecorder, Unknown, WholeResponse
from anviltray.edge._state import EdgeState
from anviltray.settings import CallerSettings
from anviltray.upstreams import (
    MISDIRECTED,
    ConnectFailed,
    ConnectionsExhausted,
    InvalidResponse,
    UpstreamError,
    UpstreamRequest,
    UpstreamResponse,
)

_log = logbook.Logger("anviltray.requests")

# Larger responses are passed on while they arrive and cannot be replaced by another one any more.
BUFFERED_BYTES = 262144
# Instances that are tried when no connection can be opened, which costs them nothing.
_CONNECT_TRIES = 3
_RETRY_AFTER_S = 0.4  # Retry-After where no better estimate is known.

_NOT_READY = Problem(
    503, "not-ready", "the host has no configuration yet", retry_after_s=_RETRY_AFTER_S
)
_NO_ROUTE = Problem(404, "no-route", "no route matches the request")
_REFUSED = Problem(
    503, "refused", "no instance accepts the request now", retry_after_s=_RETRY_AFTER_S
)
_BROKEN = Problem(502, "upstream-failed", "the exchange with the instance failed", "unknown")
_TIMED_OUT = Problem(504, "timeout", "the time of the request is over", "unknown")
_BODY_TOO_SLOW = Problem(408, "body-timeout", "the request body took too long", close=True)
_FAULT = Problem(500, "internal-error", "the host failed", "unknown", close=True)

_LEAST_FAILURE = 500  # Lower statuses are answers to the request itself (RFC 9110, 15.6).

Result = WholeResponse | NotRun | Unknown


class _Progress:
    """What the sends of one request have led to so far."""

    __slots__ = ("connects", "may_have_run", "problem", "response", "sends", "tried")

    def __init__(self) -> None:
        self.tried: frozenset[str] = frozenset()  # Ids of the instances.
        self.sends = 0  # Sends that reached an instance or may have.
        self.connects = 0  # Connections that could not be opened.
        self.may_have_run = False
        self.response: WholeResponse | None = None  # Best response so far.
        self.problem = _REFUSED

    def take(self, placed: Placed, result: Result) -> None:
        """Takes the result of one send."""
        self.tried |= {placed.instance.id}
        if isinstance(result, NotRun) and not result.arrived:
            self.connects += 1
            return
        self.sends += 1
        if isinstance(result, WholeResponse):
            self.response = result
        elif isinstance(result, Unknown):
            self.may_have_run = True


class EdgeDispatcher:
    """Answers the requests of one host. Header names of the platform come as arguments."""

    def __init__(
        self,
        state: EdgeState,
        metrics: EdgeMetrics,
        settings: CallerSettings,
        caller_headers: CallerHeaders,
        instance_header: str,
        seal_header: str,
    ) -> None:
        self._state = state
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._caller_headers = caller_headers
        self.set_limits(settings)
        self._request_id_name = caller_headers.request_id
        self._instance_header = instance_header
        self._seal_name = seal_header.lower().encode()

    def set_limits(self, settings: CallerSettings) -> None:
        """Puts limits for requests in force."""
        dialect = self._state.upstreams.dialect
        self._reader = HeadReader(settings, dialect, self._caller_headers)
        self._body_limit = settings.body_limit_bytes

    async def __call__(self, scope: object, receive: object, send: object) -> None:
        """Answers one request."""
        exchange: CallerExchange = scope["anviltray.exchange"]  # type: ignore[index]
        try:
            head = self._reader.read(exchange.scope)
        except InputError as error:
            self._metrics.answered("invalid", error.problem.status, 0.0)
            exchange.respond_problem(error.problem)
            return
        await self._handle(exchange, head)

    def check(self) -> None:
        """Nothing waits in queues here."""

    async def _handle(self, exchange: CallerExchange, head: RequestHead) -> None:
        state = self._state
        route = state.find_route(head.host, head.path)
        if state.configuration is None or route is None:
            problem = _NOT_READY if state.configuration is None else _NO_ROUTE
            self._answer_problem(exchange, head, problem)
            self._metrics.answered("unrouted", problem.status, 0.0)
            _log.info(
                problem.name,
                extra={"id": head.request_id, "status": problem.status, "version": self._version},
            )
            return
        body = RequestBody(exchange, head.content_length, self._body_limit)
        service = state.choose_service(route)
        call = EdgeCall(exchange, head, body, route, service, self._loop.time())
        exchange.on_disconnect = call.caller_left
        timer = self._loop.call_at(call.expires_s, call.expire)
        status = 0
        try:
            status = await self._serve(call)
        except InputError as error:
            problem = error.problem
            if call.history and problem.status == _BODY_TOO_SLOW.status:
                problem = _TIMED_OUT._replace(close=True)
            status = self._answer_problem(exchange, head, problem)
        except asyncio.CancelledError:
            if exchange.disconnected and not call.timed_out:
                self._metrics.count("callers_left")
            elif call.take_time_out():
                status = self._answer_problem(exchange, head, self._time_out(call))
            else:
                raise
        except Exception:
            _log.exception("request {} failed", head.request_id)
            status = self._answer_problem(exchange, head, _FAULT)
        finally:
            timer.cancel()
            exchange.on_disconnect = None
            self._record(call, status)

    def _time_out(self, call: EdgeCall) -> Problem:
        if call.history:
            # An instance may have begun to work on the part of the body that has reached it.
            return _TIMED_OUT
        return _REFUSED if call.body.ended else _BODY_TOO_SLOW

    @property
    def _version(self) -> int:
        configuration = self._state.configuration
        return -1 if configuration is None else configuration.version

    def _record(self, call: EdgeCall, status: int) -> None:
        now_s = self._loop.time()
        latency_s = now_s - call.received_s
        self._metrics.answered(call.service, status, latency_s)
        if status:
            self._state.unserved.on_request_ended(now_s, call.service, status < _LEAST_FAILURE)
        _log.info(
            "answered" if status else "caller left",
            extra={
                "id": call.head.request_id,
                "route": call.route.name,
                "service": call.service,
                "status": status,
                "ms": round(latency_s * 1000),
                "version": self._version,
                "sends": call.history,
            },
        )

    def _answer_problem(self, exchange: CallerExchange, head: RequestHead, problem: Problem) -> int:
        if exchange.response_started:
            exchange.abort()
        else:
            exchange.respond_problem(problem, head.request_id, self._state.shutting_down)
        return problem.status

    # Sends

    async def _serve(self, call: EdgeCall) -> int:
        """Sends the request until it is answered; returns the status for the caller."""
        if not call.body.ended:
            await call.body.buffer_if_short()
        self._state.retry_budget(call.service).request(self._loop.time())
        progress = _Progress()
        while True:
            placed = self._place(call, progress)
            if isinstance(placed, Shed):
                call.history.append({"turned_away": placed._asdict()})
                retry_after_s = round(placed.retry_after_s, 2)
                progress.problem = _REFUSED._replace(retry_after_s=retry_after_s)
                break
            result = await self._send(call, placed)
            if result is None:
                return 200
            progress.take(placed, result)
            if not self._goes_on(call, progress, result):
                break
            if call.exchange.disconnected:
                self._metrics.count("callers_left")
                return 0
        if progress.response is not None:
            return self._answer(call, progress.response)
        problem = _BROKEN if progress.may_have_run else progress.problem
        return self._answer_problem(call.exchange, call.head, problem)

    def _place(self, call: EdgeCall, progress: "_Progress") -> Placed | Shed:
        state, route = self._state, call.route
        now_s = self._loop.time()
        first = progress.sends == 0
        repeatable = route.idempotent and progress.sends + 1 < route.instance_limit
        request = PlacementRequest(
            call.service,
            repeatable,
            may_explore=repeatable and first and state.may_explore(now_s, call.service),
            priority=route.priority,
            remaining_s=call.remaining_s(now_s),
            target_s=route.target_latency_s,
            exclude=progress.tried,
            no_other_explorers=first and not state.has_explorers(call.service),
            unserved_share=state.unserved.share(now_s, call.service),
        )
        return state.placement.choose(now_s, request, state.directory.usable(call.service))

    def _goes_on(self, call: EdgeCall, progress: "_Progress", result: "Result") -> bool:
        """Tells whether the request is sent once more."""
        if isinstance(result, NotRun) and not result.arrived:
            return progress.connects < _CONNECT_TRIES
        if isinstance(result, WholeResponse) and result.status < 500:
            return False
        if not isinstance(result, NotRun) and not call.route.idempotent:
            return False
        return self._may_send_again(call, progress.sends)

    def _may_send_again(self, call: EdgeCall, sends: int) -> bool:
        now_s = self._loop.time()
        if sends >= call.route.instance_limit or not call.body.can_resend:
            return False
        if call.remaining_s(now_s) < self._state.board.mean_latency_s(call.service):
            return False
        allowed = self._state.retry_budget(call.service).take(now_s)
        if not allowed:
            self._metrics.count("retries_over_budget")
        return allowed

    async def _send(self, call: EdgeCall, placed: Placed) -> Result | None:
        """Sends the request to an instance; None if its response was passed on while it came."""
        state = self._state
        recorder = SendRecorder(state.board, call.service, placed)
        entry = {
            "instance": placed.instance.id,
            "load": round(placed.load, 2),
            "sickness": round(placed.fault_probability, 3),
            "evidence_age_s": round(min(placed.evidence_age_s, 999.0), 2),
            "explores": placed.explores,
        }
        call.history.append(entry)
        try:
            result = await self._exchange(call, recorder)
        except asyncio.CancelledError:
            late = call.timed_out
            if late:
                # Its connection may have gone silent, and the idle ones with it.
                state.upstreams.close_idle(placed.instance.address)
            entry["result"] = "timed-out" if late else "caller-left"
            recorder.ended(ExchangeOutcome.TIMED_OUT if late else ExchangeOutcome.ABANDONED)
            raise
        except BaseException:
            recorder.ended(ExchangeOutcome.ABANDONED)
            raise
        entry["result"] = (
            result.status
            if isinstance(result, WholeResponse)
            else ("passed-on" if result is None else result.reason)
        )
        if state.board.urgent:
            state.urgent.set()
        entry["ms"] = round((self._loop.time() - recorder.started_s) * 1000)
        return result

    async def _exchange(self, call: EdgeCall, recorder: SendRecorder) -> Result | None:
        client = self._state.upstreams
        response: UpstreamResponse | None = None
        try:
            # From here on bytes may be on their way.
            call.cancellable = call.route.idempotent
            async with asyncio.timeout(None) as limit:
                if call.route.idempotent:
                    recorder.on_vanished = lambda: limit.reschedule(self._loop.time())
                response = await client.send(
                    recorder.placed.instance.address, self._request(call, recorder.placed), recorder
                )
                return await self._take(call, recorder, response)
        except TimeoutError:
            # Another instance may still answer in time; this one has not even received the request.
            recorder.ended(ExchangeOutcome.ABANDONED)
            client.close_idle(recorder.placed.instance.address)
            return Unknown("vanished")
        except (ConnectFailed, ConnectionsExhausted) as error:
            call.cancellable = True
            if isinstance(error, ConnectionsExhausted):
                recorder.ended(ExchangeOutcome.ABANDONED)
                return NotRun("no-connection", arrived=False)
            recorder.ended(ExchangeOutcome.CONNECT_FAILED)
            return NotRun("unreachable", arrived=False)
        except UpstreamError as error:
            if call.body.error is not None:
                raise call.body.error from error
            recorder.ended(ExchangeOutcome.BROKEN)
            client.close_idle(recorder.placed.instance.address)
            return Unknown("invalid" if isinstance(error, InvalidResponse) else "broken")
        finally:
            if response is not None:
                response.close()

    def _request(self, call: EdgeCall, placed: Placed) -> UpstreamRequest:
        head, body = call.head, call.body
        remaining_s = call.remaining_s(self._loop.time())
        headers = head.headers + self._state.upstreams.dialect.request_headers(
            remaining_s, head.request_id
        )
        headers.append((self._instance_header, placed.instance.id))
        source = body.source()
        if source is not None and not isinstance(source, bytes) and not body.chunked:
            headers.append(("Content-Length", str(body.length)))
        return UpstreamRequest(
            head.method, head.target, headers, source, body.chunked, not call.route.idempotent
        )

    async def _take(
        self, call: EdgeCall, recorder: SendRecorder, response: UpstreamResponse
    ) -> Result | None:
        """Reads a response and judges it."""
        if response.status == MISDIRECTED:
            recorder.ended(ExchangeOutcome.ABANDONED)
            self._state.directory.mark_misdirected(recorder.placed.instance)
            call.cancellable = True
            return NotRun("misdirected")
        if response.signals.refused:
            recorder.ended(ExchangeOutcome.REFUSED)
            call.cancellable = True
            return NotRun("refused")
        fields = dict(response.headers)
        expected = call.head.request_id
        found = fields.get(self._request_id_name)
        if expected is not None and found is not None and found != expected.encode():
            # The late response to an earlier request on this connection.
            raise InvalidResponse(f"the response belongs to request {found!r}")
        if 200 <= response.status < 300 and self._seal_name not in fields:
            raise InvalidResponse("a success without the seal of the instance")
        recorder.accepted()
        body = bytearray()
        while chunk := await response.read_chunk():
            body += chunk
            if len(body) > BUFFERED_BYTES:
                await self._pass_on(call, recorder, response, bytes(body))
                return None
        failed = response.status >= 500
        recorder.ended(ExchangeOutcome.SERVER_ERROR if failed else ExchangeOutcome.OK)
        return WholeResponse(response.status, response.headers, bytes(body))

    async def _pass_on(
        self, call: EdgeCall, recorder: SendRecorder, response: UpstreamResponse, first: bytes
    ) -> None:
        """Passes a long response on while it arrives."""
        exchange = call.exchange
        closing = self._state.shutting_down
        await exchange.begin(response.status, response.headers, first, closing)
        try:
            while chunk := await response.read_chunk():
                await exchange.write(chunk)
        except UpstreamError:
            recorder.ended(ExchangeOutcome.BROKEN)
            exchange.abort()
            return
        recorder.ended(ExchangeOutcome.OK)
        exchange.end()

    def _answer(self, call: EdgeCall, response: WholeResponse) -> int:
        headers = list(response.headers)
        add_content_length(call.head.method, response.status, headers, len(response.body))
        call.exchange.respond(response.status, headers, response.body, self._state.shutting_down)
        return response.status
