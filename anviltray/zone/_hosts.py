"""Hosts of the fleet, known from their beacons and from the store."""

import ipaddress
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from anviltray.messages import HostBeacon, HostLocality
from anviltray.schema import is_endpoint

BEACON_INTERVAL_S = 0.5
# A host without a beacon for this long gets no callers. Spans a few beacons, as some may be lost.
HOST_TIMEOUT_S = 1.5
# Hosts in this state are ready, but so far down in the order of the zone that callers are not told
# about them even if some serving hosts fail. They send beacons at the longer interval.
STANDBY = "standby"
STANDBY_INTERVAL_S = 1.0
_STANDBY_TIMEOUT_S = 2.5
# Interval of the beacons to hosts of the zone that are not alive, to detect their recovery.
PROBE_INTERVAL_S = 2.0


@lru_cache(maxsize=8192)
def is_ip_address(address: str) -> bool:
    """Returns whether datagrams can be sent to `address` without a name lookup."""
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return True


class ZoneHost(NamedTuple):
    """Another host of this zone."""

    beacon: HostBeacon  # Its newest beacon.
    last_seen_s: float  # Time when that beacon arrived.

    def is_alive(self, now_s: float) -> bool:
        """Returns whether the beacon is recent enough."""
        timeout_s = _STANDBY_TIMEOUT_S if self.beacon.state == STANDBY else HOST_TIMEOUT_S
        return now_s - self.last_seen_s < timeout_s

    def is_overdue(self, now_s: float) -> bool:
        """Returns whether its next beacon should have arrived; it may be lost, as may the host."""
        interval_s = STANDBY_INTERVAL_S if self.beacon.state == STANDBY else BEACON_INTERVAL_S
        return now_s - self.last_seen_s > interval_s + BEACON_INTERVAL_S / 2


class HostTable:
    """All known hosts of the fleet, with the latest beacons of those in this zone."""

    def __init__(self, own: HostLocality) -> None:
        self._own = own
        self._zones: dict[str, str] = {}  # Availability zone by IP address, without this host.
        self._seen: dict[str, ZoneHost] = {}
        self._last_probe_s: dict[str, float] = {}

    def add(self, hosts: Iterable[HostLocality]) -> None:
        """Adds known hosts."""
        for host in hosts:
            if host.address != self._own.address and is_ip_address(host.address):
                self._zones[host.address] = host.zone

    def localities(self) -> tuple[HostLocality, ...]:
        """Returns all known hosts, including this one."""
        others = (HostLocality(address, zone) for address, zone in sorted(self._zones.items()))
        return (self._own, *others)

    def zone_of(self, address: str) -> str | None:
        """Returns the availability zone of a host, or None if it is not known."""
        return self._own.zone if address == self._own.address else self._zones.get(address)

    def zone_peers(self) -> tuple[str, ...]:
        """Returns the addresses of the other known hosts of this zone, live or not."""
        own = self._own.zone
        return tuple(address for address, zone in self._zones.items() if zone == own)

    def other_zones(self) -> dict[str, tuple[str, ...]]:
        """Returns the addresses of the known hosts of each other zone."""
        zones: dict[str, list[str]] = {}
        for address, zone in sorted(self._zones.items()):
            if zone != self._own.zone:
                zones.setdefault(zone, []).append(address)
        return {zone: tuple(addresses) for zone, addresses in zones.items()}

    def update(self, now_s: float, beacon: HostBeacon) -> str:
        """Records a beacon and returns what it says about its host.

        "new" is a host that was not alive, "restarted" one with another incarnation and "known" any
        other live host. "stale" beacons are ignored: they are out of order, not of this zone, or
        without valid addresses.
        """
        if beacon.zone != self._own.zone or beacon.host == self._own.address:
            return "stale"
        if not is_ip_address(beacon.host) or not is_endpoint(beacon.caller_address):
            return "stale"
        previous = self._seen.get(beacon.host)
        if previous is not None and previous.beacon.incarnation == beacon.incarnation:
            if beacon.sequence <= previous.beacon.sequence:
                return "stale"
            result = "known" if previous.is_alive(now_s) else "new"
        else:
            result = "new" if previous is None else "restarted"
        self._zones[beacon.host] = beacon.zone
        self._seen[beacon.host] = ZoneHost(beacon, now_s)
        return result

    def alive(self, now_s: float) -> tuple[ZoneHost, ...]:
        """Returns the live hosts of the zone, sorted by address."""
        return tuple(host for _, host in sorted(self._seen.items()) if host.is_alive(now_s))

    def remove_expired(self, now_s: float) -> tuple[str, ...]:
        """Removes the hosts that have timed out since the last call and returns their addresses."""
        expired = tuple(address for address, host in self._seen.items() if not host.is_alive(now_s))
        for address in expired:
            del self._seen[address]
        return expired

    def beacon_targets(self, now_s: float) -> tuple[str, ...]:
        """Returns the receivers of a beacon: live hosts and, at intervals, hosts to probe."""
        result = []
        for address in self.zone_peers():
            if address in self._seen:
                result.append(address)
            elif now_s - self._last_probe_s.get(address, float("-inf")) >= PROBE_INTERVAL_S:
                self._last_probe_s[address] = now_s
                result.append(address)
        return tuple(result)
