"""Dispatches proxied requests: routing, at-most-once check, admission control, attempts."""

import asyncio
import math

import logbook

from anviltray.callers._body import RequestBody
from anviltray.callers._call import Call
from anviltray.callers._context import Admission, CallerContext, Outcome
from anviltray.callers._exchange import CallerExchange
from anviltray.callers._forward import forward
from anviltray.callers._head import REQUEST_ID_HEADER, HeadReader, RequestHead
from anviltray.callers._problems import InputError, Problem
from anviltray.callers._relay import add_content_length
from anviltray.callers._runner import Runner
from anviltray.callers._ticket import AdmissionTicket, release_slot
from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.attempts import (
    ArrivalResult,
    AttemptEvent,
    Forward,
    InProgress,
    RecordedOutcome,
    Reject,
    RejectReason,
    Replay,
    Start,
)
from anviltray.decisions.limits import Admitted, Queued, Rejected

_log = logbook.Logger("anviltray.callers")

_NO_ROUTE = Problem(404, "no-route", "no service has a route for the request")
_NOT_READY = Problem(503, "not-ready", "the node is not ready", retry_after_s=1)
_QUEUE_TIMEOUT = Problem(
    503, "queue-timeout", "the deadline passed while the request was queued", retry_after_s=1
)
_BODY_TOO_SLOW = Problem(
    408, "body-timeout", "the deadline passed before the request body was received", close=True
)
_OVERLOAD = Problem(503, "overload", "the service has no capacity left")
_IN_PROGRESS = Problem(
    409, "in-progress", "a request with this identifier is running", "unknown", retry_after_s=1
)
_EXPIRED = Problem(409, "identifier-expired", "nothing is known of this identifier", "unknown")
_INTERNAL_ERROR = Problem(500, "internal-error", "the node failed", close=True)


