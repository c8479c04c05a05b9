"""An instance that is cut off from the store leaves and says so in its responses."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from harness import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HEARTBEAT_S,
    HELD,
    TROUBLE,
    Deployment,
    configuration,
    route,
    run,
)

HOSTS = 4
BEFORE_LEAVING_S = 0.5  # From the cut to the planned stop of the instance.


async def play(deployment: Deployment) -> int:
    record = deployment.record
    routes = [route("level", "safe", "keeper"), route("order", "unsafe", "keeper")]
    await deployment.start(HOSTS, {"keeper": 5}, configuration(1, routes))
    deployment.start_traffic(deployment.hosts, ("/level/", "/order/"), 0.1)
    await asyncio.sleep(5.0)
    leaving = deployment.instances["i-keeper-1"]
    if TROUBLE:
        leaving.cut_from_store()
    await asyncio.sleep(BEFORE_LEAVING_S)
    leaving.headers = "Server-Leaving: 1\r\n"
    leaving.state = "draining"
    leaving.register()  # Reaches the store only if the instance is not cut off.
    record.say(f"instance {leaving.key} leaves: Server-Leaving in all its responses")
    # Its entry is removed after three intervals of silence.
    await asyncio.sleep(3 * HEARTBEAT_S - BEFORE_LEAVING_S)
    if TROUBLE:
        deployment.store.append_record("keyed.servers", leaving.key, b"")
        record.say(f"the entry of {leaving.key} has lapsed")
    await asyncio.sleep(3.0)

    sent_s = {sent.request_id: sent.sent_s for sent in deployment.sent}
    told_s: dict[str, float] = {}  # When a host first passed on a response with the header.
    for sent in deployment.sent:
        if sent.headers.get("server-leaving") == "1":
            told_s[sent.host] = min(sent.ended_s, told_s.get(sent.host, sent.ended_s))
    for host, at_s in sorted(told_s.items()):
        record.say(f"host {host} has passed on a response with Server-Leaving at {at_s:.2f}")
    drain_s = BOUNDS["drainMs"] / 1000
    late = [
        arrival
        for arrival in leaving.arrivals
        if arrival.host in told_s
        and sent_s.get(arrival.request_id, 0.0) > told_s[arrival.host] + drain_s
    ]
    for arrival in late:
        record.add(f"late: {arrival.request_id} from {arrival.host} at {arrival.at_s:.3f}")
    record.say(f"DRAIN: {len(late)} requests sent later than {drain_s} s after that")
    return BROKEN if late else HELD


if __name__ == "__main__":
    run(CASE, play)
