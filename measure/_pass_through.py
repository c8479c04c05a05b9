"""A bare pass-through without any policy, for comparison with the request path.

It is a Falcon sink on uvicorn with httptools and the standard event loop, with one aiohttp client
session: the minimum that the same libraries need to forward a request.
"""

import socket
from typing import Any

import aiohttp
import falcon
import falcon.asgi
import uvicorn


class _Sink:
    def __init__(self, upstream: str) -> None:
        self._upstream = upstream
        self._session: aiohttp.ClientSession | None = None

    async def __call__(self, req: Any, resp: Any, **_params: Any) -> None:
        """Sends the request to the upstream and copies status, type and body."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        body = await req.bounded_stream.read() if req.content_length else None
        url = f"http://{self._upstream}{req.relative_uri}"
        async with self._session.request(req.method, url, data=body) as response:
            resp.status = response.status
            resp.content_type = response.headers.get("Content-Type")
            resp.data = await response.read()


async def serve_pass_through(listener: socket.socket, upstream: str) -> None:
    """Serves on `listener` until cancelled."""
    application: falcon.asgi.App[Any, Any] = falcon.asgi.App()
    application.add_sink(_Sink(upstream))
    config = uvicorn.Config(
        application,
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
    )
    await uvicorn.Server(config).serve([listener])
