"""A fleet of hosts that share allotted rates over datagrams in virtual time."""

import asyncio
import random
from collections import defaultdict

from anviltray.decisions.limits import AllottedRequest
from anviltray.declarations import ClientAccount
from anviltray.edge._allotments import Allotments
from anviltray.messages import HostBeacon, HostLocality
from anviltray.settings import Guarantees, HostSettings
from anviltray.zone import HostTable

ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
BEACON_S = 0.5
GUARANTEES = Guarantees(5, 3, 6, 3, 0.2, 10, 200, 0.7, WINDOW_S, OVERSHOOT, SLACK)


def account(name, rate_per_s, burst):
    return ClientAccount(name, (), None, rate_per_s, burst)


class Exchange:
    """Stands in for `ZoneExchange`; datagrams take the delay of the network and may be lost."""

    def __init__(self, fleet, own):
        self.fleet, self.own = fleet, own
        self.hosts = HostTable(own)
        self.hosts.add(HostLocality(address, zone) for address, zone in fleet.zones.items())
        self.handlers = {}

    def register_handler(self, kind, handler):
        self.handlers[kind] = handler

    def subscribe_to_beacons(self, handler):
        self.beacon_handler = handler

    def alive(self):
        return self.hosts.alive(asyncio.get_running_loop().time())

    def send(self, address, message):
        self.fleet.send(self.own.address, address, message)

    def receive(self, message):
        if not isinstance(message, HostBeacon):
            self.handlers[type(message)](message)
        elif self.hosts.update(asyncio.get_running_loop().time(), message) != "stale":
            self.beacon_handler(message)


class Host:
    """One process, with its beacons."""

    def __init__(self, fleet, address, zone, *, first_start=True):
        self.fleet, self.address, self.zone = fleet, address, zone
        self.state, self.sequence = "ready", 0
        self.incarnation = fleet.rng.getrandbits(48)
        self.exchange = Exchange(fleet, HostLocality(address, zone))
        settings = HostSettings(
            *("n", address, ZONES[zone], zone, ZONES, f"{address}:1", "", "", 1, ("10.9.9.9",)),
            *("", 1.5, first_start, 1, 1, GUARANTEES),
        )
        self.allotments = Allotments(
            settings,
            fleet,
            self.exchange,
            lambda: fleet.accounts,
            lambda: self.state == "ready",
            random.Random(fleet.rng.random()),
        )
        self.start()

    def start(self):
        self.tasks = [
            asyncio.create_task(task) for task in (self.allotments.run(), self.send_beacons())
        ]

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def send_beacon(self):
        self.sequence += 1
        beacon = HostBeacon(
            *(self.address, self.incarnation, self.sequence, self.zone, f"{self.address}:1"),
            *(self.state, True, 1, 1, 0.1, False, 0, 0),
        )
        self.allotments.on_beacon_sent(beacon)
        for peer in self.exchange.hosts.zone_peers():
            self.exchange.send(peer, beacon)

    async def send_beacons(self):
        await asyncio.sleep(self.fleet.rng.random() * 0.3)
        while True:
            self.send_beacon()
            await asyncio.sleep(BEACON_S)


class Fleet:
    """Hosts of four zones in two regions; it is also their clock."""

    def __init__(self, accounts, hosts_per_zone=30, serving=14, seed=1, loss=0.005):
        self.accounts = {entry.name: entry for entry in accounts}
        self.rng = random.Random(seed)
        self.loss = loss
        self.cut, self.held = set(), {}  # Hosts without links; datagrams for suspended hosts.
        self.sent = defaultdict(int)  # Datagrams by distance: zone, region, other region.
        self.granted, self.refused = defaultdict(list), defaultdict(list)  # Times by account.
        self.zones = {
            f"10.{zone}.0.{number}": name
            for zone, name in enumerate(ZONES)
            for number in range(1, hosts_per_zone + 1)
        }
        self.hosts = {address: Host(self, address, zone) for address, zone in self.zones.items()}
        self.serving = [
            address for address in self.zones if int(address.rsplit(".")[-1]) <= serving
        ]

    def now_s(self):
        return asyncio.get_running_loop().time()

    def send(self, sender, receiver, message):
        if sender in self.held:
            return
        ends = self.zones[sender], self.zones[receiver]
        near = ZONES[ends[0]] == ZONES[ends[1]]
        distance = 0 if ends[0] == ends[1] else 1 if near else 2
        self.sent[distance] += 1
        if self.rng.random() < self.loss or (sender in self.cut) or receiver in self.cut:
            return
        delay_s = (0.0001, 0.0005, 0.008)[distance] + self.rng.expovariate(5000)
        asyncio.get_running_loop().call_later(delay_s, self.deliver, receiver, message)

    def deliver(self, receiver, message):
        if receiver in self.held:
            self.held[receiver].append(message)
        elif receiver in self.hosts:
            self.hosts[receiver].exchange.receive(message)

    def kill(self, address):
        self.hosts.pop(address).stop()

    def restart(self, address):
        if address in self.hosts:
            self.kill(address)
        self.hosts[address] = Host(self, address, self.zones[address], first_start=False)

    def suspend(self, address):
        self.hosts[address].stop()
        self.held[address] = []

    def resume(self, address):
        for message in self.held.pop(address):
            self.hosts[address].exchange.receive(message)
        self.hosts[address].start()

    def leaders(self, zone="z0"):
        """Returns the hosts that some host of a zone takes for a granting host."""
        return {
            leader
            for address, host in self.hosts.items()
            if self.zones[address] == zone
            for leader in host.allotments._leaders
        }

    async def request(self, name, address=None):
        address = address or self.rng.choice(self.serving)
        if address not in self.hosts or address in self.held:
            return None
        now_s = self.now_s()
        result = await self.hosts[address].allotments.acquire(name, 0.5)
        if isinstance(result, AllottedRequest):
            self.granted[name].append(self.now_s())
        else:
            self.refused[name].append(now_s)
        return result

    async def load(self, name, rate_per_s, duration_s, address=None):
        """Sends requests of an account at a Poisson rate."""
        requests, end_s = [], self.now_s() + duration_s
        while (pause_s := self.rng.expovariate(rate_per_s)) < end_s - self.now_s():
            await asyncio.sleep(pause_s)
            requests.append(asyncio.create_task(self.request(name, address)))
        await asyncio.gather(*requests)

    def worst_excess(self, name, since_s=0.0):
        """Returns the most that a window contains beyond the bound; negative if within it."""
        entry = self.accounts[name]
        bound = (entry.rate_per_s * WINDOW_S + entry.burst) * (1 + OVERSHOOT) + SLACK
        times_s = sorted(time_s for time_s in self.granted[name] if time_s >= since_s)
        first = most = 0
        for last, time_s in enumerate(times_s):
            while times_s[first] < time_s - WINDOW_S:
                first += 1
            most = max(most, last + 1 - first)
        return most - bound

    def close(self):
        for host in self.hosts.values():
            host.stop()
