"""Open-loop load generator with a fixed seed."""

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from standins.caller._caller import Caller, CallRecord

_MAX_LATENCY_US = 120_000_000


class LoadKind(NamedTuple):
    """One kind of request in a load mix."""

    service: str  # Service name.
    method: str  # HTTP method.
    path: str  # Path.
    weight: float = 1.0  # Share of the mix relative to the other kinds.
    body_bytes: int = 0  # Size of the request body.
    size_bytes: int = 0  # Response size that the upstream stand-in is asked for.


class LoadPlan(NamedTuple):
    """A load of limited duration; the same seed gives the same arrivals and kinds."""

    kinds: tuple[LoadKind, ...]  # The load mix.
    rate_per_s: float  # Mean rate of the Poisson arrivals.
    duration_s: float  # Duration of the arrivals.
    seed: int = 1  # Seed of arrivals and kinds.
    in_flight_limit: int = 1000  # Further arrivals are not sent, to bound the memory.
    deadline_s: float = 5.0  # Deadline of each request.


class LoadResult(NamedTuple):
    """Outcomes of one load."""

    records: tuple[CallRecord, ...]  # Sent requests in the order of completion.
    skipped: int  # Arrivals that were not sent because of in_flight_limit.
    elapsed_s: float  # From the first arrival to the end of the last request.
    latency_us: Any  # HdrHistogram of successful requests, from the planned arrival.

    def counts(self) -> Counter[str]:
        """Returns the number of requests by status and outcome."""
        return Counter(f"{record.status or '-'} {record.outcome}" for record in self.records)

    @property
    def goodput_per_s(self) -> float:
        """Successful requests per second."""
        return sum(record.succeeded for record in self.records) / self.elapsed_s

    def latency_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency of successful requests."""
        return float(self.latency_us.get_value_at_percentile(percentile)) / 1000


async def run_load(caller: Caller, plan: LoadPlan) -> LoadResult:
    """Sends the load of `plan` without waiting for responses.

    Latency is measured from the planned arrival, so that a slow caller process shows up as latency
    instead of reduced load (coordinated omission).
    """
    loop = asyncio.get_running_loop()
    rng = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.kinds]
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    records: list[CallRecord] = []
    running: set[asyncio.Task[None]] = set()
    skipped = 0

    async def send(kind: LoadKind, planned_s: float) -> None:
        record = await caller.send(
            kind.service,
            kind.method,
            kind.path,
            body=b"x" * kind.body_bytes,
            size=kind.size_bytes,
            deadline_s=plan.deadline_s,
        )
        records.append(record)
        if record.succeeded:
            histogram.record_value(max(int((record.ended_s - planned_s) * 1_000_000), 1))

    started_s = planned_s = loop.time()
    while True:
        planned_s += rng.expovariate(plan.rate_per_s)
        if planned_s > started_s + plan.duration_s:
            break
        kind = rng.choices(plan.kinds, weights)[0]
        await asyncio.sleep(max(planned_s - loop.time(), 0))
        if len(running) >= plan.in_flight_limit:
            skipped += 1
            continue
        task = asyncio.create_task(send(kind, planned_s))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    return LoadResult(tuple(records), skipped, loop.time() - started_s, histogram)
