"""Routing configuration that operators replace as a whole, not service by service."""

from collections.abc import Mapping
from typing import NamedTuple


class Destination(NamedTuple):
    """One of the services that share the requests of a route."""

    service: str  # Service name.
    weight: float  # Relative share of the requests, above 0.


class PrefixRoute(NamedTuple):
    """Requests of one host and path prefix, and the policies for them."""

    name: str  # Unique route name.
    host: str  # Host header in lower case.
    prefix: str  # Path prefix that begins and ends with a slash.
    idempotent: bool  # Whether a request may be executed more than once.
    timeout_s: float  # Maximum time until the caller gets a response.
    target_latency_s: float  # Latency above which a response is of less use to the caller.
    priority: int  # 0 is the most urgent.
    destinations: tuple[Destination, ...]  # At least one.
    instance_limit: int  # Maximum number of instances that one request may be sent to.
    public: bool = False  # Whether requests need no key of a client account.


class RoutedService(NamedTuple):
    """Properties that all instances of a service share."""

    name: str  # Service name.
    health_path: str  # Path of the health check.
    connection_limit: int  # Maximum connections to one instance from all hosts.


class ClientAccount(NamedTuple):
    """A customer whose callers identify themselves with one of its keys."""

    name: str  # Unique account name, passed on to instances.
    keys: tuple[str, ...]  # Secret keys; none of them belongs to another account.
    priority: int | None  # Used in place of the route's priority; None keeps that one.
    rate_per_s: float  # Allotted requests per second over the whole fleet; 0 is unlimited.
    burst: float  # Requests in addition to the rate that may be sent at once.

    def __repr__(self) -> str:
        """Returns a representation without the keys, for logs and errors."""
        return f"ClientAccount({self.name!r}, {len(self.keys)} keys)"


class InputLimits(NamedTuple):
    """Size and time limits for the input of callers."""

    header_bytes: int  # Maximum size of a request head.
    body_bytes: int  # Maximum size of a request body.
    header_timeout_s: float  # Maximum time to receive a request head.
    idle_timeout_s: float  # Minimum time that an idle caller connection stays open.


class RoutingConfiguration(NamedTuple):
    """One version of the whole routing configuration."""

    version: int  # Increases with each change, not always by one.
    routes: tuple[PrefixRoute, ...]  # All routes.
    services: Mapping[str, RoutedService]  # Services by name.
    limits: InputLimits  # Limits for callers.
    # Client accounts by name; None if the deployment has none, and requests then need no key.
    accounts: Mapping[str, ClientAccount] | None = None
    omissions: tuple[str, ...] = ()  # What was left out of the document, one line each, for logs.


class Instance(NamedTuple):
    """One process of a service as it registered itself."""

    id: str  # Unique name of the instance.
    started_unix_ms: int  # Start of the process; distinguishes restarts under the same id.
    service: str  # Service name.
    address: str  # IP:port; may be reused by another instance later.
    zone: str  # Availability zone.
    version: str  # Software version.
    slots: int  # Requests that it processes concurrently.
    draining: bool  # Whether it is about to stop and accepts no new requests.
    warmup_s: float  # Warm-up time that remained at registration.
