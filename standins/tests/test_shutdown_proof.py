"""Guards against requests that a graceful shutdown of a node or an upstream interrupts."""

import asyncio
import contextlib

from standins.tests.proof import (
    SERVICE,
    TIMEOUT_S,
    are_upstreams_idle,
    eventually,
    find_execution_violations,
    make_plan,
    query_rows,
    run_scenario,
)

# Long enough that requests are in flight throughout a shutdown.
MEDIAN_S = 0.3


@contextlib.asynccontextmanager
async def traffic(fleet, records):
    """Sends unrepeatable requests to the entry addresses, each only once."""
    tasks = []

    async def send_all(caller):
        while True:
            call = caller.send(SERVICE, "POST", "/x", deadline_s=TIMEOUT_S, fall_back=False)
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
    """Shuts a node down while it has requests in flight and starts it again."""
    process = fleet.nodes[name].process
    process.terminate()
    assert await process.wait_for_exit(TIMEOUT_S) == 0, process.tail()
    await fleet.start_nodes(name)


async def shut_down_upstream(fleet, name):
    """Drains an upstream by command, terminates it once it is idle and starts it again."""
    upstream = fleet.upstreams[name]
    node = fleet.nodes["n0"]
    result = await fleet.command(node, f"drain {upstream.address}", TIMEOUT_S)
    assert result["outcome"] == "accepted", result

    async def is_unused():
        rows_by_node = [
            await query_rows(fleet, each, f"show upstreams of {SERVICE}")
            for each in fleet.nodes.values()
        ]
        routed = [
            row for each in rows_by_node for row in each if row["address"] == upstream.address
        ]
        state = await upstream.state()
        unrouted = len(routed) == len(fleet.nodes) and not any(row["routed"] for row in routed)
        return unrouted and state["load"] == 0 and state["queued"] == 0

    await eventually(is_unused)
    upstream.process.terminate()
    await upstream.process.wait_for_exit(TIMEOUT_S)
    await upstream.process.start_and_wait_ready()
    await fleet.command(node, f"restore {upstream.address}", TIMEOUT_S)


def test_graceful_shutdown_interrupts_no_request():
    async def scenario(fleet):
        records = []
        async with traffic(fleet, records) as tasks:
            await eventually(lambda: has_requests_in_flight(tasks))
            await shut_down_node(fleet, "n0")
            await shut_down_upstream(fleet, f"{SERVICE}-1")
            # During a platform outage, while the responses of an upstream to one node are cut.
            await fleet.platform.set_conditions(outage=True)
            fleet.upstreams[f"{SERVICE}-2"].relay.cut(["to_client"], "127.0.1.1")
            await asyncio.gather(shut_down_node(fleet, "n1"), heal_later(fleet, tasks))
            await fleet.platform.set_conditions()
        await eventually(lambda: are_upstreams_idle(fleet))
        violations = [
            f"{record}" for record in records if not record.succeeded or not record.attempts
        ]
        violations += [f"{record}" for record in records if len(record.attempts) > 1]
        violations += find_execution_violations(records, fleet.executions())
        assert not violations, f"{len(violations)} of {len(records)}\n" + "\n".join(violations[:5])

    run_scenario(scenario, make_plan(median_s=MEDIAN_S))


async def has_requests_in_flight(tasks):
    """Returns whether several requests are in flight and at least one has ended."""
    return sum(not task.done() for task in tasks) >= 4 and any(task.done() for task in tasks)


async def heal_later(fleet, tasks):
    """Heals the cut after 10 more requests; until then their responses may be held back."""
    count = len(tasks) + 10

    async def reached():
        return len(tasks) >= count

    await eventually(reached)
    for relay in fleet.relays:
        relay.heal()
