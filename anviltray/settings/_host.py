"""Settings that the platform provides to each host."""

from collections.abc import Mapping
from typing import NamedTuple


class Guarantees(NamedTuple):
    """Time limits and retry limits that the fleet guarantees."""

    answer_lifetime_s: float  # Maximum time that a caller should use a list of addresses.
    drain_s: float  # Time within which requests to a draining instance stop.
    grace_s: float  # Time between the stop signal and the forced kill.
    configuration_apply_s: float  # Time within which a configuration is active on all hosts.
    retry_share: float  # Additional attempts per request of a service, over all hosts.
    retry_window_s: float  # Time window of the retry share.
    retry_slack: float  # Additional attempts per window beyond the share, over all hosts.
    floor_share: float  # Share of a service's healthy instances that are kept in use.
    # Limits on what the fleet sends of an account beyond its allotted rate.
    allotment_window_s: float = 5.0  # Time window in which the allotted rate is checked.
    allotment_overshoot: float = 0.1  # Share of the allotted requests that may be sent in addition.
    allotment_slack: float = 0.0  # Requests per window that may be sent beyond that.


class HostSettings(NamedTuple):
    """Addresses, locality and limits of one process."""

    node: str  # Unique name of the host.
    address: str  # IP address without a port.
    region: str  # Region of the host.
    zone: str  # Availability zone of the host.
    zone_regions: Mapping[str, str]  # Region of each availability zone.
    caller_address: str  # IP:port for callers.
    readiness_address: str  # IP:port for readiness checks.
    directory_address: str  # IP:port for callers that ask where to connect.
    first_internal_port: int  # First of the ports for traffic between hosts.
    seed_addresses: tuple[str, ...]  # IP addresses of hosts to contact first; may be outdated.
    store_address: str  # IP:port of the platform's log.
    heartbeat_s: float  # Interval between two heartbeats of an instance.
    first_start: bool  # Whether the whole fleet starts for the first time.
    memory_limit_bytes: int  # Memory above which the platform kills the process.
    descriptor_limit: int  # File descriptors that the process may have open.
    guarantees: Guarantees  # Guarantees of the fleet.
    processor_share: float = 1.0  # Share of one processor core that the process may use.
