"""An instance of a service as the platform's pages describe it."""

import asyncio
import json
import time
from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import NamedTuple
from weakref import WeakKeyDictionary

import falcon
import falcon.asgi

from standins._serving import (
    ServedStandin,
    abort_connection,
    connection_of,
    is_body_truncated,
    write_unasked,
)
from standins.soak._rules import Arrival, Observations, Rejection
from standins.store import StoreStandin

INSTANCE_TOPIC = "keyed.servers"
_SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
_REFUSAL = (
    "HTTP/1.1 {status} Refused\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
    "Request-Id: {request_id}\r\nInstance-Id: {instance}\r\n\r\n"
)
_REFUSALS_KEPT = 64  # Of each connection; more than come again on it.
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
    # Share of the requests that are refused with `refusal_status`.
    refusal_share: float = 0.0
    refusal_status: int = 503
    # If a request comes again on the connection on which it was refused, the refusal is written
    # once more and the request is run.
    repeats_to_same_request: bool = False
    copy_delay_s: float = 0.0  # Writes each refusal once more about so much later; 0 does not.
    leaving: bool = False
    says_so: bool = True  # All responses of a leaving instance say that it is leaving.


def _write_if_open(connection: asyncio.Transport, data: bytes) -> None:
    if not connection.is_closing():
        connection.write(data)


class _Refusals:
    """Refusals of one connection that are to be written once more."""

    def __init__(self) -> None:
        self.next = b""  # Ahead of the next response.
        self._by_request: OrderedDict[str, bytes] = OrderedDict()

    def keep(self, request_id: str, refusal: bytes) -> None:
        """Keeps a refusal in case the request comes again; drops the oldest of too many."""
        self._by_request[request_id] = refusal
        if len(self._by_request) > _REFUSALS_KEPT:
            self._by_request.popitem(last=False)

    def take(self, request_id: str) -> bytes:
        """Removes and returns the refusal of a request; empty if there is none."""
        return self._by_request.pop(request_id, b"")

    def take_next(self) -> bytes:
        """Removes and returns the refusal to be written ahead of the next response, or empty."""
        refusal, self.next = self.next, b""
        return refusal


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
        self.keys = [key]  # All that it has had.
        self.conditions = Conditions()
        self.started = False
        self.relay_address = ""  # Address to register, if not that of the instance itself.
        self._store, self._observations, self._now_s, self._rng = store, observations, now_s, rng
        self._work_s = work_s
        self._running = asyncio.Semaphore(slots)
        self._accepted = 0
        # Entries go with their connection.
        self._refusals: WeakKeyDictionary[asyncio.Transport, _Refusals] = WeakKeyDictionary()
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

    def start_again(self, key: str, *, reset: bool) -> None:
        """Gets a new key at the same address and registers; the entry of the old key remains.

        Without `reset` the connections stay open, as behind a proxy of the platform.
        """
        self.key = key
        self.keys.append(key)
        self._started_unix_ms = int(time.time() * 1000)
        if reset:
            self.abort_connections()
        self.register()

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
        self._store.append_record(INSTANCE_TOPIC, self.key, json.dumps(document).encode())

    def deregister(self, key: str = "") -> None:
        """Removes the registration of `key`, by default the present one, from the store."""
        self._store.append_record(INSTANCE_TOPIC, key or self.key, b"")

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
        if conditions.leaving and conditions.says_so:
            resp.set_header("Server-Leaving", "1")
        host = req.scope["client"][0]
        misdirected = req.get_header("Expect-Instance") not in (None, self.key)
        connection = connection_of(req)
        refusals = self._refusals.setdefault(connection, _Refusals())
        runs_again = b""
        if conditions.repeats_to_same_request and not misdirected:
            runs_again = refusals.take(request_id)
        write_unasked(req, refusals.take_next() + runs_again)
        rejects_again = self._rng.random() < conditions.repeated_rejection_share
        refusal_status = 503 if rejects_again else self._refusal_status(conditions)
        if misdirected:
            refusal_status = 421
        elif runs_again:
            refusal_status = 0
        deadline_ms = req.get_header_as_int("Deadline-Ms")
        self._observations.arrivals.append(
            Arrival(
                arrived_s,
                request_id,
                self.service,
                self.key,
                host,
                None if deadline_ms is None else deadline_ms / 1000,
                not refusal_status,
                misdirected,
                req.get_header("Tenant") or "",
                req.get_header("Authorization") is not None,
            )
        )
        if refusal_status:
            resp.status = falcon.code_to_http_status(refusal_status)
            resp.set_header("Not-Executed", "1")
            if conditions.retry_after_s and not misdirected:
                resp.set_header("Retry-After", f"{conditions.retry_after_s:g}")
                self._observations.rejections.append(
                    Rejection(self._now_s(), self.key, host, conditions.retry_after_s)
                )
            refusal = _REFUSAL.format(
                status=refusal_status, request_id=request_id, instance=self.key
            ).encode()
            if rejects_again:
                refusals.next = refusal
            elif conditions.repeats_to_same_request:
                refusals.keep(request_id, refusal)
            if conditions.copy_delay_s:
                delay_s = self._rng.uniform(0.5, 1.5) * conditions.copy_delay_s
                asyncio.get_running_loop().call_later(delay_s, _write_if_open, connection, refusal)
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

    def _refusal_status(self, conditions: Conditions) -> int:
        """Returns the status with which a request is refused, or 0 if it is run."""
        if conditions.retry_after_s or self._accepted >= 2 * self.slots:
            return 503
        if self._rng.random() < conditions.refusal_share:
            return conditions.refusal_status
        return 0
