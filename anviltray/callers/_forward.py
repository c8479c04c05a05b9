"""Forwards an unrepeatable request to the node that issued its identifier."""

import asyncio
from collections.abc import Callable

from anviltray.callers._call import Call
from anviltray.callers._context import CallerContext, Outcome
from anviltray.callers._head import DEADLINE_HEADER, FORWARDED_HEADER, REQUEST_ID_HEADER
from anviltray.callers._problems import OUTCOME_HEADER, Problem
from anviltray.callers._relay import add_content_length
from anviltray.upstreams import NullObserver, UpstreamError, UpstreamRequest, UpstreamResponse

# The other node responds by the deadline; this is the extra time for its response to arrive.
RETURN_MARGIN_S = 0.25

_ISSUER_UNREACHABLE = Problem(
    502,
    "issuer-unreachable",
    "the node that issued the identifier cannot be asked; the request was not run here",
    "unknown",
)

_OUTCOMES: dict[bytes, Outcome] = {b"done": "done", b"not-run": "not-run"}

_OBSERVER = NullObserver()


async def forward(context: CallerContext, call: Call, address: str | None) -> None:
    """Relays the response of the node at `address`, which is None if no such node is alive.

    The outcome of any failure is `unknown`: an earlier request with the identifier may have run
    there.
    """
    call.resolved_outcome = "unknown"
    # A forwarded request is not forwarded again: two nodes that each consider the other one the
    # issuer would send it back and forth.
    if address is None or call.head.forwarded:
        call.respond_problem(_ISSUER_UNREACHABLE, context.shutting_down)
        return
    await call.body.buffer_if_short()
    loop = asyncio.get_running_loop()
    timer = loop.call_at(call.deadline_s + RETURN_MARGIN_S, call.expire)
    response: UpstreamResponse | None = None
    try:
        request = _request(context, call, lambda: call.deadline_s - loop.time())
        response = await context.upstreams.send(address, request, _OBSERVER)
        await _copy(context, call, response)
    except UpstreamError:
        if call.body.error is not None:
            raise call.body.error from None
        call.respond_problem(_ISSUER_UNREACHABLE, context.shutting_down)
    except asyncio.CancelledError:
        if not call.consume_timeout():
            raise
        call.respond_problem(_ISSUER_UNREACHABLE, context.shutting_down)
    finally:
        timer.cancel()
        if response is not None:
            response.close()


def _request(
    context: CallerContext, call: Call, remaining_s: Callable[[], float]
) -> UpstreamRequest:
    head, body = call.head, call.body
    source = body.source()
    headers = [
        *head.headers,
        (REQUEST_ID_HEADER.decode(), head.request_id or ""),
        (FORWARDED_HEADER.decode(), context.settings.node),
    ]
    if source is not None and not isinstance(source, bytes) and not body.chunked:
        headers.append(("Content-Length", str(body.length)))
    return UpstreamRequest(
        head.method,
        head.target,
        headers,
        source,
        body.chunked,
        unrepeatable=True,
        remaining_s=remaining_s,
        deadline_header=DEADLINE_HEADER.decode(),
    )


async def _copy(context: CallerContext, call: Call, response: UpstreamResponse) -> None:
    exchange, headers = call.exchange, response.headers
    call.status = response.status
    chunk = await response.read_chunk()
    if response.at_end:
        add_content_length(call.head.method, response.status, headers, len(chunk))
        exchange.respond(response.status, headers, chunk, context.shutting_down)
    else:
        await exchange.begin(response.status, headers, chunk, context.shutting_down)
        while chunk := await response.read_chunk():
            await exchange.write(chunk)
        exchange.end()
    outcomes = dict(response.headers)
    call.resolved_outcome = _OUTCOMES.get(outcomes.get(OUTCOME_HEADER, b""), "unknown")
