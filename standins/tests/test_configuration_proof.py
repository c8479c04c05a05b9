"""Guards against accepted commands that are lost, delayed, reverted or conflicting."""

import asyncio
import contextlib

import aiohttp

from standins.tests.proof import SERVICE, clear_faults, eventually, make_plan, run_scenario

# Three times the 5 s of the invariant, so that the test does not fail on a busy machine.
ACTIVATION_TIMEOUT_S = 15.0


class ConfigurationWatcher:
    """Continuously reads the active configuration of every node and records contradictions."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self.highest_version = 0  # Newest version that was active on all nodes.
        self.last_versions = {}  # Last version by node and process.
        self.digests = {}  # Digest by version.
        self.violations = []

    async def read(self, node):
        """Returns the active configuration of a node; None if the node is not ready."""
        base = f"http://{node.settings.operator_address}/v1/declarations"
        highest_version = self.highest_version
        try:
            process = node.process.process_id
            async with self.session.get(f"http://{node.address}/.anviltray/ready") as response:
                if response.status != 200:
                    return None
            async with self.session.get(base) as response:
                data = await response.json()
        except Exception:
            return None
        version, digest = data["version"], data["digest"]
        if version < max(highest_version, self.last_versions.get((node.name, process), -1)):
            self.violations.append(
                f"{node.name} went back to version {version} from {self.last_versions}"
            )
        self.last_versions[node.name, process] = version
        if self.digests.setdefault(version, digest) != digest:
            self.violations.append(f"{node.name} has a different state at version {version}")
        return data

    async def run(self):
        while True:
            await asyncio.gather(*(self.read(node) for node in self.fleet.nodes.values()))
            await asyncio.sleep(0.01)

    async def wait_until_active(self, version, names=()):
        """Waits until at least `version` is active on the named nodes, or on all."""

        async def reached():
            nodes = [self.fleet.nodes[name] for name in names or self.fleet.nodes]
            states = [await self.read(node) for node in nodes]
            return all(state is not None and state["version"] >= version for state in states)

        await eventually(reached, ACTIVATION_TIMEOUT_S)
        if not names:
            self.highest_version = max(self.highest_version, version)


async def set_floor(fleet, name, slots, deadline_s=3.0):
    """Sets the floor through one node and returns the result of the command."""
    try:
        result = await fleet.command(
            fleet.nodes[name], f"set floor of {SERVICE} to {slots} slots", deadline_s
        )
    except (aiohttp.ClientError, TimeoutError):
        return {"outcome": "unknown", "command_id": "", "slots": slots}
    return {**result, "slots": slots}


async def set_floor_concurrently(fleet, slots):
    """Sets the floor through two nodes concurrently and returns both results."""
    results = await asyncio.gather(
        *(set_floor(fleet, name, slots + index) for index, name in enumerate(("n0", "n1")))
    )
    return list(results)


async def restart_isolated(fleet, watcher, name):
    """Restarts a node while all others are paused; resumes them once it responds."""
    others = [node for node in fleet.nodes.values() if node.name != name]
    for node in others:
        node.process.pause()
    node = fleet.nodes[name]
    node.process.kill()
    node.process.start()
    responses = 0

    async def has_responded():
        nonlocal responses
        responses += (await fleet._readiness(node))[0] != 0
        return responses >= 10

    await eventually(has_responded)
    await watcher.read(node)
    for each in others:
        each.process.resume()


@contextlib.asynccontextmanager
async def watch_configuration(fleet):
    watcher = ConfigurationWatcher(fleet)
    task = asyncio.create_task(watcher.run())
    try:
        yield watcher
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await watcher.session.close()
        # Checked after an error as well, because a violation may have caused it.
        assert not watcher.violations, "\n".join(watcher.violations[:8])


async def check_log(fleet, watcher, results):
    """Compares the results with the history and the final floor of every node."""
    accepted = [result for result in results if result["outcome"] == "accepted"]
    newest = max(result["version"] for result in accepted)
    with contextlib.suppress(TimeoutError):
        await watcher.wait_until_active(newest)
    for node in fleet.nodes.values():
        history = (await fleet.query(node, "show history", 2.0))["rows"]
        by_id = {row["command"]: row for row in history}
        for result in results:
            row = by_id.get(result["command_id"])
            if result["outcome"] == "accepted" and (row is None or row["outcome"] != "accepted"):
                watcher.violations.append(f"accepted and lost at {node.name}: {result} {row}")
            if result["outcome"] == "rejected" and row is not None and row["outcome"] == "accepted":
                watcher.violations.append(f"rejected and active at {node.name}: {result}")
        last = [row for row in history if row["what"] == "floor" and row["outcome"] == "accepted"][
            -1
        ]
        slots = {result["command_id"]: result["slots"] for result in results}
        state = await watcher.read(node)
        floor = state and state["services"][0]["floor_slots"]
        if floor != slots.get(last["command"], floor):
            watcher.violations.append(f"{node.name} has floor {floor}, the log ends with {last}")


def test_accepted_configuration_becomes_active_everywhere_and_stays():
    async def scenario(fleet):
        set_conditions = fleet.platform.set_conditions
        results = []
        async with watch_configuration(fleet) as watcher:
            for slots in (1, 3):
                results += await set_floor_concurrently(fleet, slots)
            # Half of the appends get no response; in the second round these take no effect.
            for slots, applied in ((5, True), (7, False), (9, True)):
                await set_conditions(lost_answer_share=0.5, lost_answer_applied=applied)
                results += await set_floor_concurrently(fleet, slots)
            await set_conditions()
            # One node is paused and misses changes, another is partitioned from the platform.
            fleet.nodes["n2"].process.pause()
            fleet.nodes["n1"].platform_relay.cut()
            results.append(await set_floor(fleet, "n0", 11))
            await watcher.wait_until_active(results[-1]["version"], ("n0", "n1"))
            fleet.nodes["n2"].process.resume()
            await watcher.wait_until_active(results[-1]["version"])
            fleet.nodes["n1"].platform_relay.heal()
            # In an outage no command is accepted, none is lost, and a restarted node is up to date.
            await set_conditions(outage=True)
            results.append(await set_floor(fleet, "n0", 12, 0.5))
            if results[-1]["outcome"] == "accepted":
                watcher.violations.append(f"accepted during an outage: {results[-1]}")
            # Without the log and peers a node must not serve, as it cannot know the configuration.
            await restart_isolated(fleet, watcher, "n1")
            await watcher.wait_until_active(watcher.highest_version)
            # The outage ends, then a node is killed and the response to an append is lost.
            await set_conditions(lost_answer_share=1.0)
            command = asyncio.create_task(set_floor(fleet, "n0", 13))
            fleet.nodes["n2"].process.kill()
            results.append(await command)
            await clear_faults(fleet)
            results += await set_floor_concurrently(fleet, 14)
            await check_log(fleet, watcher, results)
            outcomes = [result["outcome"] for result in results]
        assert "accepted" in outcomes and "rejected" in outcomes, results

    run_scenario(scenario, make_plan(nodes=3, upstreams=1))
