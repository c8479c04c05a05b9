"""Runs the attempts of one admitted request."""

import asyncio

from anviltray.callers._attempt import Attempt
from anviltray.callers._call import Call
from anviltray.callers._context import CallerContext
from anviltray.callers._problems import Problem
from anviltray.callers._relay import relay
from anviltray.decisions import ExchangeOutcome, RoutableUpstream
from anviltray.decisions.attempts import UNREPEATABLE_ATTEMPTS, AttemptEvent
from anviltray.upstreams import (
    ConnectFailed,
    ConnectionsExhausted,
    UpstreamError,
    UpstreamRequest,
    UpstreamResponse,
)

# Share of the remaining time, at most this many seconds, that an unrepeatable request without a
# response reserves for asking the upstream to cancel it.
CANCEL_SHARE = 0.1
CANCEL_LIMIT_S = 0.25
# No further attempt is made if less time than this is left, as it would be unlikely to succeed.
MIN_ATTEMPT_S = 0.005
# Statuses that may be specific to one upstream, so that a retry at another one can succeed.
_RETRIED_STATUSES = frozenset({500, 502, 503, 504})

NO_UPSTREAM = Problem(503, "no-upstream", "no upstream may get the request", retry_after_s=1)
_UNREACHABLE = Problem(503, "upstream-unreachable", "no connection to an upstream", retry_after_s=1)
_REFUSED = Problem(503, "upstream-refused", "the upstream refused the request", retry_after_s=1)
_EXCHANGE_FAILED = Problem(502, "upstream-failed", "the exchange with the upstream failed")
_TIMED_OUT = Problem(504, "deadline-passed", "the deadline passed without a response")


