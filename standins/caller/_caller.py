"""A caller of the fleet."""

import asyncio
import itertools
import json
import random
from collections.abc import Sequence
from types import TracebackType
from typing import Any, NamedTuple, Self

import aiohttp
import xxhash

# Time-out of an ask request; then the next node is asked.
_ASK_TIMEOUT_S = 2.0

# Time-out for opening a connection; then the next address is used.
_CONNECT_TIMEOUT_S = 1.0

# Wait beyond the deadline, so that the node's response about a missed deadline still arrives.
_RESPONSE_GRACE_S = 1.0


class NoAnswer(Exception):
    """No node answered the ask request; the message has the error of each node."""


class AskAnswer(NamedTuple):
    """Answer of a node to an ask request."""

    service: str  # Requested service.
    addresses: tuple[str, ...]  # IP:port of entry hosts, best first.
    lifetime_s: float  # How long the answer may be used.
    request_id_prefix: str  # Begins the identifiers of requests.


class Attempt(NamedTuple):
    """One attempt to send a request to an entry host."""

    address: str  # IP:port of the entry host.
    status: int | None  # Status of the response; None if there was none.
    outcome: str  # Anviltray-Outcome of the response; empty without one.
    complete: bool  # The response was received completely.
    echo_matches: bool | None  # Whether the echo is of this request; None without an echo.
    upstream: str  # Instance that sent the echo; empty without an echo.
    error: str  # Error of the client library; empty without one.
    problem: str = ""  # Type of the problem document; empty without one.


class CallRecord(NamedTuple):
    """One request and its outcome as the caller observed it."""

    request_id: str  # Identifier that was sent; empty without one.
    service: str  # Service name.
    method: str  # HTTP method.
    path: str  # Path without the query.
    sent_s: float  # Loop time of the first attempt.
    ended_s: float  # Loop time at which the last attempt ended.
    attempts: tuple[Attempt, ...]  # In order; empty if no node answered the ask request.

    @property
    def outcome(self) -> str:
        """Outcome of the last attempt; "nothing" without a complete response."""
        if not self.attempts or not self.attempts[-1].complete:
            return "nothing"
        return self.attempts[-1].outcome

    @property
    def status(self) -> int | None:
        """Status of the last attempt; None without a complete response."""
        return self.attempts[-1].status if self.attempts and self.attempts[-1].complete else None

    @property
    def succeeded(self) -> bool:
        """Whether the last attempt got a complete response with a status below 400."""
        return self.status is not None and self.status < 400


