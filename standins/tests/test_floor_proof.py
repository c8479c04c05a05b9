"""Guards against ejections that leave a service fewer routable slots than its floor."""

import asyncio

from standins.tests.proof import SERVICE, eventually, make_plan, query_rows, run_scenario

UPSTREAMS = 4
FLOOR_SLOTS = 13  # Of 24 slots: at least three of the four instances with 6 slots each.


class FloorWatcher:
    """Continuously reads the routable slots of every node and records those below the floor."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.violations = []
        self.reads = 0

    async def run(self):
        while True:
            for node in self.fleet.nodes.values():
                for row in await query_rows(self.fleet, node, "show services"):
                    self.reads += 1
                    if row["routable_slots"] < row["floor"]:
                        self.violations.append(f"{row}")
            await asyncio.sleep(0.02)


async def send_continuously(fleet, caller, tasks):
    """Sends retryable requests through all nodes in turn."""
    addresses = [node.address for node in fleet.nodes.values()]
    while True:
        address = addresses[len(tasks) % len(addresses)]
        call = caller.send(SERVICE, "GET", "/read", addresses=[address], deadline_s=1.0)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)


async def are_suspected(fleet, count):
    """Returns whether some node suspects at least `count` upstreams."""
    for node in fleet.nodes.values():
        upstream_rows = await query_rows(fleet, node, f"show upstreams of {SERVICE}")
        if sum(row["kept_by_floor"] or not row["routed"] for row in upstream_rows) >= count:
            return True
    return False


def test_ejection_leaves_the_floor():
    async def scenario(fleet):
        upstreams = list(fleet.upstreams.values())
        tasks = []
        watcher = FloorWatcher(fleet)
        async with fleet.caller() as caller:
            running = [
                asyncio.create_task(watcher.run()),
                asyncio.create_task(send_continuously(fleet, caller, tasks)),
            ]
            try:
                await wait_for_completions(tasks, 200)
                # One after the other, so that nodes do not attribute the errors to themselves.
                for index, upstream in enumerate(upstreams[:2], 1):
                    await upstream.set_faults(fail_share=1.0)
                    await eventually(lambda count=index: are_suspected(fleet, count))
                # An outage, a pause and concurrent commands while two upstreams are suspected.
                await fleet.platform.set_conditions(outage=True)
                fleet.nodes["n0"].process.pause()
                await wait_for_completions(tasks, 100)
                fleet.nodes["n0"].process.resume()
                await fleet.platform.set_conditions()
                await asyncio.gather(
                    *(
                        fleet.command(node, f"set floor of {SERVICE} to {slots} slots")
                        for node, slots in zip(fleet.nodes.values(), (13, 19), strict=True)
                    )
                )
                upstreams[2].relay.cut(["to_client"])
                await wait_for_completions(tasks, 100)
            finally:
                for task in running:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        assert watcher.reads > 20
        assert (
            not watcher.violations
        ), f"{len(watcher.violations)} of {watcher.reads}\n" + "\n".join(watcher.violations[:4])

    run_scenario(scenario, make_plan(upstreams=UPSTREAMS, floor_slots=FLOOR_SLOTS))


async def wait_for_completions(tasks, count):
    """Waits until `count` more requests have ended."""
    target = sum(task.done() for task in tasks) + count

    async def reached():
        return sum(task.done() for task in tasks) >= target

    await eventually(reached)
