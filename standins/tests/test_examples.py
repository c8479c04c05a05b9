"""Guards against examples that no longer load or that allow retries of non-idempotent requests."""

from collections import Counter
from pathlib import Path

import pytest

from anviltray.decisions.retries import rule_for
from anviltray.declarations import load_declarations
from anviltray.settings import load_settings

EXAMPLES = Path(__file__).parents[2] / "examples"


def services(user):
    declared = load_declarations([EXAMPLES / user / "services.yaml"])
    return {service.name: service for service in declared.services}


@pytest.mark.parametrize(
    ("user", "name", "instances", "slots", "sensitivity", "regions"),
    [
        ("vatuloa", "keeper-desk", 30, 6, "balanced", {"viti", "vanua"}),
        ("vatuloa", "supply-yard", 8, 6, "careful", {"viti", "vanua"}),
        ("noorani", "fabric-desk", 30, 4, "fast", {"punjab", "sindh"}),
        ("noorani", "order-desk", 8, 4, "fast", {"punjab", "sindh"}),
    ],
)
def test_service_sizes_match_the_design(user, name, instances, slots, sensitivity, regions):
    service = services(user)[name]
    assert len(service.upstreams) == instances
    assert {upstream.slots for upstream in service.upstreams} == {slots}
    assert service.sensitivity == sensitivity
    zones = Counter((upstream.region, upstream.zone) for upstream in service.upstreams)
    assert {region for region, _ in zones} == regions and len(zones) == 4
    assert max(zones.values()) - min(zones.values()) <= 1
    capacity = instances * slots
    floor = max(service.floor_slots, service.floor_share * capacity)
    lost_zone = max(zones.values()) * slots
    assert floor <= capacity - lost_zone, "the floor can be met after the loss of one zone"


@pytest.mark.parametrize(
    ("user", "name", "method", "path", "retryable"),
    [
        ("vatuloa", "keeper-desk", "GET", "/levels/17", True),
        ("vatuloa", "keeper-desk", "POST", "/crews", False),
        ("vatuloa", "keeper-desk", "PUT", "/crews/4", False),
        ("vatuloa", "keeper-desk", "PUT", "/clearances/9", True),
        ("vatuloa", "keeper-desk", "POST", "/clearances", False),
        ("vatuloa", "supply-yard", "GET", "/ledger/2026", True),
        ("vatuloa", "supply-yard", "POST", "/orders", False),
        ("vatuloa", "supply-yard", "PUT", "/orders/3", False),
        ("vatuloa", "supply-yard", "DELETE", "/orders/3", False),
        ("noorani", "fabric-desk", "GET", "/catalogue/silk", True),
        ("noorani", "fabric-desk", "GET", "/stock/silk", True),
        ("noorani", "fabric-desk", "POST", "/reservations", False),
        ("noorani", "fabric-desk", "PUT", "/reservations/5", False),
        ("noorani", "order-desk", "POST", "/orders", False),
        ("noorani", "order-desk", "POST", "/dispatches", False),
        ("noorani", "order-desk", "PUT", "/dispatches/8", False),
    ],
)
def test_retry_rules_cover_only_idempotent_requests(user, name, method, path, retryable):
    assert (rule_for(services(user)[name], method, path) is not None) is retryable


@pytest.mark.parametrize(
    ("path", "node", "kind"),
    [
        ("vatuloa/node.yaml", "viti-a-1", "http"),
        ("noorani/node.yaml", "punjab-a-1", "http"),
        ("demo.yaml", "demo", "memory"),
    ],
)
def test_settings_load(path, node, kind):
    settings = load_settings(EXAMPLES / path)
    assert (settings.node, settings.platform.kind) == (node, kind)
    assert settings.link.budget_bytes_s * 8 == 30_000_000


def test_demo_uses_the_documented_ports():
    settings = load_settings(EXAMPLES / "demo.yaml")
    addresses = (settings.caller_address, settings.peer_address, settings.operator_address)
    assert addresses == ("127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082")
    upstreams = [
        upstream
        for service in load_declarations([EXAMPLES / "demo-services.yaml"]).services
        for upstream in service.upstreams
    ]
    assert {(each.region, each.zone) for each in upstreams} == {(settings.region, settings.zone)}
    assert not {each.address for each in upstreams} & set(addresses)
