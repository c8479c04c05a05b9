"""Guards against requests that a graceful shutdown of a node or an upstream interrupts."""

import asyncio
import contextlib

from standins.tests.proof import (
    BOUND_S,
    SERVICE,
    eventually,
    judge_runs,
    make_plan,
    rows,
    run_proof,
    upstreams_idle,
)

# Long enough that requests are in flight at each moment of a shutdown.
MEDIAN_S = 0.3


@contextlib.asynccontextmanager
async def traffic(fleet, records):
    """Sends unrepeatable requests to the addresses that the nodes name, each only once."""
    tasks = []

    async def send_all(caller):
        while True:
            call = caller.send(SERVICE, "POST", "/x", deadline_s=BOUND_S, fall_back=False)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(0.03)

    async with fleet.caller() as caller:
        sending = asyncio.create_task(send_all(caller))
        try:
            yield tasks
        finally:
            sending.cancel()
            records += await asyncio.gather(*tasks)


async def shut_down_node(fleet, name):
    """Shuts a node down while it has requests in flight, starts it again."""
    process = fleet.nodes[name].process
    process.terminate()
    assert await process.wait_for_exit(BOUND_S) == 0, process.tail()
    await fleet.start_nodes(name)


async def shut_down_upstream(fleet, name):
    """Drains an upstream by an operator, ends it when it is idle, starts it again."""
    upstream = fleet.upstreams[name]
    node = fleet.nodes["n0"]
    answer = await fleet.command(node, f"drain {upstream.address}", BOUND_S)
    assert answer["outcome"] == "accepted", answer

    async def out_of_use():
        seen = [
            await rows(fleet, each, f"show upstreams of {SERVICE}") for each in fleet.nodes.values()
        ]
        routed = [row for each in seen for row in each if row["address"] == upstream.address]
        state = await upstream.state()
        nobody = len(routed) == len(fleet.nodes) and not any(row["routed"] for row in routed)
        return nobody and state["load"] == 0 and state["queued"] == 0

    await eventually(out_of_use)
    upstream.process.terminate()
    await upstream.process.wait_for_exit(BOUND_S)
    await upstream.process.start_and_wait_ready()
    await fleet.command(node, f"restore {upstream.address}", BOUND_S)


def test_graceful_shutdown_interrupts_no_request():
    async def scenario(fleet):
        records = []
        async with traffic(fleet, records) as tasks:
            await eventually(lambda: in_flight(tasks))
            await shut_down_node(fleet, "n0")
            await shut_down_upstream(fleet, f"{SERVICE}-1")
            # During an outage of the platform, and while an upstream is silent to one node.
            await fleet.platform.set_conditions(outage=True)
            fleet.upstreams[f"{SERVICE}-2"].relay.cut(["to_client"], "127.0.1.1")
            await asyncio.gather(shut_down_node(fleet, "n1"), heal_later(fleet, tasks))
            await fleet.platform.set_conditions()
        await eventually(lambda: upstreams_idle(fleet))
        found = [f"{record}" for record in records if not record.succeeded or not record.attempts]
        found += [f"{record}" for record in records if len(record.attempts) > 1]
        found += judge_runs(records, fleet.executions())
        assert not found, f"{len(found)} of {len(records)}\n" + "\n".join(found[:5])

    run_proof(scenario, make_plan(median_s=MEDIAN_S))


async def in_flight(tasks):
    """Tells whether several requests are in flight and others have ended."""
    return sum(not task.done() for task in tasks) >= 4 and any(task.done() for task in tasks)


async def heal_later(fleet, tasks):
    """Ends the cut after some more requests, which wait for their response until then."""
    count = len(tasks) + 10

    async def enough():
        return len(tasks) >= count

    await eventually(enough)
    for relay in fleet.relays:
        relay.heal()
