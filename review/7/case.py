"""Another writer leaves one odd entry among those of the instances."""

import asyncio
import collections
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand2.fleet import (
    Answer,
    Fleet,
    Instance,
    Record,
    answer_ok,
    ask,
    configuration,
    route,
    run_case,
)

SERVICES = ("keeper-desk", "supply-yard")
ROUTES = (
    route("check", "safe", "keeper-desk"),
    route("book", "unsafe", "keeper-desk"),
    route("order", "unsafe", "supply-yard"),
)
HEADS = ("GET /check/1", "POST /book/1", "POST /order/1")
# In place of IP:port: an IPv6 address without brackets. ODD_ADDRESS takes another one for a trial.
ODD_ADDRESS = os.environ.get("ODD_ADDRESS", "::1:8144")
ROUNDS = 20
PAUSE_S = 0.5


def odd_entry(service: str) -> bytes:
    """Returns an entry that has all fields, but no address in the form of the pages."""
    info = {"service": service, "version": "v1", "zone": "viti-suva", "slots": 6}
    status = {"state": "ready", "sequence": 1, "warmupLeftMs": 0}
    document = {"address": ODD_ADDRESS, "born": 1_700_000_000_000, "info": info, "status": status}
    return json.dumps(document).encode()


async def case(record: Record, trouble: bool) -> bool:
    """Returns whether no request is served from the start of traffic on."""
    async with Fleet(record, size=2) as fleet:
        for number in range(6):
            service = SERVICES[number % 2]
            await fleet.add(Instance(f"i-{number}7f3a91c2", service, record, answer_ok))
        await fleet.configure(configuration(1, ROUTES, SERVICES))
        if trouble:
            for number, service in enumerate(SERVICES):
                await fleet.store.append("keyed.servers", f"0-{number}", odd_entry(service))
                record.write(f"another writer appends 0-{number}: {odd_entry(service)!r}")
        await fleet.start()
        answers: list[Answer] = []
        for turn in range(ROUNDS):
            answers += await asyncio.gather(
                *(
                    ask(record, edge.front, head, f"r{turn}-{edge.number}-{part}")
                    for edge in fleet.edges
                    for part, head in enumerate(HEADS)
                )
            )
            await asyncio.sleep(PAUSE_S)
        counts = collections.Counter(answer.status for answer in answers)
        record.write(f"answers by status: {dict(counts)}; all instances were sound")
        return counts[200] == 0


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
