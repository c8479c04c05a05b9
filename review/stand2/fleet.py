"""Starts edge processes with the command of the deploy file, a store and scripted instances."""

import asyncio
import base64
import contextlib
import json
import os
import secrets
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "pond.example"
ZONE = "viti-suva"
READY_LIMIT_S = 20.0

SETTINGS = """
nodeName = "edge-viti-suva-{number}"
role = "edge"
machineClass = "edge"
serves = ["edge","control_plane","directory"]
ip = "{ip}"
zone = "{zone}"
region = "viti"
internalPorts = [{port},{last_port}]
seeds = [{seeds}]
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
bounds = ["seedLagS=3","addrReuseS=2","stableWindowMs=3000","ackMs=4000","catchUpS=4",
  "drainMs=2000","graceS=6","lossSlackMs=200","configApplyMs=2000","downgradeSlackMs=250",
  "maxStretchMs=5000","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=64",
  "recoverS=15","ttl_max_s=5","probesPerS=3","floorShare=0.7"{bounds}]
[zones]
viti-suva = "viti"
viti-lautoka = "viti"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpuShare = 0.86
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[provider]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


class Record:
    """Appends what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        print(f"{time.monotonic() - self._start_s:8.3f} {text}", file=self._file, flush=True)


class Request(NamedTuple):
    """A request as an instance has received it."""

    method: str
    target: str
    headers: dict[str, str]  # Names in lower case.
    body: bytes
    is_closed: Callable[[], bool]  # Whether the sender has closed the connection.


class Answer(NamedTuple):
    """An answer as a client has received it; `complete` says whether HTTP calls it complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    error: str


Handler = Callable[["Instance", Request, asyncio.StreamWriter], Awaitable[bool]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads a start line and the header fields.

    Lines with the same name are combined, separated by commas (RFC 9110, 5.3).
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            name, value = name.strip().lower(), value.strip()
            fields[name] = f"{fields[name]}, {value}" if name in fields else value
    return lines[0], fields


async def read_chunked(reader: asyncio.StreamReader, body: bytearray) -> None:
    """Reads a chunked body into `body`."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)


