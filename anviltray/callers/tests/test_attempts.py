"""Guards against requests that run twice and against wrong reported outcomes."""

import asyncio
import contextlib
import json
import socket

import pytest

from anviltray.callers.tests.support import Node, Upstream, call, encode, ok, raw, read_response

SHED = raw(b"HTTP/1.1 503 X\r\nX-Shed: 1\r\nContent-Length: 2\r\n\r\nno", then_close=False)
ERROR = raw(b"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nno", then_close=False)
DROP = raw(b"")
TRUNCATE = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")


async def never_respond(request, writer):
    if request.line.startswith("POST /cancel"):
        return await ok(b'{"outcome": "started"}')(request, writer)
    return await asyncio.sleep(30)


async def not_started(request, writer):
    if request.line.startswith("POST /cancel"):
        return await ok(b'{"outcome": "not-started"}')(request, writer)
    return await asyncio.sleep(30)


def run(answers, test, **settings):
    """Runs `test(node, upstreams)` on a node that routes to upstreams with these answers, in order.

    None stands for an address without a listener. Afterwards, checks that no slot and no load is
    leaked and that each started exchange has an outcome.
    """

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            upstreams = []
            for answer in answers:
                upstream = await stack.enter_async_context(Upstream(answer or ok()))
                if answer is None:
                    upstream.server.close()
                    await upstream.server.wait_closed()
                    # Bound without listening, so that no other server can use the port.
                    reserved = stack.enter_context(socket.socket())
                    host, port = upstream.address.split(":")
                    reserved.bind((host, int(port)))
                upstreams.append(upstream)
            node = await stack.enter_async_context(Node(**settings))
            node.context.ejector.addresses = tuple(upstream.address for upstream in upstreams)
            await asyncio.wait_for(test(node, upstreams), 20)
            await asyncio.sleep(0.01)
            assert node.context.admission_control.running == 0
            assert node.context.load_tracker.outstanding == 0
            started = [event for event in node.context.ejector.events if event[0] == "started"]
            assert len(started) == len(node.context.ejector.outcomes)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("head", "answers", "status", "outcome", "executions", "evidence"),
    [
        ("GET /levels", [ok()], 200, "done", [1], ["ok"]),
        ("GET /levels", [ERROR, ok()], 200, "done", [1, 1], ["server_error", "ok"]),
        ("GET /levels", [ERROR, ERROR, ERROR], 500, "done", [1, 1, 1], ["server_error"] * 3),
        ("GET /levels", [DROP, ok()], 200, "done", [1, 1], ["broken", "ok"]),
        ("GET /levels", [TRUNCATE, ok()], 200, "done", [1, 1], ["broken", "ok"]),
        ("GET /levels", [SHED, ok()], 200, "done", [1, 1], ["refused", "ok"]),
        ("GET /levels", [None, ok()], 200, "done", [0, 1], ["connect_failed", "ok"]),
        ("GET /levels", [DROP, DROP, DROP, ok()], 502, "unknown", [1, 1, 1, 0], ["broken"] * 3),
        ("GET /levels", [], 503, "not-run", [], []),
        ("POST /crews", [ERROR, ok()], 500, "done", [1, 0], ["server_error"]),
        ("POST /crews", [DROP, ok()], 502, "unknown", [1, 0], ["broken"]),
        ("GET /crews", [DROP, ok()], 502, "unknown", [1, 0], ["broken"]),
        ("POST /crews", [TRUNCATE, ok()], 502, "unknown", [1, 0], ["broken"]),
        ("POST /crews", [SHED, ok()], 200, "done", [1, 1], ["refused", "ok"]),
        ("POST /crews", [None, SHED, ok()], 200, "done", [0, 1, 1], ["connect_failed", "refused",
                                                                     "ok"]),
        ("POST /crews", [SHED, SHED, SHED], 503, "not-run", [1, 1, 1], ["refused"] * 3),
        ("POST /crews", [None], 503, "not-run", [0], ["connect_failed"]),
        ("POST /crews", [None, DROP], 502, "unknown", [0, 1], ["connect_failed", "broken"]),
    ],
)  # fmt: skip
def test_outcomes(head, answers, status, outcome, executions, evidence):
    async def test(node, upstreams):
        response = await node.call(head, b"body" if head.startswith("POST") else b"")
        assert response.status == status
        assert response.headers["anviltray-outcome"] == outcome
        if status in (502, 503):
            assert json.loads(response.body)["outcome"] == outcome
        request_counts = [
            sum("/cancel" not in request.line for request in upstream.requests)
            for upstream in upstreams
        ]
        assert request_counts == executions
        assert node.context.ejector.outcomes == evidence
        assert node.context.completions == [(status, outcome)]

    run(answers, test)


