"""Guards against a host that was suspended and acts on a permission that has ended meanwhile."""

import asyncio

import pytest

from anviltray.edge._clock import ElapsedClock
from anviltray.edge.tests.support import Fleet, in_turn, refuse, reset, respond
from anviltray.testing import run_with_virtual_clock


def suspend(host, seconds):
    """Lets a host believe that it has been suspended; its event loop does not notice."""
    before_s = host.state.clock._suspended_s()
    host.state.clock._suspended_s = lambda: before_s + seconds


@pytest.mark.parametrize(("before_s", "after_s", "elapsed_s"), [(0, 0, 2), (7, 7, 2), (7, 12, 7)])
def test_clock_counts_suspensions_since_its_start(before_s, after_s, elapsed_s):
    async def main():
        readings_s = iter([before_s, before_s, after_s])
        clock = ElapsedClock(lambda: next(readings_s))
        start_s = clock.now_s()
        await asyncio.sleep(2)
        assert clock.now_s() - start_s == pytest.approx(elapsed_s)

    run_with_virtual_clock(main())


@pytest.mark.parametrize(("suspended_s", "status", "attempts"), [(0.0, 200, 2), (5.0, 502, 1)])
def test_loan_of_a_retry_ends_during_a_suspension(tmp_path, suspended_s, status, attempts):
    async def main():
        handler = in_turn(reset, respond())
        async with Fleet(tmp_path, (handler, handler), hosts=2) as fleet:
            borrower, lender = fleet.hosts
            await fleet.until(lambda: len(borrower.exchange.alive()) == 1)
            borrower.state.retry_budget("keeper").slack = 0.0
            lender.state.retry_budget("keeper").slack = 1.0
            assert await borrower._dispatcher._loans.borrow("keeper")
            suspend(borrower, suspended_s)
            assert (await fleet.call("GET /level/1")).status == status
            assert fleet.received() == attempts

    asyncio.run(main())


@pytest.mark.parametrize("head", ["GET /level/1", "POST /order/1"])
@pytest.mark.parametrize(("suspended_s", "status", "attempts"), [(0.0, 200, 2), (10.0, 503, 1)])
def test_no_attempt_starts_after_the_deadline(tmp_path, head, suspended_s, status, attempts):
    async def main():
        async def refuse_after_suspension(request, writer):
            suspend(fleet.hosts[0], suspended_s)
            return await refuse()(request, writer)

        handler = in_turn(refuse_after_suspension, respond())
        async with Fleet(tmp_path, (handler, handler)) as fleet:
            fleet.hosts[0].state.set_fleet_size(1)
            body = b"" if head.startswith("GET") else b"x"
            assert (await fleet.call(head, body)).status == status
            assert fleet.received() == attempts

    asyncio.run(main())
