"""Guards against hosts that have the same position in the store but other registrations."""

import asyncio
from collections import Counter

import pytest

from anviltray.decisions.following import StorePosition
from anviltray.decisions.instances import InstanceDirectory
from anviltray.decisions.instances._directory import COPIED_HOLD_S
from anviltray.messages import KeyedChange
from anviltray.platform import KeyedRecord, PlatformUnavailable
from anviltray.platform.tests.documents import registration
from anviltray.testing import run_with_virtual_clock
from anviltray.zone._replica import StaleResponse, StoreReplica
from anviltray.zone.tests.virtual_zone import VirtualZone

FIRST_OFFSET = 40
DRAIN_S = 2.0  # Time after which an instance that was removed must get no more requests.
RETURN_S = 2.0  # Time after which an instance that lapsed and lives must be in use again.


def written(sequence, state="ready", born=1000, warmup_ms=0):
    return registration(
        born=born,
        status__state=state,
        status__sequence=sequence,
        status__warmupLeftMs=warmup_ms,
    )


def removed():
    return b""


def create_replica(records):
    replica = StoreReplica(InstanceDirectory(), Counter(), lambda: None)
    replica.replace_all(records, StorePosition(0, FIRST_OFFSET))
    return replica


def contents(replica):
    """Returns what a host uses: what differs in each renewal does not count."""
    return {
        key: (each.started_unix_ms, each.draining)
        for key, each in replica._directory.instances.items()
    }


@pytest.mark.parametrize(
    ("before", "log", "sent"),
    [
        # An instance that comes and leaves.
        ({}, [written(1), removed()], 1),
        ({}, [written(1), written(2), removed()], 1),
        # An entry that lapses and returns as it was.
        ({"i-1": written(1)}, [removed(), written(2)], 1),
        ({"i-1": written(1)}, [written(2), removed(), written(3), written(4)], 1),
        # An entry that another writer breaks for a moment.
        ({"i-1": written(1)}, [b"\xff", written(2)], 1),
        # A start under the same id that does not last.
        ({"i-1": written(1)}, [written(1, born=2000), removed()], 1),
        # An instance that changes and stays so.
        ({"i-1": written(1)}, [written(2, state="draining")], 1),
        ({"i-1": written(1)}, [removed()], 1),
        ({}, [written(1)], 1),
        # Renewals change nothing for anyone.
        ({"i-1": written(1, warmup_ms=900)}, [written(2, warmup_ms=300), written(3)], 0),
    ],
)
def test_changes_are_complete_for_receivers_at_every_position(before, log, sent):
    """What was no change for the sender was left out, though receivers were within the log."""

    async def main():
        records = [KeyedRecord("i-1", payload or None) for payload in log]
        end = StorePosition(0, FIRST_OFFSET + len(records))
        sender = create_replica(before)
        message = sender.find_changes(records)
        sender.apply_changes(message, end)
        assert len(message) == sent
        for count in range(len(records)):
            receiver = create_replica(before)
            for number, record in enumerate(records[:count], 1):
                change = KeyedChange(record.key, record.payload or b"")
                position = StorePosition(0, FIRST_OFFSET + number)
                receiver.apply_changes([change], position)
            receiver.apply_changes(message, end)
            assert contents(receiver) == contents(sender), count

    asyncio.run(main())


@pytest.mark.parametrize("frozen_s", [1.0, 5.0])
def test_zone_hears_of_a_removal_from_a_host_that_slept_meanwhile(frozen_s):
    """The removal was no change for the host that slept, and all others skipped it for good."""

    async def main():
        zone = VirtualZone(6)
        zone.start_instance("i-1")
        await asyncio.sleep(3.0)
        *others, sleeper = zone.hosts.values()
        sleeper.linked = sleeper.store.reachable = False
        await asyncio.sleep(frozen_s / 2)
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(frozen_s / 2 + 0.8)
        assert all(host.usable() == ["i-1", "i-2"] for host in others)
        sleeper.linked = sleeper.store.reachable = True
        for host in others:  # It has to know them again before it reads.
            host.exchange.send(sleeper.address, host.beacon(False))
        await asyncio.sleep(0.01)
        zone.instances["i-2"].leave(removed=True)
        await sleeper.follower.reader.read_instances()
        await asyncio.sleep(DRAIN_S)
        assert [host.usable() for host in zone.hosts.values()] == [["i-1"]] * 6
        await zone.close()

    run_with_virtual_clock(main())


def test_removal_between_the_pages_of_a_reload_reaches_the_zone():
    """The host had it from the second page, before the end of the log that the first one named."""

    async def main():
        zone = VirtualZone(4)
        zone.start_instance("i-1")
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(3.0)
        *others, reader = zone.hosts.values()
        read_newest = reader.store.read_newest

        async def read_pages(name):
            end_offset = (await read_newest(name)).end_offset
            zone.instances["i-2"].leave(removed=True)
            newest = await read_newest(name)
            return newest._replace(end_offset=end_offset, is_snapshot=False)

        reader.store.read_newest = read_pages
        await others[0].follower.reader.read_instances()  # All hosts are at the end of the log.
        await asyncio.sleep(0.01)
        await reader.follower.reader.reload_instances()
        reader.store.read_newest = read_newest
        assert reader.usable() == ["i-1"]
        await reader.follower.reader.read_instances()
        await asyncio.sleep(DRAIN_S)
        assert [host.usable() for host in others] == [["i-1"]] * 3
        assert count(zone, "different_registrations") == 0
        await zone.close()

    run_with_virtual_clock(main())


