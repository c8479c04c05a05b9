"""Guards against an upstream stand-in that miscounts executions or ignores a fault."""

import asyncio

import aiohttp
import pytest
import xxhash

from standins._waiting import poll_until
from standins.upstream import Faults, UpstreamOptions, UpstreamStandin

QUICK = UpstreamOptions(median_s=0.005, sigma=0.0, report_lag_s=0.0)


def run(scenario, options=QUICK):
    """Runs `scenario(client, standin)` against a fresh upstream stand-in."""

    async def wrapped():
        standin = UpstreamStandin(options)
        await standin.start()
        try:
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                await asyncio.wait_for(scenario(Client(session, standin), standin), 20)
        finally:
            await standin.close()

    asyncio.run(wrapped())


class Client:
    def __init__(self, session, standin):
        self.session = session
        self.base = f"http://{standin.address}"
        self.control_base = f"http://{standin.control_address}/control"

    async def send(self, request_id, path="/orders/7", body=b"clay", **headers):
        headers = {"X-Request-Id": request_id} | {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.session.post(self.base + path, data=body, headers=headers) as response:
            return response.status, response.headers, await response.json(content_type=None)

    async def call(self, method, url, **options):
        async with self.session.request(method, url, **options) as response:
            return response.status, await response.json(content_type=None)

    async def control(self, name, **data):
        return (await self.call("POST", f"{self.control_base}/{name}", json=data))[0]

    async def executions(self):
        return (await self.call("GET", f"{self.control_base}/executions"))[1]["executions"]

    async def cancel(self, request_id):
        headers = {"X-Request-Id": request_id}
        return await self.call("POST", f"{self.base}/cancel", headers=headers)


def test_echo_identifies_its_request():
    async def scenario(client, _standin):
        status, headers, response = await client.send(
            "n1.a.1.x", body=b"clay", path="/orders/7?size=4096"
        )
        assert status == 200
        assert response["path"] == "/orders/7" and response["id"] == "n1.a.1.x"
        assert response["digest"] == xxhash.xxh3_128_hexdigest(b"clay") and response["bytes"] == 4
        assert len(response["padding"]) > 3800
        assert 0 <= float(headers["X-Load"]) <= 1
        assert "X-Draining" not in headers and "X-Cold" not in headers
        await client.send("n1.a.1.x")
        assert await client.executions() == {"n1.a.1.x": 2}

    run(scenario)


def test_requests_above_slots_and_queue_are_shed():
    options = QUICK._replace(slots=2, queue=3, median_s=0.3)

    async def scenario(client, _standin):
        responses = await asyncio.gather(*(client.send(f"id{number}") for number in range(8)))
        statuses = [status for status, _, _ in responses]
        assert statuses.count(200) == 5 and statuses.count(503) == 3
        for status, headers, _ in responses:
            assert headers.get("X-Shed") == ("1" if status == 503 else None)
        executions = await client.executions()
        assert executions == {
            f"id{number}": 1 for number, status in enumerate(statuses) if status == 200
        }

    run(scenario, options)


@pytest.mark.parametrize(
    ("faults", "status", "executed"),
    [
        ({"fail_share": 1.0}, 500, 1),
        ({"fail_share": 1.0, "fail_status": 502}, 502, 1),
        ({"slow_factor": 40.0}, 200, 1),
        ({"late_s": 0.2}, 200, 1),
        ({}, 200, 1),
    ],
)
def test_faults_with_a_response(faults, status, executed):
    async def scenario(client, _standin):
        assert await client.control("faults", **faults) == 200
        started_s = asyncio.get_running_loop().time()
        assert (await client.send("a"))[0] == status
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert elapsed_s >= max(faults.get("late_s", 0), faults.get("slow_factor", 1) * 0.005)
        assert (await client.executions()).get("a", 0) == executed

    run(scenario)


@pytest.mark.parametrize(
    ("faults", "error", "executed"),
    [
        ({"stall_share": 1.0}, TimeoutError, 1),
        ({"stall_share": 1.0, "stall_started": False}, TimeoutError, 0),
        ({"truncate_share": 1.0}, aiohttp.ClientPayloadError, 1),
        ({"truncate_share": 1.0, "truncate_chunked": True}, aiohttp.ClientPayloadError, 1),
        ({"refuse": True}, aiohttp.ClientConnectorError, 0),
    ],
)
def test_faults_without_a_complete_response(faults, error, executed):
    async def scenario(client, _standin):
        assert await client.control("faults", **faults) == 200
        await asyncio.sleep(0.05)
        with pytest.raises(error):
            await asyncio.wait_for(client.send("a", path="/orders?size=4096"), 0.5)
        assert (await client.executions()).get("a", 0) == executed
        assert (await client.control("faults")) == 200
        assert (await client.send("b"))[0] == 200

    run(scenario)


def test_a_stalled_instance_passes_health_checks():
    async def scenario(client, _standin):
        await client.control("faults", stall_share=1.0)
        stalled = [asyncio.create_task(client.send(f"s{number}")) for number in range(30)]
        await asyncio.sleep(0.2)
        assert not any(task.done() for task in stalled), "a stalled instance sends no rejections"
        assert await client.call("GET", f"{client.base}/health") == (200, {"status": "ok"})
        await client.control("faults")
        statuses = [(await task)[0] for task in stalled]
        assert set(statuses) == {200, 503}
        assert len(await client.executions()) == statuses.count(200)

    run(scenario)


def test_failed_requests_are_deterministic_for_a_seed():
    seen = []

    async def scenario(client, _standin):
        await client.control("faults", fail_share=0.5)
        seen.append([(await client.send(str(number)))[0] for number in range(20)])

    run(scenario)
    run(scenario)
    assert seen[0] == seen[1] and set(seen[0]) == {200, 500}


@pytest.mark.parametrize(
    ("elapsed_s", "active"), [(0.0, True), (0.4, True), (0.6, False), (1.1, True), (1.9, False)]
)
def test_flapping_faults_start_and_end(elapsed_s, active):
    faults = Faults(fail_share=1.0, flap_period_s=1.0, flap_bad_share=0.5, reported_load=0.1)
    assert faults.at(elapsed_s).fail_share == (1.0 if active else 0.0)
    assert faults.at(elapsed_s).reported_load == 0.1


def test_flapping_refusal_opens_and_closes_the_listener():
    async def scenario(client, _standin):
        await client.control("faults", refuse=True, flap_period_s=0.4)
        results = set()
        for number in range(40):
            try:
                results.add((await client.send(str(number)))[0])
            except aiohttp.ClientError:
                results.add("refused")
            await asyncio.sleep(0.03)
        assert results == {200, "refused"}

    run(scenario)


@pytest.mark.parametrize(
    ("deadline_ms", "status", "executed"), [("0", 503, 0), ("-5", 503, 0), ("10000", 200, 1)]
)
def test_requests_past_their_deadline_are_not_started(deadline_ms, status, executed):
    async def scenario(client, _standin):
        response = await client.send("a", X_Deadline_Ms=deadline_ms)
        assert response[0] == status and ("X-Shed" in response[1]) == (status == 503)
        assert (await client.executions()).get("a", 0) == executed

    run(scenario)


def test_a_queued_request_is_shed_when_its_deadline_passes():
    async def scenario(client, _standin):
        running = asyncio.create_task(client.send("running"))
        await asyncio.sleep(0.05)
        status, headers, _ = await client.send("queued", X_Deadline_Ms="100")
        assert (status, headers["X-Shed"]) == (503, "1")
        assert (await running)[0] == 200
        assert await client.executions() == {"running": 1}

    run(scenario, QUICK._replace(slots=1, median_s=0.4))


def test_cancellation_reports_whether_the_request_had_started():
    async def scenario(client, standin):
        running = asyncio.create_task(client.send("running"))
        await poll_until(lambda: "running" in standin.engine.executions, 5)
        queued = asyncio.create_task(client.send("queued"))
        await poll_until(lambda: standin.engine.queued == 1, 5)
        assert await client.cancel("queued") == (200, {"id": "queued", "outcome": "not-started"})
        assert await client.cancel("running") == (200, {"id": "running", "outcome": "started"})
        assert await client.cancel("other") == (404, {"id": "other", "outcome": "unknown"})
        assert (await queued)[1]["X-Shed"] == "1"
        assert (await running)[0] == 500
        assert await client.cancel("running") == (200, {"id": "running", "outcome": "started"})
        assert await client.executions() == {"running": 1}

    run(scenario, QUICK._replace(slots=1, median_s=5.0))


def test_cancelling_while_a_slot_is_granted_prevents_the_start():
    """Guards against the outcome "not-started" for a request that starts afterwards."""

    async def scenario(client, standin):
        engine = standin.engine
        first = engine.register("first", float("inf"))
        second = engine.register("second", float("inf"))
        tasks = [asyncio.create_task(engine.run(request)) for request in (first, second)]
        await poll_until(lambda: engine.queued == 1, 5)
        engine._release_slot()
        assert engine.cancel("second") is False
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert results[0] is None and str(results[1]) == "cancelled"
        assert engine.executions == {"first": 1}

    run(scenario, QUICK._replace(slots=1, median_s=0.1))


@pytest.mark.parametrize(("refuse", "status"), [(False, 200), (True, 503)])
def test_draining_is_announced(refuse, status):
    async def scenario(client, _standin):
        assert await client.control("drain", on=True, refuse=refuse) == 200
        response = await client.send("a")
        assert response[0] == status and response[1]["X-Draining"] == "1"
        assert ("X-Shed" in response[1]) == refuse
        state = (await client.call("GET", f"{client.control_base}/state"))[1]
        assert state["arrivals_draining"] == 1
        assert (await client.executions()).get("a", 0) == (0 if refuse else 1)

    run(scenario)


def test_a_cold_instance_announces_it_and_is_slower():
    options = QUICK._replace(cold_s=0.5, cold_factor=10.0, median_s=0.02)

    async def scenario(client, _standin):
        started_s = asyncio.get_running_loop().time()
        assert "X-Cold" in (await client.send("a"))[1]
        assert asyncio.get_running_loop().time() - started_s > 0.05
        await asyncio.sleep(0.6)
        assert "X-Cold" not in (await client.send("b"))[1]

    run(scenario, options)


def test_reports_lag_and_can_be_false():
    async def scenario(client, _standin):
        async def reports():
            health = await client.call("GET", f"{client.base}/health")
            load = await client.call("GET", f"{client.base}/load")
            return health[0], health[1]["status"], load[1]["load"]

        await client.control("drain", on=True)
        assert await reports() == (200, "ok", 0.0)
        await asyncio.sleep(0.5)
        assert (await reports())[:2] == (503, "draining")
        await client.control("faults", health="ok", reported_load=0.1)
        assert await reports() == (200, "ok", 0.1)
        assert (await client.send("a"))[1]["X-Load"] == "0.100"

    run(scenario, QUICK._replace(report_lag_s=0.4))


def test_connections_above_the_limit_are_reset():
    async def scenario(client, standin):
        host, port = standin.address.split(":")
        opened = [await asyncio.open_connection(host, int(port)) for _ in range(5)]
        await asyncio.sleep(0.1)
        served = 0
        for reader, writer in opened:
            try:
                writer.write(b"GET /load HTTP/1.1\r\nHost: x\r\n\r\n")
                served += bool(await reader.read(10))
            except ConnectionError:
                pass
            writer.close()
        assert served == 3

    run(scenario, QUICK._replace(connections=3))


def test_a_truncated_body_is_not_executed():
    async def scenario(client, standin):
        host, port = standin.address.split(":")
        for head in ("Content-Length: 9", "Transfer-Encoding: chunked"):
            _, writer = await asyncio.open_connection(host, int(port))
            lines = ["POST /orders HTTP/1.1", "Host: x", "X-Request-Id: cut", head, "", ""]
            body = "4\r\nclay\r\n" if "chunked" in head else "clay"
            writer.write(("\r\n".join(lines) + body).encode())
            await poll_until(lambda: standin.engine.arrivals > 0, 5)
            writer.close()
        await asyncio.sleep(0.2)
        assert standin.engine.arrivals == 2
        assert await client.executions() == {}

    run(scenario)


@pytest.mark.parametrize(
    ("name", "data"),
    [
        ("faults", {"stal_share": 1.0}),
        ("drain", {"on": 1}),
        ("cold", {}),
        ("faults", {"refuse": 1}),
    ],
)
def test_wrong_control_calls_are_rejected(name, data):
    async def scenario(client, _standin):
        assert await client.control(name, **data) == 400

    run(scenario)
