"""HTTP calls to the platform, with errors that say whether a call may have taken effect."""

import re
from collections.abc import Sequence
from typing import Any, NamedTuple

import aiohttp
import logbook

from anviltray.platform._connections import CallConnector
from anviltray.platform._interface import PlatformError, PlatformUnavailable
from anviltray.platform._names import GENERATION_HEADER
from anviltray.telemetry import describe_error

_log = logbook.Logger("anviltray.platform")

# Limit for the body of one response and for all pages of one call.
BODY_LIMIT_BYTES = 33_554_432
_GENERATION = re.compile(r"[0-9]{1,18}")  # Integers in messages have 64 bits.


class ResponseTooLarge(ValueError):
    """A response body is larger than a valid one can be."""


class ResponseLost(PlatformError):
    """No complete response arrived, so the call may have taken effect."""


class Response(NamedTuple):
    """Response of one call."""

    status: int  # HTTP status.
    body: bytes  # Complete body.
    generation: int | None = None  # Of the store; None if it states none or an invalid one.


class HttpTransport:
    """HTTP client for one base URL; `timeout_s` applies to calls without their own timeout."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None
        self._invalid_generation: Sequence[str] = ()  # The last one, which is logged once.

    async def send(
        self, method: str, path: str, timeout_s: float | None = None, **arguments: Any
    ) -> Response:
        """Sends one request and returns the response.

        Raises PlatformUnavailable if the connect failed, so that nothing was sent, and ResponseLost
        after any other failure. aiohttp never resends a POST after a broken connection, so it is
        sent at most once.
        """
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        timeout = aiohttp.ClientTimeout(total=limit_s, sock_connect=self._timeout_s)
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=CallConnector())
        url = f"{self._url}{path}"
        try:
            async with self._session.request(method, url, timeout=timeout, **arguments) as response:
                generation = self._decode_generation(response.headers.getall(GENERATION_HEADER, ()))
                return Response(response.status, await read_body(response), generation)
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(f"{path}: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            # The connection may be dead, and so may the idle ones of the pool.
            await self.close()
            raise ResponseLost(f"{path}: {describe_error(error)}") from error

    def _decode_generation(self, values: Sequence[str]) -> int | None:
        if len(values) == 1 and _GENERATION.fullmatch(values[0].strip()):
            return int(values[0])
        if values and values != self._invalid_generation:
            self._invalid_generation = values
            _log.warning("{}: ignored the invalid generation {!r:.80}", self._url, values)
        return None

    async def close(self) -> None:
        """Closes all connections; the next call opens a new one."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the whole body; raises ResponseTooLarge and the errors of aiohttp."""
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > BODY_LIMIT_BYTES:
            response.close()
            raise ResponseTooLarge(f"the response body is larger than {BODY_LIMIT_BYTES} bytes")
    return bytes(body)
