"""Open-loop load with a fixed seed."""

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from standins.caller._caller import Caller, CallRecord

_LONGEST_US = 120_000_000


class LoadKind(NamedTuple):
    """One kind of request in a mix."""

    service: str  # Service name.
    method: str  # HTTP method.
    path: str  # Path.
    weight: float = 1.0  # Share of the mix relative to the other kinds.
    body_bytes: int = 0  # Size of the request body.
    size_bytes: int = 0  # Size of the response that the upstream stand-in is asked for.


class LoadPlan(NamedTuple):
    """A bounded load; the same seed gives the same arrivals and kinds."""

    kinds: tuple[LoadKind, ...]  # The mix.
    rate_per_s: float  # Mean of the Poisson arrivals.
    duration_s: float  # Time in which requests arrive.
    seed: int = 1  # Seed of arrivals and kinds.
    in_flight_limit: int = 1000  # Arrivals above it are not sent, so that memory stays bounded.
    deadline_s: float = 5.0  # Deadline of each request.


class LoadResult(NamedTuple):
    """What the callers of one load were told."""

    records: tuple[CallRecord, ...]  # Sent requests in the order of their ends.
    skipped: int  # Arrivals that were not sent because of the limit.
    elapsed_s: float  # From the first arrival to the end of the last request.
    latency_us: Any  # HdrHistogram of successful requests, from their planned arrival.

    def counts(self) -> Counter[str]:
        """Returns the number of requests by status and what they were told."""
        return Counter(f"{record.status or '-'} {record.outcome}" for record in self.records)

    @property
    def goodput_per_s(self) -> float:
        """Successful requests per second."""
        return sum(record.succeeded for record in self.records) / self.elapsed_s

    def latency_ms(self, percentile: float) -> float:
        """Returns a percentile of the latency of successful requests."""
        return float(self.latency_us.get_value_at_percentile(percentile)) / 1000


async def run_load(caller: Caller, plan: LoadPlan) -> LoadResult:
    """Sends the load of `plan`, whatever the pace of the responses.

    Latency counts from the planned arrival, so that a slow caller process shows as latency instead
    of as less load.
    """
    loop = asyncio.get_running_loop()
    choices = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.kinds]
    histogram = HdrHistogram(1, _LONGEST_US, 3)
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
        planned_s += choices.expovariate(plan.rate_per_s)
        if planned_s > started_s + plan.duration_s:
            break
        kind = choices.choices(plan.kinds, weights)[0]
        await asyncio.sleep(max(planned_s - loop.time(), 0))
        if len(running) >= plan.in_flight_limit:
            skipped += 1
            continue
        task = asyncio.create_task(send(kind, planned_s))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    return LoadResult(tuple(records), skipped, loop.time() - started_s, histogram)
