"""Guards against wrong outcomes of commands and against missed or reverted changes."""

import asyncio

import pytest

from anviltray.platform import HostEntry, MemoryPlatform
from anviltray.state import (
    CommandPublisher,
    EmptyKey,
    HostListPoller,
    LogFollower,
    ReaderRanks,
    SnapshotWriter,
    load_key,
    read_newest_snapshot,
)
from anviltray.state.configuration import (
    SNAPSHOT_STREAM,
    STREAM,
    ConfigurationStore,
    encode_record,
    split_state,
)
from anviltray.state.tests.services import make_service, put
from anviltray.testing import run_with_virtual_clock


class LogReader:
    """A store with its log tasks but without peers."""

    def __init__(self, platform, ranks=(0, 0)):
        self.platform = platform
        self.store = ConfigurationStore()
        self.follower = LogFollower(
            platform,
            self.store,
            lambda: ReaderRanks(*ranks),
            poll_interval_s=0.5,
            readers_per_zone=2,
        )
        self.publisher = CommandPublisher(platform, self.store, self.follower.read)

    def writer(self, rank=0, after_records=5, chunk_bytes=200):
        return SnapshotWriter(
            self.platform,
            self.store,
            lambda: rank,
            after_records=after_records,
            chunk_bytes=chunk_bytes,
        )


def now_s():
    return asyncio.get_running_loop().time()


async def append_services(reader, start, count):
    for index in range(start, start + count):
        outcome = await reader.publisher.submit(put(make_service(f"s{index}")), 5.0)
        assert outcome.outcome == "accepted"


@pytest.mark.parametrize(
    ("faults", "outcome", "records"),
    [
        ({}, "accepted", 1),
        ({"delay_s": 0.7}, "accepted", 1),
        ({"lost_answers": 1}, "accepted", 1),
        ({"dropped_appends": 1}, "accepted", 1),
        ({"dropped_appends": 99}, "unknown", 0),
        ({"lost_answers": 99}, "accepted", 1),
        ({"available": False}, "rejected", 0),
        ({"delay_s": 9.0}, "unknown", 0),
        ({"delay_s": 3.0}, "unknown", 1),
    ],
    ids=str,
)
def test_outcome_of_a_command(faults, outcome, records):
    async def main():
        platform = MemoryPlatform()
        for name, value in faults.items():
            setattr(platform, name, value)
        reader = LogReader(platform)
        command = put(make_service())
        result = await reader.publisher.submit(command, 5.0)
        assert (result.outcome, result.command_id) == (outcome, command.command_id)
        assert len(platform.payloads(STREAM)) == records
        assert (result.outcome == "accepted") == (reader.store.version == 0)
        if outcome == "unknown":
            assert command.command_id in result.reason

    run_with_virtual_clock(main())


def test_outage_after_an_unknown_append_stays_unknown():
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform)
        platform.lost_answers = 1
        loop = asyncio.get_running_loop()
        platform.delay_s = 0.5
        loop.call_later(0.6, setattr, platform, "available", False)
        result = await reader.publisher.submit(put(make_service()), 5.0)
        assert result.outcome == "unknown"
        assert len(platform.payloads(STREAM)) == 1

    run_with_virtual_clock(main())


def test_conflicting_operators_get_one_acceptance_and_one_rejection():
    async def main():
        platform = MemoryPlatform()
        readers = [LogReader(platform), LogReader(platform)]
        results = await asyncio.gather(
            *(
                r.publisher.submit(put(make_service(slots=5 + i)), 5.0)
                for i, r in enumerate(readers)
            )
        )
        assert sorted(result.outcome for result in results) == ["accepted", "rejected"]
        assert "conflict" in next(r.reason for r in results if r.outcome == "rejected")

    run_with_virtual_clock(main())


def test_rate_limit_delays_a_command():
    async def main():
        platform = MemoryPlatform()
        platform.appends_per_s = 1.0
        await append_services(LogReader(platform), 0, 3)
        assert now_s() >= 2.0

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("ranks", "ready", "peers_time_out", "reads", "offset_reads"),
    [
        ((0, 0), True, False, True, False),
        ((1, 1), True, False, False, True),
        ((9, 2), True, False, False, False),
        ((9, 2), True, True, True, False),
        ((9, 2), False, False, False, True),
    ],
)
def test_only_the_first_reader_of_a_region_reads_payloads(
    ranks, ready, peers_time_out, reads, offset_reads
):
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform, ranks)
        if ready:
            reader.store.observe_log_end(0.0, 0)
            assert reader.store.not_ready_reason() is None
        task = asyncio.create_task(reader.follower.run())
        for _ in range(20):
            if not peers_time_out:
                reader.store.observe_version(now_s(), -1)
            await asyncio.sleep(0.5)
        task.cancel()
        assert (platform.calls["read"] > 0) == reads
        assert (platform.calls["offsets"] > 0) == offset_reads

    run_with_virtual_clock(main())


def test_another_reader_reads_when_the_exchange_does_not_deliver():
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform, (3, 1))
        await platform.append(STREAM, encode_record(put(make_service())))
        await reader.follower.step()
        assert reader.store.version == 0

    run_with_virtual_clock(main())


