"""Guards against new requests to a draining upstream."""

import asyncio
import contextlib
import itertools
import time

from standins.tests.proof import SERVICE, TIMEOUT_S, eventually, make_plan, query_rows, run_scenario

# Twice the 3 s that the invariant allows after any node learns of the draining, so that the test
# does not fail on a busy machine.
DRAIN_LIMIT_S = 6.0
SOURCES = ("response", "list", "operator")


async def start_draining(fleet, source):
    """Starts draining one upstream through one of the three sources; returns the upstream."""
    index = SOURCES.index(source)
    upstream = fleet.upstreams[f"{SERVICE}-{index + 1}"]
    if source == "response":
        await upstream.set_draining()
    elif source == "list":
        await fleet.set_host_state(upstream.address, "leaving")
    else:
        result = await fleet.command(fleet.nodes["n0"], f"drain {upstream.address}", TIMEOUT_S)
        assert result["outcome"] == "accepted", result
    return upstream


async def is_known_draining(fleet, upstream):
    """Returns whether any node knows that the upstream is draining."""
    for node in fleet.nodes.values():
        if any(
            row["leaving"] for row in await query_rows(fleet, node, f"explain upstream {upstream}")
        ):
            return True
    return False


@contextlib.asynccontextmanager
async def traffic(fleet, tasks):
    """Sends unrepeatable requests to each node in turn."""

    async def send_all(caller):
        for number in itertools.count():
            address = addresses[number % len(addresses)]
            call = caller.send(SERVICE, "POST", "/x", addresses=[address], deadline_s=1.0)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(0.01)

    addresses = [node.address for node in fleet.nodes.values()]
    async with fleet.caller() as caller:
        sending = asyncio.create_task(send_all(caller))
        try:
            yield
        finally:
            sending.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def wait_until_past(tasks, until_s):
    """Waits until `until_s` has passed and more than 100 further requests have ended."""
    start = sum(task.done() for task in tasks)

    async def reached():
        return time.monotonic() > until_s and sum(task.done() for task in tasks) > start + 100

    await eventually(reached)


async def start_draining_all(fleet):
    """Drains three upstreams; returns them by source and the time when all are known."""
    upstreams = {source: await start_draining(fleet, source) for source in SOURCES}
    for upstream in upstreams.values():
        await eventually(lambda upstream=upstream: is_known_draining(fleet, upstream.address))
    return upstreams, time.monotonic()


async def start_outage_and_cut(fleet):
    """Starts a platform outage and cuts the responses of one upstream to one node."""
    await fleet.platform.set_conditions(outage=True)
    fleet.upstreams[f"{SERVICE}-4"].relay.cut(["to_client"], "127.0.1.1")


def test_a_draining_upstream_gets_no_new_request():
    """Covers a node that is paused and resumes only after the time limit."""

    async def scenario(fleet):
        tasks = []
        paused = fleet.nodes["n2"]
        async with traffic(fleet, tasks):
            await wait_until_past(tasks, 0.0)
            paused.process.pause()
            upstreams, known_s = await start_draining_all(fleet)
            await start_outage_and_cut(fleet)
            await wait_until_past(tasks, known_s + DRAIN_LIMIT_S)
            paused.process.resume()
            await fleet.wait_until_ready(paused)
            await wait_until_past(tasks, 0.0)
        for source, upstream in upstreams.items():
            late_s = (await upstream.state())["last_arrival_s"] - known_s
            assert (
                late_s <= DRAIN_LIMIT_S
            ), f"{source}: a request {late_s:.1f} s after the draining was known"
        assert any(task.result().succeeded for task in tasks[-50:]), tasks[-1]

    run_scenario(scenario, make_plan(nodes=3, upstreams=5))
