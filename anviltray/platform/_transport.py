"""HTTP calls to the platform, with errors that say whether a call may have taken effect."""

from typing import Any, NamedTuple

import aiohttp

from anviltray.platform._connections import CallConnector
from anviltray.platform._interface import PlatformError, PlatformUnavailable
from anviltray.telemetry import describe_error

# Limit for the body of one response and for all pages of one call.
BODY_LIMIT_BYTES = 33_554_432


class ResponseTooLarge(ValueError):
    """A response body is larger than a valid one can be."""


class ResponseLost(PlatformError):
    """No complete response arrived, so the call may have taken effect."""


class Response(NamedTuple):
    """Response of one call."""

    status: int  # HTTP status.
    body: bytes  # Complete body.


class HttpTransport:
    """HTTP client for one base URL; `timeout_s` applies to calls without their own timeout."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

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
                return Response(response.status, await read_body(response))
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(f"{path}: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            # The connection may be dead, and so may the idle ones of the pool.
            await self.close()
            raise ResponseLost(f"{path}: {describe_error(error)}") from error

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
