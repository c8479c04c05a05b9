"""Callers of one availability zone, which keep their connections open and retry."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from random import Random

import aiohttp

from standins.soak._deployment import (
    CALLER_PORT,
    DIRECTORY_PORT,
    ROUTE_HOST,
    Deployment,
    RouteKind,
)
from standins.soak._rules import NOT_EXECUTED_STATUSES, UNFINISHED, SentRequest

_MAX_RETRIES = 4
_BODY = b"x" * 1200
_UPLOAD_BYTES = (2_000, 100_000)  # Sizes of slow uploads; hosts buffer only the smaller one.
_LOOKUP_TIMEOUT_S = 1.0
_KEEP_ALIVE_S = 10.0
_SAME_HOST_SHARE = 0.8  # Of the callers that come back with the identifier that they had.


class ZoneCallers:
    """Sends the requests of one zone, open loop with Poisson arrivals."""

    def __init__(self, deployment: Deployment, zone: str, rng: Random) -> None:
        self._deployment, self._zone, self._rng = deployment, zone, rng
        self._directories = [host.ip for host in deployment.hosts if host.zone == zone]
        self._addresses: list[str] = []
        self._sent = 0  # Used for identifiers, so it counts each retry with a new one.
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        routes = self._deployment.topology.routes
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEP_ALIVE_S)
        async with aiohttp.ClientSession(connector=connector) as session:
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._refresh_addresses(session))
                    for name, kind in routes.items():
                        group.create_task(self._send_steadily(session, name, kind))
            finally:
                for task in self._running:
                    task.cancel()
                await asyncio.gather(*self._running, return_exceptions=True)

    async def _refresh_addresses(self, session: aiohttp.ClientSession) -> None:
        while True:
            lifetime_s = 0.2
            host = self._rng.choice(self._directories)
            url = f"http://{host}:{DIRECTORY_PORT}/v1/resolve?name={ROUTE_HOST}&zone={self._zone}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with asyncio.timeout(_LOOKUP_TIMEOUT_S), session.get(url) as response:
                    if response.status == 200:
                        document = await response.json()
                        self._addresses = [
                            address.removesuffix(f":{CALLER_PORT}")
                            for address in document["addresses"]
                        ]
                        lifetime_s = document["ttlS"]
            await asyncio.sleep(lifetime_s)

    async def _send_steadily(
        self, session: aiohttp.ClientSession, name: str, kind: RouteKind
    ) -> None:
        rate_per_s = kind.rate_per_s / len(self._deployment.topology.zones)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            if self._addresses:
                task = asyncio.create_task(self._send(session, name, kind))
                self._running.add(task)
                task.add_done_callback(self._running.discard)

    async def _send(self, session: aiohttp.ClientSession, name: str, kind: RouteKind) -> None:
        """Sends a request, and sends it again while the responses say that it has not run."""
        now_s = self._deployment.now_s
        ends_s = now_s() + kind.timeout_s
        number, host = self._next_number(), self._rng.choice(self._addresses)
        key = self._deployment.accounts.choose_key(self._rng)
        for _ in range(_MAX_RETRIES + 1):
            left_s = ends_s - now_s()
            if left_s <= 0:
                return
            status, retry_after_s = await self._attempt(
                session, name, number, host, kind, left_s, key
            )
            if status not in NOT_EXECUTED_STATUSES:
                return
            keeps_id = self._rng.random() < self._deployment.repeated_id_share
            if not keeps_id:
                number = self._next_number()
            if not keeps_id or self._rng.random() >= _SAME_HOST_SHARE:
                host = self._rng.choice(self._addresses)
            await asyncio.sleep(max(0.0, min(retry_after_s, (ends_s - now_s()) / 3)))

    def _next_number(self) -> int:
        self._sent += 1
        return self._sent

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        name: str,
        number: int,
        host: str,
        kind: RouteKind,
        deadline_s: float,
        key: str,
    ) -> tuple[int, float]:
        """Returns the status, 0 if there was no response, and the Retry-After in seconds."""
        now_s = self._deployment.now_s
        request_id = f"{self._zone}-{number:06d}"
        headers = {
            "Host": ROUTE_HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            **self._deployment.accounts.headers(key, self._rng),
        }
        method = "GET" if kind.idempotent else "POST"
        body: bytes | AsyncIterator[bytes] | None = None if kind.idempotent else _BODY
        if body and self._rng.random() < self._deployment.slow_upload_share:
            body = self._upload_slowly(deadline_s)
        sent_s = now_s()
        ended_s, status, leaving, retry_after_s = sent_s, UNFINISHED, "", 0.0
        try:
            async with (
                asyncio.timeout(deadline_s + 1.0),
                session.request(
                    method,
                    f"http://{host}:{CALLER_PORT}/{name}/{number}",
                    headers=headers,
                    data=body,
                ) as response,
            ):
                ended_s = now_s()
                status = response.status
                if response.headers.get("Server-Leaving") == "1":
                    leaving = response.headers.get("Instance-Id", "")
                retry_after_s = float(response.headers.get("Retry-After", "0"))
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            if status == UNFINISHED:
                ended_s, status = now_s(), 0
        finally:
            # Also at the end of the run: the arrivals of an attempt must not count for an earlier
            # one with the same identifier.
            self._deployment.observations.sent.append(
                SentRequest(
                    request_id,
                    kind.service,
                    host,
                    sent_s,
                    ended_s,
                    status,
                    leaving,
                    deadline_s,
                    kind.idempotent,
                    key,
                )
            )
        return status, retry_after_s

    async def _upload_slowly(self, deadline_s: float) -> AsyncIterator[bytes]:
        """Yields a body whose last part is sent late, at times after the deadline."""
        yield b"x" * self._rng.choice(_UPLOAD_BYTES)
        await asyncio.sleep(self._rng.uniform(0.0, 1.2) * deadline_s)
        yield b"x"
