"""The store reader of a zone stands still for a few seconds and then goes on."""

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from harness import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    TROUBLE,
    Deployment,
    configuration,
    route,
    run,
)

HOSTS = 6
FREEZE_S = 5.0


async def play(deployment: Deployment) -> int:
    record = deployment.record
    routes = [route("level", "safe", "keeper"), route("order", "unsafe", "keeper")]
    await deployment.start(HOSTS, {"keeper": 6}, configuration(1, routes))
    deployment.start_traffic(deployment.hosts, ("/level/", "/order/"), 0.2)
    await asyncio.sleep(5.0)
    frozen = (await deployment.find_readers())[0]
    if TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
        record.say(f"host {frozen.ip} stopped")
    await asyncio.sleep(FREEZE_S)
    if TROUBLE:
        frozen.send_signal(signal.SIGCONT)
        record.say(f"host {frozen.ip} continued")
    await asyncio.sleep(0.2)
    leaving = deployment.instances["i-keeper-1"]
    gone_s = leaving.leave_unannounced()
    await asyncio.sleep(7.0)

    late = [
        arrival
        for arrival in leaving.arrivals
        if arrival.host != frozen.ip and arrival.at_s > gone_s + BOUNDS["drainMs"] / 1000
    ]
    for arrival in late:
        record.add(f"late: {arrival.request_id} from {arrival.host} at {arrival.at_s:.3f}")
    latest_s = max((arrival.at_s for arrival in leaving.arrivals), default=0.0) - gone_s
    record.say(f"DRAIN: {len(late)} late requests, the last one {latest_s:.2f} s after the removal")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(CASE, play)
