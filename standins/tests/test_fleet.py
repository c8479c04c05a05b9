"""Guards against a launcher that leaks processes, loses counts or waits without a time-out."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest
import yaml

from anviltray.declarations import parse_declarations
from standins.fleet import (
    Fleet,
    FleetPlan,
    ManagedProcess,
    ProcessEnded,
    ServicePlan,
    UpstreamPlan,
    small_plan,
)

ROOT = Path(__file__).parents[2]
ONE_SERVICE = ServicePlan(
    "order-desk", (UpstreamPlan("viti", "viti-a"),), {"routes": [{"prefix": "/"}]}
)
PLAN = FleetPlan((), (ONE_SERVICE,))
WITH_RELAY = FleetPlan(
    (), (ONE_SERVICE._replace(upstreams=(UpstreamPlan("viti", "viti-a", relay=True),)),)
)


def run(scenario, plan=PLAN):
    """Runs `scenario(fleet)` in a fleet without nodes."""

    async def wrapped():
        async with Fleet(plan) as fleet:
            await asyncio.wait_for(scenario(fleet), 60)

    asyncio.run(wrapped())


async def send(fleet, request_id, deadline_s=1.0):
    """Sends a request to the upstream and returns the identifier in the response."""
    upstream = fleet.upstreams["order-desk-1"]
    async with aiohttp.ClientSession(headers={"X-Request-Id": request_id}) as session:
        timeout = aiohttp.ClientTimeout(total=deadline_s)
        async with session.get(f"http://{upstream.address}/a", timeout=timeout) as response:
            return (await response.json())["id"]


def is_process_alive(process_id):
    try:
        os.kill(process_id, 0)
    except ProcessLookupError:
        return False
    return True


def test_upstreams_are_paused_resumed_killed_and_restarted():
    async def scenario(fleet):
        upstream = fleet.upstreams["order-desk-1"]
        assert await send(fleet, "a") == "a"
        upstream.process.pause()
        with pytest.raises(TimeoutError):
            await send(fleet, "b", 0.5)
        upstream.process.resume()
        await fleet.wait_until(lambda: fleet.executions() == {"a": 1, "b": 1}, 10)
        upstream.process.kill()
        assert upstream.process.exit_code == -signal.SIGKILL
        with pytest.raises(aiohttp.ClientConnectorError):
            await send(fleet, "c")
        await fleet.restart(upstream)
        assert await send(fleet, "a") == "a"
        assert fleet.executions() == {"a": 2, "b": 1}, "execution counts survive a kill"

    run(scenario)


def test_faults_and_relays_reach_the_upstream():
    async def scenario(fleet):
        upstream = fleet.upstreams["order-desk-1"]
        assert await send(fleet, "a") == "a"
        await upstream.set_faults(stall_share=1.0)
        with pytest.raises(TimeoutError):
            await send(fleet, "b", 0.5)
        await upstream.set_faults()
        upstream.relay.cut()
        with pytest.raises(TimeoutError):
            await send(fleet, "c", 0.5)
        assert fleet.executions() == {"a": 1, "b": 1}
        await upstream.set_draining()
        assert (await upstream.state())["draining"]

    run(scenario, WITH_RELAY)


def test_declarations_hosts_and_settings_match_the_plan():
    async def scenario():
        async with Fleet(small_plan(relays=True)) as fleet, aiohttp.ClientSession() as session:
            base = f"http://{fleet.platform.address}"
            async with session.get(f"{base}/streams/configuration/offsets") as response:
                assert (await response.json())["next"] == 2
            async with session.get(f"{base}/control/hosts") as response:
                hosts = (await response.json())["hosts"]
            assert [host["role"] for host in hosts].count("node") == 4
            declared = fleet.declarations()
            addresses = {
                each.address for service in declared.services for each in service.upstreams
            }
            assert addresses == {host["address"] for host in hosts if host["role"] == "upstream"}
            assert not addresses & {each.direct_address for each in fleet.upstreams.values()}
            zones = {(node.settings.region, node.settings.zone) for node in fleet.nodes.values()}
            assert len(zones) == 4
            for node in fleet.nodes.values():
                assert node.settings.platform.url == f"http://{node.platform_relay.address}"
                assert len(node.settings.exchange.seeds) == 3

    asyncio.run(scenario())


def test_nodes_serve_callers_of_both_regions():
    """Guards against a launcher whose settings, declarations or identifiers nodes reject."""

    async def scenario(fleet):
        await fleet.start_nodes()
        for region in ("viti", "vanua"):
            async with fleet.caller(region, name=region) as caller:
                record = await caller.send("supply-yard", "POST", "/supply/orders", body=b"clay")
                assert (record.outcome, record.status) == ("done", 200), record
                assert record.attempts[0].echo_matches
                assert fleet.executions()[record.request_id] == 1
                repeated = await caller.send(
                    "supply-yard",
                    "POST",
                    "/supply/orders",
                    body=b"clay",
                    request_id=record.request_id,
                )
                assert repeated.outcome == "done" and repeated.attempts[-1].echo_matches
                assert fleet.executions()[record.request_id] == 1
        result = await fleet.query(fleet.nodes["viti-a-1"], "show nodes")
        assert result["status"] == 200 and len(result["rows"]) == 4
        assert result["missing_nodes"] == []

    run(scenario, small_plan())


def test_all_processes_end_when_a_test_fails():
    process_ids = []

    async def scenario(fleet):
        process_ids.append(fleet.platform.process.process_id)
        upstream = fleet.upstreams["order-desk-1"].process
        process_ids.append(upstream.process_id)
        upstream.pause()
        raise AssertionError("a failing test")

    with pytest.raises(AssertionError, match="a failing test"):
        run(scenario)
    assert not any(is_process_alive(process_id) for process_id in process_ids)


def test_processes_end_with_the_interpreter_that_started_them(tmp_path):
    """Guards against orphaned processes when a run ends without exiting the context manager."""
    script = (
        "import pathlib, sys\n"
        "from standins.fleet import ManagedProcess\n"
        "process = ManagedProcess('p', 'standins.platform', [], pathlib.Path(sys.argv[1]))\n"
        "process.start()\n"
        "print(process.process_id)\n"
    )
    ran = subprocess.run(
        [sys.executable, "-c", script, tmp_path], cwd=ROOT, capture_output=True, check=True
    )
    assert not is_process_alive(int(ran.stdout))


def test_a_process_that_cannot_start_shows_its_output(tmp_path):
    process = ManagedProcess("p", "standins.platform", ["--listen", "127.0.0.1:x"], tmp_path)
    with pytest.raises(ProcessEnded, match="ValueError"):
        asyncio.run(process.start_and_wait_ready())


def test_waits_time_out():
    async def scenario(fleet):
        with pytest.raises(TimeoutError, match=r"0\.1 s"):
            await fleet.wait_until(lambda: False, 0.1)
        with pytest.raises(TimeoutError):
            await fleet.platform.process.wait_for_exit(0.1)

    run(scenario, FleetPlan((), ()))


@pytest.mark.parametrize("relays", [True, False])
def test_small_plan_declares_valid_services(relays):
    plan = small_plan(2, 3, relays)
    assert len(plan.nodes) == 8 and len({node.name for node in plan.nodes}) == 8
    for service in plan.services:
        assert len(service.upstreams) == 12
        document = {"name": service.name, "upstreams": [], **service.declaration}
        parse_declarations(yaml.safe_load(yaml.safe_dump({"services": [document]})), "plan")
