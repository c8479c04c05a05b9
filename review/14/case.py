"""Clients send a second safe request ahead, and a share of them leaves before the first answer.

Without the disruption all of them stay until both are answered.
"""

import asyncio
import contextlib
from pathlib import Path

from review.stand3.kit import (
    BROKEN,
    FRONT,
    HELD,
    CannotRunError,
    Instance,
    Kit,
    ask,
    new_id,
    read_body,
    read_head,
    request,
    route,
    run_case,
)

CLIENTS = 60
LEAVING = 18  # A share of 0.3, the largest that the site plays.
WORK_S = 1.4  # The site states 1.8 s at most.
TARGET_MS, TIMEOUT_MS, DEADLINE_MS = 800, 2000, 4000  # Those of the site's `pickup-lookup`.
LEAVES_AFTER_S = 0.4  # Half of the target.
ALLOWED_S = 0.5  # After the close.
ALLOWED_ARRIVALS = 3  # "more than a few".
ALLOWED_SHARE = 0.25  # Of the requests that would have lasted so long.


async def be_client(kit: Kit, number: int) -> tuple[list[str], float]:
    """Sends two requests on one connection; returns their ids and the time of the close."""
    host = kit.hosts[number % len(kit.hosts)]
    ids = [new_id(), new_id()]
    reader, writer = await asyncio.open_connection(host.ip, FRONT)
    writer.write(b"".join(request("GET", f"/look/{each}", each, DEADLINE_MS) for each in ids))
    kit.record.write(f"client {number} sends {ids[0]} and {ids[1]} to host {host.number}")
    leaves = kit.trouble and number < LEAVING
    if leaves:
        await asyncio.sleep(LEAVES_AFTER_S)
    else:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for request_id in ids:
                head = await read_head(reader)
                await read_body(reader, head.fields)
                kit.record.write(f"client {number} gets {head.line!r} for {request_id}")
    writer.close()
    closed_s = kit.record.now_s()
    kit.record.write(f"client {number} closes its connection")
    return ids, closed_s


async def case(kit: Kit) -> int:
    """Returns whether requests of clients that had left reached instances or were worked on."""
    kit.instances = [
        Instance(kit, f"i-{number}", "desk", lambda head: WORK_S) for number in range(6)
    ]
    await kit.start(2, [route("look", "safe", TIMEOUT_MS, TARGET_MS)])
    await asyncio.sleep(4.0)
    if any(
        [
            (await ask(kit, each.front, "GET", "/look/1", DEADLINE_MS))[1].status != 200
            for each in kit.hosts
        ]
    ):
        raise CannotRunError("the fleet does not serve before the disruption")
    clients = await asyncio.gather(*(be_client(kit, number) for number in range(CLIENTS)))
    await asyncio.sleep(2 * WORK_S + 1.0)
    late = at_work = lasting = 0
    for ids, closed_s in clients[:LEAVING]:
        for request_id in ids:
            for instance in kit.instances:
                for run in instance.runs:
                    if run.request_id != request_id:
                        continue
                    late += run.at_s > closed_s + ALLOWED_S
                    if run.at_s <= closed_s and run.at_s + WORK_S > closed_s + ALLOWED_S:
                        lasting += 1
                        at_work += instance.ended[request_id][0] > closed_s + ALLOWED_S
    kit.record.write(f"{late} requests reached an instance over {ALLOWED_S} s after the close")
    kit.record.write(f"of {lasting} that would have lasted so long, {at_work} were still worked on")
    if not kit.trouble and lasting:
        raise CannotRunError("a client left early without the disruption")
    broken = late > ALLOWED_ARRIVALS or at_work > lasting * ALLOWED_SHARE
    return BROKEN if broken else HELD


run_case(Path(__file__).parent, case)
