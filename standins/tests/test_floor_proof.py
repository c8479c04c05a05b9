"""Guards against ejections that leave a service less healthy capacity than its floor."""

import asyncio

from standins.tests.proof import SERVICE, eventually, make_plan, rows, run_proof

UPSTREAMS = 4
FLOOR_SLOTS = 13  # Of 24: at least three of the four instances with 6 slots each.


class FloorWatch:
    """Reads the routable slots at every node until it ends and keeps those below the floor."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.violations = []
        self.reads = 0

    async def run(self):
        while True:
            for node in self.fleet.nodes.values():
                for row in await rows(self.fleet, node, "show services"):
                    self.reads += 1
                    if row["routable_slots"] < row["floor"]:
                        self.violations.append(f"{row}")
            await asyncio.sleep(0.02)


async def keep_sending(fleet, caller, tasks):
    """Sends repeatable requests through all nodes."""
    addresses = [node.address for node in fleet.nodes.values()]
    while True:
        address = addresses[len(tasks) % len(addresses)]
        call = caller.send(SERVICE, "GET", "/read", addresses=[address], deadline_s=1.0)
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)


async def suspected(fleet, count):
    """Tells whether some node suspects at least that many upstreams."""
    for node in fleet.nodes.values():
        found = await rows(fleet, node, f"show upstreams of {SERVICE}")
        if sum(row["kept_by_floor"] or not row["routed"] for row in found) >= count:
            return True
    return False


def test_ejection_leaves_the_floor():
    async def scenario(fleet):
        upstreams = list(fleet.upstreams.values())
        tasks = []
        watch = FloorWatch(fleet)
        async with fleet.caller() as caller:
            running = [
                asyncio.create_task(watch.run()),
                asyncio.create_task(keep_sending(fleet, caller, tasks)),
            ]
            try:
                await more(tasks, 200)
                # One after the other, so that trouble of the node's own side does not explain it.
                for index, upstream in enumerate(upstreams[:2], 1):
                    await upstream.set_faults(fail_share=1.0)
                    await eventually(lambda count=index: suspected(fleet, count))
                # An outage, a pause and an operators' race while most upstreams are suspected.
                await fleet.platform.set_conditions(outage=True)
                fleet.nodes["n0"].process.pause()
                await more(tasks, 100)
                fleet.nodes["n0"].process.resume()
                await fleet.platform.set_conditions()
                await asyncio.gather(
                    *(
                        fleet.command(node, f"set floor of {SERVICE} to {slots} slots")
                        for node, slots in zip(fleet.nodes.values(), (13, 19), strict=True)
                    )
                )
                upstreams[2].relay.cut(["to_client"])
                await more(tasks, 100)
            finally:
                for task in running:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        assert watch.reads > 20
        assert not watch.violations, f"{len(watch.violations)} of {watch.reads}\n" + "\n".join(
            watch.violations[:4]
        )

    run_proof(scenario, make_plan(upstreams=UPSTREAMS, floor_slots=FLOOR_SLOTS))


async def more(tasks, count):
    """Waits until that many more requests have ended."""
    wanted = sum(task.done() for task in tasks) + count

    async def reached():
        return sum(task.done() for task in tasks) >= wanted

    await eventually(reached)
