"""Client of the platform's store, for keyed topics with one partition."""

import base64
import binascii
import json
import struct
from collections.abc import Iterator
from typing import Any

from anviltray.platform._interface import (
    AppendConflict,
    Appended,
    AppendRejected,
    AppendUnknown,
    KeyedRecord,
    NewestRecords,
    OffsetTrimmed,
    PlatformUnavailable,
    RecordBatch,
)
from anviltray.platform._names import APPEND_PATH, NEWEST_PATH, READ_PATH
from anviltray.platform._transport import BODY_LIMIT_BYTES, HttpTransport, Response, ResponseLost

# Added to the wait of a long-polling read, for its round trip.
_READ_MARGIN_S = 1.0
_READ_HEADER = struct.Struct(">QQ")  # End offset and first retained offset of the partition.
_RECORD_LENGTH = struct.Struct(">I")
# Stands for a record of another writer that ends within its key: it has an offset and no effect.
_WITHOUT_KEY = KeyedRecord("", None)


class KeyedStore:
    """Reads and writes keyed records; the store never deletes the newest record of a key.

    A store that comes back from an older copy loses records and gives their offsets out again. It
    then states a higher generation in all its responses. An offset means something only in the
    generation in which it was read, so results name theirs, and callers compare it.

    Example: `newest = await store.read_newest(topic)` and then, for later records,
    `await store.read(topic, newest.end_offset, 1.0)`.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        self._transport = HttpTransport(f"http://{address}", timeout_s)

    async def read_newest(self, topic: str) -> NewestRecords:
        """Returns the newest record of each key; raises PlatformUnavailable.

        The pages are not one consistent snapshot. `end_offset` is that of the first page, so that
        reading from there may repeat a change but misses none. Pages of two generations are an
        error.
        """
        records: list[KeyedRecord] = []
        end: int | None = None
        generation: int | None = None
        after = ""
        received_bytes = 0
        while received_bytes <= BODY_LIMIT_BYTES:
            parameters = {"topic": topic, "part": "0"}
            if after:
                parameters["after"] = after
            response = await self._get(NEWEST_PATH, parameters, None)
            received_bytes += len(response.body)
            page = self._decode_json(response.body)
            if response.generation is not None:
                if generation not in (None, response.generation):
                    raise PlatformUnavailable(f"newest {topic}: pages of several generations")
                generation = response.generation
            try:
                items = [_decode_item(item) for item in page["items"]]
                end = int(page["end"]) if end is None else end
                more = bool(page["more"])
            except (LookupError, TypeError, ValueError, binascii.Error) as error:
                raise PlatformUnavailable(f"newest {topic}: {error!r}") from error
            records.extend(items)
            if not more or not items:
                return NewestRecords(tuple(records), end, generation, is_snapshot=not after)
            after = items[-1].key
        raise PlatformUnavailable(f"newest {topic}: more than {BODY_LIMIT_BYTES} bytes")

    async def read(self, topic: str, offset: int, wait_s: float) -> RecordBatch:
        """Returns the records from `offset`, waiting up to `wait_s` for the first one.

        Raises OffsetTrimmed if the log does not have that offset, and PlatformUnavailable. If the
        generation is not the one that the offset was read in, the records are others than meant.
        """
        parameters = {"topic": topic, "part": "0", "from": str(offset)}
        if wait_s > 0:
            parameters["waitMs"] = str(int(wait_s * 1000))
        response = await self._get(READ_PATH, parameters, wait_s + _READ_MARGIN_S)
        body = response.body
        if len(body) < _READ_HEADER.size:
            raise PlatformUnavailable(f"read {topic}: incomplete header of {len(body)} bytes")
        end, first = _READ_HEADER.unpack_from(body)
        if first > offset:
            raise OffsetTrimmed(f"read {topic}: offset {offset} is before the first, {first}")
        try:
            records = tuple(_decode_records(body, offset))
        except (ValueError, struct.error) as error:
            raise PlatformUnavailable(f"read {topic}: {error}") from error
        return RecordBatch(records, offset + len(records), end, response.generation)

    async def append(
        self,
        topic: str,
        key: str,
        payload: bytes,
        expected_end_offset: int | None = None,
        expected_generation: int | None = None,
    ) -> Appended:
        """Appends the record of a key.

        With `expected_end_offset`, appends only if the partition ends there. That offset may have
        been given out again, so `expected_generation` says in which generation it was read, and an
        append in another one is no success. Raises AppendConflict, AppendRejected or
        PlatformUnavailable if the append did not take effect, and AppendUnknown if it may have,
        also because the record may be lost with its generation or follow other records.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + payload
        parameters = {"topic": topic, "part": "0"}
        if expected_end_offset is not None:
            parameters["at"] = str(expected_end_offset)
        try:
            response = await self._transport.send(
                "POST",
                APPEND_PATH,
                params=parameters,
                data=_RECORD_LENGTH.pack(len(record)) + record,
            )
        except ResponseLost as error:
            raise AppendUnknown(str(error)) from error
        if response.status == 412:
            raise AppendConflict(
                f"append {topic}: unexpected end of the partition",
                _decode_end_offset(response.body),
                response.generation,
            )
        if response.status == 429:
            raise AppendRejected(f"append {topic}: the rate limit is reached")
        if response.status == 503:
            raise PlatformUnavailable(f"append {topic}: status 503")
        if response.status != 200:
            raise AppendRejected(f"append {topic}: status {response.status}")
        if expected_generation is not None and response.generation != expected_generation:
            raise AppendUnknown(
                f"append {topic}: took effect in generation {response.generation} of the store, "
                f"not in {expected_generation}"
            )
        return Appended(response.generation)

    async def close(self) -> None:
        """Closes the connections."""
        await self._transport.close()

    async def _get(
        self, path: str, parameters: dict[str, str], timeout_s: float | None
    ) -> Response:
        try:
            response = await self._transport.send("GET", path, timeout_s, params=parameters)
        except ResponseLost as error:
            raise PlatformUnavailable(str(error)) from error
        if response.status == 410:
            raise OffsetTrimmed(f"{path} {parameters['topic']}: no record at that offset")
        if response.status != 200:
            raise PlatformUnavailable(f"{path} {parameters['topic']}: status {response.status}")
        return response

    def _decode_json(self, body: bytes) -> Any:
        try:
            return json.loads(body)
        except ValueError as error:
            raise PlatformUnavailable(f"malformed response: {error}") from error


def _decode_end_offset(body: bytes) -> int:
    try:
        return int(json.loads(body)["end"])
    except (LookupError, TypeError, ValueError) as error:
        raise PlatformUnavailable(f"malformed response: {error}") from error


def _decode_item(item: Any) -> KeyedRecord:
    # JSON may hold halves of surrogate pairs, which no message to another host can.
    key = _decode_key(str(item["key"]).encode("utf-8", "surrogatepass"))
    return KeyedRecord(key, base64.b64decode(item["value"], validate=True))


def _decode_key(data: bytes) -> str:
    # A key that is not UTF-8 comes from another writer and matches no expected key.
    return data.decode("utf-8", "replace")


def _decode_records(body: bytes, offset: int) -> Iterator[KeyedRecord]:
    position = _READ_HEADER.size
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        record = body[position : position + length]
        if len(record) < length:
            raise ValueError(f"the record at offset {offset} is truncated")
        position += length
        offset += 1
        yield _decode_record(record)


def _decode_record(record: bytes) -> KeyedRecord:
    end = 1 + record[0] if record else 1
    if end > len(record):
        return _WITHOUT_KEY
    return KeyedRecord(_decode_key(record[1:end]), record[end:] or None)
