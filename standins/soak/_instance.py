"""An instance of a service as the platform's pages describe it."""

import asyncio
import json
import time
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import falcon
import falcon.asgi

from standins._serving import (
    ServedStandin,
    abort_connection,
    connection_key,
    is_body_truncated,
    write_unasked,
)
from standins.soak._rules import Arrival, Observations, Rejection
from standins.store import StoreStandin

_TOPIC = "keyed.servers"
_SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
_REJECTION = "HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\nRequest-Id: "
_SILENT_S = 30.0  # Longer than any request.


class Conditions(NamedTuple):
    """Injected conditions of an instance."""

    retry_after_s: float = 0.0  # Rejects all requests with this Retry-After; 0 accepts them.
    reset_share: float = 0.0  # Share of the requests that are run and then reset.
    silent_share: float = 0.0  # Share of the requests that are run and get no response.
    failure_share: float = 0.0  # Share of the requests that are run and get `failure_status`.
    failure_status: int = 500
    # Share of the requests that are rejected; the rejection is written once more ahead of the next
    # response on its connection.
    repeated_rejection_share: float = 0.0
    leaving: bool = False  # Says so in all responses.


class Instance(ServedStandin):
    """Runs `slots` requests at the same time and queues as many more."""

    def __init__(
        self,
        key: str,
        service: str,
        zone: str,
        store: StoreStandin,
        observations: Observations,
        now_s: Callable[[], float],
        rng: Random,
        work_s: float,
        slots: int = 4,
    ) -> None:
        self.key, self.service, self.zone, self.slots = key, service, zone, slots
        self.conditions = Conditions()
        self.started = False
        self.relay_address = ""  # Address to register, if not that of the instance itself.
        self._store, self._observations, self._now_s, self._rng = store, observations, now_s, rng
        self._work_s = work_s
        self._running = asyncio.Semaphore(slots)
        self._accepted = 0
        self._rejections: dict[int, bytes] = {}  # To be written once more, by connection.
        self._started_unix_ms = int(time.time() * 1000)
        application = falcon.asgi.App()
        application.add_sink(self._serve, prefix="/")
        super().__init__(application, "127.0.0.1:0")

    async def start(self) -> str:
        """Listens and registers; returns the address."""
        address = await super().start()
        self.started = True
        self.register()
        return address

    def register(self, state: str = "ready") -> None:
        """Writes the registration to the store."""
        document = {
            "address": self.relay_address or self.address,
            "born": self._started_unix_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": 1, "warmupLeftMs": 0},
        }
        self._store.append_record(_TOPIC, self.key, json.dumps(document).encode())

    def deregister(self) -> None:
        """Removes the registration from the store."""
        self._store.append_record(_TOPIC, self.key, b"")

    async def _serve(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response | None, **_: object
    ) -> None:
        assert resp is not None  # Only None for websockets.
        conditions = self.conditions
        arrived_s = self._now_s()
        await req.stream.read()
        if is_body_truncated(req):
            return
        request_id = req.get_header("Request-Id") or ""
        resp.set_header("Request-Id", request_id)
        resp.set_header("Instance-Id", self.key)
        if conditions.leaving:
            resp.set_header("Server-Leaving", "1")
        if req.get_header("Expect-Instance") not in (None, self.key):
            resp.status = falcon.HTTP_421
            return
        host = req.scope["client"][0]
        repeated = self._rejections.pop(connection_key(req), None)
        if repeated is not None:
            write_unasked(req, repeated)
        rejects_again = self._rng.random() < conditions.repeated_rejection_share
        if rejects_again:
            rejection = f"{_REJECTION}{request_id}\r\n\r\n"
            self._rejections[connection_key(req)] = rejection.encode()
        executes = not (
            conditions.retry_after_s or rejects_again or self._accepted >= 2 * self.slots
        )
        deadline_ms = req.get_header_as_int("Deadline-Ms")
        self._observations.arrivals.append(
            Arrival(
                arrived_s,
                request_id,
                self.service,
                self.key,
                host,
                None if deadline_ms is None else deadline_ms / 1000,
                executes,
            )
        )
        if not executes:
            resp.status = falcon.HTTP_503
            resp.set_header("Not-Executed", "1")
            if conditions.retry_after_s:
                resp.set_header("Retry-After", f"{conditions.retry_after_s:g}")
                self._observations.rejections.append(
                    Rejection(self._now_s(), self.key, host, conditions.retry_after_s)
                )
            return
        if self._rng.random() < conditions.reset_share:
            abort_connection(req)
            return
        if self._rng.random() < conditions.silent_share:
            await asyncio.sleep(_SILENT_S)
            return
        self._accepted += 1
        try:
            async with self._running:
                await asyncio.sleep(self._work_s * self._rng.lognormvariate(0.0, 0.5))
        finally:
            self._accepted -= 1
        if self._rng.random() < conditions.failure_share:
            resp.status = falcon.code_to_http_status(conditions.failure_status)
        resp.set_header("Response-Seal", _SEAL)
        resp.text = f"{self.service} {request_id}"
