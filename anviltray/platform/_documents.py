"""Decodes the documents that operators and instances keep in the store."""

import json
from collections.abc import Mapping
from typing import Any

from anviltray.declarations import (
    Destination,
    InputLimits,
    Instance,
    PrefixRoute,
    RoutedService,
    RoutingConfiguration,
)


class DocumentInvalid(ValueError):
    """The bytes are no document of the expected form."""


def decode_version(text: Any) -> int:
    """Returns the number of a configuration version such as "r12"; raises DocumentInvalid."""
    if isinstance(text, str) and text[:1] == "r" and text[1:].isdigit():
        return int(text[1:])
    raise DocumentInvalid(f"{text!r} is no configuration version")


def decode_configuration(payload: bytes) -> RoutingConfiguration:
    """Returns the configuration in a record; raises DocumentInvalid."""
    document = _parse(payload)
    try:
        services = [_service(item) for item in document["services"]]
        limits = document["limits"]
        return RoutingConfiguration(
            version=decode_version(document["version"]),
            routes=tuple(_route(item) for item in document["routes"]),
            services={service.name: service for service in services},
            limits=InputLimits(
                header_bytes=int(limits["maxHeaderBytes"]),
                body_bytes=int(limits["maxBodyBytes"]),
                header_timeout_s=float(limits["headerTimeoutMs"]) / 1000,
                idle_timeout_s=float(limits["idleTimeoutMs"]) / 1000,
            ),
        )
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise DocumentInvalid(f"configuration: {error}") from error


def _route(item: Mapping[str, Any]) -> PrefixRoute:
    shares = item.get("weightedServices")
    destinations = (
        tuple(Destination(_text(part, "service"), float(part["weight"])) for part in shares)
        if shares
        else (Destination(_text(item, "service"), 1.0),)
    )
    return PrefixRoute(
        name=_text(item, "name"),
        host=_text(item, "host").lower(),
        prefix=_text(item, "pathPrefix"),
        # Only this kind says that a request may be repeated; any other runs once at most.
        idempotent=item["kind"] == "safe",
        timeout_s=float(item["timeoutMs"]) / 1000,
        target_latency_s=float(item["targetLatencyMs"]) / 1000,
        priority=int(item["priority"]),
        destinations=tuple(part for part in destinations if part.weight > 0),
        instance_limit=int(item["maxAttempts"]),
    )


def _service(item: Mapping[str, Any]) -> RoutedService:
    return RoutedService(
        name=_text(item, "name"),
        health_path=_text(item, "healthPath"),
        connection_limit=int(item["maxConns"]),
    )


def decode_instance(key: str, payload: bytes) -> Instance:
    """Returns the instance in a record; raises DocumentInvalid for any missing or odd field.

    Records of other writers are expected in the topic, so every field is checked.
    """
    document = _parse(payload)
    try:
        info, status = document["info"], document["status"]
        state = status["state"]
        if state not in ("ready", "draining"):
            raise DocumentInvalid(f"instance {key}: unknown state {state!r}")
        address = _text(document, "address")
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise DocumentInvalid(f"instance {key}: {address!r} is no address")
        slots = _integer(info, "slots")
        if slots < 1:
            raise DocumentInvalid(f"instance {key}: {slots} slots")
        _integer(status, "sequence")
        return Instance(
            id=key,
            started_unix_ms=_integer(document, "born") if "born" in document else 0,
            service=_text(info, "service"),
            address=address,
            zone=_text(info, "zone"),
            version=_text(info, "version"),
            slots=slots,
            draining=state == "draining",
            warmup_s=max(0.0, _number(status, "warmupLeftMs") / 1000),
        )
    except (LookupError, TypeError, AttributeError) as error:
        raise DocumentInvalid(f"instance {key}: {error!r}") from error


def _parse(payload: bytes) -> Any:
    try:
        document = json.loads(payload)
    except (ValueError, RecursionError) as error:
        raise DocumentInvalid(f"no JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentInvalid("no JSON object")
    return document


def _text(item: Mapping[str, Any], name: str) -> str:
    value = item[name]
    if type(value) is not str or not value:
        raise DocumentInvalid(f"{name!r} must be a non-empty text")
    return value


def _integer(item: Mapping[str, Any], name: str) -> int:
    value = item[name]
    if type(value) is not int:
        raise DocumentInvalid(f"{name!r} must be an integer")
    return value


def _number(item: Mapping[str, Any], name: str) -> float:
    value = item[name]
    if type(value) not in (int, float):
        raise DocumentInvalid(f"{name!r} must be a number")
    return float(value)
