"""HTTP interface of the upstream stand-in."""

import asyncio
import functools
import json
import math
from collections.abc import AsyncIterator, Callable

import falcon
import falcon.asgi
import xxhash

from standins._serving import HttpServer, build_fields, is_body_truncated, read_object
from standins._waiting import poll_until
from standins.upstream._engine import Engine, RequestRejected
from standins.upstream._options import Faults, UpstreamOptions

# Interval at which a flapping instance opens and closes its listening socket.
_LISTEN_POLL_S = 0.02

# Largest response that a request may ask for with the parameter `size`.
_SIZE_LIMIT_BYTES = 64 * 1024 * 1024


class UpstreamStandin:
    """Serves one instance in the running event loop.

    Every path but `/health`, `/load`, `/cancel` and `/control/...` is echoed: the JSON response has
    the keys `upstream`, `method`, `path`, `id`, `digest` (xxh3_128 of the request's body, in
    hexadecimal), `bytes` (of that body) and `padding`, which fills the response up to the number
    of bytes in the parameter `size`.

    Control calls are served on the instance's address and on a separate control address, which
    stays reachable while the instance refuses connections:

    `POST /control/faults` with fields of `Faults` replaces all faults, absent fields get their
    defaults. `POST /control/drain` takes `{"on": bool, "refuse": bool}`. `POST /control/cold`
    takes `{"cold_s": seconds}`. `GET /control/executions` returns
    `{"executions": {identifier: count}}`. `GET /control/state` returns counts of arrivals and of
    rejected requests.
    """

    def __init__(
        self,
        options: UpstreamOptions,
        address: str = "127.0.0.1:0",
        control_address: str = "127.0.0.1:0",
        record: Callable[[str], None] | None = None,
    ) -> None:
        self.engine = Engine(options, record)
        self._server = HttpServer(self._application(echo=True), address, options.connections)
        self._control = HttpServer(self._application(echo=False), control_address)
        self._flapping: asyncio.Task[None] | None = None

    def _application(self, echo: bool) -> falcon.asgi.App:  # type: ignore[type-arg]
        application = falcon.asgi.App()
        application.add_route("/control/faults", _ControlFaults(self))
        application.add_route("/control/drain", _ControlDrain(self))
        application.add_route("/control/cold", _ControlCold(self))
        application.add_route("/control/executions", _ControlExecutions(self))
        application.add_route("/control/state", _ControlState(self))
        if echo:
            application.add_route("/health", _Health(self))
            application.add_route("/load", _Load(self))
            application.add_route("/cancel", _Cancel(self))
            application.add_sink(_Echo(self), "/")
        return application

    @property
    def address(self) -> str:
        """IP:port for requests."""
        return self._server.address

    @property
    def control_address(self) -> str:
        """IP:port that serves only control calls."""
        return self._control.address

    @property
    def connections_opened(self) -> int:
        """Connections accepted since the start."""
        return self._server.connections_opened

    async def start(self) -> str:
        """Listens on both addresses and returns the one for requests."""
        await self._control.start()
        return await self._server.start()

    async def close(self) -> None:
        """Stops listening and resets all connections."""
        self._stop_flapping()
        await self._server.close()
        await self._control.close()

    async def set_faults(self, faults: Faults) -> None:
        """Replaces all faults."""
        self._stop_flapping()
        self.engine.set_faults(faults)
        if faults.refuse and faults.flap_period_s > 0:
            self._flapping = asyncio.create_task(self._run_flapping())
        else:
            await self._apply_listen_state()

    async def _apply_listen_state(self) -> None:
        if self.engine.faults.refuse:
            self._server.refuse()
        else:
            await self._server.listen()

    async def _run_flapping(self) -> None:
        while True:
            await self._apply_listen_state()
            await asyncio.sleep(_LISTEN_POLL_S)

    def _stop_flapping(self) -> None:
        if self._flapping is not None:
            self._flapping.cancel()
            self._flapping = None

    def add_instance_headers(self, response: falcon.asgi.Response) -> None:
        """Adds the headers for load, draining and warm-up that every response carries."""
        response.set_header("X-Load", f"{self.engine.reported_load:.3f}")
        if self.engine.draining:
            response.set_header("X-Draining", "1")
        if self.engine.cold_share > 0:
            response.set_header("X-Cold", f"{self.engine.cold_share:.3f}")


class _Resource:
    def __init__(self, standin: UpstreamStandin) -> None:
        self._standin = standin
        self._engine = standin.engine