class Runner:
    """Runs the attempts of requests, using the decision objects of one node."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context
        self._client = context.upstreams
        self._loop = asyncio.get_running_loop()

    async def run(self, call: Call) -> None:
        """Responds to the call with a response of an upstream or with a problem document."""
        context = self._context
        name = call.service.name
        budget = context.retry_budget(name)
        router = context.router(name)
        now = self._loop.time()
        budget.record_request(now)
        attempts_left = UNREPEATABLE_ATTEMPTS if call.rule is None else call.rule.attempts
        failure = NO_UPSTREAM
        exclude: frozenset[str] = frozenset()
        previous: RoutableUpstream | None = None
        while True:
            upstream = router.choose(
                context.ejector.routable(name), now, exclude, call.rule is None, call.body.length
            )
            if upstream is None:
                if previous is None or call.attempt is None or call.attempt.fresh:
                    break
                upstream = previous  # Perhaps only the pooled connection had failed.
            attempt = call.attempt = Attempt(
                context, call.attempts, name, upstream.address, self._loop.time
            )
            result: UpstreamResponse | Problem | None
            result = await self._exchange(call, attempt, attempts_left)
            attempts_left -= 1
            if isinstance(result, UpstreamResponse):
                retry = call.rule is not None and result.status in _RETRIED_STATUSES
                if not retry or not self._can_retry(call, attempts_left, attempt.number):
                    result = await relay(context, call, attempt, result)
                    if result is None:
                        return
                else:
                    attempt.record(AttemptEvent.FAILED)
                    attempt.finish(ExchangeOutcome.SERVER_ERROR)
                    result.close()
                    failure = _EXCHANGE_FAILED
            if isinstance(result, Problem):
                failure = result
                if not self._can_retry(call, attempts_left):
                    break
            now = self._loop.time()
            exclude |= {upstream.address}
            previous = upstream
        call.respond_problem(failure, context.shutting_down)

    def _can_retry(self, call: Call, attempts_left: int, replaced: int | None = None) -> bool:
        """Returns whether another attempt may be made; if so, deducts it from the retry budget."""
        if attempts_left <= 0 or not call.body.can_resend or call.exchange.response_started:
            return False
        now = self._loop.time()
        if not call.attempts.can_start(now, call.deadline_s - MIN_ATTEMPT_S, replaced):
            return False
        return self._context.retry_budget(call.service.name).try_acquire(now)

    async def _exchange(
        self, call: Call, attempt: Attempt, attempts_left: int
    ) -> UpstreamResponse | Problem:
        now = self._loop.time()
        remaining = call.deadline_s - now
        if remaining <= 0:
            attempt.record(AttemptEvent.FAILED)
            return _TIMED_OUT
        head, body = call.head, call.body
        headers = head.headers + self._client.dialect.identifier_headers(call.request_id)
        source = body.source()
        chunked = body.chunked
        if source is not None and not isinstance(source, bytes) and not chunked:
            headers.append(("Content-Length", str(body.length)))
        request = UpstreamRequest(
            head.method,
            head.target,
            headers,
            source,
            chunked,
            unrepeatable=call.rule is None,
            request_id=call.request_id,
            remaining_s=lambda: call.deadline_s - self._loop.time(),
        )
        timer = self._loop.call_at(
            now + _attempt_timeout_s(call, remaining, attempts_left), call.expire
        )
        try:
            response = await self._client.send(attempt.address, request, attempt)
        except UpstreamError as error:
            timer.cancel()
            return await self._handle_failure(call, attempt, error)
        except asyncio.CancelledError:
            timer.cancel()
            attempt.record(AttemptEvent.FAILED)
            if not call.consume_timeout():
                attempt.finish(ExchangeOutcome.ABANDONED)
                raise
            attempt.finish(ExchangeOutcome.TIMED_OUT)
            self._client.close_idle(attempt.address)
            await self._cancel_at_upstream(call, attempt)
            return _TIMED_OUT
        finally:
            timer.cancel()
        return self._apply_signals(call, attempt, response)

    def _apply_signals(
        self, call: Call, attempt: Attempt, response: UpstreamResponse
    ) -> UpstreamResponse | Problem:
        """Applies the signals in the response headers: load, draining, cold start, refusal."""
        signals = response.signals
        attempt.load = signals.load
        if signals.draining:
            self._context.draining_upstreams.on_drain_response(self._loop.time(), attempt.address)
        if signals.cold:
            self._context.ejector.on_cold_response(self._loop.time(), attempt.address)
        if signals.refused:
            attempt.record(AttemptEvent.REFUSED)
            attempt.finish(ExchangeOutcome.REFUSED)
            response.close()
            return _REFUSED
        attempt.record(AttemptEvent.RESPONSE)
        return response

    async def _handle_failure(self, call: Call, attempt: Attempt, error: UpstreamError) -> Problem:
        attempt.record(AttemptEvent.FAILED)
        if call.body.error is not None:
            attempt.finish(ExchangeOutcome.ABANDONED)
            raise call.body.error
        if isinstance(error, ConnectionsExhausted):
            attempt.fresh = True  # Prevents another attempt here; it would fail too.
            return NO_UPSTREAM
        if isinstance(error, ConnectFailed):
            attempt.finish(ExchangeOutcome.CONNECT_FAILED)
            return _UNREACHABLE
        attempt.finish(ExchangeOutcome.BROKEN)
        if not attempt.fresh:
            self._client.close_idle(attempt.address)
        await self._cancel_at_upstream(call, attempt)
        return _EXCHANGE_FAILED

    async def _cancel_at_upstream(self, call: Call, attempt: Attempt) -> None:
        """Asks the upstream to cancel an unrepeatable request that got no response.

        A confirmed cancellation proves that the request was not run.
        """
        if not attempt.written or call.rule is not None or call.request_id is None:
            return
        remaining = min(CANCEL_LIMIT_S, call.deadline_s - self._loop.time())
        if remaining <= 0:
            return
        if await self._client.cancel(attempt.address, call.request_id, remaining):
            attempt.record(AttemptEvent.CANCELLED)


def _attempt_timeout_s(call: Call, remaining_s: float, attempts_left: int) -> float:
    """Returns the time limit of one attempt: the time left, divided by the possible attempts."""
    if call.rule is None:
        return remaining_s - min(CANCEL_LIMIT_S, remaining_s * CANCEL_SHARE)
    if attempts_left > 1 and call.body.can_resend:
        return remaining_s / attempts_left
    return remaining_s
