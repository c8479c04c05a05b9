"""Adapter for a platform that offers its log and host list over HTTP."""

import base64
import binascii
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import quote

import aiohttp

from anviltray.platform._interface import (
    AppendRejected,
    AppendUnknown,
    Batch,
    HostEntry,
    Offsets,
    OffsetTrimmed,
    PlatformUnavailable,
    Record,
)


class _Response(NamedTuple):
    status: int  # HTTP status.
    data: Any  # Decoded JSON body; None if the status is an error.


class HttpPlatform:
    """Platform client over HTTP/1.1 with JSON.

    `url` is the base URL with an IP address, `timeout_s` the limit of one call. A timeout or a
    broken connection during an append raises AppendUnknown, since the request may have arrived;
    only a failed connect proves that it did not.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        url = f"{self._url}/streams/{quote(stream, safe='')}"
        try:
            # A request that carries a body is never resent by aiohttp after a broken connection
            # when its method is POST; a silent resend would append twice.
            response = await self._send("POST", url, data=payload)
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailable(f"append: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise AppendUnknown(f"append: {error or type(error).__name__}") from error
        if response.status == 429:
            raise AppendRejected("append: the rate limit is reached")
        if response.status == 503:
            raise PlatformUnavailable("append: status 503")
        if response.status != 201:
            raise AppendUnknown(f"append: unexpected status {response.status}")
        try:
            return _integer(response.data, "offset")
        except ValueError as error:
            raise AppendUnknown(f"append: {error}") from error

    async def read(self, stream: str, offset: int, limit: int) -> Batch:
        """Returns up to `limit` records from `offset`."""
        parameters = {"offset": str(offset), "limit": str(limit)}
        data = await self._get(f"/streams/{quote(stream, safe='')}", parameters)
        try:
            records = tuple(
                Record(_integer(item, "offset"), base64.b64decode(item["payload"], validate=True))
                for item in data["records"]
            )
            batch = Batch(records, _integer(data, "oldest"), _integer(data, "next"))
        except (LookupError, TypeError, ValueError, binascii.Error) as error:
            raise PlatformUnavailable(f"read: malformed answer: {error}") from error
        for index, record in enumerate(batch.records):
            if record.offset != offset + index:
                raise PlatformUnavailable(f"read: offset {record.offset} is out of order")
        return batch

    async def offsets(self, stream: str) -> Offsets:
        """Returns the range of a stream."""
        data = await self._get(f"/streams/{quote(stream, safe='')}/offsets", {})
        try:
            return Offsets(_integer(data, "oldest"), _integer(data, "next"))
        except ValueError as error:
            raise PlatformUnavailable(f"offsets: malformed answer: {error}") from error

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the host list."""
        data = await self._get("/hosts", {})
        try:
            return tuple(
                HostEntry(*(str(item[name]) for name in HostEntry._fields))
                for item in data["hosts"]
            )
        except (LookupError, TypeError) as error:
            raise PlatformUnavailable(f"hosts: malformed answer: {error}") from error

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _get(self, path: str, parameters: Mapping[str, str]) -> Any:
        try:
            response = await self._send("GET", f"{self._url}{path}", params=parameters)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise PlatformUnavailable(f"{path}: {error or type(error).__name__}") from error
        if response.status == 410:
            raise OffsetTrimmed(f"{path}: offset {parameters.get('offset')} is trimmed")
        if response.status != 200:
            raise PlatformUnavailable(f"{path}: status {response.status}")
        return response.data

    async def _send(self, method: str, url: str, **arguments: Any) -> _Response:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        async with self._session.request(method, url, **arguments) as response:
            if response.status >= 400:
                await response.read()
                return _Response(response.status, None)
            return _Response(response.status, await response.json(content_type=None))


def _integer(data: Any, name: str) -> int:
    value = data.get(name) if isinstance(data, dict) else None
    if type(value) is not int:
        raise ValueError(f"{name!r} is no integer")
    return value
