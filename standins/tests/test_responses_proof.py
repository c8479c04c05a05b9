"""Guards against cut, mixed or foreign responses that look like a caller's own whole response."""

import asyncio

from standins.tests.proof import SERVICE, make_plan, restore, run_proof

REQUESTS = 40
DEADLINE_S = 0.5
SIZES = (0, 3000, 200_000, 1_000_000)


async def cut_responses(fleet):
    first, second, third = fleet.upstreams.values()
    await first.set_faults(truncate_share=0.5)
    await second.set_faults(truncate_share=0.5, truncate_chunked=True)
    await third.set_faults(truncate_share=0.5, truncate_chunked=True)


async def late(fleet):
    for upstream in fleet.upstreams.values():
        await upstream.set_faults(late_s=DEADLINE_S)


async def stalls_that_end(fleet):
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


async def cut_answers(fleet):
    for upstream in fleet.upstreams.values():
        upstream.relay.cut(["to_client"], "127.0.1.1")


PHASES = [
    (),
    (cut_responses,),
    (late,),
    (stalls_that_end,),
    (kill_upstream,),
    (silence_and_reset,),
    (cut_answers, late),
    (kill_node, cut_responses),
    (pause_node, late),
]


async def send_mix(fleet, caller, faults):
    """Sends repeatable and unrepeatable requests with responses of all sizes."""
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


def judge_responses(records):
    """Returns the whole successful responses that are not the complete echo of their request."""
    return [
        f"{record.method} {record.path}: {each}"
        for record in records
        for each in record.attempts
        if each.complete and each.status == 200 and not each.echo_matches
    ]


def test_each_caller_gets_the_whole_response_to_its_own_request():
    async def scenario(fleet):
        found = []
        async with fleet.caller() as caller:
            for faults in PHASES:
                records = await send_mix(fleet, caller, faults)
                if late in faults:
                    # Late bytes of abandoned exchanges must not reach the requests after them.
                    records += await send_mix(fleet, caller, ())
                await restore(fleet)
                found += judge_responses(records)
                assert any(record.succeeded for record in records), faults
        assert not found, "\n".join(found[:8])

    run_proof(scenario, make_plan())
