"""Guards against new requests to a draining upstream."""

import asyncio
import contextlib
import itertools
import time

from standins.tests.proof import BOUND_S, SERVICE, eventually, make_plan, rows, run_proof

# The invariant says 3 s from the moment any node learns of it. Twice as much, since a busy machine
# must not change the verdict.
DRAIN_BOUND_S = 6.0
SOURCES = ("answer", "list", "operator")


async def announce(fleet, source):
    """Makes one upstream leave by one of the three sources; returns it."""
    index = SOURCES.index(source)
    upstream = fleet.upstreams[f"{SERVICE}-{index + 1}"]
    if source == "answer":
        await upstream.set_draining()
    elif source == "list":
        await fleet.set_host_state(upstream.address, "leaving")
    else:
        answer = await fleet.command(fleet.nodes["n0"], f"drain {upstream.address}", BOUND_S)
        assert answer["outcome"] == "accepted", answer
    return upstream


async def learned(fleet, upstream):
    """Tells whether any node knows that the upstream is leaving."""
    for node in fleet.nodes.values():
        if any(row["leaving"] for row in await rows(fleet, node, f"explain upstream {upstream}")):
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


async def passed(tasks, until_s):
    """Waits until the time is over and many more requests have ended since."""
    start = sum(task.done() for task in tasks)

    async def over():
        return time.monotonic() > until_s and sum(task.done() for task in tasks) > start + 100

    await eventually(over)


async def announce_all(fleet):
    """Lets three upstreams leave; returns them by source and the time when all are known."""
    upstreams = {source: await announce(fleet, source) for source in SOURCES}
    for upstream in upstreams.values():
        await eventually(lambda upstream=upstream: learned(fleet, upstream.address))
    return upstreams, time.monotonic()


async def outage_and_cut(fleet):
    """The platform fails, and one node hears no answers of one upstream."""
    await fleet.platform.set_conditions(outage=True)
    fleet.upstreams[f"{SERVICE}-4"].relay.cut(["to_client"], "127.0.1.1")


def test_a_draining_upstream_gets_no_new_request():
    """Also through a node that was paused and resumes when the bound is over."""

    async def scenario(fleet):
        tasks = []
        paused = fleet.nodes["n2"]
        async with traffic(fleet, tasks):
            await passed(tasks, 0.0)
            paused.process.pause()
            upstreams, learned_s = await announce_all(fleet)
            await outage_and_cut(fleet)
            await passed(tasks, learned_s + DRAIN_BOUND_S)
            paused.process.resume()
            await fleet.wait_until_ready(paused)
            await passed(tasks, 0.0)
        for source, upstream in upstreams.items():
            late_s = (await upstream.state())["last_arrival_s"] - learned_s
            assert late_s <= DRAIN_BOUND_S, f"{source}: a request {late_s:.1f} s after it was known"
        assert any(task.result().succeeded for task in tasks[-50:]), tasks[-1]

    run_proof(scenario, make_plan(nodes=3, upstreams=5))
