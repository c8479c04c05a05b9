"""HTTP interface of the store stand-in, which follows the platform's published protocol."""

import asyncio
import base64
import struct
from copy import deepcopy
from typing import NamedTuple

import falcon
import falcon.asgi

from standins._serving import ServedStandin, abort_connection

_HANG_LIMIT_S = 120.0
_POLL_S = 0.01


class StoreConditions(NamedTuple):
    """Injected conditions of the store."""

    status: int = 0  # Every call gets this status and has no effect; 0 is normal.
    silent: bool = False  # Calls get no response and have no effect.
    resets: bool = False  # Calls are reset without a response and have no effect.
    lost_answers: bool = False  # Calls take effect, but their connection is reset.
    delay_s: float = 0.0  # Delay of every response.
    stale_offsets: int = 0  # Reads return the state from that many records ago.


class _Topic:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[str, bytes]] = []  # Keys and values from offset `first` on.
        self.newest: dict[str, tuple[bytes, int]] = {}  # Newest value and its offset, by key.

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        offset = self.end
        self.records.append((key, value))
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        return offset


class StoreStandin(ServedStandin):
    """The store in one process; `page_size` limits the number of keys in one page.

    Example: `copy = store.copy_topics()` and, after further appends, `store.go_back(copy)`.
    """

    def __init__(self, address: str = "127.0.0.1:0", page_size: int = 500) -> None:
        self.conditions = StoreConditions()
        self.topics: dict[str, _Topic] = {}
        self.calls: list[str] = []  # Method and path of each call.
        self.page_size = page_size
        self.era = 1
        self.era_header: str | None = None  # Replaces the era in responses; "" leaves it out.
        application = falcon.asgi.App(middleware=[_EraHeader(self)])
        application.add_route("/v1/log-append", _Append(self))
        application.add_route("/v1/log-read", _Read(self))
        application.add_route("/v1/log-newest", _Newest(self))
        super().__init__(application, address)

    def append_record(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record directly and returns its offset; an empty value removes the key."""
        return self.topic(topic).append(key, value)

    def copy_topics(self) -> dict[str, _Topic]:
        """Returns a copy of the content."""
        return deepcopy(self.topics)

    def go_back(self, copy: dict[str, _Topic]) -> None:
        """Goes on from a copy, so that offsets after it are given out again."""
        self.topics = deepcopy(copy)
        self.era += 1

    def topic(self, name: str) -> _Topic:
        """Returns a topic, which is created on first use."""
        return self.topics.setdefault(name, _Topic())

    def compact(self, topic: str) -> None:
        """Removes all records from the log; the newest value of each key remains."""
        log = self.topic(topic)
        log.first, log.records = log.end, []

    async def apply_conditions(self, request: falcon.asgi.Request) -> _Topic | None:
        """Applies the conditions and returns the topic; None if the connection was reset."""
        conditions = self.conditions
        self.calls.append(f"{request.method} {request.path}")
        if conditions.silent:
            await asyncio.sleep(_HANG_LIMIT_S)
        if conditions.resets:
            abort_connection(request)
            return None
        if conditions.status:
            raise falcon.HTTPError(conditions.status, title="condition")
        await asyncio.sleep(conditions.delay_s)
        return self.topic(request.get_param("topic", required=True))


def encode_record(key: str, value: bytes) -> bytes:
    """Returns the wire format of a record."""
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return struct.pack(">I", len(content)) + content


class _EraHeader:
    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        succeeded: bool,
    ) -> None:
        """Names the era in all responses, also in errors."""
        header = self._standin.era_header
        if header is None:
            header = str(self._standin.era)
        if header:
            response.set_header("Store-Era", header)


class _Resource:
    def __init__(self, standin: StoreStandin) -> None:
        self._standin = standin


class _Append(_Resource):
    async def on_post(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        body = await request.stream.read()
        topic = await self._standin.apply_conditions(request)
        if topic is None:
            return
        expected = request.get_param_as_int("at")
        if expected is not None and expected != topic.end:
            response.status = falcon.HTTP_412
            response.media = {"end": topic.end}
            return
        (length,) = struct.unpack_from(">I", body)
        content = body[4 : 4 + length]
        end = 1 + content[0]
        offset = topic.append(content[1:end].decode(), content[end:])
        if self._standin.conditions.lost_answers:
            abort_connection(request)
            return
        response.media = {"offset": offset, "end": topic.end}


class _Read(_Resource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        topic = await self._standin.apply_conditions(request)
        if topic is None:
            return
        offset = request.get_param_as_int("from", required=True)
        wait_s = request.get_param_as_int("waitMs", default=0) / 1000
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while topic.end == offset and loop.time() < deadline_s:
            await asyncio.sleep(_POLL_S)
            topic = self._standin.topic(request.get_param("topic", required=True))
        if not topic.first <= offset <= topic.end:
            response.status = falcon.HTTP_410
            response.media = {"first": topic.first}
            return
        end = topic.end - self._standin.conditions.stale_offsets
        records = topic.records[offset - topic.first : max(0, end - topic.first)]
        response.content_type = "application/octet-stream"
        response.data = struct.pack(">QQ", end, topic.first) + b"".join(
            encode_record(key, value) for key, value in records
        )


class _Newest(_Resource):
    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        topic = await self._standin.apply_conditions(request)
        if topic is None:
            return
        after = request.get_param("after", default="")
        keys = [key for key in sorted(topic.newest) if key > after]
        page = keys[: self._standin.page_size]
        response.media = {
            "items": [
                {
                    "key": key,
                    "value": base64.b64encode(topic.newest[key][0]).decode(),
                    "offset": topic.newest[key][1],
                }
                for key in page
            ],
            "more": len(page) < len(keys),
            "end": topic.end - self._standin.conditions.stale_offsets,
        }
