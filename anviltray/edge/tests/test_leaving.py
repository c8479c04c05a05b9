"""Guards against requests to instances that have said in a response that they are about to end."""

import asyncio

import pytest

from anviltray.edge.tests.support import SEAL, Fleet, in_turn, registration, respond

REQUESTS = 6
LARGE = b"x" * 400_000  # Streamed to the caller as it arrives.
REFUSAL = "503 Service Unavailable"


def leaving(value="1", status="200 OK", body=b"fine", headers=SEAL, request_id=""):
    """Returns the handler of an instance that says that it is leaving."""
    extra = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"{headers}Server-Leaving: {value}\r\n{extra}"
    return respond(status, body, head, echo=not request_id)


async def send_requests(fleet, count=REQUESTS, path="GET /order/1"):
    return [await fleet.call(path, request_id=f"c{number}") for number in range(count)]


def run(tmp_path, handlers, test):
    async def main():
        async with Fleet(tmp_path, handlers) as fleet:
            await asyncio.wait_for(test(fleet), 30)

    asyncio.run(main())


@pytest.mark.parametrize("path", ["GET /order/1", "GET /level/1"])
@pytest.mark.parametrize(
    ("handler", "status", "received"),
    [
        (leaving(), 200, 1),
        (leaving(body=LARGE), 200, 1),
        (leaving(status="404 Not Found"), 404, 1),
        (leaving(status="500 Internal Server Error"), 500, 1),
        (leaving(status=REFUSAL, headers="Not-Executed: 1\r\n"), 503, 1),
        # A response that is invalid or belongs to another request says nothing.
        (leaving(headers=""), 502, REQUESTS),
        (leaving(request_id="c99"), 502, REQUESTS),
        # Values without a meaning are ignored.
        (leaving("0"), 200, REQUESTS),
        (leaving(""), 200, REQUESTS),
        (leaving("soon"), 200, REQUESTS),
    ],
)
def test_instance_that_is_leaving_gets_no_more_requests(tmp_path, path, handler, status, received):
    async def test(fleet):
        responses = await send_requests(fleet, path=path)
        assert responses[0].status == status
        assert fleet.received() == received
        # Nothing else could serve the requests, and they have not run.
        expected = 503 if received == 1 else status
        assert {response.status for response in responses[1:]} == {expected}

    run(tmp_path, [handler], test)


def test_other_instances_serve_what_an_instance_that_is_leaving_would_have_got(tmp_path):
    async def test(fleet):
        responses = await send_requests(fleet, 20)
        assert {response.status for response in responses} == {200}
        assert len(fleet.instances[0].requests) <= 1
        told = [response for response in responses if response.headers.get("server-leaving")]
        assert len(told) == len(fleet.instances[0].requests)

    run(tmp_path, [leaving(), respond()], test)


@pytest.mark.parametrize(
    ("state", "born", "received"), [("ready", 1000, 1), ("draining", 1000, 1), ("ready", 2000, 2)]
)
def test_only_a_new_start_brings_an_instance_that_was_leaving_back(tmp_path, state, born, received):
    async def test(fleet):
        await send_requests(fleet, 1)
        follower = fleet.hosts[0].follower
        address = fleet.instances[0].address
        offset = follower.instances_offset
        fleet.store.append_record(
            "keyed.servers", "i-0", registration(address, state=state, born=born)
        )
        await fleet.until(lambda: follower.instances_offset > offset)
        await send_requests(fleet, 1)
        assert fleet.received() == received

    run(tmp_path, [in_turn(leaving(), respond())], test)


def test_a_registration_that_lapses_and_returns_does_not_bring_a_leaving_instance_back(tmp_path):
    async def test(fleet):
        await send_requests(fleet, 1)
        follower = fleet.hosts[0].follower
        fleet.store.append_record("keyed.servers", "i-0", b"")
        address = fleet.instances[0].address
        offset = follower.instances_offset
        fleet.store.append_record("keyed.servers", "i-0", registration(address))
        await fleet.until(lambda: follower.instances_offset > offset + 1)
        assert (await send_requests(fleet, 1))[0].status == 503
        assert fleet.received() == 1

    run(tmp_path, [leaving()], test)
