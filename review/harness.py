"""Shared parts of the review scripts: processes, store, instances, callers and the record.

The programs run with the commands of `deploy/system.toml`; all addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.store import StoreStandin  # noqa: E402
from standins.store._application import StoreConditions  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "keeper.example"
HEARTBEAT_S = 1.5
# Bounds of the site file that the claims name.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 64,
    "recoverS": 15,
    "ttl_max_s": 5,
    "probesPerS": 3,
    "floorShare": 0.7,
}
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
{zone} = "viti"
[listen]
front = "{ip}:8144"
readiness = "{ip}:8140"
control = "{ip}:8146"
directory = "{ip}:8143"
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


class NotRunnable(Exception):
    """The case could not run."""


class Record:
    """Writes what happened, with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        self._file.write(f"{self.now_s():9.3f} {text}\n")

    def say(self, text: str) -> None:
        self.add(text)
        print(f"{self.now_s():9.3f} {text}", flush=True)

    def close(self) -> None:
        self._file.close()


class Arrival(NamedTuple):
    """A request that reached an instance."""

    at_s: float
    request_id: str
    host: str  # IP address of the edge host that sent it.


class Sent(NamedTuple):
    """A request of a caller and its result."""

    request_id: str
    path: str
    host: str  # IP address of the edge host.
    sent_s: float
    ended_s: float
    status: int  # 0 if the connection ended without a response.
    headers: dict[str, str]
    body: bytes


class Head(NamedTuple):
    """Start line and header fields of a message."""

    line: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Returns the next message head; raises IncompleteReadError at the end of the input."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    return Head(lines[0], {name.strip().lower(): value.strip() for name, _, value in fields})


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Returns the body that belongs to a head."""
    if "chunked" not in headers.get("transfer-encoding", "").lower():
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


class Instance:
    """A sound instance: one request at a time on a connection, registered in the store."""

    def __init__(self, record: Record, store: StoreStandin, zone: str, key: str, service: str):
        self.record, self.store, self.zone = record, store, zone
        self.key, self.service = key, service
        self.born = int(time.time() * 1000)
        self.work_s = 0.05
        self.headers = ""  # Further header lines of each response.
        self.arrivals: list[Arrival] = []
        self.state = "ready"
        self.address = ""
        self._sequence = 0
        self._cut = False  # Whether the instance does not reach the store.
        self._tasks: set[asyncio.Task[Any]] = set()
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self) -> None:
        if self._cut or self.store.conditions != StoreConditions():
            return  # The store is in disturbance or out of reach.
        self._sequence += 1
        document = {
            "address": self.address,
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 6},
            "status": {"state": self.state, "sequence": self._sequence, "warmupLeftMs": 0},
        }
        self.store.append_record("keyed.servers", self.key, json.dumps(document).encode())

    def cut_from_store(self) -> None:
        """Keeps the reports of the instance from the store; requests still reach it."""
        self.register()  # The silence, after which the entry lapses, begins now.
        self._cut = True
        self.record.say(f"instance {self.key}: cut off from the store")

    def leave_unannounced(self) -> float:
        """Removes the entry without reporting `draining`; returns the time of the removal."""
        assert self._beating is not None
        self._beating.cancel()
        self.store.append_record("keyed.servers", self.key, b"")
        self.record.say(f"instance {self.key}: entry removed, still serving")
        return self.record.now_s()

    def close(self) -> None:
        """Ends the instance and its connections."""
        if self._beating is None:
            return  # It has not started.
        self._beating.cancel()
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self.serve(reader, writer):
                pass
        self._tasks.discard(task)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serves the next request; returns whether the connection stays open."""
        head = await read_head(reader)
        await read_body(reader, head.headers)
        request_id = head.headers.get("request-id", "")
        if head.headers.get("expect-instance", self.key) != self.key:
            self.respond(writer, "421 Misdirected Request", request_id, b"", sealed=False)
            return True
        peer = writer.get_extra_info("peername")[0]
        self.arrivals.append(Arrival(self.record.now_s(), request_id, peer))
        self.record.add(f"instance {self.key} runs {request_id} {head.line!r} from {peer}")
        await asyncio.sleep(self.work_s)
        self.respond(writer, "200 OK", request_id, f"{self.service} {request_id}".encode())
        await writer.drain()
        return True

    def respond(
        self,
        writer: asyncio.StreamWriter,
        status: str,
        request_id: str,
        body: bytes,
        sealed: bool = True,
    ) -> None:
        """Writes a response."""
        seal = "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" if sealed else ""
        writer.write(
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nRequest-Id: {request_id}\r\n"
            f"{seal}{self.headers}\r\n".encode() + body
        )


