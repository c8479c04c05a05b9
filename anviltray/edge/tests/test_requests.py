"""Guards against duplicate execution, false refusals and incomplete or foreign responses."""

import asyncio
import json

import pytest

from anviltray.callers.tests.support import encode, raw
from anviltray.edge.tests.support import (
    SEAL,
    Fleet,
    configuration,
    in_turn,
    refuse,
    registration,
    reset,
    respond,
    route,
)

LEVEL, ORDER = "GET /level/1", "POST /order/1"


def run(tmp_path, test, *handlers, hosts=1):
    async def main():
        async with Fleet(tmp_path, handlers, hosts) as fleet:
            await asyncio.wait_for(test(fleet), 30)

    asyncio.run(main())


TRUNCATED = f"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n{SEAL}Request-Id: c1\r\n\r\nfin".encode()
FOREIGN = f"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n{SEAL}Request-Id: c0\r\n\r\nfine".encode()
WHOLE = f"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n{SEAL}Request-Id: c1\r\n\r\nfine".encode()
CHUNKED = (
    f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{SEAL}Request-Id: c1\r\n\r\n"
    "4\r\nfine\r\n0\r\n\r\n"
).encode()
UNFRAMED = f"HTTP/1.1 200 OK\r\n{SEAL}Request-Id: c1\r\n\r\nwhole".encode()


def foreign_refusal(status, request_id="Request-Id: c0\r\n"):
    """Returns the handler of an instance that repeats its refusal of an earlier request."""
    return respond(status, b"", f"Not-Executed: 1\r\n{request_id}", echo=False)


@pytest.mark.parametrize("ends", ["line", "in-line", "in-end"])
@pytest.mark.parametrize("lines", range(1, 5))
@pytest.mark.parametrize("framing", ["Content-Length: 4", "Transfer-Encoding: chunked", "X-A: 1"])
def test_a_response_that_ends_in_its_head_is_not_passed_on(tmp_path, lines, ends, framing):
    # The length may be in the part of the head that is missing.
    head = ["HTTP/1.1 200 OK", SEAL.strip(), "Request-Id: c1", framing]
    text = "\r\n".join(head[:lines])
    partial = {"line": text + "\r\n", "in-line": text[:-2], "in-end": text + "\r"}[ends]

    async def test(fleet):
        response = await fleet.call(ORDER, b"x")
        assert response.status == 502
        assert fleet.received() == 1

    run(tmp_path, test, raw(partial.encode()))


async def unframed_reset(request, writer):
    writer.write(UNFRAMED)
    await writer.drain()
    await asyncio.sleep(0.05)
    return await reset(request, writer)


