"""Settings that the platform gives to each host."""

from collections.abc import Mapping
from typing import NamedTuple


class Guarantees(NamedTuple):
    """Time limits and shares that the fleet is held to."""

    answer_lifetime_s: float  # Longest time that a caller should keep a list of addresses.
    drain_s: float  # An instance that leaves gets no request later than this.
    grace_s: float  # Time between the signal to stop and the kill.
    configuration_apply_s: float  # A configuration is in force everywhere after this.
    retry_share: float  # Extra sends per request of a service, over all hosts.
    retry_window_s: float  # Window of the retry share.
    retry_slack: float  # Extra sends per window on top of the share, over all hosts.


class HostSettings(NamedTuple):
    """Addresses, place and limits of one process."""

    node: str  # Unique name of the host.
    address: str  # IP address without a port.
    region: str  # Region of the host.
    zone: str  # Availability zone of the host.
    zone_regions: Mapping[str, str]  # Region of each availability zone.
    caller_address: str  # IP:port for callers.
    readiness_address: str  # IP:port for readiness checks.
    directory_address: str  # IP:port for callers that ask where to connect.
    first_internal_port: int  # First of the ports for traffic between hosts.
    seed_addresses: tuple[str, ...]  # IP addresses of hosts to try first; may be stale.
    store_address: str  # IP:port of the platform's log.
    heartbeat_s: float  # Pause between two reports of an instance.
    first_start: bool  # The whole fleet starts for the first time.
    guarantees: Guarantees  # What the fleet is held to.
