"""Guards against requests that fail on a host without retries while its peers have some left."""

import asyncio

import pytest

from anviltray.edge.tests.support import Fleet, in_turn, reset, respond
from anviltray.messages import RetryLoan, RetryLoanRequest


def run(tmp_path, test):
    async def main():
        handler = in_turn(reset, respond())
        async with Fleet(tmp_path, (handler, handler), hosts=2) as fleet:
            await fleet.until(lambda: all(len(host.exchange.alive()) == 1 for host in fleet.hosts))
            await asyncio.wait_for(test(fleet, *fleet.hosts), 30)

    asyncio.run(main())


def set_slack(*slacks_by_host):
    for host, slack in slacks_by_host:
        host.state.retry_budget("keeper").slack = slack


@pytest.mark.parametrize(
    ("own_slack", "peer_slack", "status", "lent"),
    [(0.0, 1.0, 200, 1), (1.0, 1.0, 200, 0), (0.0, 0.0, 502, 0)],
)
def test_retry_is_borrowed_from_a_peer(tmp_path, own_slack, peer_slack, status, lent):
    async def test(fleet, borrower, lender):
        set_slack((borrower, own_slack), (lender, peer_slack))
        now_s = asyncio.get_running_loop().time()
        assert (await fleet.call("GET /level/1")).status == status
        remaining = lender.state.retry_budget("keeper").remaining(now_s)
        assert remaining == peer_slack - lent

    run(tmp_path, test)


def test_lost_reply_does_not_delay_the_request(tmp_path):
    async def test(fleet, borrower, lender):
        set_slack((borrower, 0.0), (lender, 1.0))
        lender.exchange.register_handler(RetryLoanRequest, lambda message: None)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        assert (await fleet.call("GET /level/1")).status == 502
        assert loop.time() - start_s < 0.5

    run(tmp_path, test)


@pytest.mark.parametrize("service", ["unknown", ""])
def test_nothing_is_lent_for_an_unknown_service(tmp_path, service):
    async def test(fleet, borrower, lender):
        loans = []
        borrower.exchange.register_handler(RetryLoan, loans.append)
        address = lender.settings.address
        borrower.exchange.send(address, RetryLoanRequest(borrower.settings.address, 1, service))
        borrower.exchange.send(address, RetryLoanRequest(borrower.settings.address, 2, "keeper"))
        await fleet.until(lambda: loans)
        assert [loan.number for loan in loans] == [2]

    run(tmp_path, test)