class Dispatcher:
    """Handles the proxied requests of one node."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._reader = HeadReader(context.settings.callers, context.upstreams.dialect)
        self._runner = Runner(context)
        self._admissions: dict[str, Admission] = {}

    def read_head(self, exchange: CallerExchange) -> RequestHead | None:
        """Returns the head of a request, or None after responding to it with a problem."""
        try:
            return self._reader.read(exchange.scope)
        except InputError as error:
            self._context.count("refused.head")
            problem = error.problem
            if any(name == REQUEST_ID_HEADER for name, _ in exchange.scope["headers"]):
                # The identifier was not looked up, so an earlier request with it may have run.
                problem = problem._replace(outcome="unknown")
            exchange.respond_problem(problem)
            return None

    async def handle(self, exchange: CallerExchange, head: RequestHead) -> None:
        """Handles one request."""
        context = self._context
        service = context.route(head.host, head.path)
        if service is None:
            problem = _NOT_READY if context.not_ready_reasons() else _NO_ROUTE
            problem = problem._replace(outcome=self._outcome_before_routing(head.request_id))
            exchange.respond_problem(problem, head.request_id, context.shutting_down)
            return
        rule = context.rule_for(service, head.method, head.path)
        limit = context.settings.callers.body_limit_bytes
        body = RequestBody(exchange, head.content_length, limit)
        call = Call(exchange, head, service, rule, body, self._loop.time())
        exchange.on_disconnect = call.on_caller_disconnect
        try:
            if rule is None:
                await self._run_at_most_once(call)
            else:
                await self._admit_and_run(call)
        except InputError as error:
            call.respond_problem(error.problem)
        except asyncio.CancelledError:
            if not exchange.disconnected:
                raise
            context.count("caller.left")
        except Exception:
            _log.exception("unexpected error while handling a request to service {}", service.name)
            if call.attempt is not None:
                call.attempt.record(AttemptEvent.FAILED)
            call.respond_problem(_INTERNAL_ERROR)
        finally:
            exchange.on_disconnect = None
            if call.status:
                latency_s = self._loop.time() - call.started_s
                context.record_completion(service.name, call.status, latency_s, call.outcome)

    def _outcome_before_routing(self, request_id: str | None) -> Outcome:
        """Returns the outcome of a request that is rejected before its service is known.

        An earlier request with the same identifier may have run, at this node or through another
        one, so only the attempt table can establish that it was not run.
        """
        if request_id is None:
            return "not-run"
        attempts = self._context.attempts
        now = self._loop.time()
        arrival = attempts.on_arrival(now, request_id)
        if isinstance(arrival, Start):
            attempts.finish(now, request_id, "not-run", None)
        if isinstance(arrival, RecordedOutcome):
            return arrival.outcome
        if isinstance(arrival, Replay):
            return "done"
        return "not-run" if isinstance(arrival, Start | Reject) else "unknown"

    async def _run_at_most_once(self, call: Call) -> None:
        """Runs an unrepeatable request, unless the attempt table does not let it start here."""
        attempts = self._context.attempts
        arrival = attempts.on_arrival(self._loop.time(), call.head.request_id)
        if not isinstance(arrival, Start):
            await self._respond_without_run(call, arrival)
            return
        request_id = call.request_id = arrival.request_id
        try:
            await self._admit_and_run(call)
        finally:
            attempts.finish(self._loop.time(), request_id, call.outcome, call.stored_response)

    async def _respond_without_run(self, call: Call, arrival: ArrivalResult) -> None:
        context, exchange = self._context, call.exchange
        close = context.shutting_down
        if isinstance(arrival, Replay):
            stored = arrival.response
            headers = list(stored.headers)
            add_content_length(call.head.method, stored.status, headers, len(stored.body))
            call.status, call.resolved_outcome = stored.status, "done"
            exchange.respond(stored.status, headers, stored.body, close)
        elif isinstance(arrival, Forward):
            address = context.node_address(arrival.node, arrival.incarnation)
            await forward(context, call, address)
        else:
            problem = _arrival_problem(arrival)
            call.status = problem.status
            exchange.respond_problem(problem, call.head.request_id, close)

    async def _admit_and_run(self, call: Call) -> None:
        """Runs a request once admission control of its service lets it start."""
        context = self._context
        if not call.body.ended:
            # Read before admission, so that a caller that sends slowly does not occupy a slot.
            await self._read_body(call)
        name = call.service.name
        # A service that was removed and declared again has a new Admission object.
        admission = self._admissions[name] = context.admission(name)
        ticket = AdmissionTicket()
        now = self._loop.time()
        result = admission.admit(now, call.exchange.caller, call.deadline_s, ticket)
        if isinstance(result, Rejected):
            context.count("refused.admission")
            retry_after_s = max(1, math.ceil(result.retry_after_s))
            problem = _OVERLOAD._replace(retry_after_s=retry_after_s)
            call.respond_problem(problem, context.shutting_down)
            return
        if isinstance(result, Admitted):
            ticket.resolve(True)
        try:
            if isinstance(result, Queued) and not await self._wait_for_admission(call, ticket):
                context.count("refused.queue")
                call.respond_problem(_QUEUE_TIMEOUT, context.shutting_down)
                return
            await self._runner.run(call)
        finally:
            if ticket.admitted:
                self._release_slot(admission, ticket, call)

    async def _read_body(self, call: Call) -> None:
        timer = self._loop.call_at(call.deadline_s, call.expire)
        try:
            await call.body.buffer_if_short()
        except asyncio.CancelledError:
            if not call.consume_timeout():
                raise
            raise InputError(_BODY_TOO_SLOW) from None
        finally:
            timer.cancel()

    def _release_slot(self, admission: Admission, ticket: AdmissionTicket, call: Call) -> None:
        attempt = call.attempt
        now = self._loop.time()
        if attempt is None:
            release_slot(admission, now, ticket, 0.0, ExchangeOutcome.ABANDONED)
        else:
            release_slot(admission, now, ticket, attempt.latency_s, attempt.outcome)

    async def _wait_for_admission(self, call: Call, ticket: AdmissionTicket) -> bool:
        timer = self._loop.call_at(call.deadline_s, call.expire)
        try:
            return await ticket.wait()
        except asyncio.CancelledError:
            if not call.consume_timeout():
                raise
            return False
        finally:
            timer.cancel()

    def expire_queued(self) -> None:
        """Expires queued requests whose deadline has passed; called periodically by the server."""
        now = self._loop.time()
        for admission in self._admissions.values():
            for ticket in admission.expire(now):
                ticket.resolve(False)


def _arrival_problem(arrival: ArrivalResult) -> Problem:
    """Returns the problem for a request that the attempt table does not let start."""
    if isinstance(arrival, InProgress):
        return _IN_PROGRESS
    if isinstance(arrival, RecordedOutcome):
        detail = "a request with this identifier has ended; its response is not kept"
        return Problem(409, "identifier-used", detail, arrival.outcome)
    if isinstance(arrival, Reject):
        if arrival.reason is RejectReason.FULL:
            detail = "no memory for another identifier until an epoch ends"
            return Problem(503, "attempts-full", detail, retry_after_s=1)
        detail = "the identifier was not issued by a node"
        return Problem(400, "identifier-refused", detail)
    return _EXPIRED
