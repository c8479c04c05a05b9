"""Conversion of declarations to plain documents and the difference between sets of services."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from anviltray.declarations._generated import Service


class Change(NamedTuple):
    """One difference between the active services and the declared ones."""

    service: str  # Service name.
    item: str  # Changed field, or the address, route or rule that differs; empty for the service.
    in_force: str  # Active value; empty if there is none.
    declared: str  # Declared value; empty if there is none.


def as_document(value: Any) -> Any:
    """Converts nested named tuples to mappings and lists for JSON and YAML."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: as_document(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [as_document(item) for item in value]
    return value


def difference(active: Mapping[str, Service], declared: Iterable[Service]) -> tuple[Change, ...]:
    """Returns the changes that turn the `active` services into exactly the `declared` ones."""
    target = {service.name: service for service in declared}
    changes: list[Change] = []
    for name in sorted(active.keys() | target.keys()):
        old, new = active.get(name), target.get(name)
        if old is None:
            changes.append(Change(name, "", "", "new service"))
        elif new is None:
            changes.append(Change(name, "", "service", ""))
        else:
            changes.extend(_service_changes(old, new))
    return tuple(changes)


def _service_changes(old: Service, new: Service) -> Iterable[Change]:
    before, after = _flatten(old), _flatten(new)
    for item in sorted(before.keys() | after.keys()):
        old_value, new_value = before.get(item, ""), after.get(item, "")
        if old_value != new_value:
            yield Change(new.name, item, old_value, new_value)


def _flatten(service: Service) -> dict[str, str]:
    items: dict[str, str] = {}
    for name, value in service._asdict().items():
        if not isinstance(value, tuple):
            items[name] = str(value)
    for upstream in service.upstreams:
        items[f"upstream {upstream.address}"] = _format_fields(upstream._replace(address=""))
    for route in service.routes:
        items[f"route {route.host}{route.prefix}"] = "present"
    for rule in service.retry_rules:
        key = f"retry rule {','.join(rule.methods)} {rule.prefix}"
        items[key] = f"attempts={rule.attempts} hedge={rule.hedge}"
    return items


def _format_fields(value: Any) -> str:
    return " ".join(f"{name}={item}" for name, item in value._asdict().items() if item != "")