@pytest.mark.parametrize(
    ("head", "handler", "status", "attempts"),
    [
        (LEVEL, respond(), 200, 1),
        (ORDER, respond(), 200, 1),
        (ORDER, respond("404 Not Found"), 404, 1),
        # After a reset the outcome is unknown: only an idempotent request is retried.
        (LEVEL, in_turn(reset, respond()), 200, 2),
        (ORDER, in_turn(reset, respond()), 502, 1),
        # The instance states that it has not executed the request.
        (LEVEL, in_turn(refuse(), respond()), 200, 2),
        (ORDER, in_turn(refuse(), respond()), 200, 2),
        (ORDER, in_turn(refuse("429 Too Many Requests"), respond()), 200, 2),
        (ORDER, in_turn(refuse("421 Misdirected Request"), respond()), 200, 2),
        (ORDER, refuse(), 503, 2),
        # Without the Not-Executed header the same statuses do not prove that.
        (ORDER, in_turn(respond("503 Service Unavailable"), respond()), 502, 1),
        (ORDER, in_turn(respond("421 Misdirected Request", b"", ""), respond()), 502, 1),
        (LEVEL, in_turn(respond("429 Too Many Requests"), respond()), 200, 2),
        (LEVEL, in_turn(respond("421 Misdirected Request", b"", ""), respond()), 200, 2),
        (ORDER, in_turn(respond("500 Internal Server Error"), respond()), 500, 1),
        (LEVEL, in_turn(respond("500 Internal Server Error"), respond()), 200, 2),
        # Responses that are incomplete, lack the seal or belong to another request.
        (ORDER, in_turn(raw(TRUNCATED), respond()), 502, 1),
        (LEVEL, in_turn(raw(TRUNCATED), respond()), 200, 2),
        (ORDER, in_turn(raw(FOREIGN), respond()), 502, 1),
        (LEVEL, in_turn(raw(FOREIGN), respond()), 200, 2),
        (ORDER, in_turn(respond(headers=""), respond()), 502, 1),
        (ORDER, raw(b"no protocol\r\n\r\n"), 502, 1),
        (ORDER, raw(UNFRAMED), 200, 1),
        (ORDER, in_turn(unframed_reset, respond()), 502, 1),
        # The refusal of another request proves nothing about this one.
        (ORDER, in_turn(foreign_refusal("503 Service Unavailable"), respond()), 502, 1),
        (ORDER, in_turn(foreign_refusal("429 Too Many Requests"), respond()), 502, 1),
        (ORDER, in_turn(foreign_refusal("400 Bad Request"), respond()), 502, 1),
        (ORDER, in_turn(foreign_refusal("421 Misdirected Request"), respond()), 502, 1),
        (LEVEL, in_turn(foreign_refusal("503 Service Unavailable"), respond()), 200, 2),
        # Neither does a response that does not say to which request it belongs.
        (ORDER, in_turn(foreign_refusal("503 Service Unavailable", ""), respond()), 502, 1),
        (ORDER, in_turn(foreign_refusal("421 Misdirected Request", ""), respond()), 502, 1),
        (ORDER, in_turn(respond(echo=False), respond()), 502, 1),
        # A complete response is delivered, whatever follows it.
        (ORDER, raw(WHOLE + b"no protocol\r\n\r\n"), 200, 1),
        (ORDER, raw(WHOLE + b"\x00" * 1000, then_close=False), 200, 1),
        (ORDER, raw(WHOLE + FOREIGN), 200, 1),
        (ORDER, raw(CHUNKED + b"no protocol\r\n\r\n", then_close=False), 200, 1),
        (ORDER, raw(b"HTTP/1.1 103 Early Hints\r\n\r\n" + WHOLE + b"no protocol"), 200, 1),
    ],
)
def test_responses_and_attempts(tmp_path, head, handler, status, attempts):
    async def test(fleet):
        fleet.hosts[0].state.set_fleet_size(1)
        response = await fleet.call(head, b"" if head == LEVEL else b"order")
        assert (response.status, fleet.received()) == (status, attempts)
        if status == 200:
            assert response.headers["response-seal"] == "3e1b.07"
            assert response.body in (b"fine", b"whole")
        if status == 503 and "response-seal" not in response.headers:
            assert 0 < float(response.headers["retry-after"]) < 5

    run(tmp_path, test, handler, handler)


NOT_EXECUTED_STATUSES = (
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "503 Service Unavailable",
)


@pytest.mark.parametrize("status", NOT_EXECUTED_STATUSES)
@pytest.mark.parametrize(("head", "attempts"), [(LEVEL, 2), (ORDER, 1)])
def test_executed_request_is_not_answered_as_not_executed(tmp_path, head, attempts, status):
    """From a host these statuses say that the request has not run; from an instance they do not."""

    async def test(fleet):
        fleet.hosts[0].state.set_fleet_size(1)
        response = await fleet.call(head, b"" if head == LEVEL else b"order")
        assert (response.status, fleet.received()) == (502, attempts)
        assert not {"response-seal", "retry-after"} & set(response.headers)

    run(tmp_path, test, *[respond(status, headers=f"{SEAL}Retry-After: 1\r\n")] * 2)


