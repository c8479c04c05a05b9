"""Sends one request to one instance and classifies what comes back."""

import asyncio

import logbook

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.placement import Placed
from anviltray.declarations import Instance
from anviltray.edge._attempt import AttemptRecorder, CompleteResponse, NotExecuted, OutcomeUnknown
from anviltray.edge._call import EdgeCall
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._progress import AttemptResult, is_success
from anviltray.edge._response_buffer import ResponseBuffer, can_stream, stream
from anviltray.edge._state import EdgeState
from anviltray.edge._waiting import InstanceWaits
from anviltray.platform import decode_statements, is_promise
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


class InstanceAttempts:
    """Runs the attempts of the requests of one host.

    Example: `await attempts.send(call, placed)` returns an `AttemptResult`, or None if the response
    was streamed to the caller.
    """

    def __init__(
        self, state: EdgeState, waits: InstanceWaits, metrics: EdgeMetrics, instance_header: str
    ) -> None:
        """`instance_header` is the name of the header with the only instance that may respond."""
        self._state = state
        self._waits = waits
        self._metrics = metrics
        self._instance_header = instance_header
        self._loop = asyncio.get_running_loop()

    async def send(self, call: EdgeCall, placed: Placed) -> AttemptResult | None:
        """Sends the request to an instance; returns None if the response was streamed."""
        state, route = self._state, call.route
        stages = state.response_times.late_stages(route.name, route.target_latency_s, placed.load)
        recorder = AttemptRecorder(state.health_tracker, call.service, placed, stages)
        recorder.on_evidence = state.urgent.set
        entry = recorder.placement_fields()
        call.history.append(entry)
        self._waits.on_attempt_started(call.service)
        try:
            result = await self._exchange(call, recorder)
        except asyncio.CancelledError:
            if timed_out := call.timed_out:
                # The connection may be dead, and so may idle ones to the same address.
                state.upstreams.close_idle(placed.instance.address)
                entry["result"] = "timed-out"
            elif call.exchange.disconnected:
                entry["result"] = "caller-left"
            elif call.interrupted:
                entry["result"] = "interrupted"
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
            self._waits.on_attempt_ended(call.service)
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
        headers = head.headers + self._state.upstreams.dialect.identifier_headers(head.request_id)
        headers.append((self._instance_header, placed.instance.id))
        headers.extend(call.admitted.account_headers)
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
            remaining_s=call.remaining_s,
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
