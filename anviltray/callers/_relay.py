"""Relays the response of an upstream to the caller."""

import asyncio

from anviltray.callers._attempt import Attempt
from anviltray.callers._call import Call
from anviltray.callers._context import CallerContext
from anviltray.callers._head import REQUEST_ID_HEADER
from anviltray.callers._problems import OUTCOME_HEADER, Problem
from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.attempts import AttemptEvent
from anviltray.upstreams import UpstreamError, UpstreamResponse

_TRUNCATED = Problem(502, "response-cut-short", "the response of the upstream was cut short")
_TIMED_OUT = Problem(504, "deadline-passed", "the deadline passed without a whole response")

_DONE = (OUTCOME_HEADER, b"done")


async def relay(
    context: CallerContext, call: Call, attempt: Attempt, response: UpstreamResponse
) -> Problem | None:
    """Relays a response; returns a problem if that failed before any of it was sent."""
    exchange = call.exchange
    call.status = response.status
    response.headers.append(_DONE)
    if call.rule is None and call.request_id is not None:
        response.headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
    timer: asyncio.TimerHandle | None = None
    try:
        rest = response.read_rest_nowait()
        if rest is not None:
            _send_complete(context, call, attempt, response, rest)
            return None
        timer = asyncio.get_running_loop().call_at(call.deadline_s, call.expire)
        await _copy(context, call, attempt, response)
        return None
    except UpstreamError:
        attempt.record(AttemptEvent.FAILED)
        attempt.finish(ExchangeOutcome.BROKEN)
        failure = _TRUNCATED
    except asyncio.CancelledError:
        attempt.record(AttemptEvent.FAILED)
        if not call.consume_timeout():
            attempt.finish(ExchangeOutcome.ABANDONED)
            raise
        # A caller that does not read delays the upstream, so this is not counted as a timeout of
        # the upstream.
        attempt.finish(
            ExchangeOutcome.ABANDONED if call.write_blocked else ExchangeOutcome.TIMED_OUT
        )
        failure = _TIMED_OUT
    finally:
        if timer is not None:
            timer.cancel()
        response.close()
    if exchange.response_started:
        exchange.abort()
        return None
    return failure


async def _copy(
    context: CallerContext, call: Call, attempt: Attempt, response: UpstreamResponse
) -> None:
    chunk = await response.read_chunk()
    if response.at_end:
        _send_complete(context, call, attempt, response, chunk)
        return
    exchange = call.exchange
    limit = context.settings.attempts.replay_limit_bytes if call.rule is None else 0
    replay_body: bytearray | None = bytearray()
    await exchange.begin(response.status, response.headers, chunk, context.shutting_down)
    while chunk:
        if replay_body is not None:
            replay_body = replay_body + chunk if len(replay_body) + len(chunk) <= limit else None
        chunk = await response.read_chunk()
        if chunk:
            await exchange.write(chunk)
    _record_complete(
        context, call, attempt, response, None if replay_body is None else bytes(replay_body)
    )
    exchange.end()


def _send_complete(
    context: CallerContext, call: Call, attempt: Attempt, response: UpstreamResponse, body: bytes
) -> None:
    """Sends a response that was received completely."""
    _record_complete(context, call, attempt, response, body)
    add_content_length(call.head.method, response.status, response.headers, len(body))
    call.exchange.respond(response.status, response.headers, body, context.shutting_down)


def _record_complete(
    context: CallerContext,
    call: Call,
    attempt: Attempt,
    response: UpstreamResponse,
    body: bytes | None,
) -> None:
    """Records that the response was received completely."""
    failed = response.status >= 500
    attempt.finish(ExchangeOutcome.SERVER_ERROR if failed else ExchangeOutcome.OK)
    attempt.record(AttemptEvent.ERROR if failed else AttemptEvent.COMPLETE)
    if call.rule is None:
        _store(context, call, response, body)


def add_content_length(
    method: str, status: int, headers: list[tuple[bytes, bytes]], length_bytes: int
) -> None:
    """Adds Content-Length to the headers of a complete response that lacks it."""
    if method == "HEAD" or status in (204, 304):
        return
    if not any(name == b"content-length" for name, _ in headers):
        headers.append((b"content-length", b"%d" % length_bytes))


def _store(
    context: CallerContext, call: Call, response: UpstreamResponse, body: bytes | None
) -> None:
    """Stores a short response for replay to duplicates of the request."""
    if body is None or len(body) > context.settings.attempts.replay_limit_bytes:
        return
    headers = tuple(field for field in response.headers if field[0] != b"content-length")
    call.stored_response = context.stored_response(response.status, headers, body)
