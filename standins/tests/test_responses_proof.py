"""Guards against callers that get a truncated, mixed-up or foreign response as complete."""

import asyncio

from standins.tests.proof import SERVICE, clear_faults, make_plan, run_scenario

REQUESTS = 40
DEADLINE_S = 0.5
SIZES = (0, 3000, 200_000, 1_000_000)


async def truncate_responses(fleet):
    first, second, third = fleet.upstreams.values()
    await first.set_faults(truncate_share=0.5)
    await second.set_faults(truncate_share=0.5, truncate_chunked=True)
    await third.set_faults(truncate_share=0.5, truncate_chunked=True)


async def delay_responses(fleet):
    for upstream in fleet.upstreams.values():
        await upstream.set_faults(late_s=DEADLINE_S)


async def stall_intermittently(fleet):
    for upstream in fleet.upstreams.values():
        await upstream.set_faults(stall_share=0.6, flap_period_s=1.0, flap_bad_share=0.7)


async def kill_upstream(fleet):
    fleet.upstreams[f"{SERVICE}-1"].process.kill()


async def pause_node(fleet):
    fleet.nodes["n0"].process.pause()


async def kill_node(fleet):
    fleet.nodes["n0"].process.kill()


async def silence_and_reset(fleet):
    fleet.upstreams[f"{SERVICE}-1"].relay.silence_current()
    fleet.upstreams[f"{SERVICE}-2"].relay.reset_current()


async def cut_responses(fleet):
    for upstream in fleet.upstreams.values():
        upstream.relay.cut(["to_client"], "127.0.1.1")


PHASES = [
    (),
    (truncate_responses,),
    (delay_responses,),
    (stall_intermittently,),
    (kill_upstream,),
    (silence_and_reset,),
    (cut_responses, delay_responses),
    (kill_node, truncate_responses),
    (pause_node, delay_responses),
]


async def send_mix(fleet, caller, faults):
    """Sends retryable and unrepeatable requests with responses of all sizes."""
    addresses = [node.address for node in fleet.nodes.values()]
    tasks = []
    for number in range(REQUESTS):
        if number == REQUESTS // 4:
            for fault in faults:
                await fault(fleet)
        call = caller.send(
            SERVICE,
            ("GET", "POST")[number % 2],
            f"/read/{number}" if number % 4 < 2 else f"/write/{number}",
            body=b"x" * SIZES[number % 3],
            size=SIZES[number // 4 % 4],
            deadline_s=DEADLINE_S,
            addresses=addresses[:: 1 if number % 3 else -1],
        )
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.01)
    return await asyncio.gather(*tasks)


def find_response_violations(records):
    """Returns the complete successful responses that are not the echo of their request."""
    return [
        f"{record.method} {record.path}: {each}"
        for record in records
        for each in record.attempts
        if each.complete and each.status == 200 and not each.echo_matches
    ]


def test_each_caller_gets_the_complete_response_to_its_own_request():
    async def scenario(fleet):
        violations = []
        async with fleet.caller() as caller:
            for faults in PHASES:
                records = await send_mix(fleet, caller, faults)
                if delay_responses in faults:
                    # Late data of abandoned exchanges must not reach later requests.
                    records += await send_mix(fleet, caller, ())
                await clear_faults(fleet)
                violations += find_response_violations(records)
                assert any(record.succeeded for record in records), faults
        assert not violations, "\n".join(violations[:8])

    run_scenario(scenario, make_plan())