@pytest.mark.parametrize(
    ("head", "answers", "status", "outcome", "executions"),
    [
        ("GET /levels", [never_respond, ok()], 200, "done", [1, 1]),
        ("GET /levels", [never_respond, never_respond, never_respond], 504, "unknown", [1, 1, 1]),
        ("POST /crews", [never_respond, ok()], 504, "unknown", [2, 0]),
        ("POST /crews", [not_started, ok()], 200, "done", [2, 1]),
    ],
)
def test_deadline(head, answers, status, outcome, executions):
    async def test(node, upstreams):
        started = asyncio.get_running_loop().time()
        response = await node.call(head, Anviltray_Deadline_Ms=600)
        assert response.status == status
        assert response.headers["anviltray-outcome"] == outcome
        assert asyncio.get_running_loop().time() - started < 0.9
        assert [len(upstream.requests) for upstream in upstreams] == executions
        assert all(
            int(request.headers["x-deadline-ms"]) <= 600 for request in upstreams[0].requests[:1]
        )

    run(answers, test)


@pytest.mark.parametrize("head", ["GET /levels", "POST /crews"])
@pytest.mark.parametrize("same_request", [True, False])
def test_refusal_written_again_on_a_kept_connection(head, same_request):
    """The node goes back to its only upstream, or another request uses the connection."""
    refused, executed = set(), []

    async def answer(request, writer):
        if writer in refused:
            executed.append(request)
            return await SHED(request, writer)
        if request.line.startswith("GET /levels/first"):
            return await ok()(request, writer)
        if not refused:
            refused.add(writer)
            return await SHED(request, writer)
        executed.append(request)
        return await ok()(request, writer)

    async def test(node, upstreams):
        await node.call("GET /levels/first")
        if not same_request:
            node.context.budget.allowed = 0
            assert (await node.call(head)).headers["anviltray-outcome"] == "not-run"
        response = await node.call(head)
        assert response.headers["anviltray-outcome"] == "done"
        assert len(executed) == 1

    run([answer], test)


def test_the_retry_budget_bounds_extra_attempts():
    async def test(node, upstreams):
        node.context.budget.allowed = 2
        for _ in range(10):
            await node.call("GET /levels")
        assert sum(len(upstream.requests) for upstream in upstreams) == 12

    run([ERROR, ERROR, ERROR], test)


@pytest.mark.parametrize(
    ("answer", "first", "second", "body"),
    [
        (ok(b"booked"), (200, "done"), (200, "done"), b"booked"),
        (ok(b"x" * 5000), (200, "done"), (409, "done"), None),
        (DROP, (502, "unknown"), (409, "unknown"), None),
        (SHED, (503, "not-run"), (409, "not-run"), None),
    ],
)
def test_a_duplicate_gets_the_recorded_outcome(answer, first, second, body):
    async def test(node, upstreams):
        for expected in (first, second):
            response = await node.call("POST /crews", b"c", Anviltray_Request_Id="n1.1.0.a")
            assert (response.status, response.headers["anviltray-outcome"]) == expected
        executed = [r for r in upstreams[0].requests if "/cancel" not in r.line]
        assert len(executed) == 1
        assert executed[0].headers["x-request-id"] == "n1.1.0.a"
        assert body is None or response.body == body

    run([answer], test)


def test_running_duplicate_and_identifier_not_issued_by_a_node():
    async def slow(request, writer):
        await asyncio.sleep(0.2)
        return await ok()(request, writer)

    async def test(node, upstreams):
        first = asyncio.create_task(node.call("POST /crews", Anviltray_Request_Id="n1.1.0.a"))
        await asyncio.sleep(0.1)
        duplicate = await node.call("POST /crews", Anviltray_Request_Id="n1.1.0.a")
        assert (duplicate.status, duplicate.headers["anviltray-outcome"]) == (409, "unknown")
        not_issued = await node.call("POST /crews", Anviltray_Request_Id="mine")
        assert (not_issued.status, not_issued.headers["anviltray-outcome"]) == (400, "not-run")
        assert (await first).status == 200
        assert len(upstreams[0].requests) == 1

    run([slow], test)


def test_unrepeatable_request_is_finished_after_its_caller_disconnects():
    async def slow(request, writer):
        await asyncio.sleep(0.2)
        return await ok(b"booked")(request, writer)

    async def test(node, upstreams):
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(node.call("POST /crews", Anviltray_Request_Id="n1.1.0.a"), 0.1)
        await asyncio.sleep(0.2)
        again = await node.call("POST /crews", Anviltray_Request_Id="n1.1.0.a")
        assert (again.status, again.body) == (200, b"booked")
        assert len(upstreams[0].requests) == 1

    run([slow], test)


def test_caller_disconnect_is_not_counted_against_the_upstream():
    async def test(node, upstreams):
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(node.call("GET /levels"), 0.1)
        await asyncio.sleep(0.05)
        assert node.context.ejector.outcomes == ["abandoned"]
        assert node.context.upstreams.open_connections(upstreams[0].address) == 0

    run([never_respond], test)


