"""Guards against a refusal of the same request that is written again and believed.

The identifier in such a response is that of the request that is under way.
"""

import asyncio

import pytest

from anviltray.edge.tests.support import SEAL, Fleet, refuse, registration, respond

ORDER = "POST /order/1"


class RepeatingInstance:
    """Refuses one request, and repeats the refusal if it comes again on the same connection.

    The request that gets the repeated refusal is executed.
    """

    def __init__(self, status):
        self.refuse = refuse(status)
        self.refused, self.executed = set(), []

    async def __call__(self, request, writer):
        key = (writer, request.headers["request-id"])
        if key in self.refused:
            self.executed.append(key[1])
            await self.refuse(request, writer)
        elif not self.refused:
            self.refused.add(key)
            await self.refuse(request, writer)
        else:
            self.executed.append(key[1])
            await respond()(request, writer)


def run(tmp_path, test, *handlers):
    async def main():
        async with Fleet(tmp_path, handlers) as fleet:
            fleet.hosts[0].state.set_fleet_size(1)
            await asyncio.wait_for(test(fleet), 30)

    asyncio.run(main())


@pytest.mark.parametrize("status", ["503 X", "429 X", "408 X", "400 X"])
@pytest.mark.parametrize("count", [1, 2])
def test_refusal_repeated_to_a_caller_that_keeps_its_identifier(tmp_path, count, status):
    instances = [RepeatingInstance(status) for _ in range(count)]

    async def test(fleet):
        assert (await fleet.call(ORDER, b"x")).status == 503
        response = await fleet.call(ORDER, b"x")
        executed = [key for instance in instances for key in instance.executed]
        assert (response.status, executed) == (200, ["c1"])

    run(tmp_path, test, *instances)


def test_refusal_repeated_by_an_instance_that_started_again_under_a_new_id(tmp_path):
    """The host sends the request again itself: two instances are registered at one address."""
    instance = RepeatingInstance("421 Misdirected Request")

    async def test(fleet):
        address = fleet.instances[0].address
        fleet.store.append_record("keyed.servers", "i-9", registration(address))
        await fleet.until(lambda: "i-9" in fleet.hosts[0].state.directory.instances)
        response = await fleet.call(ORDER, b"x")
        assert (response.status, instance.executed) == (200, ["c1"])
        assert fleet.received() == 2

    run(tmp_path, test, instance)


REFUSAL = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: c0\r\nContent-Length: 0\r\n\r\n"
NO_CONTENT = f"HTTP/1.1 204 No Content\r\n{SEAL}Request-Id: c0\r\n\r\n"
NOT_FOUND = f"HTTP/1.1 404 Not Found\r\n{SEAL}Request-Id: c0\r\nContent-Length: 0\r\n\r\n"


def cuts(response):
    """Returns the beginnings of a response that end within its first two lines."""
    return [response[:end] for end in range(1, response.index("\r\n", response.index("\r\n") + 2))]


@pytest.mark.parametrize("response", [REFUSAL, NO_CONTENT, NOT_FOUND], ids=["503", "204", "404"])
def test_response_that_begins_with_a_part_of_another_one_is_not_believed(tmp_path, response):
    """The status and fields of the part join the identifier and length of the own response."""
    beginnings = cuts(response)

    async def write(request, writer):
        writer.write(beginnings[int(request.headers["request-id"][1:])].encode())
        await writer.drain()
        await asyncio.sleep(0.002)
        await respond()(request, writer)

    async def test(fleet):
        for number, beginning in enumerate(beginnings):
            response = await fleet.call(ORDER, b"x", request_id=f"c{number}")
            assert response.status == 502, beginning
        assert fleet.received() == len(beginnings)

    run(tmp_path, test, write)
