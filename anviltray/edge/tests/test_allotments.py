"""Replays the load on allotted rates over a fleet of four zones, in virtual time.

One account sends seven times its usual rate, and hosts, links and zones fail at the same time.
"""

import asyncio

import pytest

from anviltray.decisions.limits import AllottedRequest
from anviltray.edge.tests import support
from anviltray.edge.tests.allotment_fleet import WINDOW_S, Fleet, account
from anviltray.messages import AllotmentGrant, AllotmentRequest, AllotmentVote
from anviltray.testing import run_with_virtual_clock

ACCOUNTS = 82
TOTAL_PER_S = 500.0
HOT = 5  # One of the larger accounts.


def usual_rates():
    weights = [(number + 1) ** -1.2 for number in range(ACCOUNTS)]
    return [TOTAL_PER_S * weight / sum(weights) for weight in weights]


@pytest.mark.parametrize("cut_share", [0.0, 1 / 6])
def test_an_account_far_above_its_rate_leaves_the_others_theirs(cut_share):
    async def main():
        usual = usual_rates()
        fleet = Fleet([account(f"a{n}", 1.6 * rate, 1.6 * rate) for n, rate in enumerate(usual)])
        await asyncio.sleep(6)
        fleet.cut = {host for host in fleet.zones if fleet.rng.random() < cut_share}
        fleet.serving = [host for host in fleet.serving if host not in fleet.cut]
        fleet.sent.clear()
        loads = [fleet.load(f"a{n}", rate, 6) for n, rate in enumerate(usual)]
        await asyncio.gather(fleet.load(f"a{HOT}", 6 * usual[HOT], 6), *loads)
        assert max(map(fleet.worst_excess, fleet.accounts)) <= 0
        # Of the account beyond its rate, at least what all hosts that are in touch may grant.
        entry = fleet.accounts[f"a{HOT}"]
        allotted = entry.rate_per_s * 6 + entry.burst
        assert len(fleet.granted[entry.name]) >= (0.95 - cut_share / 3) * allotted
        within = [name for name in fleet.accounts if name != entry.name]
        granted = sum(len(fleet.granted[name]) for name in within)
        refused = sum(len(fleet.refused[name]) for name in within)
        assert refused <= 0.01 * granted
        assert fleet.sent[2] < 0.5 * granted  # Datagrams between regions.
        fleet.close()

    run_with_virtual_clock(main())


def test_idle_shares_move_within_a_second():
    async def main():
        fleet = Fleet([account("a", 40.0, 20.0)])
        await asyncio.sleep(3)
        for zone in range(4):
            fleet.refused.clear()
            # Nine tenths of the rate of the fleet, at a single host.
            await fleet.load("a", 36.0, 4, address=f"10.{zone}.0.3")
            late = sum(time_s > fleet.now_s() - 3 for time_s in fleet.refused["a"])
            assert late <= 0.03 * 3 * 36
        assert fleet.worst_excess("a") <= 0
        fleet.close()

    run_with_virtual_clock(main())


async def kill_leader(fleet):
    for address in fleet.leaders():
        fleet.kill(address)


async def restart_leader(fleet):
    for _ in range(8):
        for address in fleet.leaders():
            fleet.restart(address)
        await asyncio.sleep(0.7)


async def suspend_leader(fleet):
    for address in fleet.leaders():
        fleet.suspend(address)
        await asyncio.sleep(3)
        fleet.resume(address)


async def suspend_borrowers(fleet):
    chosen = [address for address in fleet.serving if address not in fleet.leaders()][:6]
    for address in chosen:
        fleet.suspend(address)
    await asyncio.sleep(2)
    for address in chosen:
        fleet.resume(address)


async def cut_zone_off(fleet):
    fleet.cut = {address for address, zone in fleet.zones.items() if zone == "z1"}


async def cut_half_off(fleet):
    fleet.cut = set(list(fleet.zones)[::2])


async def lose_datagrams(fleet):
    fleet.loss = 0.2


async def restart_in_turn(fleet):
    for address in fleet.zones:
        fleet.hosts[address].state = "leaving"
        fleet.hosts[address].send_beacon()
        await asyncio.sleep(0.05)
        fleet.restart(address)