def test_signals_of_the_upstream_reach_the_decisions():
    async def test(node, upstreams):
        await node.call("GET /levels")
        address = upstreams[0].address
        assert node.context.draining_upstreams.addresses == {address}
        assert ("warming", address) in node.context.ejector.events
        assert node.context.load_tracker.reported == [0.75]

    run([ok(headers="X-Draining: 1\r\nX-Cold: 1\r\nX-Load: 0.75\r\n")], test)


def test_admission_queues_refuses_and_expires():
    async def slow(request, writer):
        await asyncio.sleep(0.2)
        return await ok()(request, writer)

    async def test(node, upstreams):
        node.context.admission_control.slots = 1
        first = asyncio.create_task(node.call("GET /levels/1"))
        await asyncio.sleep(0.05)
        second = asyncio.create_task(node.call("POST /crews"))
        third = asyncio.create_task(node.call("GET /levels/3", Anviltray_Deadline_Ms=50))
        disconnected = asyncio.create_task(node.call("GET /levels/4"))
        await asyncio.sleep(0.05)
        disconnected.cancel()
        assert (await third).status == 503
        assert (await third).headers["anviltray-outcome"] == "not-run"
        assert {(await first).status, (await second).status} == {200}
        assert len(upstreams[0].requests) == 2
        node.context.admission_control.rejecting = True
        refused = await node.call("GET /levels")
        assert refused.status == 503 and refused.headers["retry-after"] == "1"

    run([slow], test)


def test_an_identifier_of_another_node_is_forwarded_there():
    async def main():
        async with Upstream(ok(b"booked")) as upstream, Node() as here, Node(node="n2") as there:
            here.context.nodes = {"n2": there.address}
            for node in (here, there):
                node.context.ejector.addresses = (upstream.address,)
            for _ in range(3):
                response = await here.call("POST /crews", b"c", Anviltray_Request_Id="n2.1.0.a")
                assert (response.status, response.body) == (200, b"booked")
                assert response.headers["anviltray-outcome"] == "done"
            assert len(upstream.requests) == 1
            assert upstream.requests[0].body == b"c"
            assert here.context.attempts.rows == {}
            unreachable = await here.call("POST /crews", Anviltray_Request_Id="n3.1.0.a")
            assert (unreachable.status, unreachable.headers["anviltray-outcome"]) == (
                502,
                "unknown",
            )
            there.context.nodes = {"n1": here.address, "n3": here.address}
            here.context.nodes["n3"] = there.address
            loop = await here.call("POST /crews", Anviltray_Request_Id="n3.1.0.a")
            assert (loop.status, loop.headers["anviltray-outcome"]) == (502, "unknown")
            assert here.context.upstreams.open_connections(there.address) == 1
            assert len(upstream.requests) == 1

    asyncio.run(main())


def test_stalled_idle_connections_are_replaced_by_a_new_one():
    """A middlebox that drops its connection table stalls idle connections to a healthy instance."""
    stalled = set()

    async def answer(request, writer):
        if writer in stalled:
            await asyncio.sleep(30)
        stalled.add(writer)
        await asyncio.sleep(0.05)
        return await ok()(request, writer)

    async def test(node, upstreams):
        await asyncio.gather(*(node.call("GET /levels") for _ in range(3)))
        assert upstreams[0].connections == 3
        response = await node.call("GET /levels", Anviltray_Deadline_Ms=600)
        assert response.status == 200
        assert node.context.ejector.outcomes == ["ok"] * 3 + ["timed_out", "ok"]
        assert upstreams[0].connections == 4

    run([answer], test)


def test_pipelined_requests_are_answered_in_order():
    async def echo(request, writer):
        path = request.line.split()[1]
        await asyncio.sleep(0.05 if path.endswith("0") else 0)
        return await ok(path.encode())(request, writer)

    async def test(node, upstreams):
        host, port = node.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"".join(encode(f"GET /levels/{number}") for number in range(8)))
        for number in range(8):
            response = await asyncio.wait_for(read_response(reader), 5)
            assert response.body == f"/levels/{number}".encode()
        writer.close()
        assert (await call(node.address, "GET /levels/9")).body == b"/levels/9"

    run([echo], test)


@pytest.mark.parametrize(
    ("head", "headers", "status"),
    [("POST /nowhere", {}, 404), ("POST /crews", {"Anviltray_Deadline_Ms": "soon"}, 400)],
    ids=["no route", "malformed head"],
)
def test_early_refusal_does_not_report_not_run_after_an_earlier_run(head, headers, status):
    """Callers retry a request that is reported as not-run, so it must not have run before."""

    async def test(node, upstreams):
        identifier = {"Anviltray_Request_Id": "n1.1.0.x"}
        first = await node.call("POST /crews", b"body", **identifier)
        assert first.headers["anviltray-outcome"] == "done"
        second = await node.call(head, b"body", **identifier, **headers)
        assert second.status == status
        assert second.headers["anviltray-outcome"] in ("done", "unknown")

    run([ok()], test)
