"""Processes of the request path measurement: echo upstream, pass-through, node and load."""

import asyncio
import json
import random
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp
import defopt
from hdrh.histogram import HdrHistogram

from anviltray.declarations import parse_declarations
from anviltray.node import Node
from anviltray.platform import MemoryPlatform
from anviltray.settings import load_settings
from anviltray.state.configuration import STREAM, encode_record, put_service
from measure._pass_through import serve_pass_through

_SendRequest = Callable[[float], Coroutine[Any, Any, None]]

_HIGHEST_US = 60_000_000
_DIGITS = 3


class _EchoProtocol(asyncio.Protocol):
    """Responds to each request head with a fixed 4 KB response, at less cost than any server."""

    def __init__(self, response: bytes) -> None:
        self._response = response
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            self._buffer = self._buffer[end + 4 :]
            self._transport.write(self._response)


async def echo(*, address: str) -> None:
    """Serves 4 KB responses.

    :param address: IP:port.
    """
    body = b"x" * 4096
    head = f"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {len(body)}\r\n\r\n"
    host, _, port = address.rpartition(":")
    response = head.encode() + body
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _EchoProtocol(response), host, int(port))
    await server.serve_forever()


async def bare(*, address: str, upstream: str) -> None:
    """Serves the bare pass-through.

    :param address: IP:port.
    :param upstream: IP:port.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    await serve_pass_through(listener, upstream)


async def node(*, settings: Path, upstream: str) -> None:
    """Serves one node with an in-memory platform and one upstream.

    :param settings: Settings of the node.
    :param upstream: IP:port.
    """
    document = {
        "services": [
            {
                "name": "echo",
                "routes": [{"prefix": "/"}],
                "retry_rules": [{"methods": ["GET"], "prefix": "/"}],
                "upstreams": [{"address": upstream, "region": "r", "zone": "a", "slots": 400}],
            }
        ]
    }
    (service,) = parse_declarations(document, "measure").services
    platform = MemoryPlatform()
    record = put_service(service, based_on=-1, who="m", why="m", issued_unix_s=0.0)
    await platform.append(STREAM, encode_record(record))
    await Node(load_settings(settings), platform).start()
    await asyncio.Event().wait()


async def load(
    *, address: str, rate: float, duration_s: float, connections: int, seed: int
) -> None:
    """Sends GET requests and prints a JSON line with the figures.

    With `rate` 0 each connection sends the next request after the response (closed loop), else
    requests arrive as a Poisson process and latency counts from the intended time.

    :param address: IP:port.
    :param rate: Requests per second; 0 for a closed loop.
    :param duration_s: Length of the run.
    :param connections: Largest number of connections.
    :param seed: Seed of the arrivals.
    """
    histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    errors = 0
    url = f"http://{address}/item/1"
    connector = aiohttp.TCPConnector(limit=connections)
    timeout = aiohttp.ClientTimeout(total=10)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:

        async def send_request(intended_s: float) -> None:
            nonlocal errors
            try:
                async with session.get(url) as response:
                    body = await response.read()
                    if response.status != 200 or len(body) != 4096:
                        errors += 1
            except (aiohttp.ClientError, TimeoutError):
                errors += 1
            histogram.record_value(max(1, int((time.monotonic() - intended_s) * 1e6)))

        started_s = time.monotonic()
        end_s = started_s + duration_s
        if rate:
            await _open_loop(send_request, rate, end_s, seed)
        else:
            await asyncio.gather(*(_closed_loop(send_request, end_s) for _ in range(connections)))
        elapsed_s = time.monotonic() - started_s
    figures = {
        "requests": histogram.total_count,
        "errors": errors,
        "rps": histogram.total_count / elapsed_s,
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }
    print(json.dumps(figures))


async def _closed_loop(send_request: _SendRequest, end_s: float) -> None:
    while time.monotonic() < end_s:
        await send_request(time.monotonic())


async def _open_loop(send_request: _SendRequest, rate: float, end_s: float, seed: int) -> None:
    rng = random.Random(seed)
    tasks: set[asyncio.Task[None]] = set()
    intended_s = time.monotonic()
    while intended_s < end_s:
        intended_s += rng.expovariate(rate)
        delay_s = intended_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        task = asyncio.create_task(send_request(intended_s))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(defopt.bind([echo, bare, node, load], argv=sys.argv[1:])())
