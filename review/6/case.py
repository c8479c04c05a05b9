"""A planned stop while an instance sends an answer without a length."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.fleet import (
    Answer,
    Fleet,
    Instance,
    Record,
    Request,
    ask,
    configuration,
    route,
    run_case,
)

PART = b"0123456789" * 20
PARTS = 35
PAUSE_S = 0.2
WHOLE = PART * PARTS


async def send_slowly(instance: Instance, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Handler of an instance that sends an answer without a length, in parts for seven seconds."""
    writer.write(instance.head(request, "200 OK", "Connection: close"))
    for _ in range(PARTS):
        writer.write(PART)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    return False


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether a client got a part of an answer as a complete one."""
    async with Fleet(record) as fleet:
        await fleet.add(Instance("i-1", "keeper-desk", record, send_slowly))
        routes = [route("check", "safe", "keeper-desk"), route("book", "unsafe", "keeper-desk")]
        await fleet.configure(configuration(1, routes, ["keeper-desk"]))
        await fleet.start()
        await asyncio.sleep(1.0)
        front = fleet.edges[0].front
        asked = [
            asyncio.create_task(ask(record, front, f"{head}/{n}", f"{n:016x}"))
            for n, head in enumerate(["GET /check", "POST /book"] * 3)
        ]
        await asyncio.sleep(0.5)
        if trouble:
            fleet.edges[0].send_signal(signal.SIGTERM)
            started_s = time.monotonic()
            status = await fleet.edges[0].wait()
            elapsed_s = time.monotonic() - started_s
            record.write(f"edge 1 ended with status {status} after {elapsed_s:.2f} s")
        answers: list[Answer] = await asyncio.gather(*asked)
        cut = [a for a in answers if a.complete and 200 <= a.status < 300 and a.body != WHOLE]
        record.write(f"{len(cut)} of {len(answers)} answers are cut short and look complete")
        return bool(cut)


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
