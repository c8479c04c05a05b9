"""Guards against hosts that do not see together how many requests of a service fail."""

import asyncio

from anviltray.edge.tests.support import Fleet, reset


def test_hosts_of_a_zone_share_how_their_requests_ended(tmp_path):
    async def main():
        async with Fleet(tmp_path, (reset, reset), hosts=2) as fleet:
            await fleet.until(lambda: all(len(host.exchange.alive()) == 1 for host in fleet.hosts))
            for number in range(4):
                await fleet.call("POST /order/1", b"x", host=number % 2, request_id=f"c{number}")
            loop = asyncio.get_running_loop()
            for host in fleet.hosts:
                unserved = host.state.unserved
                await fleet.until(lambda u=unserved: u.share(loop.time(), "keeper") > 0.25, 1.0)

    asyncio.run(main())
