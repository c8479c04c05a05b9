"""One seeded run of the soak and its report."""

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import NamedTuple

from standins.soak._callers import ZoneCallers
from standins.soak._deployment import Deployment, Topology
from standins.soak._plan import EVENTS, Event, build_plan
from standins.soak._rules import UNFINISHED, Bounds, Disturbance, Violation, check

_SETTLE_S = 3.0  # Time after the last event in which requests still end.
_LAG_INTERVAL_S = 0.05
# While the process with the callers and the instances is later than this, it measures itself and
# not the hosts.
_MAX_LAG_S = 0.25


class SoakOptions(NamedTuple):
    """What is played; the seed decides the plan, but not the timing of processes."""

    seed: int = 1
    duration_s: float = 30.0
    interval_s: float = 4.0  # Mean time between two disturbances.
    kinds: Sequence[str] = tuple(EVENTS)
    topology: Topology = Topology()
    bounds: Bounds = Bounds()


class SoakReport(NamedTuple):
    """Result of a run."""

    violations: tuple[Violation, ...]
    statuses: Counter[int]  # Finished requests by status; 0 if there was no response.
    arrivals: int  # Requests that reached instances.
    connections: int  # Connections that instances accepted.
    rejections: int  # Requests that instances rejected with Retry-After.
    lag_s: float  # Longest delay of the process with the callers and the instances.


async def run_soak(
    options: SoakOptions,
    directory: Path | None = None,
    say: Callable[[str], None] = lambda line: None,
) -> SoakReport:
    """Plays one run; the hosts write their logs to `directory`, which must exist."""
    if directory is not None:
        return await _play(options, directory, say)
    with tempfile.TemporaryDirectory(prefix="anviltray-soak-") as temporary:
        return await _play(options, Path(temporary), say)


async def _play(options: SoakOptions, directory: Path, say: Callable[[str], None]) -> SoakReport:
    deployment = Deployment(options.topology, options.bounds, directory, options.seed)
    async with deployment:
        say(f"{len(deployment.hosts)} hosts are ready, {time.strftime('%H:%M:%S', time.gmtime())}")
        lags: list[float] = []
        background = [
            asyncio.create_task(_measure_lag(deployment, lags)),
            asyncio.create_task(deployment.replace_keys()),
        ]
        for zone in options.topology.zones:
            callers = ZoneCallers(deployment, zone, Random(f"{options.seed} {zone}"))
            background.append(asyncio.create_task(callers.run()))
        plan = build_plan(options.seed, options.duration_s, options.kinds, options.interval_s)
        events = [asyncio.create_task(_play_event(deployment, each, say)) for each in plan]
        await asyncio.gather(*events, asyncio.sleep(options.duration_s))
        await asyncio.sleep(_SETTLE_S)
        for task in background:
            task.cancel()
        results = await asyncio.gather(*background, return_exceptions=True)
        ended = [
            Violation("process-ended", deployment.now_s(), host.process.tail())
            for host in deployment.hosts
            if not host.process.running
        ]
    for result in results:
        if isinstance(result, Exception):
            raise result
    seen = deployment.observations
    return SoakReport(
        (*ended, *check(seen, options.bounds)),
        Counter(sent.status for sent in seen.sent if sent.status != UNFINISHED),
        sum(bool(arrival.request_id) for arrival in seen.arrivals),
        sum(each.connections_opened for each in deployment.instances),
        len(seen.rejections),
        max(lags, default=0.0),
    )


async def _play_event(deployment: Deployment, event: Event, say: Callable[[str], None]) -> None:
    await asyncio.sleep(event.at_s)
    result = await EVENTS[event.kind](deployment, Random(event.seed))
    say(f"{event.at_s:6.1f} to {deployment.now_s():6.1f} s: {result}")


async def _measure_lag(deployment: Deployment, lags: list[float]) -> None:
    """Records the delays of this process; long ones count as disturbances of all hosts."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + _LAG_INTERVAL_S
        await asyncio.sleep(_LAG_INTERVAL_S)
        lag_s = loop.time() - due_s
        lags.append(lag_s)
        if lag_s > _MAX_LAG_S:
            now_s = deployment.now_s()
            deployment.observations.disturbances += [
                Disturbance(host.ip, now_s - lag_s, now_s) for host in deployment.hosts
            ]
