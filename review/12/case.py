"""A machine is stopped while clients still use the address that they have been told.

The clients looked the address up before the SIGTERM and keep it for up to three times its time, as
the pages allow. Each sends one order on a new connection. The instances work long on them, within
the limits that the site states.
"""

import asyncio
import json
import signal
from pathlib import Path

from review.stand3.kit import (
    BROKEN,
    DIRECTORY,
    HELD,
    CannotRunError,
    Head,
    Instance,
    Kit,
    ask,
    read_body,
    read_head,
    route,
    run_case,
)

GRACE_S = 10.0
WORK_S = 6.3  # The site's limit for this kind of request is 8.2 s.
TIMEOUT_MS = 10_000
DEADLINE_MS = 20_000
EXCUSED_UNTIL_S = 3.0  # Requests that are sent until then are excused.
SENT_AT_S = (0.5, 2.0, 3.1, 3.2, 3.3, 3.4, 3.5, 3.6)  # After the SIGTERM.
BOUNDS = {
    "stableWindowMs": "4000",
    "ackMs": "6000",
    "catchUpS": "6",
    "drainMs": "3000",
    "graceS": "10",
    "configApplyMs": "3000",
    "maxStretchMs": "6000",
    "retryBudgetSlack": "430",
}


async def resolve(kit: Kit) -> tuple[list[str], float]:
    """Asks a host where to connect; returns the addresses and for how long to keep them."""
    host = kit.hosts[0]
    reader, writer = await asyncio.open_connection(host.ip, DIRECTORY)
    query = "name=desk.example&region=viti&zone=viti-suva"
    writer.write(f"GET /v1/resolve?{query} HTTP/1.1\r\nHost: {host.ip}\r\n\r\n".encode())
    head = await read_head(reader)
    document = json.loads(await read_body(reader, head.fields))
    writer.close()
    kit.record.write(f"directory: {document}")
    return document["addresses"], document["ttlS"]


def work_s(head: Head) -> float:
    """Returns the time that a request takes."""
    return WORK_S if " /book/" in head.line else 0.02


async def order(kit: Kit, address: str, after_s: float, stopped_s: float) -> bool:
    """Sends one order so long after the SIGTERM; returns whether its answer was cut."""
    await asyncio.sleep(max(0.0, stopped_s + after_s - kit.record.now_s()))
    sent_s = kit.record.now_s() - stopped_s
    request_id, answer = await ask(kit, address, "POST", "/book/1", DEADLINE_MS, b"one crew")
    await asyncio.sleep(0.3)  # Until the instance has seen that its connection was closed.
    passed_on = any(run.request_id == request_id for each in kit.instances for run in each.runs)
    dropped = [each.ended[request_id] for each in kit.instances if request_id in each.ended]
    cut = passed_on and answer.status != 200 and any(how == "dropped" for _, how in dropped)
    excused = sent_s <= EXCUSED_UNTIL_S
    kit.record.write(
        f"order sent {sent_s:.2f} s after the SIGTERM: answer {answer.status}, run {passed_on}, "
        f"work ended {dropped}, excused {excused}"
    )
    return cut and not excused


async def case(kit: Kit) -> int:
    """Returns whether work of a stopping machine was broken off."""
    kit.instances = [Instance(kit, f"i-{number}", "desk", work_s) for number in range(3)]
    await kit.start(
        2, [route("look", "safe", 8000, 3000), route("book", "unsafe", TIMEOUT_MS, 3000)]
    )
    await asyncio.sleep(5.0)  # All is calm for longer than stableWindowMs.
    addresses, _ = await resolve(kit)
    host = kit.hosts[0]
    if host.front not in addresses:
        raise CannotRunError("the directory does not list the machine")
    if kit.trouble:
        host.signal(signal.SIGTERM)
    stopped_s = kit.record.now_s()
    cut = await asyncio.gather(*(order(kit, host.front, each, stopped_s) for each in SENT_AT_S))
    kit.record.write(f"{sum(cut)} orders were broken off that the rule does not excuse")
    return BROKEN if any(cut) else HELD


run_case(Path(__file__).parent, case, bounds=BOUNDS)
