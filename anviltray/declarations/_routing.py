"""Routes that an operator gives as a whole, with a version, instead of service by service."""

from collections.abc import Mapping
from typing import NamedTuple


class Destination(NamedTuple):
    """One of the services that share the requests of a route."""

    service: str  # Service name.
    weight: float  # Relative share of the requests, above 0.


class PrefixRoute(NamedTuple):
    """Requests of one host and path prefix, and how they are treated."""

    name: str  # Unique route name.
    host: str  # Host header in lower case.
    prefix: str  # Path prefix that begins and ends with a slash.
    idempotent: bool  # Whether a request may run more than once.
    timeout_s: float  # Longest time that a caller is kept waiting.
    target_latency_s: float  # A later response is worth less to the caller.
    priority: int  # 0 is the most urgent.
    destinations: tuple[Destination, ...]  # At least one.
    instance_limit: int  # Instances that one request may be sent to.


class RoutedService(NamedTuple):
    """What all instances of a service have in common."""

    name: str  # Service name.
    health_path: str  # Path of the health check.
    connection_limit: int  # Connections that one instance accepts from all hosts.


class InputLimits(NamedTuple):
    """What a caller may send and how long it may take."""

    header_bytes: int  # Largest request head.
    body_bytes: int  # Largest request body.
    header_timeout_s: float  # Longest time for a request head.
    idle_timeout_s: float  # Idle connections of callers stay open at least this long.


class RoutingConfiguration(NamedTuple):
    """One version of the whole configuration."""

    version: int  # Rises with each change, not always by one.
    routes: tuple[PrefixRoute, ...]  # All routes.
    services: Mapping[str, RoutedService]  # Services by name.
    limits: InputLimits  # Bounds for callers.


class Instance(NamedTuple):
    """One process of a service as it registered itself."""

    id: str  # Unique name of the instance.
    started_unix_ms: int  # Start of the process; tells restarts under the same id apart.
    service: str  # Service name.
    address: str  # IP:port; may belong to another instance later.
    zone: str  # Availability zone.
    version: str  # Version of its software.
    slots: int  # Requests that it runs at the same time.
    draining: bool  # It will leave and takes no new requests.
    warmup_s: float  # Time for which it is still slow after its start, as of registration.
