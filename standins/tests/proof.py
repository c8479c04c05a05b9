"""What the tests of the invariants share: a fleet of processes, bounded waits, and judgements.

`SEEDED_FAULT` runs the nodes with one guard removed, see `seeded_node`; the test of the invariant
that the guard protects must fail then.
"""

import asyncio
import os

import aiohttp

from standins.fleet import Fleet, FleetPlan, NodePlan, ServicePlan, UpstreamPlan
from standins.fleet._plan import QUICK_SETTINGS
from standins.upstream import UpstreamOptions

BOUND_S = 30.0  # Of every wait; a healthy fleet takes a small part of it.
SERVICE = "supply-yard"
ZONES = (("viti", "viti-a"), ("viti", "viti-b"), ("vanua", "vanua-a"), ("vanua", "vanua-b"))


def make_plan(nodes=2, upstreams=3, floor_slots=0, median_s=0.02, repeat_prefix="/read"):
    """Returns nodes in different zones and one service whose instances are behind relays.

    Requests below `/read` may be repeated, all others run at most once. All instances are in the
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
            "retry_rules": [{"methods": ["GET", "POST"], "prefix": repeat_prefix}],
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


def run_proof(scenario, plan, timeout_s=120.0):
    """Runs `scenario(fleet)` with all nodes started and knowing each other."""

    async def wrapped():
        async with Fleet(plan) as fleet, asyncio.timeout(timeout_s):
            await fleet.start_nodes()
            await eventually(lambda: nodes_agree(fleet))
            await scenario(fleet)

    asyncio.run(wrapped())


async def eventually(condition, timeout_s=BOUND_S):
    """Waits until `await condition()` holds; raises TimeoutError with the last value."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not (value := await condition()):
        if loop.time() > deadline_s:
            raise TimeoutError(f"condition did not hold within {timeout_s} s: {value!r}")
        await asyncio.sleep(0.05)


async def rows(fleet, node, text):
    """Returns the rows of a query that the node itself gives, empty if it does not answer."""
    try:
        answer = await fleet.query(node, text, 1.0)
    except (aiohttp.ClientError, TimeoutError):
        return []
    return [row for row in answer.get("rows", ()) if row.get("node", node.name) == node.name]


async def nodes_agree(fleet):
    """Tells whether every node knows all nodes."""
    for node in fleet.nodes.values():
        known = await rows(fleet, node, "show nodes")
        if not known or known[0]["known_nodes"] != len(fleet.nodes):
            return False
    return True


async def upstreams_idle(fleet):
    """Tells whether no upstream runs or queues a request."""
    states = [await upstream.state() for upstream in fleet.upstreams.values()]
    return all(state["load"] == 0 and state["queued"] == 0 for state in states)


async def restore(fleet):
    """Ends all faults and waits until every process answers and no request is left."""
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
    await eventually(lambda: upstreams_idle(fleet))


def judge_runs(records, executions):
    """Returns the violations of "at most once" and of "truthful not-run".

    `records` are unrepeatable requests, several of which may have the same identifier.
    """
    found = []
    for record in records:
        if not record.request_id:
            continue
        count = executions[record.request_id]
        told = [each.outcome for each in record.attempts if each.complete]
        if count > 1:
            found.append(f"{record.request_id} ran {count} times: {record.attempts}")
        if "not-run" in told and count:
            found.append(f"{record.request_id} was told not-run and ran: {record.attempts}")
        if "done" in told and not count:
            found.append(f"{record.request_id} was told done and did not run: {record.attempts}")
    return found
