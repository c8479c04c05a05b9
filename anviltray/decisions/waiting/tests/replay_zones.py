"""Simulates three availability zones whose demand rises and falls out of step."""

import math

from anviltray.decisions.placement import Locality
from anviltray.decisions.placement.tests.test_placement import ZONES, instance
from anviltray.decisions.waiting.tests.replay import CrowdedZone

REPORT_INTERVAL_S = 0.5  # Between zones.
ROUND_TRIP_S = {True: 0.008, False: 0.016}  # Within the region and to another one.
PERIOD_S = 13.0
SWING = 0.55
ZONE_NAMES = tuple(ZONES)


class UnevenZones(CrowdedZone):
    """Zones with their own instances, of which one zone may have `spare` more than the others.

    `remote` has (time, zone, instance zone) of the requests that left their zone.
    """

    def __init__(self, seed, rate_s, count, kinds, hosts=4, spare=0, swing=SWING, slow=()):
        self.hosts_per_zone, self.swing = hosts, swing
        counts = [count + spare, count, count]
        self.zone_of_instance = [zone for zone, number in enumerate(counts) for _ in range(number)]
        self.remote = []
        peak = (1 + swing) * rate_s * len(ZONE_NAMES)
        total = sum(counts)
        super().__init__(
            seed, [(40.0, peak)], total, kinds, True, hosts=hosts * len(ZONE_NAMES), slow=slow
        )

    def push(self, now_s, function, *arguments):
        if not self.events and not self.order:
            self.place_in_zones()
        super().push(now_s, function, *arguments)

    def place_in_zones(self):
        """Gives the hosts and instances their zones, before the first event."""
        for number, host in enumerate(self.hosts):
            zone = ZONE_NAMES[self.zone(number)]
            host.placement._locality = Locality(ZONES[zone], zone)
        self.instances = tuple(
            instance(number, ZONE_NAMES[zone], self.slots)
            for number, zone in enumerate(self.zone_of_instance)
        )
        self.order += 1
        for step in range(80):
            super().push(step * REPORT_INTERVAL_S, self.report_zones)

    def zone(self, number):
        return number // self.hosts_per_zone

    def peers(self, number):
        zone = self.zone(number)
        first = zone * self.hosts_per_zone
        return [other for other in range(first, first + self.hosts_per_zone) if other != number]

    def arrive(self, now_s):
        phases = [2 * math.pi * (now_s / PERIOD_S + zone / 3) for zone in range(3)]
        self.demand = [1 + self.swing * math.sin(phase) for phase in phases]
        if self.rng.random() < sum(self.demand) / (3 * (1 + self.swing)):
            super().arrive(now_s)

    def pick_host(self, now_s):
        zone = self.rng.choices(range(3), self.demand)[0]
        return zone * self.hosts_per_zone + self.rng.randrange(self.hosts_per_zone)

    def round_trip_s(self, number, instance):
        zone = ZONE_NAMES[self.zone(number)]
        return 0.0 if instance.zone == zone else ROUND_TRIP_S[ZONES[zone] == ZONES[instance.zone]]

    def send(self, now_s, number, call, placed):
        zone = ZONE_NAMES[self.zone(number)]
        if placed.instance.zone != zone:
            self.remote.append((now_s, zone, placed.instance.zone))
        super().send(now_s, number, call, placed)

    def report_zones(self, now_s):
        """Exchanges the requests in flight between the zones."""
        keys = [[], [], []]
        for item in self.instances:
            keys[ZONE_NAMES.index(item.zone)].append(item.id)
        trackers = [
            [host.tracker for host in self.hosts[zone * self.hosts_per_zone :]][
                : self.hosts_per_zone
            ]
            for zone in range(3)
        ]
        loads = [[trackers[zone][0].loads(keys[other]) for other in range(3)] for zone in range(3)]
        for zone in range(3):
            for other in range(3):
                for tracker in trackers[zone] if other != zone else ():
                    tracker.on_zone_loads(now_s, ZONE_NAMES[other], loads[other][zone])
        for zone in range(3):
            for other in range(3):
                name = ZONE_NAMES[zone]
                beliefs = trackers[other][0].beliefs(now_s, keys[other], name)
                for tracker in trackers[zone] if other != zone else ():
                    tracker.on_zone_beliefs(now_s, ZONE_NAMES[other], beliefs)
