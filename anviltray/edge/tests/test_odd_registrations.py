"""Guards against a registration of another writer that takes the sound instances out of use.

Whatever one entry holds, it costs at most the requests that are sent to it.
"""

import asyncio

import pytest

from anviltray.declarations import Instance
from anviltray.edge.tests.support import Fleet, registration, respond
from anviltray.platform.tests import documents

LONG = "x" * 200_000
LONE_SURROGATE = "\ud800"  # JSON can hold it, and no other encoding can.
UNUSABLE_ADDRESSES = [
    "::1:8144",  # Brackets are missing.
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
UNUSABLE_KEYS = ["a\r\nX-A: 1", "a\nb", "a\0b", " odd ", "\ufffd"]
UNUSABLE_NAMES = [LONE_SURROGATE, "a\r\nX-A: 1", "a\0b", LONG]


def odd(**changes):
    """Returns a record whose address nobody listens at, with changed fields."""
    return documents.registration(**({"address": "127.0.0.9:8144"} | changes))


RECORDS = [
    *(pytest.param("odd", odd(address=address), id=address) for address in UNUSABLE_ADDRESSES),
    *(
        pytest.param("odd", odd(**{f"info__{name}": value}), id=f"{name}-{number}")
        for name in ("zone", "version", "service")
        for number, value in enumerate(UNUSABLE_NAMES)
    ),
    *(pytest.param(key, odd(), id=f"key-{number}") for number, key in enumerate(UNUSABLE_KEYS)),
    pytest.param("odd", odd(), id="nobody-listens"),
    pytest.param("odd", odd(info__slots=65535), id="most-slots"),
    pytest.param("odd", odd(born=2**63 - 1), id="latest-start"),
    pytest.param("odd", odd(status__state=LONG), id="long-state"),
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
        # With a key that is no identifier, the entry has an address where an instance listens.
        listens = odd(address=fleet.instances[0].address)
        fleet.store.append_record("keyed.servers", key, record if key == "odd" else listens)
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
