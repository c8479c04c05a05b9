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

# An unrepeatable request that gets no response leaves this part of its time, at most this many
# seconds, for the question whether the upstream can still cancel it.
CANCEL_SHARE = 0.1
CANCEL_LIMIT_S = 0.25
# A repeat is not worth its cost if less time than this is left.
LEAST_TRY_S = 0.005
# Statuses that another upstream may answer differently.
_REPEATED_STATUSES = frozenset({500, 502, 503, 504})

NO_UPSTREAM = Problem(503, "no-upstream", "no upstream may get the request", retry_after_s=1)
_UNREACHABLE = Problem(503, "upstream-unreachable", "no connection to an upstream", retry_after_s=1)
_REFUSED = Problem(503, "upstream-refused", "the upstream refused the request", retry_after_s=1)
_BROKEN = Problem(502, "upstream-failed", "the exchange with the upstream failed")
_TIMED_OUT = Problem(504, "deadline-passed", "the deadline passed without a response")


class Runner:
    """Runs attempts through the decision objects of one node."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context
        self._client = context.upstreams
        self._loop = asyncio.get_running_loop()

    async def run(self, call: Call) -> None:
        """Answers the call: with a response, or with a problem that tells the outcome."""
        context = self._context
        name = call.service.name
        budget = context.retry_budget(name)
        router = context.router(name)
        now = self._loop.time()
        budget.request(now)
        tries = UNREPEATABLE_ATTEMPTS if call.rule is None else call.rule.attempts
        failure = NO_UPSTREAM
        exclude: frozenset[str] = frozenset()
        previous: RoutableUpstream | None = None
        while True:
            upstream = router.choose(
                context.board.routable(name), now, exclude, call.rule is None, call.body.length
            )
            if upstream is None:
                if previous is None or call.attempt is None or call.attempt.fresh:
                    break
                upstream = previous  # Only the connection may be dead; the next one is new.
            attempt = call.attempt = Attempt(
                context, call.attempts, name, upstream.address, self._loop.time
            )
            result: UpstreamResponse | Problem | None
            result = await self._exchange(call, attempt, tries)
            tries -= 1
            if isinstance(result, UpstreamResponse):
                repeat = call.rule is not None and result.status in _REPEATED_STATUSES
                if not repeat or not self._may_repeat(call, tries, attempt.number):
                    result = await relay(context, call, attempt, result)
                    if result is None:
                        return
                else:
                    attempt.record(AttemptEvent.FAILED)
                    attempt.ended(ExchangeOutcome.SERVER_ERROR)
                    result.close()
                    failure = _BROKEN
            if isinstance(result, Problem):
                failure = result
                if not self._may_repeat(call, tries):
                    break
            now = self._loop.time()
            exclude |= {upstream.address}
            previous = upstream
        call.respond_problem(failure, context.shutting_down)

    def _may_repeat(self, call: Call, tries: int, replaced: int | None = None) -> bool:
        """Tells whether another attempt may be made; takes it from the retry budget if so."""
        if tries <= 0 or not call.body.can_resend or call.exchange.response_started:
            return False
        now = self._loop.time()
        if not call.attempts.may_start(now, call.deadline_s - LEAST_TRY_S, replaced):
            return False
        return self._context.retry_budget(call.service.name).take(now)

    async def _exchange(
        self, call: Call, attempt: Attempt, tries: int
    ) -> UpstreamResponse | Problem:
        now = self._loop.time()
        remaining = call.deadline_s - now
        if remaining <= 0:
            attempt.record(AttemptEvent.FAILED)
            return _TIMED_OUT
        head, body = call.head, call.body
        extra = self._client.dialect.request_headers(remaining, call.request_id)
        headers = head.headers + extra
        source = body.source()
        chunked = body.chunked
        if source is not None and not isinstance(source, bytes) and not chunked:
            headers.append(("Content-Length", str(body.length)))
        request = UpstreamRequest(
            head.method, head.target, headers, source, chunked, call.rule is None
        )
        timer = self._loop.call_at(now + _try_s(call, remaining, tries), call.expire)
        try:
            response = await self._client.send(attempt.address, request, attempt)
        except UpstreamError as error:
            timer.cancel()
            return await self._failed(call, attempt, error)
        except asyncio.CancelledError:
            timer.cancel()
            attempt.record(AttemptEvent.FAILED)
            if not call.take_time_out():
                attempt.ended(ExchangeOutcome.ABANDONED)
                raise
            attempt.ended(ExchangeOutcome.TIMED_OUT)
            self._client.close_idle(attempt.address)
            await self._prove_not_run(call, attempt)
            return _TIMED_OUT
        finally:
            timer.cancel()
        return self._heard(call, attempt, response)

    def _heard(
        self, call: Call, attempt: Attempt, response: UpstreamResponse
    ) -> UpstreamResponse | Problem:
        """Passes on what the upstream says about itself."""
        signals = response.signals
        attempt.load = signals.load
        if signals.draining:
            self._context.leaving.on_drain_response(self._loop.time(), attempt.address)
        if signals.cold:
            self._context.board.warming(self._loop.time(), attempt.address)
        if signals.refused:
            attempt.record(AttemptEvent.REFUSED)
            attempt.ended(ExchangeOutcome.REFUSED)
            response.close()
            return _REFUSED
        attempt.record(AttemptEvent.RESPONSE)
        return response

    async def _failed(self, call: Call, attempt: Attempt, error: UpstreamError) -> Problem:
        attempt.record(AttemptEvent.FAILED)
        if call.body.error is not None:
            attempt.ended(ExchangeOutcome.ABANDONED)
            raise call.body.error
        if isinstance(error, ConnectionsExhausted):
            attempt.fresh = True  # Another try at the same upstream would find the same.
            return NO_UPSTREAM
        if isinstance(error, ConnectFailed):
            attempt.ended(ExchangeOutcome.CONNECT_FAILED)
            return _UNREACHABLE
        attempt.ended(ExchangeOutcome.BROKEN)
        if not attempt.fresh:
            self._client.close_idle(attempt.address)
        await self._prove_not_run(call, attempt)
        return _BROKEN

    async def _prove_not_run(self, call: Call, attempt: Attempt) -> None:
        """Asks the upstream to cancel an unrepeatable request that has got no response."""
        if not attempt.written or call.rule is not None or call.request_id is None:
            return
        remaining = min(CANCEL_LIMIT_S, call.deadline_s - self._loop.time())
        if remaining <= 0:
            return
        if await self._client.cancel(attempt.address, call.request_id, remaining):
            attempt.record(AttemptEvent.CANCELLED)


def _try_s(call: Call, remaining_s: float, tries: int) -> float:
    """Returns the time for one attempt: an equal part of what is left for each possible one."""
    if call.rule is None:
        return remaining_s - min(CANCEL_LIMIT_S, remaining_s * CANCEL_SHARE)
    if tries > 1 and call.body.can_resend:
        return remaining_s / tries
    return remaining_s
