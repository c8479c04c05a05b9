"""Guards against store failures that are classified wrongly, and against misread records."""

import asyncio
import base64
import contextlib
import json
import struct
import time

import pytest
from aiohttp import web

from anviltray.messages import InstanceChanges, KeyedChange, decode_message, encode_message
from anviltray.platform import (
    BODY_LIMIT_BYTES,
    AppendConflict,
    AppendRejected,
    AppendUnknown,
    KeyedStore,
    OffsetTrimmed,
    PlatformUnavailable,
)
from standins.store import StoreConditions, StoreStandin, encode_record

TIMEOUT_S = 0.3


def run(test, **options):
    """Runs `test(store, standin)` with a client of a stand-in store."""

    async def main():
        standin = StoreStandin(**options)
        store = KeyedStore(await standin.start(), TIMEOUT_S)
        try:
            await asyncio.wait_for(test(store, standin), 20)
        finally:
            await store.close()
            await standin.close()

    asyncio.run(main())


def test_read_newest_reads_all_pages_and_returns_the_first_end():
    async def test(store, standin):
        for number in range(7):
            standin.append_record("keyed.t", f"k{number}", b"v%d" % number)
        standin.append_record("keyed.t", "k3", b"")
        newest = await store.read_newest("keyed.t")
        assert [record.key for record in newest.records] == ["k0", "k1", "k2", "k4", "k5", "k6"]
        assert newest.records[3].payload == b"v4"
        assert newest.end_offset == 8

    run(test, page_size=2)


def test_read_returns_records_removals_and_the_next_offset():
    async def test(store, standin):
        standin.append_record("keyed.t", "a", b"1")
        standin.append_record("keyed.t", "a", b"")
        batch = await store.read("keyed.t", 0, 0.0)
        assert [tuple(record) for record in batch.records] == [("a", b"1"), ("a", None)]
        assert (batch.next_offset, batch.end_offset) == (2, 2)
        assert (await store.read("keyed.t", 2, 0.0)).records == ()

    run(test)


def test_read_waits_for_the_first_record():
    async def test(store, standin):
        reading = asyncio.create_task(store.read("keyed.t", 0, 5.0))
        await asyncio.sleep(0.1)
        assert not reading.done()
        standin.append_record("keyed.t", "a", b"1")
        assert len((await reading).records) == 1

    run(test)


def test_appended_record_is_read_back():
    async def test(store, standin):
        await store.append("keyed.t", "10.0.0.1", b"viti-suva")
        newest = await store.read_newest("keyed.t")
        assert [tuple(record) for record in newest.records] == [("10.0.0.1", b"viti-suva")]

    run(test)


def test_conditional_append_takes_effect_once():
    async def test(store, standin):
        await store.append("keyed.t", "a", b"1", expected_end_offset=0)
        with pytest.raises(AppendConflict) as error:
            await store.append("keyed.t", "a", b"2", expected_end_offset=0)
        assert error.value.end_offset == 1
        assert standin.topics["keyed.t"].newest["a"] == (b"1", 0)

    run(test)


@pytest.mark.parametrize(
    ("header", "generation"),
    [
        (None, 1),
        ("7", 7),
        ("007", 7),
        ("", None),
        ("-1", None),
        ("1.5", None),
        ("7, 8", None),
        ("\u0667".encode().decode("latin-1"), None),
        ("9" * 30, None),
    ],
)
def test_results_name_the_generation_of_the_store(header, generation):
    """A number that is misread would make the offsets of a whole zone void."""

    async def test(store, standin):
        standin.era_header = header
        appended = await store.append("keyed.t", "a", b"1")
        results = [
            appended,
            await store.read("keyed.t", 0, 0.0),
            await store.read_newest("keyed.t"),
        ]
        assert [result.generation for result in results] == [generation] * 3

    run(test)


@pytest.mark.parametrize(("offset", "trimmed"), [(0, False), (1, False), (2, True), (3, True)])
def test_offset_above_the_log_is_trimmed_after_the_store_has_gone_back(offset, trimmed):
    async def test(store, standin):
        standin.append_record("keyed.t", "a", b"1")
        copy = standin.copy_topics()
        for number in range(3):
            standin.append_record("keyed.t", "a", b"%d" % number)
        standin.go_back(copy)
        try:
            batch = await store.read("keyed.t", offset, 0.0)
        except OffsetTrimmed:
            assert trimmed
        else:
            assert not trimmed
            assert (batch.generation, batch.end_offset) == (2, 1)

    run(test)


def test_append_is_no_success_if_its_offset_belongs_to_an_earlier_generation():
    """The log ends at the same offset again, after other records."""

    async def test(store, standin):
        copy = standin.copy_topics()
        await store.append("keyed.t", "a", b"1")
        newest = await store.read_newest("keyed.t")
        standin.go_back(copy)
        standin.append_record("keyed.t", "b", b"2")
        with pytest.raises(AppendUnknown):
            await store.append("keyed.t", "a", b"3", newest.end_offset, newest.generation)
        newest = await store.read_newest("keyed.t")
        await store.append("keyed.t", "a", b"4", newest.end_offset, newest.generation)
        with pytest.raises(AppendConflict) as error:
            await store.append("keyed.t", "a", b"5", newest.end_offset, newest.generation)
        assert (error.value.end_offset, error.value.generation) == (3, 2)

    run(test)


