"""Fake decision objects, a scripted upstream server and a raw HTTP client for the tests."""

import asyncio
import contextlib
import itertools
from collections import namedtuple
from types import SimpleNamespace

from anviltray.callers import CallerPressure, bind, create_application, protocol_class, serve
from anviltray.decisions import RoutableSet, RoutableUpstream
from anviltray.decisions.attempts import (
    Forward,
    InProgress,
    RecordedOutcome,
    Reject,
    RejectReason,
    Replay,
    Start,
)
from anviltray.decisions.limits import Admitted, CallerMemory, Queued, Rejected
from anviltray.declarations import build_service
from anviltray.settings import build_settings
from anviltray.upstreams import UpstreamClient

Stored = namedtuple("Stored", "status headers body")
Request = namedtuple("Request", "line headers body")
Response = namedtuple("Response", "status headers body")


class FakeEjector:
    def __init__(self):
        self.events = []
        self.outcomes = []
        self.addresses = ()

    def on_exchange_started(self, now_s, service, address, fresh_connection):
        self.events.append(("started", address, fresh_connection))
        return len(self.events)

    def on_first_byte(self, now_s, exchange):
        self.events.append(("first_byte", exchange))

    def on_exchange_ended(self, now_s, exchange, outcome):
        self.outcomes.append(outcome.value)

    def on_cold_response(self, now_s, address):
        self.events.append(("warming", address))

    def routable(self, service):
        upstreams = [RoutableUpstream(a, "viti", "viti-a", 6, 1.0) for a in self.addresses]
        return RoutableSet(1, service, tuple(upstreams))


class FakeLoadTracker:
    def __init__(self):
        self.outstanding = 0
        self.reported = []

    def on_exchange_started(self, address):
        self.outstanding += 1

    def on_exchange_ended(self, now_s, address, latency_s, reported_load):
        self.outstanding -= 1
        self.reported.append(reported_load)


def choose_first(routable, now_s, exclude, unrepeatable, size_bytes):
    return next((u for u in routable.upstreams if u.address not in exclude), None)


class FakeAdmission:
    def __init__(self, slots=1000):
        self.slots, self.running, self.queue, self.outcomes = slots, 0, [], []
        self.rejecting = False

    def admit(self, now_s, caller, deadline_s, ticket):
        if self.rejecting:
            return Rejected(0.5)
        if self.running < self.slots:
            self.running += 1
            return Admitted()
        self.queue.append((deadline_s, ticket))
        return Queued()

    def release(self, now_s, ticket, latency_s, outcome):
        self.outcomes.append(outcome.value)
        if self.queue:
            return (self.queue.pop(0)[1],)
        self.running -= 1
        return ()

    def expire(self, now_s):
        expired = tuple(ticket for deadline_s, ticket in self.queue if deadline_s <= now_s)
        self.queue = [entry for entry in self.queue if entry[0] > now_s]
        return expired


class FakeRetryBudget:
    allowed = 1000

    def record_request(self, now_s):
        pass

    def try_acquire(self, now_s):
        self.allowed -= 1
        return self.allowed >= 0


class FakeAttemptTable:
    """Attempt table without expiry; identifiers have the form `node.incarnation.epoch.suffix`."""

    def __init__(self, node):
        self.node, self.rows, self.numbers = node, {}, itertools.count()

    def prefix(self, now_s):
        return f"{self.node}.1.0."

    def on_arrival(self, now_s, request_id):
        if request_id is None:
            request_id = f"{self.prefix(now_s)}auto{next(self.numbers)}"
        node, _, _ = request_id.partition(".")
        if request_id.count(".") < 3:
            return Reject(RejectReason.NOT_ISSUED)
        if node != self.node:
            return Forward(node, 1)
        row = self.rows.get(request_id)
        if row is None:
            self.rows[request_id] = ("running", None)
            return Start(request_id)
        if row[0] == "running":
            return InProgress()
        return Replay(row[1]) if row[1] is not None else RecordedOutcome(row[0])

    def finish(self, now_s, request_id, outcome, response):
        self.rows[request_id] = (outcome, response)


SERVICE = build_service(
    {
        "name": "keeper-desk",
        "upstreams": [],
        "routes": [{"prefix": "/"}],
        "retry_rules": [{"methods": ["GET", "HEAD", "PUT"], "prefix": "/levels", "attempts": 3}],
    }
)


def make_settings(callers=None, upstreams=None, node="n1"):
    return build_settings(
        {
            "node": node,
            "region": "viti",
            "zone": "viti-a",
            "caller_address": "127.0.0.1:1",
            "peer_address": "127.0.0.1:2",
            "operator_address": "127.0.0.1:3",
            "platform": {"kind": "memory"},
            "callers": callers or {},
            "upstreams": upstreams or {},
        }
    )


