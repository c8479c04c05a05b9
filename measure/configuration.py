"""Measurements of configuration distribution, membership and message exchange.

Each function returns rows (name, value, unit). Nodes share one event loop and communicate over
real sockets of 127.0.0.1; the platform is in memory.
"""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

from hdrh.histogram import HdrHistogram

from anviltray.declarations import Route, Service, Upstream
from anviltray.messages import Member
from anviltray.platform import MemoryPlatform
from anviltray.settings import Settings, build_settings
from anviltray.state import StateTasks
from anviltray.state.configuration import STREAM, Fold, encode_record, put_service
from anviltray.state.membership import Membership
from anviltray.testing import free_address, wait_until

Row = tuple[str, float, str]

_LOCALITIES = (("viti", "viti-a"), ("viti", "viti-b"), ("vanua", "vanua-a"), ("vanua", "vanua-b"))
_CHANGES = 100
_COLD_STARTS = 10
_IDLE_NODES = 49  # One node and its 48 peers.
_IDLE_S = 30.0
_SERVICES = 1300  # A tenth of the services expected in two years, with the same proportions.
_ROUTES_PER_SERVICE = 22
_UPSTREAMS_PER_SERVICE = 15
_MEMBERS = 3800


def measure_all() -> list[Row]:
    """Returns the rows of all measurements of this module."""
    return [
        *measure_changes(),
        *measure_cold_start(),
        *measure_idle(),
        *measure_memory(),
        *measure_membership(),
    ]


def measure_changes() -> list[Row]:
    """Returns the time until all of 8 nodes have applied a change, and its link bytes."""
    return asyncio.run(_changes())


def measure_cold_start() -> list[Row]:
    """Returns the maximum time until a new node is ready while the platform is unavailable."""
    return asyncio.run(_cold_starts())


def measure_idle() -> list[Row]:
    """Returns bytes sent and processor time of an idle node with 48 peers, mean over 49 nodes."""
    return asyncio.run(_idle())


def measure_memory() -> list[Row]:
    """Returns the memory of the configuration state per service, route and instance."""
    empty = _fold_bytes(0, 0)
    routes = _fold_bytes(_ROUTES_PER_SERVICE, 0)
    upstreams = _fold_bytes(0, _UPSTREAMS_PER_SERVICE)
    return [
        ("state_bytes_per_service", empty / _SERVICES, "B"),
        ("state_bytes_per_route", (routes - empty) / (_SERVICES * _ROUTES_PER_SERVICE), "B"),
        (
            "state_bytes_per_instance",
            (upstreams - empty) / (_SERVICES * _UPSTREAMS_PER_SERVICE),
            "B",
        ),
    ]


def measure_membership() -> list[Row]:
    """Returns the memory of the membership per node, with 3,800 nodes."""
    settings = _settings("n0", _LOCALITIES[0], ())
    own = _member(0)

    def build() -> Membership:
        view = Membership(own, settings.exchange, random.Random(1))
        view.merge(0.0, (_member(index) for index in range(1, _MEMBERS)))
        return view

    return [("membership_bytes_per_node", _retained_bytes(build) / _MEMBERS, "B")]


async def _changes() -> list[Row]:
    platform = MemoryPlatform()
    rng = random.Random(7)
    histogram = HdrHistogram(1, 60_000, 3)
    reverts = 0
    async with _fleet(platform, 8) as nodes:
        await _wait_until(lambda: all(len(n.exchange.membership.usable()) == 8 for n in nodes))
        await asyncio.sleep(10)
        idle_before = _link_bytes(nodes)
        await asyncio.sleep(10)
        idle_bytes_s = (_link_bytes(nodes) - idle_before) / 10
        highest = [node.store.version for node in nodes]
        started_s = time.monotonic()
        before, read_before = _link_bytes(nodes), _remote_read_bytes(nodes)
        for index in range(_CHANGES):
            await asyncio.sleep(rng.uniform(0, 0.5))
            author = rng.choice(nodes)
            command = put_service(
                _service(index, 2, 15), based_on=-1, who="m", why="m", issued_unix_s=0.0
            )
            submitted_s = time.monotonic()
            outcome = await author.publisher.submit(command, 10.0)
            if outcome.outcome != "accepted":
                raise RuntimeError(f"change {index}: expected an accepted command, found {outcome}")
            await _wait_until_version(nodes, outcome.version)
            histogram.record_value(max(1, round((time.monotonic() - submitted_s) * 1000)))
            versions = [node.store.version for node in nodes]
            reverts += sum(new < old for new, old in zip(versions, highest, strict=True))
            highest = versions
        idle_bytes = idle_bytes_s * (time.monotonic() - started_s)
        exchange_bytes = _link_bytes(nodes) - before - idle_bytes
        read_bytes = _remote_read_bytes(nodes) - read_before
    payload = sum(len(item) for item in platform.payloads(STREAM)) / _CHANGES
    return [
        ("config_in_force_p50_s", histogram.get_value_at_percentile(50) / 1000, "s"),
        ("config_in_force_p99_s", histogram.get_value_at_percentile(99) / 1000, "s"),
        ("config_reverts", reverts, "count"),
        ("link_bytes_per_change", (exchange_bytes + read_bytes) / _CHANGES, "B"),
        ("payload_bytes_per_change", payload, "B"),
    ]