def test_pages_of_two_generations_are_no_list():
    async def test(store, standin):
        for number in range(3):
            standin.append_record("keyed.t", f"k{number}", b"1")
        copy = standin.copy_topics()
        served = 0

        apply_conditions = standin.apply_conditions

        async def go_back_at_the_second_page(request):
            nonlocal served
            served += 1
            if served == 2:
                standin.go_back(copy)
            return await apply_conditions(request)

        standin.apply_conditions = go_back_at_the_second_page

        with pytest.raises(PlatformUnavailable, match="generations"):
            await store.read_newest("keyed.t")
        assert (await store.read_newest("keyed.t")).generation == 2

    run(test, page_size=2)


def test_read_of_deleted_records_is_not_an_outage():
    async def test(store, standin):
        standin.append_record("keyed.t", "a", b"1")
        standin.compact("keyed.t")
        with pytest.raises(OffsetTrimmed):
            await store.read("keyed.t", 0, 0.0)

    run(test)


@pytest.mark.parametrize(
    ("conditions", "append_error", "applied"),
    [
        (StoreConditions(status=503), PlatformUnavailable, False),
        (StoreConditions(status=429), AppendRejected, False),
        (StoreConditions(status=507), AppendRejected, False),
        (StoreConditions(silent=True), AppendUnknown, False),
        (StoreConditions(resets=True), AppendUnknown, False),
        (StoreConditions(lost_answers=True), AppendUnknown, True),
    ],
)
def test_failures(conditions, append_error, applied):
    async def test(store, standin):
        standin.conditions = conditions
        with pytest.raises(append_error):
            await store.append("keyed.t", "a", b"1")
        assert ("a" in standin.topics.get("keyed.t", standin).__dict__.get("newest", ())) == applied
        if not conditions.lost_answers:
            with pytest.raises(PlatformUnavailable):
                await store.read_newest("keyed.t")
            with pytest.raises(PlatformUnavailable):
                await store.read("keyed.t", 0, 0.0)
        standin.conditions = StoreConditions()
        await store.append("keyed.t", "b", b"2")  # The next call opens a new connection.

    run(test)


def test_refused_connection_means_unavailable():
    async def test(store, standin):
        await standin.close()
        with pytest.raises(PlatformUnavailable):
            await store.append("keyed.t", "a", b"1")

    run(test)


@pytest.mark.parametrize(
    ("conditions", "reason"),
    [
        (StoreConditions(silent=True), "TimeoutError"),
        (StoreConditions(resets=True), "Server disconnected"),
        (StoreConditions(status=503), "status 503"),
    ],
)
def test_failure_names_its_reason(conditions, reason):
    """A timeout has no message of its own."""

    async def test(store, standin):
        standin.conditions = conditions
        with pytest.raises(PlatformUnavailable, match=reason):
            await store.read("keyed.t", 0, 0.0)

    run(test)


BUFFERED_BYTES = 16_000_000  # In the sockets and in the buffers of both sides.
MAX_PAGES = 100


async def body_without_end(request, sent):
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(b" " * 65536)
        sent.append(65536)


async def pages_without_end(request, sent):
    item = {"key": f"k{len(sent):06d}", "value": base64.b64encode(b"x" * 1_000_000).decode()}
    text = json.dumps({"items": [item], "end": 1, "more": len(sent) < MAX_PAGES})
    sent.append(len(text))
    return web.Response(text=text)


@contextlib.asynccontextmanager
async def served_by(respond, timeout_s):
    """Provides the client of a store whose responses to all calls come from `respond`."""
    runner = web.ServerRunner(web.Server(respond), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    store = KeyedStore(f"127.0.0.1:{port}", timeout_s)
    try:
        yield store
    finally:
        await store.close()
        await runner.cleanup()


@pytest.mark.parametrize("respond", [body_without_end, pages_without_end])
def test_newest_records_without_end_are_not_kept(respond):
    sent = []

    async def main():
        started_s = time.monotonic()
        async with served_by(lambda request: respond(request, sent), 30.0) as store:
            with pytest.raises(PlatformUnavailable):
                await store.read_newest("keyed.t")
        assert time.monotonic() - started_s < 30.0

    asyncio.run(main())
    assert sum(sent) < BODY_LIMIT_BYTES + BUFFERED_BYTES


@pytest.mark.parametrize("content", [b"", b"\xff", b"\xffi-1", b"\x04i-1"])
def test_record_without_a_whole_key_costs_no_other_record(content):
    """Guards against an entry of another writer that hides later ones, or removes a sound one."""
    odd = struct.pack(">I", len(content)) + content
    records = (encode_record("i-1", b"v"), odd, encode_record("i-2", b"w"))
    body = struct.pack(">QQ", len(records), 0) + b"".join(records)

    async def respond(request):
        return web.Response(body=body)

    async def main():
        async with served_by(respond, TIMEOUT_S) as store:
            batch = await store.read("keyed.t", 0, 0.0)
        assert [tuple(record) for record in batch.records] == [
            ("i-1", b"v"),
            ("", None),
            ("i-2", b"w"),
        ]
        assert batch.next_offset == len(records)

    asyncio.run(main())


def test_key_that_is_not_utf8_can_be_sent_to_other_hosts():
    """Guards against one entry of another writer whose key fails the messages about all entries."""
    keys = ["a", "\udcff", "\ud83d"]  # The last two are halves of surrogate pairs.

    async def respond(request):
        items = [{"key": key, "value": base64.b64encode(b"v").decode()} for key in keys]
        return web.Response(text=json.dumps({"items": items, "more": False, "end": 3}))

    async def main():
        async with served_by(respond, TIMEOUT_S) as store:
            newest = await store.read_newest("keyed.t")
        changes = tuple(KeyedChange(record.key, record.payload) for record in newest.records)
        message = InstanceChanges(0, 3, 0.0, changes, 0)
        assert decode_message(encode_message(message)) == message
        assert (changes[0].key, len(changes)) == ("a", 3)

    asyncio.run(main())