class EdgeHost:
    """One edge process."""

    def __init__(self, ip: str, settings: Path, log: Path) -> None:
        self.ip, self.settings, self.log = ip, settings, log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["edge"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= deploy.get("env", {})
        environment |= {
            "ANVILTRAY_SETTINGS": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["run"].split(), cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def has_ended(self) -> bool:
        return not self.running

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def log_lines(self) -> list[dict[str, Any]]:
        lines = self.log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Deployment:
    """The store, instances and edge hosts of one run."""

    def __init__(self, case: Path, zone: str = "viti-lautoka") -> None:
        self.record = Record(case / "record.txt")
        self.zone = zone
        self.directory = tempfile.TemporaryDirectory(prefix="anviltray-review-")
        self.store = StoreStandin()
        self.instances: dict[str, Instance] = {}
        self.hosts: list[EdgeHost] = []
        self.network = ""
        self.sent: list[Sent] = []
        self.bounds = dict(BOUNDS)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._number = 0

    async def start(
        self, hosts: int, services: dict[str, int], configuration: bytes, kind: type = Instance
    ) -> None:
        self.network = _free_network()
        await self.store.start()
        self.store.append_record("keyed.op", "config", configuration)
        for service, count in services.items():
            for number in range(1, count + 1):
                key = f"i-{service}-{number}"
                self.instances[key] = kind(self.record, self.store, self.zone, key, service)
                await self.instances[key].start()
        for number in range(1, hosts + 1):
            self.hosts.append(self.prepare_host(number))
            await self.hosts[-1].start()
        await self.until(self._all_ready, 40.0)
        self.record.say(f"{hosts} hosts are ready")

    def prepare_host(self, number: int, bootstrap: bool = True) -> EdgeHost:
        ip = f"{self.network}.{number}"
        path = Path(self.directory.name) / f"{number}.toml"
        path.write_text(
            _SETTINGS.format(
                number=number,
                ip=ip,
                zone=self.zone,
                seeds=",".join(f'"{self.network}.{seed}:8146"' for seed in (1, 2, 3)),
                bootstrap=str(bootstrap).lower(),
                bounds=",".join(f'"{name}={value}"' for name, value in self.bounds.items()),
                store=self.store.address,
            )
        )
        return EdgeHost(ip, path, path.with_suffix(".log"))

    async def _all_ready(self) -> bool:
        states = [await self.is_ready(host) for host in self.hosts]
        return all(states)

    async def is_ready(self, host: EdgeHost) -> bool:
        return await fetch_status(host.ip, 8140, "/v1/ready") == 200

    async def until(self, condition: Callable[[], Awaitable[bool]], limit_s: float) -> None:
        deadline_s = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > deadline_s:
                raise NotRunnable("a condition did not come true in time")
            await asyncio.sleep(0.1)

    def set_store(self, **conditions: Any) -> None:
        """Sets the conditions of the store; those not named are normal."""
        self.record.say(f"store: {conditions or 'normal'}")
        self.store.conditions = StoreConditions(**conditions)

    async def request(
        self, ip: str, path: str, method: str = "GET", body: bytes = b"", limit_ms: int = 3000
    ) -> Sent:
        """Sends one request on a new connection and returns its result."""
        self._number += 1
        request_id = f"c{self._number:06d}"
        sent_s = self.record.now_s()
        status, headers, content = 0, {}, b""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        try:
            async with asyncio.timeout(limit_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(ip, 8144)
                try:
                    writer.write(
                        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
                        f"Deadline-Ms: {limit_ms}\r\n{length}\r\n".encode() + body
                    )
                    head = await read_head(reader)
                    content = await read_body(reader, head.headers)
                    status, headers = int(head.line.split()[1]), head.headers
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        result = Sent(request_id, path, ip, sent_s, self.record.now_s(), status, headers, content)
        self.sent.append(result)
        self.record.add(
            f"caller {request_id} {method} {path} at {ip}, sent {sent_s:.3f}: "
            f"{status} {bytes(content)!r:.60}"
        )
        return result

    def start_traffic(
        self, hosts: Iterable[EdgeHost], paths: Iterable[str], pause_s: float
    ) -> None:
        """Starts one caller for each host and path that sends a request every `pause_s`."""
        paths = tuple(paths)
        for host in hosts:
            for path in paths:
                self.spawn(self._send_steadily(host, path, pause_s))

    async def _send_steadily(self, host: EdgeHost, path: str, pause_s: float) -> None:
        await asyncio.sleep(pause_s * secrets.randbelow(1000) / 1000)
        while True:
            if host.running:
                self.spawn(self.request(host.ip, f"{path}{self._number}"))
            await asyncio.sleep(pause_s)

    async def find_readers(self) -> list[EdgeHost]:
        """Returns the hosts that call the store, the busiest first."""
        before = [await _store_calls(host) for host in self.hosts]
        await asyncio.sleep(3.0)
        after = [await _store_calls(host) for host in self.hosts]
        calls = {host.ip: a - b for host, a, b in zip(self.hosts, after, before, strict=True)}
        self.record.say(f"calls to the store in 3 s: { {k: v for k, v in calls.items() if v} }")
        ranked = sorted(self.hosts, key=lambda host: -calls[host.ip])
        return [host for host in ranked if calls[host.ip] > 0]

    def spawn(self, work: Any) -> "asyncio.Task[Any]":
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        for host in self.hosts:
            host.send_signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        for instance in self.instances.values():
            instance.close()
        await self.store.close()
        self.keep_logs(os.environ.get("KEEP_LOGS"))
        self.directory.cleanup()

    def keep_logs(self, directory: str | None) -> None:
        """Copies what the hosts have logged, for a closer look at a run."""
        if directory:
            Path(directory).mkdir(parents=True, exist_ok=True)
            for host in self.hosts:
                (Path(directory) / f"{host.ip}.log").write_bytes(host.log.read_bytes())


async def fetch(ip: str, port: int, path: str) -> tuple[int, bytes]:
    """Returns status and body of a page of a host; status 0 if it does not respond."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                return int(head.line.split()[1]), body
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return 0, b""


async def _store_calls(host: EdgeHost) -> float:
    _, body = await fetch(host.ip, 9464, "/metrics")
    for line in body.decode().splitlines():
        if line.startswith('anviltray_store_total{event="calls"}'):
            return float(line.split()[-1])
    raise NotRunnable(f"{host.ip} has no count of its calls to the store")


async def fetch_status(ip: str, port: int, path: str) -> int:
    """Returns the status of a page of a host; 0 if it does not respond."""
    return (await fetch(ip, port, path))[0]


def _free_network() -> str:
    for _ in range(50):
        network = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250)}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.1", 8144))
            return network
        except OSError:
            continue
    raise NotRunnable("no free loopback network")


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route for the path /NAME/."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    } | fields


def configuration(version: int, routes: list[dict[str, Any]]) -> bytes:
    """Returns the record of a configuration."""
    names = sorted({item["service"] for item in routes} | {"keeper", "supply"})
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False}
        for name in names
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    document = {"version": f"r{version}", "routes": routes, "services": services, "limits": limits}
    return json.dumps(document).encode()


def run(case: Path, play: Callable[[Deployment], Awaitable[int]]) -> None:
    """Runs `play` and exits with its result; ends all processes in any case."""

    async def main() -> int:
        deployment = Deployment(case)
        # Stopping the script ends its processes too.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(115.0):
                return await play(deployment)
        except (NotRunnable, OSError, TimeoutError) as error:
            deployment.record.say(f"the case could not run: {error or type(error).__name__}")
            return NOT_RUN
        except asyncio.CancelledError:
            return NOT_RUN
        except Exception:
            # An uncaught exception would end the process with the status of a broken rule.
            traceback.print_exc()
            return NOT_RUN
        finally:
            await deployment.close()
            deployment.record.close()

    sys.exit(asyncio.run(main()))
