"""Clients whose chunked bodies end in very many short trailer fields, and stop short of the end.

The platform kills a process that holds more than its memory limit and starts it again, as the
pages say. Without the disruption, the same clients send as many bytes as body instead.
"""

import asyncio
import contextlib
from pathlib import Path

from review.stand3.kit import (
    BROKEN,
    FRONT,
    HELD,
    HOST_NAME,
    HostProcess,
    Instance,
    Kit,
    ask,
    new_id,
    route,
    run_case,
)

CLIENTS = 40  # At each machine.
ROUNDS = 3
SENT_BYTES = 1_000_000  # Of each client; maxBodyBytes is 1,048,576.
BODY_LIMIT_BYTES = 1_048_576
ROUND_S = 5.0
WATCH_S = 0.05
RESTART_S = 0.5
FIELD = b"a:b\r\n"


async def send_one(kit: Kit, host: HostProcess) -> None:
    """Sends one request that stops just short of its end, and stays open."""
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {new_id()}\r\n"
        "Deadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    if kit.trouble:
        head += b"5\r\nhello\r\n0\r\n"
        block = FIELD * 4000
    else:
        block = b"4e20\r\n" + b"x" * 20_000 + b"\r\n"
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(host.ip, FRONT)
        try:
            writer.write(head)
            for _ in range(SENT_BYTES // len(block)):
                writer.write(block)
                await writer.drain()
            await reader.read()
        finally:
            writer.close()


async def watch(kit: Kit, host: HostProcess, ends: list[float]) -> None:
    """Plays the platform: kills a process above its memory limit, and starts ended ones again."""
    while True:
        await asyncio.sleep(WATCH_S)
        held_mb = host.resident_mb()
        if host.ended() is None and held_mb <= kit.memory_mb:
            continue
        ends.append(held_mb)
        assert host.process is not None
        kit.record.write(
            f"host {host.number} holds {held_mb:.0f} MB, more than its {kit.memory_mb} MB; the "
            f"platform kills it (status before: {host.ended()})"
        )
        host.process.kill()
        host.process.wait()
        await asyncio.sleep(RESTART_S)
        host.start(bootstrap=False)


async def case(kit: Kit) -> int:
    """Returns whether a process went over the memory of its machine."""
    kit.instances = [Instance(kit, f"i-{number}", "desk") for number in range(2)]
    await kit.start(2, [route("look", "safe", 3000), route("book", "unsafe", 4000)])
    ends: dict[int, list[float]] = {host.number: [] for host in kit.hosts}
    for number in range(ROUNDS):
        await kit.until_ready(kit.hosts)
        kit.record.write(f"round {number + 1}: {CLIENTS} clients at each host")
        watches = [asyncio.create_task(watch(kit, each, ends[each.number])) for each in kit.hosts]
        crowd = [
            asyncio.create_task(send_one(kit, host)) for host in kit.hosts for _ in range(CLIENTS)
        ]
        peak_mb = 0.0
        for _ in range(int(ROUND_S / WATCH_S)):
            await asyncio.sleep(WATCH_S)
            peak_mb = max(peak_mb, *(host.resident_mb() for host in kit.hosts))
        kit.record.write(f"round {number + 1}: at most {peak_mb:.0f} MB were seen")
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        await kit.until_ready(kit.hosts)
        for task in watches:
            task.cancel()
        await asyncio.gather(*watches, return_exceptions=True)
    statuses = [
        (await ask(kit, host.front, "GET", "/look/1", 4000))[1].status for host in kit.hosts
    ]
    kit.record.write(f"ordinary requests afterwards: {statuses}")
    kit.record.write(f"ends by machine: { {number: len(each) for number, each in ends.items()} }")
    return BROKEN if any(ends.values()) else HELD


run_case(Path(__file__).parent, case)
