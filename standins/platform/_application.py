"""HTTP interface of the platform stand-in."""

import asyncio
import base64
import random

import falcon
import falcon.asgi

from standins._serving import ServedStandin, abort_connection, build_fields, read_object
from standins.platform._store import Conditions, HostList, LogStore, StreamTrimmed

# Longest time for which an append without a response keeps its connection open; clients time out
# earlier.
_HANG_LIMIT_S = 120.0

_HOST_KEYS = {"address", "role", "state", "region", "zone", "peer_address", "node"}


class PlatformStandin(ServedStandin):
    """The platform in one process; its state is only in memory.

    To simulate an outage of the durable log, set the condition `outage` instead of restarting the
    process. Control calls are never delayed or rejected:

    `POST /control/conditions` with fields of `Conditions` replaces all conditions, absent fields
    get their defaults. `POST /control/trim` takes `{"stream": s, "oldest": n}`.
    `POST /control/hosts` takes `{"hosts": [...]}`.
    """

    def __init__(self, address: str = "127.0.0.1:0", seed: int = 1) -> None:
        self.conditions = Conditions()
        self.log = LogStore()
        self.host_list = HostList()
        self.random = random.Random(seed)
        application = falcon.asgi.App()
        application.add_route("/streams/{stream}", _Stream(self))
        application.add_route("/streams/{stream}/offsets", _Offsets(self))
        application.add_route("/hosts", _Hosts(self))
        application.add_route("/control/conditions", _ControlConditions(self))
        application.add_route("/control/trim", _ControlTrim(self))
        application.add_route("/control/hosts", _ControlHosts(self))
        super().__init__(application, address)

    async def apply_conditions(self, appends: bool = False) -> None:
        """Applies the current delay; raises HTTPServiceUnavailable during an outage."""
        await asyncio.sleep(self.conditions.delay_s)
        if self.conditions.outage or (appends and self.conditions.append_outage):
            raise falcon.HTTPServiceUnavailable(title="outage")

    async def delay_response(self) -> None:
        """Delays the response to a call that took effect."""
        await asyncio.sleep(self.conditions.answer_delay_s)


class _Resource:
    def __init__(self, standin: PlatformStandin) -> None:
        self._standin = standin


class _Stream(_Resource):
    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        standin = self._standin
        payload = await request.stream.read()
        await standin.apply_conditions(appends=True)
        conditions = standin.conditions
        now_s = asyncio.get_running_loop().time()
        if not standin.log.try_acquire_token(now_s, conditions.append_rate_s):
            raise falcon.HTTPTooManyRequests(title="append rate exceeded")
        lost = standin.random.random() < conditions.lost_answer_share
        if not lost or conditions.lost_answer_applied:
            offset = standin.log.append(stream, payload, conditions.retention_records)
        if lost:
            if conditions.lost_answer_silent:
                await asyncio.sleep(_HANG_LIMIT_S)
            abort_connection(request)
            return
        await standin.delay_response()
        response.status = falcon.HTTP_201
        response.media = {"offset": offset}

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        await self._standin.apply_conditions()
        offset = request.get_param_as_int("offset", required=True, min_value=0)
        limit = request.get_param_as_int("limit", required=True, min_value=1, max_value=10_000)
        try:
            records = self._standin.log.read(stream, offset, limit)
        except StreamTrimmed as error:
            raise falcon.HTTPGone(title="offset trimmed") from error
        oldest, next_offset = self._standin.log.offsets(stream)
        await self._standin.delay_response()
        response.media = {
            "oldest": oldest,
            "next": next_offset,
            "records": [
                {"offset": number, "payload": base64.b64encode(payload).decode("ascii")}
                for number, payload in records
            ],
        }


class _Offsets(_Resource):
    async def on_get(
        self, _request: falcon.asgi.Request, response: falcon.asgi.Response, stream: str
    ) -> None:
        await self._standin.apply_conditions()
        oldest, next_offset = self._standin.log.offsets(stream)
        await self._standin.delay_response()
        response.media = {"oldest": oldest, "next": next_offset}


class _Hosts(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        await self._standin.apply_conditions()
        conditions = self._standin.conditions
        now_s = asyncio.get_running_loop().time()
        hosts = self._standin.host_list.visible(
            now_s, conditions.host_list_lag_s, conditions.host_list_frozen
        )
        await self._standin.delay_response()
        response.media = {"hosts": hosts}


class _ControlConditions(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = self._standin.conditions._asdict()

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        self._standin.conditions = build_fields(Conditions, await read_object(request))
        response.media = self._standin.conditions._asdict()


class _ControlTrim(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        data = await read_object(request)
        if type(data.get("stream")) is not str or type(data.get("oldest")) is not int:
            raise falcon.HTTPBadRequest(description="needs a stream name and an oldest offset")
        self._standin.log.trim(data["stream"], data["oldest"])
        oldest, next_offset = self._standin.log.offsets(data["stream"])
        response.media = {"oldest": oldest, "next": next_offset}


class _ControlHosts(_Resource):
    async def on_get(self, _request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        response.media = {"hosts": self._standin.host_list.current}

    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        hosts = (await read_object(request)).get("hosts")
        if not isinstance(hosts, list) or any(
            not isinstance(host, dict) or set(host) != _HOST_KEYS for host in hosts
        ):
            raise falcon.HTTPBadRequest(description=f"each host needs {sorted(_HOST_KEYS)}")
        self._standin.host_list.replace(asyncio.get_running_loop().time(), hosts)
        response.media = {"hosts": hosts}
