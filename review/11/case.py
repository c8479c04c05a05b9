"""Machines stand still while instances are added, and go on just after some of them have left.

Four rounds. In each, two of twenty machines are frozen for five seconds; meanwhile four instances
start, and two of these leave again without saying so before, which the pages allow. They go on
serving, as the pages tell. Without the disruption no machine is frozen.
"""

import asyncio
import contextlib
import random
import signal
from collections import Counter
from pathlib import Path

from review.stand3.kit import (
    BROKEN,
    FRONT,
    HELD,
    CannotRunError,
    HostProcess,
    Instance,
    Kit,
    new_id,
    read_body,
    read_head,
    request,
    route,
    run_case,
)
from standins.store import StoreConditions

HOSTS, FROZEN = 20, 2
ROUNDS = 4
FREEZE_S = 5.0
ADDED_AFTER_S = 2.5
CALM_S = 4.0  # Longer than stableWindowMs.
WATCHED_S = 5.0
DRAIN_S = 2.0
STORE_ANSWER_S = 0.005  # The site states 4 ms an answer and 0.5 ms each way in its region.
CLIENTS = 24
INSTANCES, ADDED, LEAVING = 16, 4, 2


async def be_client(
    live: list[HostProcess], number: int, taken: dict[str, int], statuses: Counter[str]
) -> None:
    """Sends one request after the other, each on a new connection to one of the hosts."""
    rng = random.Random(number)
    while True:
        host = rng.choice(live)
        request_id = new_id()
        taken[request_id] = host.number
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(4.0):
                reader, writer = await asyncio.open_connection(host.ip, FRONT)
                try:
                    writer.write(request("GET", f"/look/{request_id}", request_id, 3000))
                    head = await read_head(reader)
                    await read_body(reader, head.fields)
                    statuses[head.line[9:12]] += 1
                finally:
                    writer.close()
        await asyncio.sleep(rng.random() * 0.2)


async def play_round(
    kit: Kit, number: int, live: list[HostProcess]
) -> list[tuple[Instance, float]]:
    """Plays one round; returns the instances that have left, and when the store knew it."""
    first = number * FROZEN % HOSTS
    frozen = kit.hosts[first : first + FROZEN]
    for host in frozen:
        live.remove(host)
        if kit.trouble:
            host.signal(signal.SIGSTOP)
    await asyncio.sleep(ADDED_AFTER_S)
    added = [
        Instance(kit, f"k-{number}-{each}", "desk", lambda head: 0.05, slots=6)
        for each in range(ADDED)
    ]
    for instance in added:
        kit.instances.append(instance)
        await instance.start()
        kit.record.write(f"{instance.key} has started")
    await asyncio.sleep(FREEZE_S - ADDED_AFTER_S)
    left = []
    for instance in added[:LEAVING]:
        instance.leave()
        left.append((instance, kit.record.now_s()))
        kit.record.write(f"{instance.key} leaves: its entry is removed, it goes on serving")
    for host in frozen:
        if kit.trouble:
            host.signal(signal.SIGCONT)
    await asyncio.sleep(WATCHED_S)
    live += frozen
    for instance in added:
        if instance not in [each for each, _ in left]:
            instance.leave()
    await asyncio.sleep(2.0)
    for instance, _ in left:
        kit.record.write(f"{instance.key} ends")
        await instance.stop()
    return left


async def case(kit: Kit) -> int:
    """Returns whether an instance got requests later than drainMs after its entry was removed."""
    kit.instances = [
        Instance(kit, f"i-{number:02}", "desk", lambda head: 0.05, slots=6)
        for number in range(INSTANCES)
    ]
    await kit.start(HOSTS, [route("look", "safe", 3000)])
    kit.store.conditions = StoreConditions(delay_s=STORE_ANSWER_S)
    live, taken, statuses = list(kit.hosts), dict[str, int](), Counter[str]()
    clients = [
        asyncio.create_task(be_client(live, number, taken, statuses)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(CALM_S)
    left: list[tuple[Instance, float]] = []
    disturbed: dict[str, set[int]] = {}
    for number in range(ROUNDS):
        first = number * FROZEN % HOSTS
        for instance, at_s in await play_round(kit, number, live):
            left.append((instance, at_s))
            disturbed[instance.key] = {*range(first, first + FROZEN)}
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    if statuses["200"] < sum(statuses.values()) / 2:
        raise CannotRunError(f"the fleet does not serve: {dict(statuses)}")
    late = 0
    for instance, at_s in left:
        runs = [run for run in instance.runs if run.at_s > at_s + DRAIN_S]
        hosts = Counter(taken[run.request_id] for run in runs)
        calm = {host: count for host, count in hosts.items() if host not in disturbed[instance.key]}
        late += sum(calm.values())
        kit.record.write(
            f"{instance.key}: {sum(calm.values())} requests later than {DRAIN_S} s after its entry "
            f"was removed at {at_s:.2f} s, from hosts that were not disturbed: {calm}"
        )
    kit.record.write(f"answers: {dict(statuses)}")
    return BROKEN if late else HELD


run_case(Path(__file__).parent, case)
