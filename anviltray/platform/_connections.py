"""Connections to the platform on which a response belongs to one call."""

import asyncio
import functools
from typing import Any

from aiohttp import StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.tracing import Trace

from anviltray.upstreams import is_reusable

_FIRST_FINAL_STATUS = 200


class _CallConnection(ResponseHandler):
    """Closes as soon as bytes arrive that belong to no call.

    aiohttp keeps them for the next call. Responses of the platform do not name their call, so each
    call would get the response to the one before.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._has_final_head = True  # There is no call yet.

    def set_response_params(self, **arguments: Any) -> None:
        """Prepares for the response to the next call."""
        self._has_final_head = False
        super().set_response_params(**arguments)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Adds the head of the response to the call; drops another one behind it."""
        if self._has_final_head:
            self._should_close = True
            return
        self._has_final_head = data[0].code >= _FIRST_FINAL_STATUS
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes of the response to the current call."""
        ended = self._payload is None or self._payload.is_eof()
        if data and self._has_final_head and ended:
            self._should_close = True
            if self.transport is not None:
                self.transport.close()
            return
        super().data_received(data)


class CallConnector(TCPConnector):
    """Connection pool that reuses only connections without unread input."""

    def __init__(self) -> None:
        super().__init__()
        self._factory = functools.partial(_CallConnection, loop=self._loop)  # type: ignore[assignment]

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        while (connection := await super()._get(key, traces)) is not None:
            if connection.protocol is not None and is_reusable(connection.protocol):
                return connection
            connection.close()
        return None
