"""Guards against hosts that together break a rule on retries, leaving instances or promises.

The long run is `python -m standins.soak --runs 50`.
"""

import asyncio
import re
from random import Random

import pytest

from standins.soak import (
    FEW_INSTANCES,
    FEW_INSTANCES_WORK_S,
    Observations,
    SoakOptions,
    Topology,
    run_soak,
)
from standins.soak._instance import Conditions, Instance
from standins.store import StoreStandin

TOPOLOGY = Topology(hosts_per_zone=2)
DISTURBED = ("reject", "reset", "leave", "outage", "terminate", "kill", "suspend")
WENT_BACK = ("rewind", "suspend")
REFUSED_AGAIN = ("refuse", "copy", "restart")
ANSWERED_WRONGLY = ("fail", "repeat", "silent", "upload", "crash", "cut")


@pytest.mark.parametrize(("seed", "kinds"), [(1, ("reject", "leave", "reset")), (2, DISTURBED)])
def test_rules_are_kept_while_instances_hosts_and_store_are_disturbed(seed, kinds):
    options = SoakOptions(seed, 14.0, 2.0, kinds, TOPOLOGY)
    report = asyncio.run(run_soak(options))
    assert report.violations == ()
    assert report.rejections > 0
    assert report.statuses[200] > 0.5 * report.statuses.total()


def test_no_request_runs_that_was_answered_as_not_executed():
    options = SoakOptions(40, 14.0, 2.0, ANSWERED_WRONGLY, TOPOLOGY)
    report = asyncio.run(run_soak(options))
    assert report.violations == ()
    assert report.statuses[200] > 0.5 * report.statuses.total()


def test_no_request_runs_that_came_again_and_whose_earlier_refusal_was_written_again():
    """Callers keep their identifier, and instances start again at their address.

    With few instances it is more likely that the request comes again on the same connection.
    """
    topology = TOPOLOGY._replace(instances=FEW_INSTANCES, work_s=FEW_INSTANCES_WORK_S)
    report = asyncio.run(run_soak(SoakOptions(43, 14.0, 2.0, REFUSED_AGAIN, topology)))
    assert report.violations == ()
    assert report.statuses[503] > 0
    assert report.statuses[200] > 0.5 * report.statuses.total()


def test_requests_run_for_the_account_of_their_key_while_keys_are_replaced():
    topology = TOPOLOGY._replace(accounts=20)
    report = asyncio.run(run_soak(SoakOptions(101, 10.0, 2.0, ("reset", "suspend"), topology)))
    assert report.violations == ()
    assert report.statuses[401] > 0
    assert report.statuses[200] > 0.5 * report.statuses.total()


def test_rules_are_kept_while_the_store_goes_back():
    """Hosts that wait for offsets of the earlier log do not notice which instances leave."""
    report = asyncio.run(run_soak(SoakOptions(4, 16.0, 8.0, WENT_BACK, TOPOLOGY)))
    assert report.violations == ()
    assert report.statuses[200] > 0.8 * report.statuses.total()


REPEATS = Conditions(repeats_to_same_request=True)
REFUSES_WITH_429 = REPEATS._replace(refusal_share=1.0, refusal_status=429)
COPIES = Conditions(refusal_share=1.0, copy_delay_s=0.02)


@pytest.mark.parametrize(
    ("conditions", "requests", "statuses"),
    [
        # Requests are an identifier and the expected instance, sent after so many responses.
        (REFUSES_WITH_429, [("r1", "i-1", 0), ("r1", "i-1", 1)], [("r1", 429), ("r1", 429), 200]),
        (REFUSES_WITH_429, [("r1", "i-1", 0), ("r2", "i-1", 1)], [("r1", 429), ("r2", 429)]),
        (REPEATS, [("r1", "i-0", 0), ("r1", "i-1", 1)], [("r1", 421), ("r1", 421), 200]),
        (REPEATS, [("r1", "i-0", 0), ("r1", "i-0", 1)], [("r1", 421), ("r1", 421)]),
        (Conditions(), [("r1", "i-0", 0), ("r1", "i-1", 1)], [("r1", 421), 200]),
        (COPIES, [("r1", "i-1", 0)], [("r1", 503), ("r1", 503)]),
        (COPIES, [("r1", "i-1", 0), ("r2", "i-1", 2)], [("r1", 503)] * 2 + [("r2", 503)] * 2),
    ],
)
def test_instance_writes_refusals_once_more(conditions, requests, statuses):
    """Guards against conditions of the soak that play nothing.

    Statuses are those of all responses; of refusals, which have Not-Executed, with the identifier.
    """

    async def main():
        seen, loop = Observations(), asyncio.get_running_loop()
        instance = Instance(
            "i-1", "desk", "lahore", StoreStandin(), seen, loop.time, Random(1), work_s=0.001
        )
        instance.conditions = conditions
        host, _, port = (await instance.start()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        found = []
        for request_id, expected, after in requests:
            while len(found) < after:
                found.append(await read_response(reader))
            writer.write(
                f"GET /a HTTP/1.1\r\nHost: a\r\nRequest-Id: {request_id}\r\n"
                f"Expect-Instance: {expected}\r\n\r\n".encode()
            )
        while len(found) < len(statuses):
            found.append(await read_response(reader))
        assert found == statuses
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(read_response(reader), 0.1)
        assert sum(each.executed for each in seen.arrivals) == statuses.count(200)
        writer.close()
        await instance.close()

    asyncio.run(asyncio.wait_for(main(), 10.0))


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    await reader.readexactly(int(re.findall(r"content-length: (\d+)", head)[0]))
    status = int(head.split()[1])
    if "not-executed: 1" not in head:
        return status
    return re.findall(r"request-id: (\w+)", head)[0], status
