"""Hosts of the fleet as their beacons and the store describe them."""

from collections.abc import Iterable
from typing import NamedTuple

from anviltray.messages import HostBeacon, HostPlace

# A host that has not been heard of for this long gets no callers; a few beacons may be lost.
ALIVE_S = 1.5
# Hosts that are not heard of are asked this often whether they are back.
ASK_INTERVAL_S = 2.0


class ZoneHost(NamedTuple):
    """Another host of the own zone."""

    beacon: HostBeacon  # Its newest beacon.
    heard_s: float  # Arrival of that beacon.


class HostTable:
    """Known hosts: those of the own zone by their beacons, all by their place."""

    def __init__(self, own: HostPlace) -> None:
        self._own = own
        self._zones: dict[str, str] = {}  # Availability zone by IP address, without this host.
        self._heard: dict[str, ZoneHost] = {}
        self._asked_s: dict[str, float] = {}

    def add(self, hosts: Iterable[HostPlace]) -> None:
        """Takes the places of hosts."""
        for host in hosts:
            if host.address != self._own.address:
                self._zones[host.address] = host.zone

    def places(self) -> tuple[HostPlace, ...]:
        """Returns all known hosts with this one."""
        others = (HostPlace(address, zone) for address, zone in sorted(self._zones.items()))
        return (self._own, *others)

    def zone_addresses(self) -> tuple[str, ...]:
        """Returns the other hosts of the own zone."""
        own = self._own.zone
        return tuple(address for address, zone in self._zones.items() if zone == own)

    def other_zones(self) -> dict[str, tuple[str, ...]]:
        """Returns the hosts of each other zone."""
        zones: dict[str, list[str]] = {}
        for address, zone in sorted(self._zones.items()):
            if zone != self._own.zone:
                zones.setdefault(zone, []).append(address)
        return {zone: tuple(addresses) for zone, addresses in zones.items()}

    def take(self, now_s: float, beacon: HostBeacon) -> str:
        """Takes a beacon; returns "new", "restarted", "known" or "stale"."""
        if beacon.zone != self._own.zone or beacon.host == self._own.address:
            return "stale"
        known = self._heard.get(beacon.host)
        if known is not None and known.beacon.incarnation == beacon.incarnation:
            if beacon.sequence <= known.beacon.sequence:
                return "stale"
            result = "known" if now_s - known.heard_s < ALIVE_S else "new"
        else:
            result = "new" if known is None else "restarted"
        self._zones[beacon.host] = beacon.zone
        self._heard[beacon.host] = ZoneHost(beacon, now_s)
        return result

    def alive(self, now_s: float) -> tuple[ZoneHost, ...]:
        """Returns the hosts of the zone that were heard of, sorted by address."""
        return tuple(
            host for _, host in sorted(self._heard.items()) if now_s - host.heard_s < ALIVE_S
        )

    def take_silent(self, now_s: float) -> tuple[str, ...]:
        """Removes and returns the hosts that have fallen silent since the last call."""
        silent = tuple(
            address for address, host in self._heard.items() if now_s - host.heard_s >= ALIVE_S
        )
        for address in silent:
            del self._heard[address]
        return silent

    def receivers(self, now_s: float) -> tuple[str, ...]:
        """Returns where a beacon goes: hosts heard of, and silent ones now and then."""
        result = []
        for address in self.zone_addresses():
            if address in self._heard:
                result.append(address)
            elif now_s - self._asked_s.get(address, float("-inf")) >= ASK_INTERVAL_S:
                self._asked_s[address] = now_s
                result.append(address)
        return tuple(result)
