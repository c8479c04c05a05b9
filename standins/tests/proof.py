"""Shared by the tests of the invariants: a fleet of processes, waits with a time-out and checks.

`SEEDED_FAULT` runs the nodes without one of their safeguards, see `seeded_node`; the test of the
invariant that the safeguard protects must fail then.
"""

import asyncio
import os

import aiohttp

from standins.fleet import Fleet, FleetPlan, NodePlan, ServicePlan, UpstreamPlan
from standins.fleet._plan import QUICK_SETTINGS
from standins.upstream import UpstreamOptions

TIMEOUT_S = 30.0  # Of every wait; a healthy fleet needs a small fraction of it.
SERVICE = "supply-yard"
ZONES = (("viti", "viti-a"), ("viti", "viti-b"), ("vanua", "vanua-a"), ("vanua", "vanua-b"))


def make_plan(nodes=2, upstreams=3, floor_slots=0, median_s=0.02, retryable_prefix="/read"):
    """Returns nodes in different zones and one service whose instances are behind relays.

    Requests below `/read` may be retried, all others run at most once. All instances are in the
    first region, so that every node uses them.
    """
    seeded = os.environ.get("SEEDED_FAULT")
    options = UpstreamOptions(median_s=median_s, report_lag_s=0.2)
    service = ServicePlan(
        SERVICE,
        tuple(UpstreamPlan("viti", "viti-a", options, relay=True) for _ in range(upstreams)),
        {
            "routes": [{"prefix": "/"}],
            "floor_slots": floor_slots,
            "retry_rules": [{"methods": ["GET", "POST"], "prefix": retryable_prefix}],
        },
    )
    return FleetPlan(
        tuple(
            NodePlan(f"n{number}", *ZONES[number], platform_relay=True) for number in range(nodes)
        ),
        (service,),
        QUICK_SETTINGS,
        node_module="standins.tests.seeded_node" if seeded else "anviltray.node",
    )


def run_scenario(scenario, plan, timeout_s=120.0):
    """Runs `scenario(fleet)` after all nodes have started and connected to each other."""

    async def wrapped():
        async with Fleet(plan) as fleet, asyncio.timeout(timeout_s):
            await fleet.start_nodes()
            await eventually(lambda: all_nodes_connected(fleet))
            await scenario(fleet)

    asyncio.run(wrapped())


async def eventually(condition, timeout_s=TIMEOUT_S):
    """Waits until `await condition()` is true; raises TimeoutError with the last value."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not (value := await condition()):
        if loop.time() > deadline_s:
            raise TimeoutError(f"condition did not hold within {timeout_s} s: {value!r}")
        await asyncio.sleep(0.05)


async def query_rows(fleet, node, text):
    """Returns the rows that a node reports about itself; empty if it does not respond."""
    try:
        result = await fleet.query(node, text, 1.0)
    except (aiohttp.ClientError, TimeoutError):
        return []
    return [row for row in result.get("rows", ()) if row.get("node", node.name) == node.name]


async def all_nodes_connected(fleet):
    """Returns whether every node knows all nodes."""
    for node in fleet.nodes.values():
        node_rows = await query_rows(fleet, node, "show nodes")
        if not node_rows or node_rows[0]["known_nodes"] != len(fleet.nodes):
            return False
    return True


async def are_upstreams_idle(fleet):
    """Returns whether no upstream runs or queues a request."""
    states = [await upstream.state() for upstream in fleet.upstreams.values()]
    return all(state["load"] == 0 and state["queued"] == 0 for state in states)


async def clear_faults(fleet):
    """Clears all faults; waits until every process responds and no request is in progress."""
    for upstream in fleet.upstreams.values():
        if not upstream.process.running:
            await upstream.process.start_and_wait_ready()
        upstream.process.resume()
        await upstream.set_faults()
        await upstream.set_draining(on=False)
    for relay in fleet.relays:
        relay.heal()
    await fleet.platform.set_conditions(host_list_lag_s=fleet.plan.host_list_lag_s)
    for node in fleet.nodes.values():
        if not node.process.running:
            await fleet.start_nodes(node.name)
        node.process.resume()
        await fleet.wait_until_ready(node)
    await eventually(lambda: are_upstreams_idle(fleet))


def find_execution_violations(records, executions):
    """Returns the violations of at-most-once execution and of truthful outcomes.

    `records` are unrepeatable requests, several of which may have the same identifier.
    """
    violations = []
    for record in records:
        if not record.request_id:
            continue
        count = executions[record.request_id]
        outcomes = [each.outcome for each in record.attempts if each.complete]
        if count > 1:
            violations.append(f"{record.request_id} ran {count} times: {record.attempts}")
        if "not-run" in outcomes and count:
            violations.append(
                f"{record.request_id} was reported as not-run and ran: {record.attempts}"
            )
        if "done" in outcomes and not count:
            violations.append(
                f"{record.request_id} was reported as done and did not run: {record.attempts}"
            )
    return violations
