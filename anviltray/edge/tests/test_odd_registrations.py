"""Guards against a registration of another writer that takes the sound instances out of use.

Whatever one entry holds, it costs at most the requests that are sent to it.
"""

import asyncio
import json

import pytest

from anviltray.declarations import Instance
from anviltray.edge.tests.support import Fleet, registration, respond

SOUND = json.loads(registration("127.0.0.9:8144"))
LONE_SURROGATE = "\ud800"  # JSON can hold it, and no other encoding can.
UNUSABLE_ADDRESSES = [
    "::1:8144",
    "[127.0.0.9]:8144",
    "[::1:8144",
    "::1]:8144",
    "[[::1]]:8144",
    "[fe80::1%lo]:8144",
    "127.0.0.9:8144/../",
    "127.0.0.9 :8144",
    "user@127.0.0.9:8144",
    "0x7f.1:8144",
    ":8144",
]


def odd(**changes):
    """Returns a record; a change like `info__zone` replaces a field of an inner object."""
    document = json.loads(json.dumps(SOUND))
    for path, value in changes.items():
        *parents, name = path.split("__")
        place = document
        for parent in parents:
            place = place[parent]
        place[name] = value
    return json.dumps(document).encode()


RECORDS = [
    *(pytest.param("odd", odd(address=address), id=address) for address in UNUSABLE_ADDRESSES),
    pytest.param("odd", odd(), id="nobody-listens"),
    pytest.param("odd", odd(info__slots=65535), id="most-slots"),
    pytest.param("odd", odd(born=2**63 - 1), id="latest-start"),
]


def run(test, tmp_path, hosts=1):
    async def main():
        async with Fleet(tmp_path, [respond(), respond()], hosts=hosts) as fleet:
            await asyncio.wait_for(test(fleet), 30)

    asyncio.run(main())


async def call_all(fleet, requests=6):
    """Sends requests to each host and returns the statuses."""
    statuses = []
    for host in range(len(fleet.hosts)):
        for number in range(requests):
            head, body = ("GET /level/1", b"") if number % 2 else ("POST /order/1", b"x")
            response = await fleet.call(head, body, host=host, request_id=f"c{host}-{number}")
            statuses.append(response.status)
    return statuses


@pytest.mark.parametrize(("key", "record"), RECORDS)
def test_odd_registration_costs_no_request_to_the_other_instances(tmp_path, key, record):
    """One host reads the entry from the store, and the other one gets it from its peer."""

    async def test(fleet):
        fleet.store.append_record("keyed.servers", key, record)
        # A later change shows that both hosts have got this far.
        fleet.store.append_record(
            "keyed.servers", "i-9", registration("127.0.0.9:8145", service="supply")
        )
        for host in fleet.hosts:
            await fleet.until(lambda host=host: "i-9" in host.state.directory.instances)
        assert set(await call_all(fleet)) == {200}
        assert not any(host.failed.is_set() for host in fleet.hosts)

    run(test, tmp_path, hosts=2)


@pytest.mark.parametrize("address", [*UNUSABLE_ADDRESSES, LONE_SURROGATE, ""])
def test_instance_with_an_unusable_address_costs_no_request(tmp_path, address):
    """The same for an entry that the check of registrations has let through."""

    async def test(fleet):
        host = fleet.hosts[0]
        instance = Instance("i-9", 1, "keeper", address, "viti-suva", "v1", 6, False, 0.0)
        host.state.directory.register(asyncio.get_running_loop().time(), instance)
        assert instance in host.state.directory.usable("keeper")
        assert set(await call_all(fleet, 12)) == {200}

    run(test, tmp_path)
