"""A host is stopped while clients wait for the responses to two pipelined requests."""

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
    HOST,
    TROUBLE,
    Deployment,
    configuration,
    read_body,
    read_head,
    route,
    run,
)

HOSTS = 3
CLIENTS = 20
WORK_S = 0.8
SIGTERM_AFTER_S = 0.3  # After the requests were sent.

lost: list[str] = []


async def ask_two(deployment: Deployment, ip: str, number: int) -> None:
    """Sends two requests at once on one connection and reads both responses."""
    record = deployment.record
    names = [f"c{number:03d}-{part}" for part in (1, 2)]
    reader, writer = await asyncio.open_connection(ip, 8144)
    for name in names:
        writer.write(
            f"GET /level/{name} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
            "Deadline-Ms: 6000\r\n\r\n".encode()
        )
    sent_s = record.now_s()
    record.add(f"caller sends {names} to {ip}")
    for name in names:
        try:
            async with asyncio.timeout(6.5):
                head = await read_head(reader)
                await read_body(reader, head.headers)
            record.add(f"caller {name}: {head.line}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            after_s = record.now_s() - sent_s
            record.add(f"caller {name}: no response, {type(error).__name__} after {after_s:.2f} s")
            if after_s > BOUNDS["lossSlackMs"] / 1000:
                lost.append(name)
    writer.close()


async def play(deployment: Deployment) -> int:
    record = deployment.record
    routes = [route("level", "safe", "keeper", targetLatencyMs=1200)]
    await deployment.start(HOSTS, {"keeper": 6}, configuration(1, routes))
    for instance in deployment.instances.values():
        instance.work_s = WORK_S
    await asyncio.sleep(3.0)
    stopped = deployment.hosts[0]
    asking = [ask_two(deployment, stopped.ip, number) for number in range(CLIENTS)]
    waiting = [deployment.spawn(work) for work in asking]
    await asyncio.sleep(SIGTERM_AFTER_S)
    if TROUBLE:
        stopped.send_signal(signal.SIGTERM)
        record.say(f"host {stopped.ip} gets SIGTERM")
    await asyncio.gather(*waiting)
    record.say(f"LOST: {len(lost)} of {2 * CLIENTS} requests without a response")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    run(CASE, play)