async def lose_power(fleet):
    for address in fleet.zones:
        fleet.restart(address)


@pytest.mark.parametrize(
    ("fail", "least_share"),
    [
        (kill_leader, 0.85),
        (restart_leader, 0.7),
        (suspend_leader, 0.85),
        (suspend_borrowers, 0.9),
        (cut_zone_off, 0.7),
        (cut_half_off, 0.4),
        (lose_datagrams, 0.8),
        (restart_in_turn, 0.7),
        (lose_power, 0.6),
    ],
)
def test_no_window_exceeds_the_bound_when_something_fails(fail, least_share):
    async def main():
        fleet = Fleet([account("a", 50.0, 30.0)], hosts_per_zone=8, serving=8)
        await asyncio.sleep(4)
        loads = [fleet.load("a", 150.0, 10)]

        async def fail_later():
            await asyncio.sleep(2)
            await fail(fleet)

        await asyncio.gather(fail_later(), *loads)
        assert fleet.worst_excess("a") <= 0
        assert len(fleet.granted["a"]) >= least_share * (50 * 10 + 30)
        fleet.close()

    run_with_virtual_clock(main())


def test_a_lower_limit_binds_at_once_and_a_missing_one_costs_nothing():
    async def main():
        fleet = Fleet([account("a", 60.0, 60.0), account("b", 0.0, 0.0)], 8, 8)
        await asyncio.sleep(3)
        load = asyncio.create_task(fleet.load("a", 120.0, 12))
        await asyncio.sleep(4)
        fleet.accounts = {"a": account("a", 10.0, 5.0), "b": account("b", 0.0, 0.0)}
        changed_s = fleet.now_s()
        await load
        assert fleet.worst_excess("a", changed_s) <= 0
        assert await fleet.request("b") is None
        fleet.accounts = {"b": account("b", 0.0, 0.0)}
        await asyncio.sleep(2 * WINDOW_S + 1)
        fleet.sent.clear()
        await fleet.load("b", 50.0, 3)
        host = fleet.hosts["10.0.0.1"].allotments
        assert len(host._ledger) == 0
        # Beacons only.
        assert fleet.sent[1] == fleet.sent[2] == 0
        assert fleet.sent[0] <= 3.5 / 0.5 * 32 * 7
        fleet.close()

    run_with_virtual_clock(main())


@pytest.mark.parametrize(
    ("handler", "statuses"),
    [
        (support.respond(), [200, 200, 429, 429]),
        # What no instance has executed is given back.
        (support.refuse(), [503, 503, 503, 503]),
        # An unknown outcome is not.
        (support.reset, [502, 502, 429, 429]),
    ],
)
def test_requests_beyond_the_allotted_rate_are_rejected(tmp_path, handler, statuses):
    async def main():
        async with support.Fleet(tmp_path, [handler] * 8) as fleet:
            host = fleet.hosts[0]
            admission = host._dispatcher._admission
            admit = admission.admit
            admission.admit = lambda head: admit(head)._replace(account="a")
            # Two zones divide the rate; this one has a burst of two.
            accounts = {"a": account("a", 0.5, 4 / 1.1)}
            host.state.configure(host.state.configuration._replace(accounts=accounts))
            await fleet.until(lambda: host._allotments._leaders)
            for votes in host._allotments._ledger.votes:
                votes.integral_s += 1000.0
            responses = [
                await fleet.call("POST /order/1", b"x", request_id=f"c{number}")
                for number in range(4)
            ]
            assert [response.status for response in responses] == statuses
            assert fleet.received() >= statuses.count(200) + statuses.count(502)
            if statuses[-1] == 429:
                assert fleet.received() == 2
                waits_s = [float(response.headers["retry-after"]) for response in responses[2:]]
                assert 2.0 < waits_s[0] < waits_s[1] <= 5.0

    asyncio.run(main())


