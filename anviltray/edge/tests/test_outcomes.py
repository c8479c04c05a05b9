"""Guards against hosts that do not know what the other hosts and zones know."""

import asyncio

from anviltray.edge.tests.support import Fleet, reset, respond


def test_hosts_of_a_zone_share_how_their_requests_ended(tmp_path):
    async def main():
        async with Fleet(tmp_path, (reset, reset), hosts=2) as fleet:
            await fleet.until(lambda: all(len(host.exchange.alive()) == 1 for host in fleet.hosts))
            for number in range(4):
                await fleet.call("POST /order/1", b"x", host=number % 2, request_id=f"c{number}")
            loop = asyncio.get_running_loop()
            for host in fleet.hosts:
                unserved = host.state.unserved
                await fleet.until(lambda u=unserved: u.share(loop.time(), "keeper") > 0.25, 2.0)

    asyncio.run(main())


def test_zone_learns_what_another_zone_has_in_flight_at_its_instances(tmp_path):
    async def main():
        async with Fleet(tmp_path, [respond(after_s=1.3)]) as fleet:
            fleet.hosts.append(await fleet.start_host(2, "viti-lautoka"))
            own, other = fleet.hosts
            await fleet.until(lambda: not other.not_ready_reasons())
            await fleet.until(lambda: own.exchange.hosts.other_zones())
            call = asyncio.create_task(fleet.call("POST /order/1", b"x", host=1))
            health = own.state.health_tracker.health("i-0")
            await fleet.until(lambda: health.total_outstanding == 1, 1.2)
            assert (await call).status == 200
            await fleet.until(lambda: health.total_outstanding == 0, 2.5)

    asyncio.run(main())
