"""Guards against a platform stand-in that ignores the faults that tests inject."""

import asyncio
import base64

import aiohttp
import pytest

from standins.platform import HostList, LogStore, PlatformStandin, StreamTrimmed


def run(scenario):
    """Runs `scenario(session, base_url)` against a fresh platform stand-in."""

    async def wrapped():
        standin = PlatformStandin()
        base = f"http://{await standin.start()}"
        try:
            async with aiohttp.ClientSession() as session:
                await asyncio.wait_for(scenario(session, base), 20)
        finally:
            await standin.close()

    asyncio.run(wrapped())


async def append(session, base, payload=b"x", stream="config"):
    async with session.post(f"{base}/streams/{stream}", data=payload) as response:
        return response.status, await response.json(content_type=None)


async def get(session, url):
    async with session.get(url) as response:
        return response.status, await response.json(content_type=None)


async def control(session, base, name, **data):
    async with session.post(f"{base}/control/{name}", json=data) as response:
        return response.status


async def next_offset(session, base):
    return (await get(session, f"{base}/streams/config/offsets"))[1]["next"]


def test_records_are_read_back_in_order():
    async def scenario(session, base):
        for number in range(5):
            assert await append(session, base, bytes([number])) == (201, {"offset": number})
        status, batch = await get(session, f"{base}/streams/config?offset=1&limit=3")
        assert status == 200
        assert (batch["oldest"], batch["next"]) == (0, 5)
        assert [record["offset"] for record in batch["records"]] == [1, 2, 3]
        assert base64.b64decode(batch["records"][0]["payload"]) == b"\x01"
        status, batch = await get(session, f"{base}/streams/other?offset=0&limit=3")
        assert (status, batch) == (200, {"oldest": 0, "next": 0, "records": []})

    run(scenario)


@pytest.mark.parametrize(
    ("conditions", "append_status", "read_status", "applied"),
    [
        ({"outage": True}, 503, 503, 0),
        ({"append_outage": True}, 503, 200, 0),
        ({"append_rate_s": 0.001}, 201, 200, 1),
        ({"delay_s": 0.2}, 201, 200, 1),
        ({"answer_delay_s": 0.2}, 201, 200, 1),
        ({}, 201, 200, 1),
    ],
)
def test_conditions(conditions, append_status, read_status, applied):
    async def scenario(session, base):
        assert await control(session, base, "conditions", **conditions) == 200
        started_s = asyncio.get_running_loop().time()
        assert (await append(session, base))[0] == append_status
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert elapsed_s >= conditions.get("delay_s", 0) + conditions.get("answer_delay_s", 0)
        assert (await get(session, f"{base}/streams/config?offset=0&limit=1"))[0] == read_status
        assert await control(session, base, "conditions") == 200
        assert await next_offset(session, base) == applied

    run(scenario)


def test_appends_above_the_rate_are_rejected_without_effect():
    async def scenario(session, base):
        await control(session, base, "conditions", append_rate_s=8.0)
        statuses = [(await append(session, base))[0] for _ in range(6)]
        assert statuses.count(429) >= 2
        assert statuses.count(201) == await next_offset(session, base)

    run(scenario)


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("applied", [False, True])
def test_lost_responses(silent, applied):
    async def scenario(session, base):
        await control(
            session,
            base,
            "conditions",
            lost_answer_share=1.0,
            lost_answer_applied=applied,
            lost_answer_silent=silent,
        )
        expected = TimeoutError if silent else aiohttp.ClientError
        with pytest.raises(expected):
            await asyncio.wait_for(append(session, base), 1.0)
        await control(session, base, "conditions")
        assert await next_offset(session, base) == int(applied)

    run(scenario)


def test_trimmed_offsets_are_gone():
    async def scenario(session, base):
        for _ in range(4):
            await append(session, base)
        assert await control(session, base, "trim", stream="config", oldest=2) == 200
        assert (await get(session, f"{base}/streams/config?offset=1&limit=1"))[0] == 410
        status, batch = await get(session, f"{base}/streams/config?offset=2&limit=9")
        assert status == 200 and batch["oldest"] == 2 and len(batch["records"]) == 2

    run(scenario)


def test_host_list_lags():
    host = {
        "address": "127.0.0.2:80",
        "role": "node",
        "state": "live",
        "region": "viti",
        "zone": "viti-a",
        "peer_address": "127.0.0.2:81",
        "node": "n1",
    }

    async def scenario(session, base):
        await control(session, base, "conditions", host_list_lag_s=0.3)
        assert await control(session, base, "hosts", hosts=[host]) == 200
        assert (await get(session, f"{base}/hosts"))[1] == {"hosts": []}
        await asyncio.sleep(0.4)
        assert (await get(session, f"{base}/hosts"))[1] == {"hosts": [host]}

    run(scenario)


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("conditions", {"outtage": True}),
        ("conditions", {"outage": 1}),
        ("conditions", {"delay_s": "1"}),
        ("trim", {"stream": "config"}),
        ("hosts", {"hosts": [{"address": "127.0.0.2:80"}]}),
    ],
)
def test_wrong_control_calls_are_rejected(name, data):
    async def scenario(session, base):
        assert await control(session, base, name, **data) == 400

    run(scenario)


def test_retention_trims_the_oldest_records():
    log = LogStore()
    for _ in range(5):
        log.append("s", b"", retention_records=3)
    assert log.offsets("s") == (2, 5)
    with pytest.raises(StreamTrimmed):
        log.read("s", 1, 1)
    log.trim("s", 99)
    assert log.offsets("s") == (5, 5)


@pytest.mark.parametrize(
    ("now_s", "frozen", "expected"),
    [(0.5, False, 0), (1.0, False, 1), (5.0, False, 2), (5.0, True, 0)],
)
def test_host_list_versions_become_visible_in_order(now_s, frozen, expected):
    hosts = HostList()
    hosts.replace(0.0, [{"n": 1}])
    hosts.replace(3.0, [{"n": 2}])
    assert hosts.visible(now_s, 1.0, frozen) == ([{"n": expected}] if expected else [])
    assert hosts.current == [{"n": 2}]