class Caller:
    """Sends requests to the fleet as its callers do.

    It asks any of `nodes` for entry addresses, caches the answer for its lifetime and connects to
    the addresses directly. After an attempt without a complete response it sends the same request
    with the same identifier to the next address. Every body contains its identifier, so that the
    digest in an echo identifies the request.
    """

    def __init__(
        self, nodes: Sequence[str], region: str = "", name: str = "c", seed: int = 1
    ) -> None:
        self.nodes = list(nodes)
        self._region = region
        self._name = name
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._answers: dict[str, tuple[float, AskAnswer]] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        # Disables the retries of the library, because each attempt must be recorded.
        self._session._retry_connection = False
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def ask(self, service: str, node: str | None = None) -> AskAnswer:
        """Asks `node`, or the nodes in random order; raises NoAnswer."""
        assert self._session is not None
        errors = []
        for address in [node] if node else self._random.sample(self.nodes, len(self.nodes)):
            try:
                async with self._session.get(
                    f"http://{address}/.anviltray/ask",
                    params={"service": service, "region": self._region},
                    timeout=aiohttp.ClientTimeout(total=_ASK_TIMEOUT_S),
                ) as response:
                    if response.status != 200:
                        errors.append(f"{address}: status {response.status}")
                        continue
                    data = await response.json()
                    return AskAnswer(
                        service,
                        tuple(data["addresses"]),
                        float(data["lifetime_s"]),
                        data["request_id_prefix"],
                    )
            except (aiohttp.ClientError, TimeoutError) as error:
                errors.append(f"{address}: {type(error).__name__}")
        raise NoAnswer("; ".join(errors))

    async def current_answer(self, service: str) -> AskAnswer:
        """Returns the cached answer, and asks again first if it has expired."""
        now_s = asyncio.get_running_loop().time()
        expires_s, answer = self._answers.get(service, (0.0, None))
        if answer is None or expires_s <= now_s:
            answer = await self.ask(service)
            self._answers[service] = (now_s + answer.lifetime_s, answer)
        return answer

    def clear_answers(self) -> None:
        """Clears the cached answers, so that the next request asks again."""
        self._answers.clear()

    async def send(
        self,
        service: str,
        method: str = "POST",
        path: str = "/",
        *,
        body: bytes = b"",
        size: int = 0,
        deadline_s: float = 5.0,
        request_id: str | None = None,
        identify: bool = True,
        addresses: Sequence[str] = (),
        fall_back: bool = True,
    ) -> CallRecord:
        """Sends one request and returns its record; never raises for a failed request.

        `size` asks the upstream stand-in for a response of that many bytes. `request_id` repeats
        an earlier request, `identify=False` sends no identifier. `addresses` replaces the entry
        addresses; `fall_back=False` uses only the first.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        attempts: list[Attempt] = []
        try:
            if request_id is None and identify:
                prefix = (await self.current_answer(service)).request_id_prefix
                # The prefix may or may not end with the dot that separates it from the suffix.
                prefix = prefix.removesuffix(".")
                request_id = f"{prefix}.{self._name}{next(self._numbers):x}"
            targets = list(addresses) or list((await self.current_answer(service)).addresses)
        except NoAnswer:
            return CallRecord("", service, method, path, sent_s, loop.time(), ())
        request_id = request_id or ""
        content = body if method == "GET" else _append_request_id(body, request_id)
        for address in targets if fall_back else targets[:1]:
            remaining_s = sent_s + deadline_s - loop.time()
            if attempts and remaining_s <= 0:
                break
            attempt = await self._attempt(
                address, method, path, content, size, remaining_s, request_id
            )
            attempts.append(attempt)
            if attempt.complete:
                break
        return CallRecord(request_id, service, method, path, sent_s, loop.time(), tuple(attempts))

    async def _attempt(
        self,
        address: str,
        method: str,
        path: str,
        content: bytes,
        size: int,
        remaining_s: float,
        request_id: str,
    ) -> Attempt:
        assert self._session is not None
        headers = {"Anviltray-Deadline-Ms": str(max(int(remaining_s * 1000), 0))}
        if request_id:
            headers["Anviltray-Request-Id"] = request_id
        status, outcome, error, received = None, "", "", b""
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                params={"size": str(size)} if size else None,
                data=content or None,
                headers=headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=max(remaining_s, 0) + _RESPONSE_GRACE_S, sock_connect=_CONNECT_TIMEOUT_S
                ),
            ) as response:
                status = response.status
                outcome = response.headers.get("Anviltray-Outcome", "")
                received = await response.read()
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as caught:
            error = type(caught).__name__
        if error:
            return Attempt(address, status, outcome, False, None, "", error)
        matches, upstream = _check_echo(received, method, path, content, request_id)
        return Attempt(
            address, status, outcome, True, matches, upstream, "", _problem_type(received)
        )


def _append_request_id(body: bytes, request_id: str) -> bytes:
    return body + b"\n" + request_id.encode() if request_id else body


def _problem_type(received: bytes) -> str:
    try:
        document: Any = json.loads(received)
    except ValueError:
        return ""
    return str(document.get("type", "")) if isinstance(document, dict) else ""


def _check_echo(
    received: bytes, method: str, path: str, content: bytes, request_id: str
) -> tuple[bool | None, str]:
    """Returns whether an echo is of this request, and its sender; None without an echo."""
    try:
        echo: Any = json.loads(received)
    except ValueError:
        return None, ""
    if not isinstance(echo, dict) or "digest" not in echo:
        return None, ""
    matches = (
        echo["digest"] == xxhash.xxh3_128_hexdigest(content)
        and echo["method"] == method
        and echo["path"] == path
        and (not request_id or echo["id"] == request_id)
    )
    return matches, echo["upstream"]