@pytest.mark.parametrize(("responds", "status"), [(True, 200), (False, 504)])
def test_repeated_refusal_on_a_kept_connection_is_not_believed(tmp_path, responds, status):
    """The instance refuses one request, and runs the next one but repeats the refusal first."""

    async def repeat_refusal(request, writer):
        await foreign_refusal("503 Service Unavailable", "Request-Id: c1\r\n")(request, writer)
        if responds:
            await respond()(request, writer)

    async def test(fleet):
        assert (await fleet.call(ORDER, b"order", request_id="c1")).status == 503
        response = await fleet.call(ORDER, b"order", request_id="c2")
        assert response.status == status
        assert "retry-after" not in response.headers
        assert (fleet.received(), fleet.instances[0].connections) == (2, 1)

    run(tmp_path, test, in_turn(refuse(), repeat_refusal, respond()))


def test_instance_receives_request_with_remaining_time(tmp_path):
    async def test(fleet):
        await fleet.call("POST /order/a?b=c", b"body", Deadline_Ms="900", X_Own="1")
        ((line, headers, body),) = fleet.instances[0].requests
        assert (line, body) == ("POST /order/a?b=c HTTP/1.1", b"body")
        assert headers["request-id"] == "c1"
        assert headers["x-own"] == "1"
        assert headers["expect-instance"] == "i-0"
        assert headers["host"] == "keeper.example"
        assert 700 < int(headers["deadline-ms"]) <= 900

    run(tmp_path, test, respond())


@pytest.mark.parametrize(("deadline_ms", "expected_s"), [("5000", 1.5), ("600", 0.6)])
def test_timeout_response_at_deadline_or_route_timeout(tmp_path, deadline_ms, expected_s):
    async def test(fleet):
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        response = await fleet.call(ORDER, b"x", Deadline_Ms=deadline_ms)
        assert response.status == 504
        assert expected_s - 0.05 <= loop.time() - start_s < expected_s + 0.25

    run(tmp_path, test, respond(after_s=8))


@pytest.mark.parametrize(("head", "still_open"), [(LEVEL, 0), (ORDER, 1)])
def test_only_idempotent_request_is_cancelled_on_disconnect(tmp_path, head, still_open):
    async def test(fleet):
        host, port = fleet.hosts[0].settings.caller_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode(head, b"" if head == LEVEL else b"x", Request_Id="c1"))
        await fleet.until(lambda: fleet.received() == 1)
        writer.close()
        await asyncio.sleep(0.4)
        # The instance stand-in notices a closed connection only when it writes.
        in_flight = fleet.hosts[0].state.health_tracker.health("i-0").outstanding
        assert in_flight == still_open

    run(tmp_path, test, respond(after_s=1.0))


def test_request_of_disconnected_caller_is_not_retried(tmp_path):
    """The first attempt is refused after the caller has disconnected."""

    async def test(fleet):
        host, port = fleet.hosts[0].settings.caller_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode(ORDER, b"x", Request_Id="c1", Deadline_Ms="3000"))
        await fleet.until(lambda: fleet.received() == 1)
        writer.close()
        await asyncio.sleep(0.6)
        assert fleet.received() == 1

    async def refuse_late(request, writer):
        await asyncio.sleep(0.3)
        return await refuse()(request, writer)

    run(tmp_path, test, refuse_late, refuse_late)


def test_stalled_body_that_reached_an_instance_is_a_gateway_timeout(tmp_path):
    """Status 408 would be false, since the instance may work on the part that has arrived."""

    async def test(fleet):
        host, port = fleet.hosts[0].settings.caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = encode(ORDER, b"", Request_Id="c1", Deadline_Ms="700", Content_Length="200000")
        writer.write(head + b"x" * 100_000)
        line = await reader.readline()
        assert line.split()[1] == b"504"
        assert b"Retry-After" not in await reader.read()
        writer.close()

    run(tmp_path, test, respond())


