"""Guards against requests to instances that have rejected one and asked the host to wait."""

import asyncio

import pytest

from anviltray.edge.tests.support import SEAL, Fleet, in_turn, respond

REQUESTS = 6
REJECTED = "503 Service Unavailable"


def reject(retry_after="30", headers="Not-Executed: 1\r\n", request_id=""):
    """Returns the handler of an instance that rejects requests and names the time to wait."""
    extra = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"{headers}Retry-After: {retry_after}\r\n{extra}"
    return respond(REJECTED, b"", head, echo=not request_id)


async def send_requests(fleet, count=REQUESTS, path="GET /order/1", host=0):
    return [
        await fleet.call(path, host=host, request_id=f"c{host}{number}") for number in range(count)
    ]


def run(tmp_path, handlers, test, hosts=1):
    async def main():
        async with Fleet(tmp_path, handlers, hosts) as fleet:
            await asyncio.wait_for(test(fleet), 30)

    asyncio.run(main())


@pytest.mark.parametrize("path", ["GET /order/1", "GET /level/1"])
def test_instance_gets_no_request_while_the_host_is_to_wait(tmp_path, path):
    async def test(fleet):
        responses = await send_requests(fleet, path=path)
        assert fleet.received() == 1
        assert {response.status for response in responses} == {503}
        # Callers learn when it is worth coming back.
        assert all(float(response.headers["retry-after"]) > 25 for response in responses[1:])

    run(tmp_path, [reject()], test)


@pytest.mark.parametrize("path", ["GET /order/1", "GET /level/1"])
def test_failure_with_retry_after_ends_further_requests(tmp_path, path):
    async def test(fleet):
        responses = await send_requests(fleet, path=path)
        assert fleet.received() == 1
        # The instance does not say that it has not run the request, so the host cannot either.
        assert [response.status for response in responses] == [502] + [503] * (REQUESTS - 1)
        assert "response-seal" not in responses[0].headers

    run(tmp_path, [reject(headers=SEAL)], test)


@pytest.mark.parametrize(
    "handler",
    [
        reject("soon", headers=SEAL),
        reject("0", headers=SEAL),
        reject("-4", headers=SEAL),
        respond("500 Internal Server Error", headers=f"{SEAL}Retry-After: 30\r\n"),
        respond(headers=f"{SEAL}Retry-After: 30\r\n"),
        # A response to another request says nothing.
        reject(request_id="c99"),
    ],
)
def test_other_responses_do_not_stop_requests(tmp_path, handler):
    async def test(fleet):
        await send_requests(fleet)
        assert fleet.received() == REQUESTS

    run(tmp_path, [handler], test)


def test_instance_gets_requests_again_after_the_wait(tmp_path):
    async def test(fleet):
        await send_requests(fleet, 2)
        assert fleet.received() == 1
        await asyncio.sleep(0.9)
        assert [response.status for response in await send_requests(fleet, 2)] == [200, 200]

    run(tmp_path, [in_turn(reject("0.8"), respond())], test)


def test_other_instances_get_the_requests_meanwhile(tmp_path):
    async def test(fleet):
        responses = await send_requests(fleet, 20)
        assert {response.status for response in responses} == {200}
        assert len(fleet.instances[0].requests) <= 1

    run(tmp_path, [reject(), respond()], test)


def test_each_host_waits_only_if_it_was_asked_to(tmp_path):
    async def test(fleet):
        for host in (0, 1):
            await send_requests(fleet, 2, host=host)
            assert fleet.received() == host + 1

    run(tmp_path, [reject()], test, hosts=2)
