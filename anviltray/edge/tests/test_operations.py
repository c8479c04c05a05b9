"""Guards against log lines that do not lead from the id of a failed request to its cause.

The cases are those of docs/OPERATIONS.md.
"""

import asyncio

import logbook
import pytest

from anviltray.decisions.stopping import GracefulStop
from anviltray.edge.tests.support import (
    SEAL,
    Fleet,
    configuration,
    in_turn,
    refuse,
    reset,
    respond,
    route,
)


def logged_lines(tmp_path, test, *handlers):
    """Runs `test(fleet)` and returns the channel, message and extra of each log record."""

    async def main():
        async with Fleet(tmp_path, handlers) as fleet:
            await test(fleet)

    with logbook.TestHandler() as handler:
        asyncio.run(main())
        return [(record.channel, record.message, dict(record.extra)) for record in handler.records]


def request_line(lines, request_id):
    """Returns the extra of the only log record of a request."""
    (found,) = [extra for _, _, extra in lines if extra.get("id") == request_id]
    return found


def test_response_lost_by_the_instance(tmp_path):
    async def test(fleet):
        assert (await fleet.call("POST /order/1", b"x", request_id="lost")).status == 502

    found = request_line(logged_lines(tmp_path, test, reset), "lost")
    (send,) = found["sends"]
    assert (found["status"], send["instance"], send["result"]) == (502, "i-0", "broken")
    assert send["evidence_age_s"] == 999.0
    assert 0 < send["unhealthy_probability"] < 1


def test_response_to_another_request_on_the_same_connection(tmp_path):
    async def test(fleet):
        for request_id in ("first", "second"):
            await fleet.call("POST /order/1", b"x", request_id=request_id)
        assert b'{event="foreign_responses"} 1.0' in (await fleet.page("/metrics")).body

    foreign = respond(headers=f"{SEAL}Request-Id: zeroth\r\n", echo=False)
    lines = logged_lines(tmp_path, test, in_turn(respond(), foreign))
    (first,), (second,) = (request_line(lines, each)["sends"] for each in ("first", "second"))
    assert first["connection"] == second["connection"]
    assert (first["exchange"], second["exchange"]) == (1, 2)
    assert "error" not in first
    assert "zeroth" in second["error"]


@pytest.mark.parametrize(("responds", "status"), [(True, 200), (False, 504)])
def test_response_written_again_before_that_of_the_next_request(tmp_path, responds, status):
    async def repeat(request, writer):
        await respond(headers=f"{SEAL}Request-Id: first\r\n", echo=False)(request, writer)
        if responds:
            await respond()(request, writer)

    async def test(fleet):
        await fleet.call("POST /order/1", b"x", request_id="first")
        response = await fleet.call("POST /order/1", b"x", request_id="second")
        assert response.status == status
        if responds:
            assert response.headers["request-id"] == "second"
        assert b'{event="skipped_responses"} 1.0' in (await fleet.page("/metrics")).body

    lines = logged_lines(tmp_path, test, in_turn(respond(), repeat))
    assert request_line(lines, "second")["sends"][0]["skipped_responses"] == 1
    assert "skipped_responses" not in request_line(lines, "first")["sends"][0]


@pytest.mark.parametrize("instances", [1, 2])
def test_request_refused_by_overloaded_instances(tmp_path, instances):
    async def test(fleet):
        assert (await fleet.call("POST /order/1", b"x", request_id="full")).status == 503

    found = request_line(logged_lines(tmp_path, test, *[refuse()] * instances), "full")
    refused = [send for send in found["sends"] if send.get("result") == "refused"]
    assert len(refused) == instances
    if instances == 1:
        assert found["sends"][-1]["shed"]["candidates"] == 0


