"""Adapter for a platform that serves its log and host list over HTTP."""

import base64
import binascii
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import quote

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
from anviltray.platform._transport import HttpTransport, ResponseLost


class HttpPlatform:
    """Platform client over HTTP/1.1 with JSON.

    `url` is the base URL with an IP address, `timeout_s` the timeout of one call. A timeout or a
    broken connection during an append raises AppendUnknown, since the request may have arrived;
    only a failed connect proves that it did not.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._transport = HttpTransport(url, timeout_s)

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset."""
        path = f"/streams/{quote(stream, safe='')}"
        try:
            response = await self._transport.send("POST", path, data=payload)
        except ResponseLost as error:
            raise AppendUnknown(f"append: {error}") from error
        if response.status == 429:
            raise AppendRejected("append: the rate limit is reached")
        if response.status == 503:
            raise PlatformUnavailable("append: status 503")
        if response.status != 201:
            raise AppendUnknown(f"append: unexpected status {response.status}")
        try:
            return _get_integer(json.loads(response.body), "offset")
        except ValueError as error:
            raise AppendUnknown(f"append: {error}") from error

    async def read(self, stream: str, offset: int, limit: int) -> Batch:
        """Returns up to `limit` records from `offset`."""
        parameters = {"offset": str(offset), "limit": str(limit)}
        data = await self._get(f"/streams/{quote(stream, safe='')}", parameters)
        try:
            records = tuple(
                Record(
                    _get_integer(item, "offset"), base64.b64decode(item["payload"], validate=True)
                )
                for item in data["records"]
            )
            batch = Batch(records, _get_integer(data, "oldest"), _get_integer(data, "next"))
        except (LookupError, TypeError, ValueError, binascii.Error) as error:
            raise PlatformUnavailable(f"read: malformed response: {error}") from error
        for index, record in enumerate(batch.records):
            if record.offset != offset + index:
                raise PlatformUnavailable(f"read: offset {record.offset} is out of order")
        return batch

    async def offsets(self, stream: str) -> Offsets:
        """Returns the offset range of a stream."""
        data = await self._get(f"/streams/{quote(stream, safe='')}/offsets", {})
        try:
            return Offsets(_get_integer(data, "oldest"), _get_integer(data, "next"))
        except ValueError as error:
            raise PlatformUnavailable(f"offsets: malformed response: {error}") from error

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the host list."""
        data = await self._get("/hosts", {})
        try:
            return tuple(
                HostEntry(*(str(item[name]) for name in HostEntry._fields))
                for item in data["hosts"]
            )
        except (LookupError, TypeError) as error:
            raise PlatformUnavailable(f"hosts: malformed response: {error}") from error

    async def close(self) -> None:
        """Closes the connections."""
        await self._transport.close()

    async def _get(self, path: str, parameters: Mapping[str, str]) -> Any:
        try:
            response = await self._transport.send("GET", path, params=parameters)
        except ResponseLost as error:
            raise PlatformUnavailable(str(error)) from error
        if response.status == 410:
            raise OffsetTrimmed(f"{path}: offset {parameters.get('offset')} is trimmed")
        if response.status != 200:
            raise PlatformUnavailable(f"{path}: status {response.status}")
        try:
            return json.loads(response.body)
        except ValueError as error:
            raise PlatformUnavailable(f"{path}: malformed response: {error}") from error


def _get_integer(data: Any, name: str) -> int:
    value = data.get(name) if isinstance(data, dict) else None
    if type(value) is not int:
        raise ValueError(f"{name!r} is not an integer")
    return value