async def _cold_starts() -> list[Row]:
    platform = MemoryPlatform()
    longest_s = 0.0
    async with _fleet(platform, 8) as nodes:
        for index in range(20):
            command = put_service(
                _service(index, 2, 15), based_on=-1, who="m", why="m", issued_unix_s=0.0
            )
            await nodes[0].publisher.submit(command, 10.0)
        await _wait_until(lambda: all(node.store.version == 19 for node in nodes))
        platform.available = False
        seeds = [node.exchange.membership.own.peer_address for node in nodes[:2]]
        for index in range(_COLD_STARTS):
            locality = _LOCALITIES[index % len(_LOCALITIES)]
            new_node = _node(platform, f"late{index}", locality, seeds)
            started_s = time.monotonic()
            await new_node.start()
            try:
                await _wait_until(lambda new_node=new_node: new_node.not_ready_reason() is None)  # type: ignore[misc]
                longest_s = max(longest_s, time.monotonic() - started_s)
                if new_node.store.fold.digest != nodes[0].store.fold.digest:
                    raise RuntimeError(
                        "the new node and the first node have different configuration digests"
                    )
            finally:
                await new_node.stop()
    return [("cold_node_ready_log_away_s", longest_s, "s")]


async def _idle() -> list[Row]:
    async with _fleet(MemoryPlatform(), _IDLE_NODES) as nodes:
        await _wait_until(
            lambda: all(len(n.exchange.membership.usable()) == _IDLE_NODES for n in nodes), 120.0
        )
        await asyncio.sleep(20)
        sent = [node.exchange.counters["sent_bytes"] for node in nodes]
        started_s, cpu_s = time.monotonic(), time.process_time()
        await asyncio.sleep(_IDLE_S)
        cpu_s, elapsed_s = time.process_time() - cpu_s, time.monotonic() - started_s
        rates = [
            (node.exchange.counters["sent_bytes"] - before) / elapsed_s
            for node, before in zip(nodes, sent, strict=True)
        ]
        connections = [len(node.exchange.peers) for node in nodes]
    return [
        ("control_bytes_s", sum(rates) / _IDLE_NODES, "B/s"),
        ("control_bytes_max_s", max(rates), "B/s"),
        ("control_cpu_pct", 100 * cpu_s / elapsed_s / _IDLE_NODES, "% of a core"),
        ("connections_mean", sum(connections) / _IDLE_NODES, "count"),
        ("connections_max", max(connections), "count"),
    ]


@asynccontextmanager
async def _fleet(platform: MemoryPlatform, count: int) -> AsyncIterator[list[StateTasks]]:
    """Runs nodes with the first one as their seed and waits until they are ready."""
    nodes: list[StateTasks] = []
    seeds: list[str] = []
    for index in range(count):
        nodes.append(_node(platform, f"n{index}", _LOCALITIES[index % len(_LOCALITIES)], seeds))
        seeds = seeds or [nodes[0].exchange.membership.own.peer_address]
    try:
        for node in nodes:
            await node.start()
        await _wait_until(lambda: all(node.not_ready_reason() is None for node in nodes))
        yield nodes
    finally:
        # Stopped together; otherwise the remaining nodes spend minutes replacing lost connections.
        await asyncio.gather(*(node.abort() for node in nodes))


def _node(
    platform: MemoryPlatform, name: str, locality: tuple[str, str], seeds: Iterable[str]
) -> StateTasks:
    return StateTasks(_settings(name, locality, seeds), platform, b"key", random.Random(name))


def _settings(name: str, locality: tuple[str, str], seeds: Iterable[str]) -> Settings:
    return build_settings(
        {
            "node": name,
            "region": locality[0],
            "zone": locality[1],
            "caller_address": "127.0.0.1:1",
            "peer_address": free_address(),
            "operator_address": "127.0.0.1:1",
            "platform": {"kind": "memory"},
            "exchange": {"seeds": list(seeds)},
        }
    )


async def _wait_until_version(nodes: Iterable[StateTasks], version: int) -> None:
    await _wait_until(lambda: all(node.store.version >= version for node in nodes))


async def _wait_until(condition: Callable[[], bool], timeout_s: float = 30.0) -> None:
    await wait_until(condition, timeout_s, interval_s=0.002)


def _link_bytes(nodes: Iterable[StateTasks]) -> int:
    return sum(node.exchange.counters["link_bytes"] for node in nodes)


def _remote_read_bytes(nodes: Iterable[StateTasks]) -> int:
    """Returns the payload bytes that nodes outside the region of the log have read from it."""
    return sum(
        node.follower.counters["read_bytes"]
        for node in nodes
        if node.exchange.membership.own.region != _LOCALITIES[0][0]
    )


def _service(index: int, routes: int, upstreams: int) -> Service:
    return Service(
        f"service-{index}",
        tuple(
            Upstream(f"10.{index >> 8}.{index & 255}.{i}:8080", "viti", "viti-a", 6, "active")
            for i in range(upstreams)
        ),
        tuple(Route(f"/service-{index}/part-{i}", "") for i in range(routes)),
        0,
        0.5,
        "balanced",
        0.999,
        1000.0,
        (),
    )


def _fold_bytes(routes: int, upstreams: int) -> int:
    payloads = [
        encode_record(
            put_service(
                _service(index, routes, upstreams),
                based_on=-1,
                who="m",
                why="m",
                issued_unix_s=0.0,
            )
        )
        for index in range(_SERVICES)
    ]

    def build() -> Fold:
        fold = Fold()
        for offset, payload in enumerate(payloads):
            fold.apply(offset, payload)
        return fold

    return _retained_bytes(build)


def _retained_bytes(build: Callable[[], object]) -> int:
    """Returns the bytes of memory that the result of `build` occupies."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
        return after - before
    finally:
        tracemalloc.stop()


def _member(index: int) -> Member:
    region, zone = _LOCALITIES[index % len(_LOCALITIES)]
    address = f"10.{index >> 8}.{index & 255}.1"
    return Member(
        f"node-{index}",
        (1 << 62) + index,
        index % 5,
        "alive",
        region,
        zone,
        f"{address}:8080",
        f"{address}:8081",
    )
