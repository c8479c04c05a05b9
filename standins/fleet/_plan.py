"""Plan of a fleet: its nodes, services and settings."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from standins.upstream import UpstreamOptions

_EMPTY: Mapping[str, Any] = MappingProxyType({})


class NodePlan(NamedTuple):
    """One node."""

    name: str  # Node name.
    region: str  # Region of the host.
    zone: str  # Availability zone of the host.
    settings: Mapping[str, Any] = _EMPTY  # Override those of the fleet, merged by section.
    platform_relay: bool = False  # Connects to the platform through its own relay.


class UpstreamPlan(NamedTuple):
    """One upstream instance."""

    region: str  # Region of the instance.
    zone: str  # Availability zone of the instance.
    options: UpstreamOptions = UpstreamOptions()  # The launcher sets the name.
    relay: bool = False  # All nodes connect to it through one relay.


class ServicePlan(NamedTuple):
    """One service."""

    name: str  # Service name.
    upstreams: tuple[UpstreamPlan, ...]  # Instances.
    declaration: Mapping[str, Any]  # Other keys of the declaration, at least `routes`.


class FleetPlan(NamedTuple):
    """A whole fleet."""

    nodes: tuple[NodePlan, ...]  # Nodes.
    services: tuple[ServicePlan, ...]  # Services.
    settings: Mapping[str, Any] = _EMPTY  # Optional sections of the node settings.
    host_list_lag_s: float = 1.0  # Lag of the host list.
    node_module: str = "anviltray.node"  # Module that runs a node, given its settings file.


# Short intervals, so that tests finish quickly; the defaults suit a fleet that runs for years.
QUICK_SETTINGS: Mapping[str, Any] = {
    "platform": {"timeout_s": 1.0, "poll_interval_s": 0.2, "host_list_interval_s": 0.5},
    "callers": {"answer_lifetime_s": 2.0, "default_deadline_s": 5.0},
    "upstreams": {"probe_interval_s": 1.0},
    "exchange": {"ping_interval_s": 0.5, "ping_timeout_s": 0.3, "suspect_timeout_s": 2.0},
}

_ZONES = (("viti", "viti-a"), ("viti", "viti-b"), ("vanua", "vanua-a"), ("vanua", "vanua-b"))


def small_plan(
    nodes_per_zone: int = 1,
    instances_per_zone: int = 1,
    relays: bool = False,
    settings: Mapping[str, Any] = QUICK_SETTINGS,
) -> FleetPlan:
    """Returns two regions with two zones each and two services with instances in every zone.

    `supply-yard` has a retry rule only for reads of its ledger, `keeper-desk` for all its requests.
    With `relays`, every instance is behind a relay, and every node connects to the platform through
    its own relay.
    """
    nodes = tuple(
        NodePlan(f"{zone}-{number}", region, zone, platform_relay=relays)
        for region, zone in _ZONES
        for number in range(1, nodes_per_zone + 1)
    )
    instances = tuple(
        UpstreamPlan(region, zone, relay=relays)
        for region, zone in _ZONES
        for _ in range(instances_per_zone)
    )
    return FleetPlan(
        nodes,
        (
            ServicePlan(
                "keeper-desk",
                instances,
                {
                    "routes": [{"prefix": "/ponds"}],
                    "retry_rules": [{"methods": ["GET", "POST"], "prefix": "/ponds"}],
                },
            ),
            ServicePlan(
                "supply-yard",
                instances,
                {
                    "routes": [{"prefix": "/supply"}],
                    "sensitivity": "careful",
                    "floor_share": 0.5,
                    "retry_rules": [{"methods": ["GET"], "prefix": "/supply/ledger"}],
                },
            ),
        ),
        settings,
    )