@pytest.mark.parametrize(
    ("status", "retry_after", "logged"),
    [
        ("503 Service Unavailable", "1.5", 1.5),
        ("503 Service Unavailable", "soon", None),
        ("429 Too Many Requests", "1.5", None),
    ],
)
def test_request_rejected_by_an_instance_that_names_a_wait(tmp_path, status, retry_after, logged):
    async def test(fleet):
        await fleet.call("POST /order/1", b"x", request_id="wait")

    headers = f"Not-Executed: 1\r\nRetry-After: {retry_after}\r\n"
    lines = logged_lines(tmp_path, test, respond(status, b"", headers))
    completed = [entry for entry in lines if entry[1] == "request completed"]
    assert request_line(completed, "wait")["sends"][0].get("retry_after_s") == logged
    backoffs = [extra for _, message, extra in lines if message.startswith("instance wants no")]
    assert [extra["retry_after_s"] for extra in backoffs] == ([logged] if logged else [])
    assert {extra["id"] for extra in backoffs} <= {"wait"}


@pytest.mark.parametrize(
    ("handler", "problem", "response_status", "not_executed"),
    [
        (reset, "upstream-failed", None, None),
        (refuse(), "refused", 503, True),
        (respond("404 Not Found"), "", 404, False),
        (respond("429 Too Many Requests", b"", "Not-Executed: 1\r\n"), "refused", 429, True),
    ],
)
def test_request_line_tells_a_response_from_a_problem_of_the_host(
    tmp_path, handler, problem, response_status, not_executed
):
    async def test(fleet):
        await fleet.call("POST /order/1", b"x", request_id="c1")

    found = request_line(logged_lines(tmp_path, test, handler), "c1")
    send = found["sends"][0]
    assert found["problem"] == problem
    assert (send.get("response_status"), send.get("not_executed")) == (
        response_status,
        not_executed,
    )


def test_attempts_and_budget_tell_repeats_from_first_attempts(tmp_path):
    async def test(fleet):
        await fleet.call("POST /order/1", b"x")
        metrics = (await fleet.page("/metrics")).body.decode()
        assert 'anviltray_attempts_total{repeat="false",service="keeper"} 1.0' in metrics
        assert 'anviltray_attempts_total{repeat="true",service="keeper"} 1.0' in metrics
        usage = fleet.hosts[0].state.retry_usage()["keeper"]
        assert (usage["requests"], usage["used"], usage["lent"]) == (1, 1, 0)
        assert usage["allowed"] > 1

    logged_lines(tmp_path, test, refuse(), refuse())


def test_requests_around_a_configuration_change(tmp_path):
    async def test(fleet):
        assert (await fleet.call("GET /none/1", request_id="early")).status == 404
        fleet.store.append_record("keyed.op", "config", configuration(2, [route("none", "safe")]))
        await fleet.until(lambda: fleet.hosts[0].follower.version == 2, 2.0)
        assert (await fleet.call("GET /none/1", request_id="after")).status == 200

    lines = logged_lines(tmp_path, test, respond())
    assert (request_line(lines, "early")["version"], request_line(lines, "after")["version"]) == (
        1,
        2,
    )
    assert ("anviltray.store", "configuration 2 replaces 1, from store") in [
        entry[:2] for entry in lines
    ]


def test_lookup_without_a_ready_host_is_logged_once(tmp_path):
    async def test(fleet):
        async def look_up():
            return await fleet.page("/v1/resolve?name=x", 0, "directory_address")

        state = fleet.hosts[0].state
        state.stopping = GracefulStop(state.clock.now_s(), 3.0)
        assert [(await look_up()).status for _ in range(3)] == [503] * 3
        state.stopping = None
        assert (await look_up()).status == 200
        metrics = (await fleet.page("/metrics")).body
        assert b'anviltray_events_total{event="lookups"} 4.0' in metrics
        assert b'anviltray_events_total{event="lookups_unavailable"} 3.0' in metrics

    lines = logged_lines(tmp_path, test, respond())
    changes = [extra for _, message, extra in lines if message == "serving hosts changed"]
    assert [extra["count"] for extra in changes] == [1]
    found = [(message, extra) for _, message, extra in lines if "directory" in message]
    assert found == [
        ("directory lookup without a ready host", {"reasons": ["the host is stopping"]}),
        ("directory lookups get addresses again", {}),
    ]
