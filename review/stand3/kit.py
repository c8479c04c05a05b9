"""A small deployment for one case: the program's processes, a store, instances and clients.

The hosts are processes of the program, started with the command of the deploy file. The store is
the project's own stand-in, in the process of the script. Instances and clients are raw sockets, so
that a case can send and answer exactly the bytes that it needs.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from standins.store import StoreStandin

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "desk.example"
FRONT, READINESS, CONTROL, DIRECTORY, INTERNAL = 8144, 8140, 8146, 8143, 7660
HEARTBEAT_S = 1.5
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HELD, BROKEN, NOT_RUN = 0, 1, 2

_SETTINGS = """
nodeName = "edge-{zone}-{number}"
role = "edge"
machineClass = "edge"
serves = ["edge","directory","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "viti"
internalPorts = [7660,7675]
seeds = [{seeds}]
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
bounds = [{bounds}]
[zones]
viti-suva = "viti"
[listen]
front = "{ip}:8144"
readiness = "{ip}:8140"
control = "{ip}:8146"
directory = "{ip}:8143"
[limits]
cpuShare = 0.86
cores = 1
memoryMb = {memory_mb}
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
# The bounds of the first site, vpw-tray.
BOUNDS = {
    "seedLagS": "3",
    "addrReuseS": "2",
    "stableWindowMs": "3000",
    "ackMs": "4000",
    "catchUpS": "4",
    "drainMs": "2000",
    "graceS": "6",
    "lossSlackMs": "200",
    "configApplyMs": "2000",
    "downgradeSlackMs": "250",
    "maxStretchMs": "5000",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "retryBudgetSlack": "64",
    "recoverS": "15",
    "ttl_max_s": "5",
    "probesPerS": "3",
    "floorShare": "0.7",
}


class Record:
    """The file that tells what was sent, answered and run; times are since its creation."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Head(NamedTuple):
    """First line and fields of a message, with names in lower case."""

    line: str
    fields: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Returns the next head; raises IncompleteReadError at the end of the connection.

    Fields of the same name are combined, as in RFC 9110, 5.3.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            name, value = name.strip().lower(), value.strip()
            fields[name] = f"{fields[name]}, {value}" if name in fields else value
    return Head(lines[0], fields)


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Returns the body of a message with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return body


class Run(NamedTuple):
    """One request that reached an instance."""

    at_s: float
    request_id: str
    line: str
    instance: str
    fields: dict[str, str]
    body: bytes


class Instance:
    """A sound instance: it echoes the id, seals its answers and drops work of lost connections.

    `work_s` returns the time that a request takes, `answer` may write another answer.
    """

    def __init__(
        self,
        kit: "Kit",
        key: str,
        service: str,
        work_s: Callable[[Head], float] = lambda head: 0.02,
        answer: Callable[["Instance", Head, asyncio.StreamWriter], Awaitable[bool]] | None = None,
        slots: int = 50,
    ) -> None:
        self.kit, self.key, self.service = kit, key, service
        self.work_s, self.answer, self.slots = work_s, answer, slots
        self.born = int(time.time() * 1000)
        self.address = ""
        self.runs: list[Run] = []
        self.ended: dict[str, tuple[float, str]] = {}  # By request: when and how its work ended.
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens and registers."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._beating = asyncio.create_task(self._beat())

    def leave(self) -> None:
        """Has its entry removed, and goes on serving."""
        if self._beating is not None:
            self._beating.cancel()
        self.kit.store.append_record("keyed.servers", self.key, b"")

    async def stop(self) -> None:
        """Ends without a word."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def entry(self) -> bytes:
        """Returns what it writes to the store."""
        self._sequence += 1
        info = {
            "service": self.service,
            "version": "v1",
            "zone": "viti-suva",
            "slots": self.slots,
        }
        status = {"state": "ready", "sequence": self._sequence, "warmupLeftMs": 0}
        document = {"address": self.address, "born": self.born, "info": info, "status": status}
        return json.dumps(document).encode()

    async def _beat(self) -> None:
        while True:
            self.kit.store.append_record("keyed.servers", self.key, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if not await self._handle(head, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return  # Cancelled at the end of the case.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, head: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        record, request_id = self.kit.record, head.fields.get("request-id", "")
        if head.fields.get("expect-instance", self.key) != self.key:
            await read_body(reader, head.fields)
            expected = head.fields["expect-instance"]
            record.write(f"{self.key} answers 421 to {request_id}: it expects {expected!r}")
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                b"Request-Id: " + request_id.encode() + b"\r\n\r\n"
            )
            return True
        body = await read_body(reader, head.fields)
        self.runs.append(Run(record.now_s(), request_id, head.line, self.key, head.fields, body))
        record.write(f"{self.key} runs {request_id} {head.line!r} ({len(body)} bytes)")
        working = asyncio.create_task(asyncio.sleep(self.work_s(head)))
        lost = asyncio.create_task(reader.read(1))
        await asyncio.wait({working, lost}, return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            working.cancel()
            self.ended[request_id] = (record.now_s(), "dropped")
            record.write(f"{self.key} drops {request_id}: its connection was closed")
            return False
        lost.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await lost
        self.ended[request_id] = (record.now_s(), "answered")
        record.write(f"{self.key} answers {request_id}")
        if self.answer is not None:
            return await self.answer(self, head, writer)
        text = f"{self.key} {request_id}".encode()
        writer.write(self.response_head(head, f"Content-Length: {len(text)}\r\n") + text)
        await writer.drain()
        return True

    def response_head(self, head: Head, fields: str) -> bytes:
        """Returns the head of a successful answer."""
        request_id = head.fields.get("request-id", "")
        return (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: {SEAL}\r\n{fields}\r\n"
        ).encode()


class HostProcess:
    """One process of the program, on an address of its own."""

    def __init__(self, kit: "Kit", number: int) -> None:
        self.kit, self.number = kit, number
        self.ip = f"{kit.network}.{number + 1}"
        self.settings = kit.directory / f"{self.ip}.toml"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Address for clients."""
        return f"{self.ip}:{FRONT}"

    @property
    def pid(self) -> int:
        """Process id of the current process."""
        assert self.process is not None
        return self.process.pid

    def start(self, *, bootstrap: bool) -> None:
        """Writes the settings and starts the command of the deploy file."""
        self.settings.write_text(self.kit.settings_of(self, bootstrap), encoding="utf-8")
        path = os.pathsep.join((str(ROOT / "target" / "deps"), str(ROOT)))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": path,
            "ANVILTRAY_SETTINGS": str(self.settings),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        log = (self.kit.directory / f"{self.ip}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "anviltray.edge"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.kit.record.write(f"host {self.number}: process started")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.kit.record.write(f"host {self.number}: {number.name}")
        os.kill(self.pid, number)

    def ended(self) -> int | None:
        """Returns the exit status, negative for a signal, or None while it runs."""
        assert self.process is not None
        return self.process.poll()

    def resident_mb(self) -> float:
        """Returns the memory that the process holds at the moment; 0 if it has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, ValueError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log_tail(self, lines: int = 15) -> str:
        """Returns the end of what the process wrote."""
        path = self.kit.directory / f"{self.ip}.log"
        return "\n".join(path.read_text("utf-8", "replace").splitlines()[-lines:])

    async def is_ready(self) -> bool:
        """Asks the host whether it is ready, like the platform."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, READINESS)
                try:
                    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    return (await read_head(reader)).line.split(" ")[1] == "200"
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Kit:
    """Everything that one case starts; `close` ends all of it."""

    def __init__(self, folder: Path, bounds: dict[str, str] | None = None) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.record.write("with the disruption" if self.trouble else "without the disruption")
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.memory_mb = 300
        network = random.SystemRandom()
        self.network = f"127.{network.randint(2, 250)}.{network.randint(0, 250)}"
        self.store = StoreStandin()
        self.instances: list[Instance] = []
        self.hosts: list[HostProcess] = []

    def settings_of(self, host: HostProcess, bootstrap: bool) -> str:
        """Returns the settings file of a host."""
        return _SETTINGS.format(
            zone="viti-suva",
            number=host.number,
            ip=host.ip,
            seeds=", ".join(f'"{each.ip}:{CONTROL}"' for each in self.hosts[:3]),
            bootstrap=str(bootstrap).lower(),
            bounds=",".join(f'"{name}={value}"' for name, value in self.bounds.items()),
            memory_mb=self.memory_mb,
            store=self.store.address,
        )

    def configure(self, version: int, routes: list[dict[str, Any]], **further: Any) -> None:
        """Writes a configuration, as the operator does."""
        services = sorted({route["service"] for route in routes})
        document = {
            "version": f"r{version}",
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 390} for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            **further,
        }
        self.store.append_record("keyed.op", "config", json.dumps(document).encode())
        self.record.write(f"configuration r{version} written")

    async def start(self, hosts: int, routes: list[dict[str, Any]], **further: Any) -> None:
        """Starts the store, the instances in `instances`, and the hosts; waits until ready."""
        await self.store.start()
        self.configure(1, routes, **further)
        for instance in self.instances:
            await instance.start()
        self.hosts = [HostProcess(self, number) for number in range(hosts)]
        for host in self.hosts:
            host.start(bootstrap=True)
        await self.until_ready(self.hosts)

    async def until_ready(self, hosts: list[HostProcess], limit_s: float = 30.0) -> None:
        """Waits until all these hosts say that they are ready."""
        try:
            async with asyncio.timeout(limit_s):
                for host in hosts:
                    while not await host.is_ready():
                        if host.ended() is not None:
                            raise CannotRunError(f"host {host.number} ended: {host.log_tail()}")
                        await asyncio.sleep(0.1)
        except TimeoutError:
            raise CannotRunError("the hosts were not ready in time") from None
        self.record.write("all hosts are ready")

    async def close(self) -> None:
        """Kills the processes that this case started and removes its folder."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for instance in self.instances:
            await instance.stop()
        with contextlib.suppress(Exception):
            async with asyncio.timeout(3.0):
                await self.store.close()
        shutil.rmtree(self.directory, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be set up."""


def route(name: str, kind: str, timeout_ms: int, target_ms: int = 1200) -> dict[str, Any]:
    """Returns a route for /NAME/ to the service "desk"."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": "desk",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "maxAttempts": 2,
    }


def new_id() -> str:
    """Returns an id for one client attempt."""
    return f"{random.getrandbits(64):016x}"


def request(
    method: str, path: str, request_id: str, deadline_ms: int, body: bytes = b"", extra: str = ""
) -> bytes:
    """Returns the bytes of one request."""
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{extra}{length}\r\n"
    ).encode() + body


class Answer(NamedTuple):
    """What a client got; status 0 if the connection ended first."""

    status: int
    fields: dict[str, str]
    body: bytes


async def ask(
    kit: Kit, address: str, method: str, path: str, deadline_ms: int, body: bytes = b""
) -> tuple[str, Answer]:
    """Sends one request on a new connection and returns its id and the answer."""
    request_id = new_id()
    kit.record.write(f"client sends {request_id} {method} {path} to {address}")
    answer = Answer(0, {}, b"")
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request(method, path, request_id, deadline_ms, body))
                head = await read_head(reader)
                text = await read_body(reader, head.fields)
                answer = Answer(int(head.line.split(" ")[1]), head.fields, text)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        kit.record.write(f"client: {request_id} failed: {error!r:.80}")
    kit.record.write(f"client gets {answer.status} for {request_id}: {answer.body[:80]!r}")
    return request_id, answer


def run_case(folder: Path, case: Callable[[Kit], Awaitable[int]], **options: Any) -> None:
    """Runs a case and exits with its result."""

    async def main() -> int:
        kit = Kit(folder, **options)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110.0):
                result = await case(kit)
        except (Exception, asyncio.CancelledError) as error:
            # Only a broken rule is a 1, whatever else goes wrong.
            kit.record.write(f"could not run: {error!r}")
            result = NOT_RUN
        finally:
            await kit.close()
        kit.record.write(f"result {result}")
        return result

    sys.exit(asyncio.run(main()))