def test_hosts_of_a_zone_share_what_one_of_them_grants(tmp_path):
    async def main():
        async with support.Fleet(tmp_path, [support.respond()], hosts=2) as fleet:
            accounts = {"a": account("a", 100.0, 20.0)}
            for host in fleet.hosts:
                host.state.configure(host.state.configuration._replace(accounts=accounts))
            ledgers = [host._allotments._ledger for host in fleet.hosts]
            # One of them has both votes.
            await fleet.until(lambda: max(ledger.votes[0].share for ledger in ledgers) == 1)
            await asyncio.sleep(0.2)
            for host in fleet.hosts:
                assert isinstance(await host._allotments.acquire("a"), AllottedRequest)
            shares = [ledger.votes[0].share for ledger in ledgers]
            counters = [host._allotments.counters for host in fleet.hosts]
            assert sorted(shares) == [0, 1]
            assert [count["granted_by_peer"] for count in counters] == [
                1 - share for share in shares
            ]

    asyncio.run(main())


INF, NAN = float("inf"), float("nan")


@pytest.mark.parametrize(
    "message",
    [
        AllotmentVote("10.0.0.2", 1, 1, 1, 8),  # Of another incarnation.
        AllotmentVote("10.1.0.2", 0, 0, 1, 8),  # Of another zone.
        AllotmentVote("10.0.0.77", 0, 0, 1, 8),  # Of an unknown host.
        AllotmentVote("10.0.0.2", 0, 0, -1, 8),
        AllotmentVote("10.0.0.2", 0, 0, 1 << 16, 8),
        AllotmentVote("10.0.0.2", 0, 0, 1, 0),
        AllotmentVote("10.0.0.2", 0, 0, 1, 2**63),
        AllotmentGrant("10.0.0.2", 5, 1.0, 0.0),  # Not asked for.
        *(AllotmentGrant("10.0.0.2", 0, tokens, 0.0) for tokens in (-1.0, 2.0, INF, NAN)),
        *(AllotmentGrant("10.0.0.2", 0, 0.0, retry_after_s) for retry_after_s in (-1.0, INF, NAN)),
        AllotmentGrant("10.1.0.2", 0, 1.0, 0.0),  # Not of the zone that was asked.
        *(
            AllotmentRequest("10.0.0.2", "z0", 1, "a", n, False)
            for n in (-1.0, 0.0, 65.0, INF, NAN)
        ),
        AllotmentRequest("10.0.0.2", "z1", 1, "a", 1.0, False),
        AllotmentRequest("10.0.0.77", "z0", 1, "a", 1.0, False),
    ],
    ids=repr,
)
def test_absurd_messages_do_nothing(message):
    async def main():
        fleet = Fleet([account("a", 50.0, 30.0)], 3, 3, loss=0.0)
        await asyncio.sleep(3)
        host = fleet.hosts[min(fleet.leaders())]
        allotments = host.allotments
        if isinstance(message, AllotmentVote):
            values = {"incarnation": message.incarnation or host.incarnation}
            values["sequence"] = message.sequence or host.sequence
        elif isinstance(message, AllotmentGrant):
            asked = next(peer for peer in fleet.zones if peer != allotments._own)
            fleet.cut = {asked}
            asking = asyncio.create_task(
                allotments._ask(asked, fleet.accounts["a"], "z0", 1.0, 0.25)
            )
            await asyncio.sleep(0)
            values = {"number": message.number or allotments._number}
        else:
            values, asking = {}, None

        def state():
            votes = [sorted(votes._votes.items()) for votes in allotments._ledger.votes]
            entries = {
                name: (entry.level, entry.loans)
                for name, entry in allotments._ledger._accounts.items()
            }
            return votes, entries, len(allotments._asked), sum(fleet.sent.values())

        before = state()
        allotments._exchange.receive(message._replace(**values))
        assert state() == before
        if isinstance(message, AllotmentGrant):
            assert await asking is None
        fleet.close()

    run_with_virtual_clock(main())


def test_an_account_that_the_granting_host_does_not_know_leaves_no_state():
    async def main():
        fleet = Fleet([account("a", 50.0, 30.0)], 3, 3, loss=0.0)
        await asyncio.sleep(3)
        leader = min(fleet.leaders())
        asking = next(host for name, host in fleet.hosts.items() if name != leader)
        unknown = account("other", 5.0, 5.0)
        reply = await asking.allotments._ask(leader, unknown, "z0", 1.0, 0.25)
        assert (reply.tokens, reply.retry_after_s) == (0.0, 0.3)
        assert len(fleet.hosts[leader].allotments._ledger) == 0
        fleet.close()

    run_with_virtual_clock(main())
