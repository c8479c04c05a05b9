"""Added latency and throughput of the request path, compared with a bare pass-through.

Processes on loopback: an echo upstream, the process under test and the load generators. The
processes under test alternate, so that changes of the machine's load affect both; each figure is
the median of the rounds.
"""

import contextlib
import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

from anviltray.testing import free_address
from measure._registry import Result, measurement
from measure._rows import Row

_RATE = 1030  # 3.9 million requests/s over 3,800 nodes.
_ROUNDS = 3
_LATENCY_RUN_S = 8.0
_THROUGHPUT_RUN_S = 5.0
# One load process at the full rate queues requests itself: its p99 is 63 ms even if it sends them
# directly to the echo server.
_LATENCY_LOAD_PROCESSES = 4
_LOAD_PROCESSES = 2  # A single load process is not faster than a node.
_CONNECTIONS = 16


@measurement("request_path")
def measure_request_path() -> Result:
    """Returns the figures of the node, and those of the bare pass-through as the baseline."""
    with _processes() as addresses:
        direct, bare, node = addresses
        latencies: dict[str, list[dict[str, float]]] = {name: [] for name in addresses}
        speeds: dict[str, list[float]] = {bare: [], node: []}
        for round_number in range(_ROUNDS):
            for address in addresses:
                latencies[address].append(_load(address, _RATE, _LATENCY_RUN_S, round_number))
            for address in (bare, node):
                speeds[address].append(_throughput(address, round_number))
            print(f"request path: round {round_number + 1} of {_ROUNDS}", file=sys.stderr)
    added = {
        address: {
            name: statistics.median(
                run[name] - direct_run[name]
                for run, direct_run in zip(latencies[address], latencies[direct], strict=True)
            )
            for name in ("p50_ms", "p99_ms")
        }
        for address in (bare, node)
    }
    rps = {address: statistics.median(values) for address, values in speeds.items()}
    rows = [
        *_latency_rows(added[node]),
        Row("throughput_one_core_rps", rps[node], "1/s"),
        Row("throughput_ratio_to_bare", rps[node] / rps[bare], "1"),
    ]
    baseline = [*_latency_rows(added[bare]), Row("throughput_one_core_rps", rps[bare], "1/s")]
    return Result(rows, baseline)


def _latency_rows(added: dict[str, float]) -> list[Row]:
    return [Row(f"added_latency_{name}", value, "ms") for name, value in added.items()]


def _load(address: str, rate: float, duration_s: float, seed: int) -> dict[str, float]:
    """Returns the mean p50 and the largest p99 of several load processes that share the rate."""
    processes = [
        _start_load(
            address,
            rate / _LATENCY_LOAD_PROCESSES,
            duration_s,
            seed * _LATENCY_LOAD_PROCESSES + number,
        )
        for number in range(_LATENCY_LOAD_PROCESSES)
    ]
    runs = [_figures(process) for process in processes]
    return {
        "p50_ms": statistics.mean(run["p50_ms"] for run in runs),
        "p99_ms": max(run["p99_ms"] for run in runs),
    }


def _throughput(address: str, seed: int) -> float:
    processes = [_start_load(address, 0, _THROUGHPUT_RUN_S, seed) for _ in range(_LOAD_PROCESSES)]
    return sum(_figures(process)["rps"] for process in processes)


def _start_load(address: str, rate: float, duration_s: float, seed: int) -> Any:
    values = {
        "--address": address,
        "--rate": rate,
        "--duration-s": duration_s,
        "--connections": 200 if rate else _CONNECTIONS,
        "--seed": seed,
    }
    arguments = [str(item) for pair in values.items() for item in pair]
    return _start("load", *arguments, stdout=subprocess.PIPE)


def _figures(process: Any) -> dict[str, float]:
    output, _ = process.communicate(timeout=120)
    figures: dict[str, float] = json.loads(output)
    if figures["errors"]:
        raise RuntimeError(f"{figures['errors']:.0f} requests failed")
    return figures


def _start(role: str, *arguments: str, **options: Any) -> Any:
    command = [sys.executable, "-m", "measure._roles", role, *arguments]
    return subprocess.Popen(command, **options)


@contextlib.contextmanager
def _processes() -> Iterator[tuple[str, str, str]]:
    """Starts echo server, pass-through and node; terminates each by its process handle."""
    echo, bare, node = (free_address() for _ in range(3))
    settings = {
        "node": "measure",
        "region": "r",
        "zone": "a",
        "caller_address": node,
        "peer_address": free_address(),
        "operator_address": free_address(),
        "platform": {"kind": "memory"},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        processes = [
            _start("echo", "--address", echo),
            _start("bare", "--address", bare, "--upstream", echo),
            _start("node", "--settings", str(path), "--upstream", echo),
        ]
        try:
            time.sleep(3.0)
            yield echo, bare, node
        finally:
            for process in processes:
                process.terminate()
            for process in processes:
                process.wait(timeout=30)
