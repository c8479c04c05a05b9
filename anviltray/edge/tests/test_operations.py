"""Follows docs/OPERATIONS.md: from the id of a failed request to its cause, by log lines only."""

import asyncio

import logbook
import pytest

from anviltray.edge.tests.support import Fleet, answer, configuration, refuse, reset, route


def lines_of(tmp_path, test, *answers):
    """Runs `test(fleet)` and returns the records that were logged meanwhile."""

    async def main():
        async with Fleet(tmp_path, answers) as fleet:
            await test(fleet)

    with logbook.TestHandler() as handler:
        asyncio.run(main())
        return [(record.channel, record.message, dict(record.extra)) for record in handler.records]


def line(lines, request_id):
    """Returns the one line of a request."""
    (found,) = [extra for _, _, extra in lines if extra.get("id") == request_id]
    return found


def test_an_instance_lost_the_answer(tmp_path):
    async def test(fleet):
        assert (await fleet.call("POST /order/1", b"x", request_id="lost")).status == 502

    found = line(lines_of(tmp_path, test, reset), "lost")
    (send,) = found["sends"]
    assert (found["status"], send["instance"], send["result"]) == (502, "i-0", "broken")
    assert send["evidence_age_s"] == 999.0
    assert 0 < send["sickness"] < 1


@pytest.mark.parametrize("instances", [1, 2])
def test_refused_for_overload(tmp_path, instances):
    async def test(fleet):
        assert (await fleet.call("POST /order/1", b"x", request_id="full")).status == 503

    found = line(lines_of(tmp_path, test, *[refuse()] * instances), "full")
    refused = [send for send in found["sends"] if send.get("result") == "refused"]
    assert len(refused) == instances
    if instances == 1:
        assert found["sends"][-1]["turned_away"]["candidates"] == 0


def test_sent_while_the_configuration_changed(tmp_path):
    async def test(fleet):
        assert (await fleet.call("GET /none/1", request_id="early")).status == 404
        fleet.store.put("keyed.op", "config", configuration(2, [route("none", "safe")]))
        await fleet.until(lambda: fleet.hosts[0].follower.version == 2, 2.0)
        assert (await fleet.call("GET /none/1", request_id="after")).status == 200

    lines = lines_of(tmp_path, test, answer())
    assert (line(lines, "early")["version"], line(lines, "after")["version"]) == (1, 2)
    assert ("anviltray.store", "configuration 2 replaces 1, from store") in [
        entry[:2] for entry in lines
    ]