def test_outage_keeps_the_configuration_and_ends_by_itself():
    async def main():
        platform = MemoryPlatform()
        reader, late = LogReader(platform), LogReader(platform)
        await append_services(reader, 0, 2)
        platform.available = False
        await reader.follower.step()
        await late.follower.step()
        assert reader.store.not_ready_reason() is None
        assert "no configuration" in late.store.not_ready_reason()
        platform.available = True
        await late.follower.step()
        assert late.store.fold.digest == reader.store.fold.digest
        assert late.store.not_ready_reason() is None

    run_with_virtual_clock(main())


def test_an_empty_log_is_a_configuration():
    async def main():
        reader = LogReader(MemoryPlatform())
        await reader.follower.step()
        assert reader.store.not_ready_reason() is None

    run_with_virtual_clock(main())


def test_trimmed_log_is_read_from_the_newest_complete_snapshot():
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform)
        await append_services(reader, 0, 12)
        assert await reader.writer().step()
        await append_services(reader, 12, 3)
        platform.trim(STREAM, 10)
        # A writer that fails midway leaves only the first part of a newer snapshot.
        first_part = next(iter(split_state(reader.store.fold.state(), 200)))
        assert first_part.chunk_count > 2
        await platform.append(SNAPSHOT_STREAM, encode_record(first_part))
        await platform.append(SNAPSHOT_STREAM, b"damaged")
        late = LogReader(platform)
        await late.follower.step()
        assert late.store.version == 14
        assert late.store.fold.digest == reader.store.fold.digest

    run_with_virtual_clock(main())


def test_trimmed_log_without_snapshot_is_not_ready():
    async def main():
        platform = MemoryPlatform()
        await append_services(LogReader(platform), 0, 4)
        platform.trim(STREAM, 2)
        late = LogReader(platform)
        await late.follower.step()
        assert late.store.version == -1
        assert late.store.not_ready_reason() is not None
        assert late.follower.counters["uncovered"] == 1

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("records", "retained", "after_records", "expected"),
    [
        (4, None, 5, False),
        (5, None, 5, True),
        (20, None, 100, False),
        (20, 6, 100, True),
        (0, None, 1, False),
    ],
)
def test_snapshot_is_due_before_the_log_loses_its_records(
    records, retained, after_records, expected
):
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform)
        await append_services(reader, 0, records)
        if retained:
            platform.trim(STREAM, records - retained)
        assert await reader.writer(after_records=after_records).step() == expected
        assert (await read_newest_snapshot(platform) is not None) == expected

    run_with_virtual_clock(main())


def test_the_next_writer_waits_and_then_finds_the_snapshot():
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform)
        await append_services(reader, 0, 6)
        first, second = reader.writer(0), reader.writer(1)
        assert not await second.step()
        assert await first.step()
        count = len(platform.payloads(SNAPSHOT_STREAM))
        await asyncio.sleep(60)
        assert not await second.step()
        assert len(platform.payloads(SNAPSHOT_STREAM)) == count

    run_with_virtual_clock(main())


def test_the_next_writer_replaces_a_missing_one():
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform)
        await append_services(reader, 0, 6)
        writer = reader.writer(2)
        assert not await writer.step()
        await asyncio.sleep(60)
        platform.lost_answers, platform.appends_per_s = 3, 20.0
        assert await writer.step()
        assert (await read_newest_snapshot(platform)).version == 5

    run_with_virtual_clock(main())


def test_snapshots_of_two_writers_are_harmless():
    async def main():
        platform = MemoryPlatform()
        platform.delay_s = 0.01
        reader = LogReader(platform)
        await append_services(reader, 0, 6)
        assert await asyncio.gather(reader.writer().step(), reader.writer().step()) == [True, True]
        assert (await read_newest_snapshot(platform)).version == 5

    run_with_virtual_clock(main())


def test_a_stopped_fold_stays_active_and_accepts_no_command():
    async def main():
        platform = MemoryPlatform()
        reader = LogReader(platform)
        await append_services(reader, 0, 1)
        assert reader.store.not_ready_reason() is None
        await platform.append(STREAM, b"not a record")
        await reader.follower.step()
        assert reader.store.counters["stops"] == 1
        assert list(reader.store.fold.services) == ["s0"]
        result = await reader.publisher.submit(put(make_service()), 1.0)
        assert result.outcome == "rejected" and "record 1" in result.reason
        late = LogReader(platform)
        await late.follower.step()
        assert reader.store.not_ready_reason() is None
        assert "record 1" in late.store.not_ready_reason()

    run_with_virtual_clock(main())


def test_the_last_host_list_survives_an_outage():
    async def main():
        platform = MemoryPlatform()
        entry = HostEntry("10.0.0.1:80", "upstream", "leaving", "viti", "a", "", "")
        platform.set_hosts([entry])
        lists = []
        poller = HostListPoller(platform, 1.0)
        poller.subscribe(lists.append)
        assert await poller.step()
        platform.available = False
        assert not await poller.step()
        assert lists == [(entry,)]

    run_with_virtual_clock(main())


@pytest.mark.parametrize(("text", "key"), [(b" secret\n", b"secret"), (b" \n", None)])
def test_an_empty_key_file_does_not_disable_authentication(tmp_path, text, key):
    path = tmp_path / "key"
    path.write_bytes(text)
    if key is not None:
        assert load_key(str(path)) == key
    else:
        with pytest.raises(EmptyKey):
            load_key(str(path))
    assert load_key("") == b""
