"""Guards against datagrams that end a task, close the socket or block the loop of a host.

The messages have the right types and any values: they stand for other builds, for faulty hosts and
for damaged datagrams.
"""

import asyncio
import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anviltray import messages
from anviltray.declarations import ClientAccount
from anviltray.edge.tests.support import Fleet, respond
from anviltray.testing import fuzz_settings

ZONE_MESSAGES = (
    messages.AllotmentGrant,
    messages.AllotmentRequest,
    messages.AllotmentVote,
    messages.HostBeacon,
    messages.HostList,
    messages.HostsRequest,
    messages.InstanceChanges,
    messages.RetryLoan,
    messages.RetryLoanRequest,
    messages.ZoneBeliefs,
    messages.ZoneLoads,
    messages.ZoneObservations,
    messages.ZoneOutcomes,
)
TEXTS = ("", "a\0b", "example.invalid", "10.1.0.9", "viti-suva", "ready", "keeper", "i-0", "é" * 70)


def values(kind):
    """Returns a strategy for the values of one annotated type."""
    if typing.get_origin(kind) is tuple:
        return st.lists(values(typing.get_args(kind)[0]), max_size=4).map(tuple)
    if hasattr(kind, "_fields"):
        hints = typing.get_type_hints(kind)
        return st.builds(kind, *(values(hints[name]) for name in kind._fields))
    return {
        int: st.integers(-(2**70), 2**70) | st.integers(-2, 3) | st.just(10**400),
        float: st.floats(allow_nan=False),
        str: st.sampled_from(TEXTS) | st.text(max_size=12),
        bool: st.booleans(),
        bytes: st.binary(max_size=40),
    }[kind]


@pytest.mark.fuzz
@fuzz_settings(12, 1)
@given(received=st.lists(st.one_of(*map(values, ZONE_MESSAGES)), min_size=20, max_size=60))
def test_a_host_serves_whatever_datagrams_it_gets(tmp_path_factory, received):
    async def main():
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        async with Fleet(tmp_path_factory.mktemp("fleet"), [respond()]) as fleet:
            host = fleet.hosts[0]
            limited = ClientAccount("keeper", (), None, 5.0, 5.0)
            host.state.configure(host.state.configuration._replace(accounts={"keeper": limited}))
            for message in received:
                data = messages.encode_message(message)
                host.exchange.datagram_received(data, (fleet.address(9), 17700))
            await asyncio.sleep(0.6)  # Beacons and reports are sent.
            assert not host.failed.is_set()
            assert not host.exchange._transport.is_closing()
            # Some messages say that the instance has left or is full.
            assert (await fleet.call("GET /level/1", request_id="after")).status in (200, 503)
        assert errors == []

    asyncio.run(main())


@pytest.mark.parametrize(
    ("age_s", "low", "high"), [(0.2, 0.0, 0.5), (-1e9, 0.0, 0.5), (float("-inf"), 0.0, 0.5)]
)
def test_a_read_in_the_future_does_not_keep_the_zone_from_reading(tmp_path, age_s, low, high):
    async def main():
        async with Fleet(tmp_path, [respond()]) as fleet:
            host = fleet.hosts[0]
            beacon = host._create_beacon(False)._replace(
                host=fleet.address(9), incarnation=5, read_age_s=age_s
            )
            host.exchange.datagram_received(messages.encode_message(beacon), ("", 0))
            assert low <= host.follower.read_age_s() <= high

    asyncio.run(main())


@pytest.mark.parametrize("address", ["a\0b", "", "example.invalid", "é" * 70, "10.1.0.9:80"])
def test_a_host_sends_nothing_to_what_is_no_ip_address(tmp_path, address):
    async def main():
        async with Fleet(tmp_path, [respond()]) as fleet:
            exchange = fleet.hosts[0].exchange
            started_s = asyncio.get_running_loop().time()
            exchange.send(address, messages.HostsRequest(fleet.address(1), "viti-suva"))
            # A name would be looked up by the system, which blocks the loop.
            assert asyncio.get_running_loop().time() - started_s < 0.1
            assert not exchange._transport.is_closing()
            assert exchange.counters["sent"] == 0
            assert exchange.counters["invalid"] == 1

    asyncio.run(main())
