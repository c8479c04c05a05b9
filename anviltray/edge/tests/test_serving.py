"""Guards against directory responses that differ between hosts or name a host that has stopped."""

import asyncio
import json

from anviltray.decisions.entry import MIN_SERVING_HOSTS, RESERVE_HOSTS
from anviltray.decisions.stopping import GracefulStop
from anviltray.edge.tests.support import Fleet, respond

HOSTS = MIN_SERVING_HOSTS + 2


async def listed(fleet, host):
    page = await fleet.page("/v1/resolve?name=x", host, "directory_address")
    return frozenset(json.loads(page.body)["addresses"])


def test_all_hosts_list_the_same_serving_hosts_and_replace_a_stopping_one(tmp_path):
    async def main():
        async with Fleet(tmp_path, [respond()], HOSTS) as fleet:
            everyone = range(HOSTS)
            await fleet.until(
                lambda: all(len(host.exchange.alive()) == HOSTS - 1 for host in fleet.hosts)
            )
            await fleet.until(
                lambda: len({frozenset(host.entry_addresses()) for host in fleet.hosts}) == 1
            )
            (before,) = {await listed(fleet, host) for host in everyone}
            assert len(before) == MIN_SERVING_HOSTS
            # A host that is not listed serves callers that still have its address.
            other = next(
                number
                for number, host in enumerate(fleet.hosts)
                if host.settings.caller_address not in before
            )
            assert (await fleet.call("GET /level/1", host=other)).status == 200
            stopping = next(host for host in fleet.hosts if host.settings.caller_address in before)
            stopping.state.stopping = GracefulStop(stopping.state.clock.now_s(), 3.0)
            stopping.exchange.send_beacon()
            await fleet.until(
                lambda: len({frozenset(host.entry_addresses()) for host in fleet.hosts}) == 1
            )
            (after,) = {await listed(fleet, host) for host in everyone}
            assert before - after == {stopping.settings.caller_address}
            assert len(after) == MIN_SERVING_HOSTS

    asyncio.run(main())


def test_the_number_of_serving_hosts_follows_the_requests_of_the_zone(tmp_path):
    async def main():
        async with Fleet(tmp_path, [respond()], HOSTS) as fleet:
            for number in range(200):
                answer = await fleet.call("GET /level/1", host=number % 2, request_id=f"c{number}")
                assert answer.status == 200
            # The other hosts learn of the requests from the reports of the two.
            await fleet.until(lambda: len(fleet.hosts[-1].entry_addresses()) == HOSTS)

    asyncio.run(main())


def test_hosts_that_are_not_next_to_serve_send_fewer_beacons(tmp_path):
    hosts = MIN_SERVING_HOSTS + RESERVE_HOSTS + 2

    async def main():
        async with Fleet(tmp_path, [respond()], hosts) as fleet:
            tables = [host.exchange for host in fleet.hosts]
            await fleet.until(lambda: all(len(table.alive()) == hosts - 1 for table in tables))

            def standby(table):
                return {
                    host.beacon.host for host in table.alive() if host.beacon.state == "standby"
                }

            await fleet.until(lambda: len(set().union(*map(standby, tables))) == 2)
            received = tables[0].counters["received"]
            await asyncio.sleep(3.0)
            # The store's reader sends a beacon after each of its reads as well.
            assert tables[0].counters["received"] - received <= 3 * (2 * (hosts - 3) + 2 + 4)
            assert all(len(table.alive()) == hosts - 1 for table in tables)

    asyncio.run(main())


def test_observations_go_to_serving_hosts_and_to_hosts_that_have_callers(tmp_path):
    async def main():
        async with Fleet(tmp_path, [respond()], HOSTS) as fleet:
            first = fleet.hosts[0]
            await fleet.until(lambda: len(first.exchange.alive()) == HOSTS - 1)
            zone = first._serving_zone
            serving = set(zone.hosts(own_ready=True))
            others = {host.settings.address for host in fleet.hosts} - serving
            others.discard(first.settings.address)
            assert others
            for address in (*others, fleet.address(99)):
                zone.on_observations(address)
            assert others <= zone.receivers()
            # Not known by a beacon, so it is no host of the zone.
            assert fleet.address(99) not in zone.receivers()

    asyncio.run(main())
