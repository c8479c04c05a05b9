"""A fleet of edge hosts in one process, with the stand-in store and scripted instances."""

import asyncio
import contextlib
import itertools
import json
import secrets
import socket
import struct

from anviltray.callers.tests.support import Upstream, call, read_body
from anviltray.edge import Edge
from anviltray.platform import load_host_settings, names
from standins.store import StoreStandin

SETTINGS = """
nodeName = "edge-{number}"
ip = "{ip}"
zone = "{zone}"
region = "viti"
internalPorts = [{port}, {port}]
seeds = ["{seed}:1"]
heartbeatMs = 1500
bootstrap = true
bounds = ["drainMs=2000","graceS=3","configApplyMs=2000","retryBudgetRatio=0.2",
  "budgetWindowS=10","retryBudgetSlack=64","ttl_max_s=5"]
[zones]
viti-suva = "viti"
viti-lautoka = "viti"
[listen]
front = "{ip}:18144"
readiness = "{ip}:18140"
directory = "{ip}:18143"
[provider]
address = "{store}"
"""
SEAL = "Response-Seal: 3e1b.07\r\n"


def respond(status="200 OK", body=b"fine", headers=SEAL, after_s=0.0, echo=True):
    """Returns the handler of an instance that sends this response after `after_s`."""

    async def write(request, writer):
        await asyncio.sleep(after_s)
        extra = f"Request-Id: {request.headers['request-id']}\r\n" if echo else ""
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}{extra}\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    return write


def refuse(status="503 Service Unavailable"):
    """Returns the handler of an overloaded instance, which does not execute the request."""
    return respond(status, b"", "Not-Executed: 1\r\n")


async def reset(request, writer):
    """Resets the connection instead of responding."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    return False


def in_turn(*handlers):
    """Returns a handler that uses the next handler for each request and repeats the last one."""
    remaining = itertools.chain(handlers, itertools.repeat(handlers[-1]))

    async def write(request, writer):
        return await next(remaining)(request, writer)

    return write


def registration(address, service="keeper", state="ready", born=1000):
    """Returns the registration record of an instance."""
    return json.dumps(
        {
            "address": address,
            "born": born,
            "info": {"service": service, "version": "v1", "zone": "viti-suva", "slots": 6},
            "status": {"state": state, "sequence": 1, "warmupLeftMs": 0},
        }
    ).encode()


def route(name, kind, service="keeper", timeout_ms=1500):
    """Returns a route for the path /NAME/."""
    return {
        "name": name,
        "host": "keeper.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def configuration(version=1, routes=None, accounts=None):
    """Returns the record of a configuration with the routes /level/ (idempotent) and /order/.

    `accounts` are the entries of client accounts; without it, the deployment has none.
    """
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": False}
        for name in ("keeper", "supply")
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    routes = routes or [route("level", "safe"), route("order", "unsafe")]
    document = {"version": f"r{version}", "routes": routes, "services": services, "limits": limits}
    if accounts is not None:
        document["tenants"] = accounts
    return json.dumps(document).encode()


class Fleet:
    """Hosts in front of instances; `handlers` has one request handler per instance."""

    def __init__(self, directory, handlers, hosts=1):
        self.directory, self.handlers, self.count = directory, handlers, hosts
        self.store = StoreStandin()
        self.hosts = []
        # Ports are the same on all hosts, so test runs at the same time need other addresses.
        self.network = f"127.{secrets.randbelow(250) + 2}.{secrets.randbelow(250)}"

    async def __aenter__(self):
        await self.store.start()
        self.store.append_record("keyed.op", "config", configuration())
        self.instances = []
        for number, handler in enumerate(self.handlers):
            instance = await Upstream(handler).__aenter__()
            self.instances.append(instance)
            self.store.append_record("keyed.servers", f"i-{number}", registration(instance.address))
        for number in range(1, self.count + 1):
            self.hosts.append(await self.start_host(number))
        for host in self.hosts:
            await self.until(lambda host=host: not host.not_ready_reasons())
        return self

    async def __aexit__(self, *error):
        for host in self.hosts:
            await host.close()
        for instance in self.instances:
            await instance.__aexit__()
        await self.store.close()

    def address(self, number):
        return f"{self.network}.{number}"

    def settings_text(self, number, zone="viti-suva"):
        return SETTINGS.format(
            number=number,
            ip=self.address(number),
            seed=self.address(1),
            zone=zone,
            port=17700,
            store=self.store.address,
        )

    def settings(self, number, zone="viti-suva"):
        path = self.directory / f"{number}.toml"
        path.write_text(self.settings_text(number, zone))
        return load_host_settings(path)

    async def start_host(self, number, zone="viti-suva"):
        host = Edge(self.settings(number, zone))
        await host.start()
        return host

    async def until(self, condition, limit_s=6.0):
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while not condition():
            assert asyncio.get_running_loop().time() < deadline_s
            await asyncio.sleep(0.01)

    async def until_logged(self, process, text, limit_s):
        """Waits for a line of a host process; shows the end of its output if it does not come."""
        try:
            await self.until(lambda: text in process.output.read_bytes(), limit_s)
        except AssertionError:
            state = "runs" if process.running else "has ended"
            raise AssertionError(
                f"no {text} from a process that {state}: {process.tail()}"
            ) from None

    async def until_ready(self, process, settings, limit_s):
        """Waits until a host process accepts requests, which it does not do while it loads."""
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while asyncio.get_running_loop().time() < deadline_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                ready = await call(settings.readiness_address, f"GET {names.READY_PATH}")
                if ready.status == 200:
                    return
            await asyncio.sleep(0.01)
        raise AssertionError(f"a process is not ready: {process.tail()}")

    async def call(self, head, body=b"", host=0, request_id="c1", **headers):
        headers.setdefault("Deadline_Ms", "3000")
        address = self.hosts[host].settings.caller_address
        return await call(address, head, body, Request_Id=request_id, **headers)

    async def page(self, path, host=0, port="readiness_address"):
        return await call(getattr(self.hosts[host].settings, port), f"GET {path}")

    def received(self):
        return sum(len(instance.requests) for instance in self.instances)


__all__ = [
    "SEAL",
    "Fleet",
    "configuration",
    "in_turn",
    "read_body",
    "refuse",
    "registration",
    "reset",
    "respond",
    "route",
]
