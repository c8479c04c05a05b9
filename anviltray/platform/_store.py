"""Client of the platform's store: keyed topics of one partition."""

import base64
import binascii
import json
import struct
from collections.abc import Iterator
from typing import Any

from anviltray.platform._interface import (
    AppendConflict,
    AppendRejected,
    AppendUnknown,
    KeyedRecord,
    Newest,
    OffsetTrimmed,
    PlatformUnavailable,
    RecordBatch,
)
from anviltray.platform._names import APPEND_PATH, NEWEST_PATH, READ_PATH
from anviltray.platform._transport import HttpTransport, ResponseLost

# Time for the way there and back on top of the time for which a read may wait.
_READ_MARGIN_S = 1.0
_HEAD = struct.Struct(">QQ")  # Next offset of the partition and its first retained one.
_LENGTH = struct.Struct(">I")


class KeyedStore:
    """Reads and writes records with a key; the newest record of each key is kept for good.

    Example: `newest = await store.newest(topic)`, then `await store.read(topic, newest.end, 1.0)`
    for what has come since.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._transport = HttpTransport(f"http://{address}", timeout_s)

    async def newest(self, topic: str) -> Newest:
        """Returns the newest record of each key; raises PlatformUnavailable.

        The pages are no snapshot: `end` is the one of the first page, so that reading from there
        repeats rather than misses a change.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        after = ""
        while True:
            parameters = {"topic": topic, "part": "0"}
            if after:
                parameters["after"] = after
            page = self._decode(await self._get(NEWEST_PATH, parameters, None))
            try:
                items = [_item(item) for item in page["items"]]
                end = int(page["end"]) if end is None else end
                more = bool(page["more"])
            except (LookupError, TypeError, ValueError, binascii.Error) as error:
                raise PlatformUnavailable(f"newest {topic}: {error!r}") from error
            records.extend(items)
            if not more or not items:
                return Newest(tuple(records), end)
            after = items[-1].key

    async def read(self, topic: str, offset: int, wait_s: float) -> RecordBatch:
        """Returns the records from `offset`, waiting up to `wait_s` for the first one.

        Raises OffsetTrimmed if records from there on were deleted, and PlatformUnavailable.
        """
        parameters = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_s > 0:
            parameters["waitMs"] = str(int(wait_s * 1000))
        body = await self._get(READ_PATH, parameters, wait_s + _READ_MARGIN_S)
        if len(body) < _HEAD.size:
            raise PlatformUnavailable(f"read {topic}: {len(body)} bytes")
        end, first = _HEAD.unpack_from(body)
        if first > offset:
            raise OffsetTrimmed(f"read {topic}: offset {offset} is before {first}")
        try:
            records = tuple(_records(body, offset))
        except (ValueError, struct.error) as error:
            raise PlatformUnavailable(f"read {topic}: {error}") from error
        return RecordBatch(records, offset + len(records), end)

    async def append(
        self, topic: str, key: str, payload: bytes, expected_end: int | None = None
    ) -> None:
        """Writes the record of a key, with `expected_end` only if the partition ends there.

        Raises AppendConflict, AppendRejected or PlatformUnavailable if it did not take effect,
        AppendUnknown if it may have.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + payload
        parameters = {"topic": topic, "part": "0"}
        if expected_end is not None:
            parameters["at"] = str(expected_end)
        try:
            response = await self._transport.send(
                "POST", APPEND_PATH, params=parameters, data=_LENGTH.pack(len(record)) + record
            )
        except ResponseLost as error:
            raise AppendUnknown(str(error)) from error
        if response.status == 412:
            raise AppendConflict(f"append {topic}: the partition has grown", _end(response.body))
        if response.status == 429:
            raise AppendRejected(f"append {topic}: the rate limit is reached")
        if response.status == 503:
            raise PlatformUnavailable(f"append {topic}: status 503")
        if response.status != 200:
            raise AppendRejected(f"append {topic}: status {response.status}")

    async def close(self) -> None:
        """Closes the connections."""
        await self._transport.close()

    async def _get(self, path: str, parameters: dict[str, str], timeout_s: float | None) -> bytes:
        try:
            response = await self._transport.send("GET", path, timeout_s, params=parameters)
        except ResponseLost as error:
            raise PlatformUnavailable(str(error)) from error
        if response.status == 410:
            raise OffsetTrimmed(f"{path} {parameters['topic']}: the records were deleted")
        if response.status != 200:
            raise PlatformUnavailable(f"{path} {parameters['topic']}: status {response.status}")
        return response.body

    def _decode(self, body: bytes) -> Any:
        try:
            return json.loads(body)
        except ValueError as error:
            raise PlatformUnavailable(f"malformed answer: {error}") from error


def _end(body: bytes) -> int:
    try:
        return int(json.loads(body)["end"])
    except (LookupError, TypeError, ValueError) as error:
        raise PlatformUnavailable(f"malformed answer: {error}") from error


def _item(item: Any) -> KeyedRecord:
    return KeyedRecord(str(item["key"]), base64.b64decode(item["value"], validate=True))


def _records(body: bytes, offset: int) -> Iterator[KeyedRecord]:
    position = _HEAD.size
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + length]
        if len(record) < length or not record:
            raise ValueError(f"the record at {offset} is cut short")
        position += length
        offset += 1
        end = 1 + record[0]
        # A key that is no text belongs to another writer; its record names nothing of ours.
        yield KeyedRecord(record[1:end].decode("utf-8", "replace"), record[end:] or None)