class FakeContext:
    def __init__(self, settings):
        self.settings = settings
        self.upstreams = UpstreamClient(settings.upstreams)
        self.ejector, self.load_tracker = FakeEjector(), FakeLoadTracker()
        self.draining_upstreams = SimpleNamespace(addresses=set())
        self.draining_upstreams.on_drain_response = (
            lambda now_s, address: self.draining_upstreams.addresses.add(address)
        )
        self.attempts = FakeAttemptTable(settings.node)
        self.admission_control, self.budget = FakeAdmission(), FakeRetryBudget()
        self.shutting_down, self.reasons, self.nodes = False, (), {}
        self.completions, self.counted = [], []
        self.router = lambda service: SimpleNamespace(choose=choose_first)
        self.admission = lambda service: self.admission_control
        self.retry_budget = lambda service: self.budget
        self.stored_response = Stored
        self.members = lambda: ()
        self.entry_addresses = lambda members, service, region, caller, count: ("127.0.0.1:1",)
        self.has_service = lambda service: service == SERVICE.name
        self.node_address = lambda node, incarnation: self.nodes.get(node)
        self.not_ready_reasons = lambda: self.reasons
        self.count = self.counted.append

    def route(self, host, path):
        return SERVICE if not self.reasons and not path.startswith("/nowhere") else None

    def rule_for(self, service, method, path):
        (rule,) = service.retry_rules
        return rule if method in rule.methods and path.startswith(rule.prefix) else None

    def rule_for_head(self, head):
        return self.rule_for(SERVICE, *head.split())

    def record_completion(self, service, status, latency_s, outcome):
        self.completions.append((status, outcome))


class Node:
    """A running server with the application and its fakes."""

    def __init__(self, callers=None, upstreams=None, node="n1"):
        self.settings = make_settings(callers, upstreams, node)
        self.stop = asyncio.Event()
        self.memory = CallerMemory(self.settings.callers.memory_limit_bytes)
        self.pressure = CallerPressure(self.memory)

    async def __aenter__(self):
        self.context = FakeContext(self.settings)
        listener = bind("127.0.0.1:0")
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        started = asyncio.Event()
        application = create_application(self.context)
        self.serving = asyncio.create_task(
            serve(
                application,
                self.settings.callers,
                listener,
                self.stop,
                started.set,
                protocol_class(self.settings.callers, self.pressure),
            )
        )
        await asyncio.wait_for(started.wait(), 5)
        return self

    async def __aexit__(self, *error):
        self.stop.set()
        if error[0] is None:
            await asyncio.wait_for(self.serving, 10)
        else:
            self.serving.cancel()
        await self.context.upstreams.close()

    async def call(self, head, body=b"", **headers):
        return await call(self.address, head, body, **headers)


class Upstream:
    """A raw HTTP server; `answer(request, writer)` writes the response to each request.

    The connection is closed if `answer` returns False.
    """

    def __init__(self, answer, host="127.0.0.1"):
        self.answer, self.host = answer, host
        self.requests, self.connections, self.open = [], 0, 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._accept, self.host, 0)
        self.address = f"{self.host}:{self.server.sockets[0].getsockname()[1]}"
        self.tasks = set()
        return self

    async def __aexit__(self, *error):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self.connections += 1
        self.open += 1
        self.tasks.add(asyncio.current_task())
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    request = await read_request(reader)
                    self.requests.append(request)
                    if await self.answer(request, writer) is False:
                        break
        finally:
            self.open -= 1
            # A writer that is closed after its event loop raises in the garbage collector.
            writer.close()


def parse_fields(lines):
    """Returns the header fields; asserts that no field occurs twice."""
    fields = [line.split(": ", 1) for line in lines if line]
    found = {name.lower(): value for name, value in fields}
    assert len(found) == len(fields), fields
    return found


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = parse_fields(head[1:])
    return Request(head[0], headers, await read_body(reader, headers))


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_response(reader, method="GET"):
    """Returns a complete response; raises IncompleteReadError or ConnectionError otherwise."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = parse_fields(head[1:])
    status = int(head[0].split()[1])
    bodiless = method == "HEAD" or status in (204, 304)
    return Response(status, headers, b"" if bodiless else await read_body(reader, headers))


async def call(address, head, body=b"", **headers):
    """Sends `head` ("GET /path") on a new connection and returns the response."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(encode(head, body, **headers))
        return await asyncio.wait_for(read_response(reader, head.split()[0]), 15)
    finally:
        writer.close()


def encode(head, body=b"", **headers):
    lines = [f"{head} HTTP/1.1", "Host: keeper.example"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def ok(body=b"fine", headers=""):
    """Returns an answer function with a fixed response."""

    async def answer(request, writer):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        writer.write(head.encode() + (b"" if request.line.startswith("HEAD") else body))
        await writer.drain()

    return answer


def raw(data, then_close=True):
    """Returns an answer function that writes these bytes."""

    async def answer(request, writer):
        writer.write(data)
        await writer.drain()
        return not then_close

    return answer
