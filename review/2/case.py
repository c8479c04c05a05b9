"""The host that reads the store for its zone is removed, some time after an outage of the store."""

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

HOSTS = 16  # As in the zone viti-lautoka of vpw-tray.
OUTAGE_S = 4.5


async def play(deployment: Deployment) -> int:
    record = deployment.record
    routes = [route("level", "safe", "keeper"), route("order", "unsafe", "keeper")]
    moved = [routes[0], route("order", "unsafe", "supply")]
    await deployment.start(HOSTS, {"keeper": 6, "supply": 3}, configuration(1, routes))
    deployment.start_traffic(deployment.hosts, ("/level/", "/order/"), 0.4)
    await asyncio.sleep(5.0)
    if TROUBLE:
        deployment.set_store(resets=True)
    await asyncio.sleep(OUTAGE_S)
    deployment.set_store()
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1000 + 4.0)
    readers = await deployment.find_readers()
    record.say(f"hosts that read the store: {[host.ip for host in readers]}")
    await asyncio.sleep(2.0)
    removed = readers[0]
    removed.send_signal(signal.SIGTERM)
    record.say(f"host {removed.ip} gets SIGTERM and leaves")
    await deployment.until(removed.has_ended, BOUNDS["graceS"] + 1.0)
    record.say(f"host {removed.ip} has ended")
    leaving = deployment.instances["i-keeper-1"]
    gone_s = leaving.leave_unannounced()
    deployment.store.append_record("keyed.op", "config", configuration(2, moved))
    acknowledged_s = record.now_s()
    record.say("configuration 2 acknowledged: /order/ goes to the service supply")
    await asyncio.sleep(9.0)

    late = [
        arrival
        for arrival in leaving.arrivals
        if arrival.host != removed.ip and arrival.at_s > gone_s + BOUNDS["drainMs"] / 1000
    ]
    applied_s = acknowledged_s + BOUNDS["configApplyMs"] / 1000
    old = [
        sent
        for sent in deployment.sent
        if sent.path.startswith("/order/")
        and sent.sent_s > applied_s
        and sent.host != removed.ip
        and sent.body.startswith(b"keeper")
    ]
    for arrival in late:
        record.add(f"late: {arrival.request_id} from {arrival.host} at {arrival.at_s:.3f}")
    latest_s = max((arrival.at_s for arrival in leaving.arrivals), default=0.0) - gone_s
    record.say(f"DRAIN: {len(late)} late requests, the last one {latest_s:.2f} s after the removal")
    record.say(f"CONFIG: {len(old)} requests handled as the old version allows")
    return BROKEN if late or old else HELD


if __name__ == "__main__":
    run(CASE, play)