def test_timeout_closes_idle_connections_to_the_instance(tmp_path):
    """They may be dead together with the one that got no response."""

    async def test(fleet):
        host = fleet.hosts[0]
        address = fleet.instances[0].address
        fast = [asyncio.create_task(fleet.call(LEVEL, request_id=f"c{n}")) for n in range(3)]
        assert {(await call).status for call in fast} == {200}
        assert host.state.upstreams.open_connections(address) >= 2
        assert (await fleet.call(ORDER, b"x", Deadline_Ms="300")).status == 504
        assert host.state.upstreams.open_connections(address) == 0

    run(tmp_path, test, in_turn(*[respond(after_s=0.2)] * 3, respond(after_s=1.0)))


@pytest.mark.parametrize(("head", "status", "attempts"), [(LEVEL, 200, 2), (ORDER, 504, 1)])
def test_unacknowledged_idempotent_request_is_retried_early(
    tmp_path, monkeypatch, head, status, attempts
):
    """Data sent on the first connection is never acknowledged."""
    dead = []

    def acknowledged(transport):
        dead[:] = dead or [transport]
        return transport is not dead[0]

    monkeypatch.setattr("anviltray.upstreams._client.is_acknowledged", acknowledged)

    async def test(fleet):
        start_s = asyncio.get_running_loop().time()
        response = await fleet.call(head, b"" if head == LEVEL else b"x", Deadline_Ms="1200")
        elapsed_s = asyncio.get_running_loop().time() - start_s
        assert (response.status, fleet.received()) == (status, attempts)
        assert elapsed_s < 0.8 if head == LEVEL else elapsed_s > 1.1

    first_unresponsive = in_turn(respond(after_s=5.0), respond())
    run(tmp_path, test, first_unresponsive, first_unresponsive)


@pytest.mark.parametrize(("limit", "hosts", "expected"), [(390, 1, 390), (20, 6, 3), (5, 48, 1)])
def test_connection_limit_of_an_instance_is_divided_among_hosts(tmp_path, limit, hosts, expected):
    async def test(fleet):
        document = json.loads(configuration(2))
        document["services"][0]["maxConns"] = limit
        fleet.store.append_record("keyed.op", "config", json.dumps(document).encode())
        host = fleet.hosts[0]
        await fleet.until(lambda: host.follower.version == 2, 2.0)
        host.state.set_fleet_size(hosts)
        assert host.state.upstreams.connections_per_instance == expected

    run(tmp_path, test, respond())


def test_routes_follow_the_configuration(tmp_path):
    async def test(fleet):
        assert (await fleet.call("GET /none/1")).status == 404
        assert (await fleet.call("GET /levels")).status == 404
        fleet.store.append_record("keyed.op", "config", configuration(2, [route("none", "safe")]))
        await fleet.until(lambda: fleet.hosts[0].follower.version == 2, 2.0)
        assert (await fleet.call("GET /none/1")).status == 200
        assert (await fleet.call("GET /level/1")).status == 404

    run(tmp_path, test, respond())


def test_size_limits_of_the_configuration_are_enforced(tmp_path):
    async def test(fleet):
        assert (await fleet.call(ORDER, b"x", X_Large="y" * 20_000)).status == 431
        assert (await fleet.call(ORDER, b"x" * 1_100_000)).status == 413
        assert (await fleet.call(ORDER, b"x" * 900_000)).status == 200
        assert fleet.received() == 1

    run(tmp_path, test, respond())


def test_draining_instance_gets_no_requests(tmp_path):
    async def test(fleet):
        draining = registration(fleet.instances[0].address, state="draining")
        fleet.store.append_record("keyed.servers", "i-0", draining)
        await fleet.until(lambda: len(fleet.hosts[0].state.directory.usable("keeper")) == 1, 2.0)
        for number in range(20):
            assert (await fleet.call(ORDER, b"x", request_id=f"c{number}")).status == 200
        assert not fleet.instances[0].requests

    run(tmp_path, test, respond(), respond())


