"""Guards against a zone that believes a store which has come back from an older copy.

In virtual time; instances and the operator write again what the store has lost, as on the platform.
"""

import asyncio

import pytest

from anviltray.testing import run_with_virtual_clock
from anviltray.zone.tests.virtual_zone import VirtualZone

CONFIGURATION_S = 2.0
SETTLED_S = 8.0  # The store removes a silent instance after 4.5 s, and the zone reads it.


def run(scenario, count=4, **options):
    async def main():
        zone = VirtualZone(count, **options)
        zone.start_instance("i-1")
        await asyncio.sleep(3.0)
        assert all(host.usable() == ["i-1"] for host in zone.hosts.values())
        try:
            await scenario(zone)
        finally:
            await zone.close()

    run_with_virtual_clock(main())


async def hold(zone, condition, duration_s):
    """Checks a condition on all hosts for some time."""
    for _ in range(round(duration_s / 0.05)):
        for host in zone.hosts.values():
            assert condition(host), (zone.now_s(), host.address, host.usable(), host.versions)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("away_s", [0.0, 0.3, 4.0])
@pytest.mark.parametrize("copied", [7, None])
def test_configuration_in_force_outlives_the_copy(copied, away_s):
    async def scenario(zone):
        if copied is None:
            del zone.store.topic("keyed.op").newest["config"]
        copy = zone.store.copy_topics()
        zone.write_configuration(9)
        await asyncio.sleep(CONFIGURATION_S)
        await zone.go_back(copy, away_s)
        await hold(zone, lambda host: host.versions == [7, 9], 6.0)
        zone.write_configuration(12)
        await asyncio.sleep(CONFIGURATION_S)
        await hold(zone, lambda host: host.versions == [7, 9, 12], 0.1)

    run(scenario)


async def restart(zone):
    await zone.restart_host("127.0.0.2")
    await asyncio.sleep(1.0)


async def cut_reader(zone):
    """The others learn of the new generation without the host that reads the store."""
    reader = min(zone.hosts.values(), key=lambda host: host.follower.reader.read_rank())
    reader.linked = reader.store.reachable = False
    await asyncio.sleep(6.0)
    reader.linked = reader.store.reachable = True
    await asyncio.sleep(1.0)


async def late_responses(zone):
    """One host gets responses from before the store went back after those that follow."""
    host = zone.hosts["127.0.0.3"]
    host.store.response_delay_s = 1.2
    await asyncio.sleep(2.0)
    host.store.response_delay_s = 0.0


async def no_further_event(zone):
    await asyncio.sleep(0.0)


EVENTS = [no_further_event, restart, cut_reader, late_responses]


@pytest.mark.parametrize("away_s", [0.0, 4.0])
@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("leaves", ["drained", "drained and removed", "removed"])
def test_instance_that_left_after_the_copy_is_not_used_again(leaves, event, twice, away_s):
    async def scenario(zone):
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(2.0)
        copy = zone.store.copy_topics()
        leaving = zone.instances["i-2"]
        if leaves != "removed":
            leaving.state = "draining"
            leaving.write()
            await asyncio.sleep(1.5)
        if leaves != "drained":
            leaving.leave(removed=True)
        await asyncio.sleep(1.5)
        watching = asyncio.ensure_future(
            hold(zone, lambda host: host.usable() in (["i-1"], []), SETTLED_S + 8.0)
        )
        await zone.go_back(copy, away_s)
        await event(zone)
        if twice:
            await zone.go_back(copy, away_s)
        await watching
        await hold(zone, lambda host: host.usable() == ["i-1"], 0.1)
        zone.start_instance("i-2", "10.0.0.3:80")
        await asyncio.sleep(2.0)
        await hold(zone, lambda host: host.usable() == ["i-1", "i-2"], 0.1)

    run(scenario)


@pytest.mark.parametrize("twice", [False, True])
@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("away_s", [0.0, 0.3, 4.0])
def test_instance_that_registered_after_the_copy_is_used_throughout(away_s, event, twice):
    async def scenario(zone):
        copy = zone.store.copy_topics()
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(2.0)
        watching = asyncio.ensure_future(
            hold(zone, lambda host: host.is_new or host.usable() == ["i-1", "i-2"], 16.0)
        )
        await zone.go_back(copy, away_s)
        await event(zone)
        if twice:
            await zone.go_back(copy, away_s)
        await watching
        await hold(zone, lambda host: host.usable() == ["i-1", "i-2"], 0.1)

    run(scenario)


def test_instance_that_lapses_in_the_rewind_is_dropped_when_its_renewal_is_overdue():
    async def scenario(zone):
        copy = zone.store.copy_topics()
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(2.0)
        zone.instances["i-2"].leave(removed=False)
        await zone.go_back(copy)
        await hold(zone, lambda host: host.usable() == ["i-1", "i-2"], 2.0)
        await asyncio.sleep(2.0)
        await hold(zone, lambda host: host.usable() == ["i-1"], SETTLED_S)

    run(scenario)


def test_address_that_another_instance_has_by_now_is_not_used_for_the_one_before():
    """No host has seen the earlier instance leave: all have started since."""

    async def scenario(zone):
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(1.0)
        copy = zone.store.copy_topics()
        zone.instances["i-2"].leave(removed=True)
        await asyncio.sleep(1.0)
        zone.start_instance("i-3", "10.0.0.2:80")
        for address in tuple(zone.hosts):
            await zone.hosts.pop(address).stop()
        for number in range(4):
            zone.start_host(f"127.0.0.{number + 1}")
        await asyncio.sleep(3.0)
        await zone.go_back(copy)
        await hold(zone, lambda host: host.usable() == ["i-1", "i-3"], SETTLED_S)

    run(scenario)


def test_instance_that_had_lapsed_returns_with_its_renewal():
    """Its copied record looks like that of an instance that has left."""

    async def scenario(zone):
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(2.0)
        copy = zone.store.copy_topics()
        zone.write_registration("i-2", b"")
        await asyncio.sleep(1.0)
        await zone.go_back(copy)
        await asyncio.sleep(3.0)
        await hold(zone, lambda host: host.usable() == ["i-1", "i-2"], SETTLED_S)

    run(scenario)


@pytest.mark.parametrize("era_header", [None, ""])
def test_host_records_are_written_again_only_after_the_store_went_back(era_header):
    async def scenario(zone):
        copy = zone.store.copy_topics()
        copy.pop("keyed.anviltray-hosts")
        hosts = zone.store.topic("keyed.anviltray-hosts")
        assert hosts.end == len(zone.hosts)
        zone.store.compact("keyed.servers")
        await asyncio.sleep(5.0)
        assert hosts.end == len(zone.hosts)
        if era_header is None:
            await zone.go_back(copy)
            await asyncio.sleep(3.0)
            assert set(zone.store.topic("keyed.anviltray-hosts").newest) == set(zone.hosts)

    run(scenario, era_header=era_header)


def test_zone_does_not_keep_fetching():
    async def scenario(zone):
        copy = zone.store.copy_topics()
        await asyncio.sleep(2.0)
        await zone.go_back(copy)
        await asyncio.sleep(4.0)
        calls = zone.calls
        snapshots = [host.follower.counters["snapshots"] for host in zone.hosts.values()]
        await asyncio.sleep(6.0)
        # One host reads every 0.8 s, two wait 2.4 s for a configuration.
        assert zone.calls - calls <= 18
        assert snapshots == [host.follower.counters["snapshots"] for host in zone.hosts.values()]

    run(scenario)
