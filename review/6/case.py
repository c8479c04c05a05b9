"""A planned stop while an instance sends an answer without a length."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.fleet import (
    Answer,
    CannotRun,
    Fleet,
    Instance,
    Record,
    Request,
    answer_ok,
    ask,
    configuration,
    route,
    run_case,
)

INSTANCES = 7  # One of them is slow, a share of 0.143.
CLIENTS = 28
SENT_AFTER_S = 2.2  # Since the SIGTERM; clients keep addresses for 2 s, some of them for 6 s.
PART = b"0123456789" * 20
PARTS = 20
LASTS_S = 3.7  # From the request to the end of the answer of the slow instance.


async def send_slowly(instance: Instance, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Handler of an instance that sends an answer without a length, in parts."""
    start_s = time.monotonic()
    writer.write(instance.head(request, "200 OK", "Connection: close"))
    for number in range(1, PARTS + 1):
        writer.write(PART)
        await writer.drain()
        await asyncio.sleep(start_s + number * LASTS_S / PARTS - time.monotonic())
    return False


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether a client got a part of an answer as a complete one."""
    async with Fleet(record) as fleet:
        for number in range(INSTANCES):
            handler = answer_ok if number else send_slowly
            await fleet.add(Instance(f"i-{number}", "keeper-desk", record, handler))
        routes = [route("check", "safe", "keeper-desk"), route("book", "unsafe", "keeper-desk")]
        await fleet.configure(configuration(1, routes, ["keeper-desk"]))
        await fleet.start()
        await asyncio.sleep(1.0)
        edge = fleet.edges[0]
        if trouble:
            edge.send_signal(signal.SIGTERM)
        await asyncio.sleep(SENT_AFTER_S)
        heads = [f"POST /book/{number}" for number in range(CLIENTS)]
        answers: list[Answer] = await asyncio.gather(
            *(ask(record, edge.front, head, f"{n:016x}") for n, head in enumerate(heads))
        )
        if trouble:
            record.write(f"edge 1 ended with status {await edge.wait()}")
        cut = 0
        for head, answer in zip(heads, answers, strict=True):
            whole = (PART * PARTS, head.split()[1].encode())
            cut += answer.complete and 200 <= answer.status < 300 and answer.body not in whole
        record.write(f"{cut} of {len(answers)} answers are cut short and look complete")
        if not fleet.instances[0].ran:
            raise CannotRun("the slow instance got no request")
        return cut > 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