class _Echo(_Resource):
    async def __call__(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: object
    ) -> None:
        engine = self._engine
        if resp is None:  # A WebSocket handshake, which the server does not support.
            return
        engine.add_connection_cost(self._standin.connections_opened)
        request = engine.register(req.get_header("X-Request-Id") or "", _deadline_s(req))
        try:
            digest, size = await _digest_body(req)
            if is_body_truncated(req):
                return
            await engine.run(request)
        except RequestRejected as rejection:
            self._standin.add_instance_headers(resp)
            resp.status = falcon.HTTP_503
            resp.set_header("X-Shed", "1")
            resp.media = {"refused": str(rejection)}
            return
        finally:
            engine.deregister(request)
        self._standin.add_instance_headers(resp)
        faults = engine.faults
        if request.cancelled.is_set():
            resp.status = 500
            resp.media = {"cancelled": request.request_id}
        elif engine.should_inject_fault(faults.fail_share):
            resp.status = faults.fail_status
            resp.media = {"failed": request.request_id}
        else:
            body = _echo_body(req, engine.options.name, request.request_id, digest, size)
            _set_body(
                resp,
                body,
                engine.should_inject_fault(faults.truncate_share),
                faults.truncate_chunked,
            )


def _set_body(response: falcon.asgi.Response, body: bytes, truncated: bool, chunked: bool) -> None:
    response.content_type = falcon.MEDIA_JSON
    if not truncated:
        response.data = body
        return
    if not chunked:
        response.content_length = len(body)
    response.stream = _truncated_body(body)


async def _truncated_body(body: bytes) -> AsyncIterator[bytes]:
    yield body[: len(body) // 2]
    # An exception in the response stream makes the server close the connection.
    raise ConnectionAbortedError("response truncated by an injected fault")


async def _digest_body(request: falcon.asgi.Request) -> tuple[str, int]:
    digest = xxhash.xxh3_128()
    size = 0
    async for chunk in request.stream:
        digest.update(chunk)
        size += len(chunk)
    return digest.hexdigest(), size


def _echo_body(
    request: falcon.asgi.Request, name: str, request_id: str, digest: str, size: int
) -> bytes:
    echo = {
        "upstream": name,
        "method": request.method,
        "path": request.path,
        "id": request_id,
        "digest": digest,
        "bytes": size,
        "padding": "",
    }
    wanted = request.get_param_as_int("size", default=0, max_value=_SIZE_LIMIT_BYTES)
    body = json.dumps(echo)
    if wanted > len(body):
        echo["padding"] = "x" * (wanted - len(body))
        body = json.dumps(echo)
    return body.encode()


def _deadline_s(request: falcon.asgi.Request) -> float:
    text = request.get_header("X-Deadline-Ms")
    try:
        remaining_ms = math.inf if text is None else float(text)
    except ValueError:
        remaining_ms = math.nan
    if math.isnan(remaining_ms):
        raise falcon.HTTPBadRequest(description="X-Deadline-Ms must be a number")
    return asyncio.get_running_loop().time() + remaining_ms / 1000


class _Health(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        engine = self._engine
        engine.add_connection_cost(self._standin.connections_opened)
        await engine.probe()
        _, draining = engine.lagging_report()
        status = engine.faults.health or ("draining" if draining else "ok")
        response.status = falcon.HTTP_200 if status == "ok" else falcon.HTTP_503
        response.media = {"status": status}


class _Load(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        load, _ = self._engine.lagging_report()
        reported = self._engine.faults.reported_load
        response.media = {"load": load if reported < 0 else reported}


class _Cancel(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        await poll_until(lambda: not self._engine.faults.cancel_hangs)
        request_id = request.get_header("X-Request-Id") or request.get_param("id", required=True)
        started = self._engine.cancel(request_id)
        # An unknown request may still arrive or may have run before a restart, so its state is not
        # reported.
        response.status = falcon.HTTP_404 if started is None else falcon.HTTP_200
        outcome = {None: "unknown", True: "started", False: "not-started"}[started]
        response.media = {"id": request_id, "outcome": outcome}


class _ControlFaults(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = self._engine.faults._asdict()

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        faults = build_fields(Faults, await read_object(request))
        response.media = faults._asdict()
        if faults.refuse:
            # Runs after the response, because refusing also resets the connection of this call.
            response.schedule(functools.partial(self._standin.set_faults, faults))
        else:
            await self._standin.set_faults(faults)


class _ControlDrain(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        data = await read_object(request)
        draining, rejects = data.get("on", True), data.get("refuse", False)
        if type(draining) is not bool or type(rejects) is not bool:
            raise falcon.HTTPBadRequest(description="on and refuse must be bool")
        self._engine.set_draining(draining, rejects)
        response.media = {"on": draining, "refuse": rejects}


class _ControlCold(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        cold_s = (await read_object(request)).get("cold_s")
        if not isinstance(cold_s, (int, float)) or isinstance(cold_s, bool):
            raise falcon.HTTPBadRequest(description="cold_s must be a number of seconds")
        self._engine.set_cold(float(cold_s))
        response.media = {"cold_s": cold_s}


class _ControlExecutions(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {"executions": dict(self._engine.executions)}


class _ControlState(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        engine = self._engine
        response.media = {
            "load": engine.load,
            "queued": engine.queued,
            "draining": engine.draining,
            "arrivals": engine.arrivals,
            "arrivals_draining": engine.arrivals_draining,
            # On the monotonic clock, which all processes of one host share.
            "last_arrival_s": engine.last_arrival_s,
            "refusals": dict(engine.rejections),
            "executed": engine.executions.total(),
            "connections_opened": self._standin.connections_opened,
        }
