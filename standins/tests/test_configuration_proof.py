"""Guards against accepted commands that are lost, late, reverted or accepted beside a conflict."""

import asyncio
import contextlib

import aiohttp

from standins.tests.proof import SERVICE, eventually, make_plan, restore, run_proof

# The invariant says 5 s. Three times as much, since a busy machine must not change the verdict.
IN_FORCE_BOUND_S = 15.0


class Watch:
    """Reads what is in force at every node until it ends, and keeps what contradicts it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self.highest = 0  # Newest version that was in force everywhere.
        self.seen = {}  # Node and process: last version.
        self.digests = {}  # Version: digest.
        self.violations = []

    async def read(self, node):
        """Returns what is in force at a ready node, or None."""
        base = f"http://{node.settings.operator_address}/v1/declarations"
        highest = self.highest
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
        if version < max(highest, self.seen.get((node.name, process), -1)):
            self.violations.append(f"{node.name} went back to version {version} from {self.seen}")
        self.seen[node.name, process] = version
        if self.digests.setdefault(version, digest) != digest:
            self.violations.append(f"{node.name} has another state at version {version}")
        return data

    async def run(self):
        while True:
            await asyncio.gather(*(self.read(node) for node in self.fleet.nodes.values()))
            await asyncio.sleep(0.01)

    async def in_force(self, version, names=()):
        """Waits until the named nodes, or all, have at least `version` in force."""

        async def reached():
            nodes = [self.fleet.nodes[name] for name in names or self.fleet.nodes]
            states = [await self.read(node) for node in nodes]
            return all(state is not None and state["version"] >= version for state in states)

        await eventually(reached, IN_FORCE_BOUND_S)
        if not names:
            self.highest = max(self.highest, version)


async def set_floor(fleet, name, slots, deadline_s=3.0):
    """Returns the answer to a change of the floor through one node."""
    try:
        answer = await fleet.command(
            fleet.nodes[name], f"set floor of {SERVICE} to {slots} slots", deadline_s
        )
    except (aiohttp.ClientError, TimeoutError):
        return {"outcome": "unknown", "command_id": "", "slots": slots}
    return {**answer, "slots": slots}


async def race(fleet, slots):
    """Two operators change the same service at once; returns their answers."""
    answers = await asyncio.gather(
        *(set_floor(fleet, name, slots + index) for index, name in enumerate(("n0", "n1")))
    )
    return list(answers)


async def restart_alone(fleet, watch, name):
    """Restarts a node while all others are paused, and resumes them once it answers."""
    others = [node for node in fleet.nodes.values() if node.name != name]
    for node in others:
        node.process.pause()
    node = fleet.nodes[name]
    node.process.kill()
    node.process.start()
    answers = 0

    async def answered():
        nonlocal answers
        answers += (await fleet._readiness(node))[0] != 0
        return answers >= 10

    await eventually(answered)
    await watch.read(node)
    for each in others:
        each.process.resume()


@contextlib.asynccontextmanager
async def watching(fleet):
    watch = Watch(fleet)
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await watch.session.close()
        # Also after an error, which a violation may have caused.
        assert not watch.violations, "\n".join(watch.violations[:8])


async def judge_log(fleet, watch, answers):
    """Compares the answers with the history and the floor that all nodes have in the end."""
    accepted = [answer for answer in answers if answer["outcome"] == "accepted"]
    newest = max(answer["version"] for answer in accepted)
    with contextlib.suppress(TimeoutError):
        await watch.in_force(newest)
    for node in fleet.nodes.values():
        history = (await fleet.query(node, "show history", 2.0))["rows"]
        by_id = {row["command"]: row for row in history}
        for answer in answers:
            row = by_id.get(answer["command_id"])
            if answer["outcome"] == "accepted" and (row is None or row["outcome"] != "accepted"):
                watch.violations.append(f"accepted and lost at {node.name}: {answer} {row}")
            if answer["outcome"] == "rejected" and row is not None and row["outcome"] == "accepted":
                watch.violations.append(f"rejected and in force at {node.name}: {answer}")
        last = [row for row in history if row["what"] == "floor" and row["outcome"] == "accepted"][
            -1
        ]
        slots = {answer["command_id"]: answer["slots"] for answer in answers}
        state = await watch.read(node)
        floor = state and state["services"][0]["floor_slots"]
        if floor != slots.get(last["command"], floor):
            watch.violations.append(f"{node.name} has floor {floor}, the log ends with {last}")


def test_accepted_configuration_is_in_force_everywhere_and_stays():
    async def scenario(fleet):
        set_conditions = fleet.platform.set_conditions
        answers = []
        async with watching(fleet) as watch:
            for slots in (1, 3):
                answers += await race(fleet, slots)
            # Appends whose answer is lost, half of which take no effect.
            for slots, applied in ((5, True), (7, False), (9, True)):
                await set_conditions(lost_answer_share=0.5, lost_answer_applied=applied)
                answers += await race(fleet, slots)
            await set_conditions()
            # A node that misses changes while it is paused, and a node cut off from the platform.
            fleet.nodes["n2"].process.pause()
            fleet.nodes["n1"].platform_relay.cut()
            answers.append(await set_floor(fleet, "n0", 11))
            await watch.in_force(answers[-1]["version"], ("n0", "n1"))
            fleet.nodes["n2"].process.resume()
            await watch.in_force(answers[-1]["version"])
            fleet.nodes["n1"].platform_relay.heal()
            # An outage: nothing is accepted, nothing is lost, and a node that restarts is current.
            await set_conditions(outage=True)
            answers.append(await set_floor(fleet, "n0", 12, 0.5))
            if answers[-1]["outcome"] == "accepted":
                watch.violations.append(f"accepted during an outage: {answers[-1]}")
            # Without log and peers it must not serve, since it cannot know the configuration.
            await restart_alone(fleet, watch, "n1")
            await watch.in_force(watch.highest)
            # The outage ends while a node is killed and an answer is lost.
            await set_conditions(lost_answer_share=1.0)
            command = asyncio.create_task(set_floor(fleet, "n0", 13))
            fleet.nodes["n2"].process.kill()
            answers.append(await command)
            await restore(fleet)
            answers += await race(fleet, 14)
            await judge_log(fleet, watch, answers)
            outcomes = [answer["outcome"] for answer in answers]
        assert "accepted" in outcomes and "rejected" in outcomes, answers

    run_proof(scenario, make_plan(nodes=3, upstreams=1))