@pytest.mark.parametrize(("headers", "failures"), [("Not-Executed: 1\r\n", 0), ("", 1)])
def test_instance_whose_address_was_reused_gets_no_more_requests(tmp_path, headers, failures):
    async def test(fleet):
        responses = [await fleet.call(ORDER, b"x", request_id=f"c{number}") for number in range(10)]
        failed = [response.status for response in responses if response.status != 200]
        assert failed in ([], [502] * failures)
        assert len(fleet.instances[0].requests) <= 1

    run(tmp_path, test, respond("421 Misdirected Request", b"", headers), respond())


def test_failure_evidence_is_shared_within_the_zone(tmp_path):
    async def test(fleet):
        await fleet.until(lambda: all(len(host.exchange.alive()) == 2 for host in fleet.hosts))
        for number in range(3):
            await fleet.call(LEVEL, request_id=f"c{number}")
            await asyncio.sleep(0.02)
        beliefs = [
            host.state.health_tracker.health("i-0").unhealthy_probability(
                asyncio.get_running_loop().time()
            )
            for host in fleet.hosts
        ]
        assert min(beliefs) > 0.8

    run(tmp_path, test, reset, hosts=3)


def test_host_discovers_hosts_of_other_zones_that_start_later(tmp_path):
    """Otherwise the hosts that start first would use too large a part of shared limits."""

    async def test(fleet):
        for number, zone in ((2, "viti-lautoka"), (3, "viti-suva")):
            host = await fleet.start_host(number, zone)
            fleet.hosts.append(host)
            await fleet.until(lambda host=host: not host.not_ready_reasons())
        first = fleet.hosts[0]
        await fleet.until(lambda: len(first.exchange.hosts.localities()) == 3, 8.0)
        await fleet.until(lambda: first.state.fleet_size == 3, 3.0)

    run(tmp_path, test, respond())


def test_directory_and_readiness(tmp_path):
    async def test(fleet):
        await fleet.until(lambda: all(len(host.entry_addresses()) == 2 for host in fleet.hosts))
        page = await fleet.page(
            "/v1/resolve?name=x&region=viti&zone=viti-suva", 0, "directory_address"
        )
        assert page.status == 200
        assert f"{fleet.address(1)}:18144".encode() in page.body
        assert f"{fleet.address(2)}:18144".encode() in page.body
        assert (await fleet.page("/v1/ready")).status == 200
        stopping = asyncio.create_task(fleet.hosts[0].stop())
        await fleet.until(lambda: len(fleet.hosts[1].entry_addresses()) == 1, 0.5)
        assert (await fleet.page("/v1/ready")).status == 503
        # Callers that have cached the address are served while the host stops.
        assert (await fleet.call(ORDER, b"x")).status == 200
        await stopping

    run(tmp_path, test, respond(), hosts=2)


def test_stop_completes_requests_in_flight(tmp_path):
    async def test(fleet):
        requests = [
            asyncio.create_task(fleet.call(ORDER, b"x", request_id=f"c{number}"))
            for number in range(5)
        ]
        await fleet.until(lambda: fleet.received() == 5)
        await fleet.hosts[0].stop()
        assert [(await request).status for request in requests] == [200] * 5

    run(tmp_path, test, respond(after_s=1.0))


def test_failed_background_task_is_reported(tmp_path):
    async def test(fleet):
        host = fleet.hosts[0]
        assert not host.failed.is_set()
        host.state.health_tracker.pop_observations = lambda: 1 / 0
        await asyncio.wait_for(host.failed.wait(), 2)

    run(tmp_path, test, respond())


def test_metrics(tmp_path):
    async def test(fleet):
        await fleet.call(ORDER, b"x")
        page = await fleet.page("/metrics")
        assert b'anviltray_requests_total{service="keeper",status="200"} 1.0' in page.body
        assert b"anviltray_request_seconds_bucket" in page.body

    run(tmp_path, test, respond())