class Instance:
    """An instance: it checks Expect-Instance, answers by `handler`, and records what it runs."""

    def __init__(self, key: str, service: str, record: Record, handler: Handler) -> None:
        self.key, self.service, self.record, self.handler = key, service, record, handler
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.address = ""
        self.ran: list[str] = []  # Identifiers of the requests that it has begun to run.
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def entry(self) -> bytes:
        """Returns its entry in the store."""
        self.sequence += 1
        info = {"service": self.service, "version": "v1", "zone": ZONE, "slots": 6}
        status = {"state": self.state, "sequence": self.sequence, "warmupLeftMs": 0}
        document = {"address": self.address, "born": self.born, "info": info, "status": status}
        return json.dumps(document).encode()

    def head(self, request: Request, status: str, *fields: str) -> bytes:
        """Returns the head of an answer with the identifier and the seal."""
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.headers['request-id']}"]
        return "\r\n".join([*lines, f"Response-Seal: {SEAL}", *fields, "", ""]).encode()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = bytearray()
                if "chunked" in headers.get("transfer-encoding", ""):
                    await read_chunked(reader, body)
                else:
                    body += await reader.readexactly(int(headers.get("content-length", 0)))
                request = Request(method, target, headers, bytes(body), reader.at_eof)
                if headers.get("expect-instance", self.key) != self.key:
                    writer.write(
                        b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                        + f"Request-Id: {headers['request-id']}\r\n".encode()
                        + b"Content-Length: 0\r\n\r\n"
                    )
                    await writer.drain()
                    continue
                self.ran.append(headers["request-id"])
                self.record.write(f"{self.key} runs {headers['request-id']}: {line}")
                if not await self.handler(self, request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def answer_ok(instance: Instance, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Handler that answers at once with the target as the body."""
    body = request.target.encode()
    writer.write(instance.head(request, "200 OK", f"Content-Length: {len(body)}") + body)
    await writer.drain()
    return True


def route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Returns a route for the path /NAME/, with the times that `fleetbench wire` shows."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000 if kind == "safe" else 4000,
        "targetLatencyMs": 1200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    } | fields


def configuration(
    version: int, routes: Sequence[Mapping[str, object]], services: Sequence[str], **fields: object
) -> bytes:
    """Returns the record of a configuration."""
    listed = [
        {"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False}
        for name in services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    document = {"version": f"r{version}", "routes": routes, "services": listed, "limits": limits}
    return json.dumps(document | fields).encode()


class Store:
    """The process of the store."""

    async def start(self) -> None:
        """Starts the process."""
        paths = (str(ROOT), str(ROOT / "review"), str(ROOT / "target" / "deps"))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "stand2.store",
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = str(await self._read())

    async def _read(self) -> Any:
        assert self._process.stdout is not None
        return json.loads(await asyncio.wait_for(self._process.stdout.readline(), 20))

    async def order(self, **fields: object) -> Any:
        """Sends one order and returns its result."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(fields).encode() + b"\n")
        return await self._read()

    async def append(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record; an empty value removes the key."""
        encoded = base64.b64encode(value).decode()
        await self.order(do="append", topic=topic, key=key, value=encoded)

    async def close(self) -> None:
        """Ends the process."""
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Edge:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, fleet: "Fleet", number: int) -> None:
        self.number, self._fleet = number, fleet
        self.ip = fleet.ip(number)
        self.path = fleet.folder / f"edge-{number}.toml"
        self.log_path = fleet.folder / f"edge-{number}.log"
        self.front = (self.ip, 8144)
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, bootstrap: bool = True) -> None:
        """Starts the process with the command of the deploy file."""
        fleet = self._fleet
        seeds = ",".join(f'"{fleet.ip(n)}:8146"' for n in range(1, min(3, fleet.size) + 1))
        self.path.write_text(
            SETTINGS.format(
                number=self.number,
                ip=self.ip,
                zone=ZONE,
                port=7660,
                last_port=7675,
                seeds=seeds,
                bootstrap="true" if bootstrap else "false",
                bounds=fleet.bounds,
                front=8144,
                readiness=8140,
                control=8146,
                directory=8143,
                store=fleet.store.address,
            )
        )
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["edge"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | role.get("env", {})
        environment["ANVILTRAY_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        fleet.record.write(f"edge {self.number} started")

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Identifier of the process."""
        assert self._process is not None
        return self._process.pid

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._fleet.record.write(f"edge {self.number} gets {number.name}")
        self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process and returns its status."""
        assert self._process is not None
        return await self._process.wait()

    def kill(self) -> None:
        """Ends the process at once."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()

    async def close(self) -> None:
        """Ends the process."""
        self.kill()
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the process answers the readiness question with 200."""
        try:
            answer = await asyncio.wait_for(exchange((self.ip, 8140), b"GET /v1/ready", {}), 1)
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def until_ready(self) -> None:
        """Waits until it is ready."""
        deadline_s = time.monotonic() + READY_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > deadline_s:
                raise CannotRun(f"edge {self.number} is not ready")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case could not run."""


class Fleet:
    """The store, some edge processes and some instances, which write their entries by heartbeat."""

    def __init__(self, record: Record, size: int = 1, bounds: str = "") -> None:
        self.record, self.size, self.bounds = record, size, bounds
        self.store = Store()
        self.instances: list[Instance] = []
        # Ports are the same on all machines, so each fleet takes a network of its own.
        self._network = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250)}"
        self._stack = contextlib.AsyncExitStack()
        self._silent: set[str] = set()

    def ip(self, number: int) -> str:
        """Returns the address of an edge process."""
        return f"{self._network}.{number}"

    async def __aenter__(self) -> "Fleet":
        self.folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        await self.store.start()
        self._stack.push_async_callback(self.store.close)
        self.edges = [Edge(self, number) for number in range(1, self.size + 1)]
        return self

    async def __aexit__(self, *error: object) -> None:
        for edge in self.edges:
            edge.kill()  # All of them first, in case that this is interrupted.
        for edge in self.edges:
            await edge.close()
        for instance in self.instances:
            await instance.close()
        await self._stack.aclose()

    async def add(self, instance: Instance) -> None:
        """Starts an instance and its heartbeat."""
        await instance.start()
        self.instances.append(instance)
        await self.write_entry(instance)
        beating = asyncio.create_task(self._beat(instance))
        self._stack.callback(beating.cancel)

    async def write_entry(self, instance: Instance) -> None:
        """Writes the entry of an instance."""
        await self.store.append("keyed.servers", instance.key, instance.entry())

    async def remove_entry(self, instance: Instance) -> None:
        """Removes the entry of an instance, which then writes none any more."""
        self._silent.add(instance.key)
        await self.store.append("keyed.servers", instance.key, b"")

    async def _beat(self, instance: Instance) -> None:
        while True:
            await asyncio.sleep(1.5)
            if instance.key not in self._silent:
                await self.write_entry(instance)

    async def configure(self, record: bytes) -> None:
        """Writes a configuration."""
        await self.store.append("keyed.op", "config", record)

    async def start(self) -> None:
        """Starts all edge processes and waits until they are ready."""
        await asyncio.gather(*(edge.start() for edge in self.edges))
        await asyncio.gather(*(edge.until_ready() for edge in self.edges))
        self.record.write("all edge processes are ready")


async def receive(reader: asyncio.StreamReader, method: bytes) -> Answer:
    """Reads one answer as HTTP/1.1 frames it."""
    status, headers, body = 0, {}, bytearray()
    try:
        line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
        if method == b"HEAD" or status in (204, 304):
            pass
        elif "chunked" in headers.get("transfer-encoding", ""):
            await read_chunked(reader, body)
        elif "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
        else:
            body += await reader.read()
        return Answer(status, headers, bytes(body), True, "")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return Answer(status, headers, bytes(body), False, repr(error))


async def exchange(
    address: tuple[str, int], head: bytes, headers: Mapping[str, str], body: bytes = b""
) -> Answer:
    """Sends `head` ("GET /path") on a new connection and returns the answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        fields = {"Host": HOST, **headers}
        if body:
            fields["Content-Length"] = str(len(body))
        text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(head + b" HTTP/1.1\r\n" + text.encode() + b"\r\n" + body)
        return await receive(reader, head.split()[0])
    finally:
        writer.close()


async def ask(
    record: Record, address: tuple[str, int], head: str, request_id: str, deadline_ms: int = 8000
) -> Answer:
    """Sends one client attempt and records its answer."""
    record.write(f"client sends {request_id}: {head}")
    body = b"x" * 16 if head.startswith("POST") else b""
    headers = {"Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
    answer = await exchange(address, head.encode(), headers, body)
    kind = "complete" if answer.complete else "broken off"
    record.write(
        f"client gets {request_id}: status {answer.status}, {kind}, {len(answer.body)} bytes"
        f" {answer.body[:60]!r} {answer.error}"
    )
    return answer


def run_case(
    file: str, case: Callable[[Record, bool], Awaitable[bool]], limit_s: float = 110.0
) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run."""
    record = Record(Path(file).resolve().parent)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")

    async def limited() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, trouble), limit_s)

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case couldn't run: {error!r}")
        return 2
    record.write("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
