"""`python -m standins.fleet`: runs a small fleet until Ctrl-C."""

import asyncio

import defopt
from tabulate import tabulate

from standins._serving import run_until_signal
from standins.fleet._fleet import Fleet
from standins.fleet._plan import small_plan


def main(*, nodes_per_zone: int = 1, instances_per_zone: int = 1) -> None:
    """Runs a fleet in two regions with two zones each and prints example commands.

    :param nodes_per_zone: Nodes in each zone.
    :param instances_per_zone: Instances of each of the two services in each zone.
    """
    asyncio.run(_serve(nodes_per_zone, instances_per_zone))


async def _serve(nodes_per_zone: int, instances_per_zone: int) -> None:
    async with Fleet(small_plan(nodes_per_zone, instances_per_zone)) as fleet:
        running = asyncio.create_task(_start(fleet))
        stopping = asyncio.create_task(run_until_signal())
        await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if running.done():
            running.result()
            await stopping
        else:
            running.cancel()
        print("stopping all processes", flush=True)


async def _start(fleet: Fleet) -> None:
    await fleet.start_nodes()
    rows = [
        (node.name, node.address, node.settings.operator_address, node.process.process_id)
        for node in fleet.nodes.values()
    ]
    print(tabulate(rows, headers=["node", "callers", "operators", "process"]))
    rows = [
        (upstream.name, upstream.address, upstream.control_address, upstream.process.process_id)
        for upstream in fleet.upstreams.values()
    ]
    print(tabulate(rows, headers=["upstream", "address", "control", "process"]))
    node, upstream = next(iter(fleet.nodes.values())), next(iter(fleet.upstreams.values()))
    tool = f"ANVILTRAY_NODES={node.settings.operator_address} .venv/bin/python -m anviltray_cli"
    print(f"\noutput of all processes: {fleet.directory}\nexamples:")
    print(f"  curl -i '{node.address}/.anviltray/ask?service=keeper-desk'")
    print(f"  curl -i -d level=7 {node.address}/ponds/3")
    print(
        "  .venv/bin/python -m standins.caller keeper-desk /ponds/3 --rate 50 "
        f"--nodes {' '.join(each.address for each in fleet.nodes.values())}"
    )
    faults = '{"stall_share": 1.0}'
    print(f"  curl -d '{faults}' http://{upstream.control_address}/control/faults")
    print(f"  {tool} show upstreams of keeper-desk")
    print(f"  {tool} explain upstream {upstream.address}")
    print(f"  kill -STOP {node.process.process_id}    (kill -CONT to resume)")
    print("Ctrl-C stops the fleet", flush=True)


if __name__ == "__main__":
    defopt.run(main)
