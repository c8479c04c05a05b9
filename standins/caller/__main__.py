"""Process entry point: `python -m standins.caller SERVICE PATH --nodes IP:PORT ...`."""

import asyncio

import defopt
from tabulate import tabulate

from standins.caller._caller import Caller
from standins.caller._load import LoadKind, LoadPlan, LoadResult, run_load


def main(
    service: str,
    path: str,
    *,
    nodes: list[str],
    method: str = "GET",
    region: str = "",
    rate: float = 10.0,
    duration_s: float = 5.0,
    size_bytes: int = 0,
    seed: int = 1,
) -> None:
    """Sends load to the fleet and prints the outcomes.

    :param service: Service name.
    :param path: Path of the requests.
    :param nodes: IP:port of nodes to ask for entry addresses.
    :param method: HTTP method.
    :param region: Region of the caller.
    :param rate: Requests per second.
    :param duration_s: Duration of the load.
    :param size_bytes: Size of the responses.
    :param seed: Seed of the arrival times.
    """
    kind = LoadKind(service, method, path, size_bytes=size_bytes)
    result = asyncio.run(_load(nodes, region, LoadPlan((kind,), rate, duration_s, seed)))
    print(tabulate(sorted(result.counts().items()), headers=["status, outcome", "requests"]))
    print(f"not sent: {result.skipped}; per second: {result.goodput_per_s:.1f}; ", end="")
    print(f"p50 {result.latency_ms(50):.1f} ms, p99 {result.latency_ms(99):.1f} ms")


async def _load(nodes: list[str], region: str, plan: LoadPlan) -> LoadResult:
    async with Caller(nodes, region) as caller:
        return await run_load(caller, plan)


if __name__ == "__main__":
    defopt.run(main)