@pytest.mark.parametrize("linked_after_s", [0.6, 1.0, 1.5, 2.0, 3.0])
def test_renewal_of_a_copied_record_reaches_hosts_that_hold_it_back(linked_after_s):
    """It was no change for the host that read it and had not seen the instance lapse."""

    async def main():
        zone = VirtualZone(4)
        zone.start_instance("i-1")
        zone.start_instance("i-2", "10.0.0.2:80")
        await asyncio.sleep(3.0)
        copy = zone.store.copy_topics()
        reader = min(zone.hosts.values(), key=lambda host: host.follower.reader.read_rank())
        reader.linked = reader.store.reachable = False
        await asyncio.sleep(0.5)
        instance = zone.instances["i-2"]
        instance.task.cancel()
        zone.write_registration("i-2", b"")
        await asyncio.sleep(1.0)
        others = [host for host in zone.hosts.values() if host is not reader]
        assert all(host.usable() == ["i-1"] for host in others)
        reader.store.reachable = True
        await zone.go_back(copy)
        await asyncio.sleep(linked_after_s)
        reader.linked = True
        await asyncio.sleep(0.2)
        instance.task = asyncio.ensure_future(instance.run())
        await asyncio.sleep(RETURN_S)
        assert [host.usable() for host in zone.hosts.values()] == [["i-1", "i-2"]] * 4
        await zone.close()

    run_with_virtual_clock(main())


def test_renewals_of_copied_records_are_sent_once():
    async def main():
        replica = create_replica({"i-1": written(1), "i-2": written(1), "i-3": written(1)})
        replica.replace_all(
            {"i-1": written(1), "i-2": written(1), "i-3": written(1)},
            StorePosition(1, FIRST_OFFSET),
        )
        for sequence, sent in [(2, ["i-1", "i-2"]), (3, [])]:
            records = [KeyedRecord(key, written(sequence)) for key in ("i-1", "i-2")]
            message = replica.find_changes(records)
            assert [change.key for change in message] == sent
            replica.apply_changes(message, StorePosition(1, FIRST_OFFSET + sequence))
        await asyncio.sleep(COPIED_HOLD_S)
        replica._directory.expire(asyncio.get_running_loop().time())
        assert replica.find_changes([KeyedRecord("i-3", written(2))]) == []

    run_with_virtual_clock(main())


def lose(host):
    replica = host.follower.replica
    replica.apply_changes([KeyedChange("i-1", removed())], replica.position)


def invent(host):
    replica = host.follower.replica
    change = KeyedChange("i-9", registration(address="10.0.0.9:80"))
    replica.apply_changes([change], replica.position)


def count(zone, name):
    return sum(host.follower.counters[name] for host in zone.hosts.values())


@pytest.mark.parametrize("wrong", [1, 2, 3, 5])
@pytest.mark.parametrize("spoil", [lose, invent])
def test_registrations_that_differ_are_read_anew(spoil, wrong):
    """Whatever made them differ: nobody noticed, and reads still vouched for them."""

    async def main():
        zone = VirtualZone(6)
        zone.start_instance("i-1")
        await asyncio.sleep(3.0)
        hosts, calls = list(zone.hosts.values()), zone.calls
        assert all(host.usable() == ["i-1"] for host in hosts)
        for host in hosts[:wrong]:
            spoil(host)
        await asyncio.sleep(4.0)
        assert [host.usable() for host in hosts] == [["i-1"]] * 6
        assert count(zone, "different_registrations") > 0
        # Each host reads once at most; the zone reads 6 times meanwhile, two hosts wait twice.
        assert 0 < count(zone, "reloads_of_different_registrations") <= 6
        assert zone.calls - calls <= 6 + 6 + 4
        await zone.close()

    run_with_virtual_clock(main())


@pytest.mark.parametrize("failure", [PlatformUnavailable, StaleResponse])
def test_registrations_are_read_anew_after_a_read_that_failed(failure):
    """A message of a peer that arrives during the read makes it out of date."""

    async def main():
        zone = VirtualZone(4)
        zone.start_instance("i-1")
        await asyncio.sleep(3.0)
        wrong, *others = zone.hosts.values()
        reader = wrong.follower.reader
        reload_instances = reader.reload_instances

        async def fail_once():
            reader.reload_instances = reload_instances
            raise failure("once")

        reader.reload_instances = fail_once
        for host in others:
            host.store.reachable = False  # Only the wrong host can read anew.
        invent(wrong)
        await asyncio.sleep(5.0)
        assert reader.reload_instances == reload_instances
        assert wrong.usable() == ["i-1"]
        await zone.close()

    run_with_virtual_clock(main())


def test_hosts_with_equal_registrations_are_not_found_to_differ():
    async def main():
        zone = VirtualZone(5)
        for number in range(1, 5):
            zone.start_instance(f"i-{number}", f"10.0.0.{number}:80")
        await asyncio.sleep(3.0)
        copy = zone.store.copy_topics()
        zone.instances["i-1"].state = "draining"
        zone.start_instance("i-5", "10.0.0.5:80")
        await asyncio.sleep(1.0)
        zone.instances["i-2"].leave(removed=True)
        zone.instances["i-3"].leave(removed=False)
        await zone.restart_host("127.0.0.2")
        await zone.outage(3.0)
        await asyncio.sleep(2.0)
        await zone.go_back(copy)
        await asyncio.sleep(8.0)
        assert count(zone, "different_registrations") == 0
        assert {tuple(host.usable()) for host in zone.hosts.values()} == {("i-4", "i-5")}
        await zone.close()

    run_with_virtual_clock(main())
