"""Decodes the configuration and instance documents in the store."""

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
from anviltray.platform._accounts import decode_accounts
from anviltray.schema import is_endpoint

# Larger numbers come from writers that are no instances. Integers in messages have 64 bits.
_MAX_INTEGER = 2**63 - 1
_MAX_NAME_LENGTH = 255  # The keys of the store have at most as many bytes.
_MAX_SLOTS = 65535  # An instance has no more connections to one address than there are ports.
_REPLACEMENT_CHARACTER = "\ufffd"  # Stands for bytes that are not UTF-8.
_MAX_WARMUP_MS = 24 * 3600 * 1000.0


class DocumentInvalid(ValueError):
    """The bytes are not a valid document of the expected kind."""


def decode_version(text: Any) -> int:
    """Returns the number of a configuration version such as "r12"; raises DocumentInvalid."""
    if isinstance(text, str) and text[:1] == "r" and text[1:].isdigit():
        return int(text[1:])
    raise DocumentInvalid(f"{text!r} is not a configuration version like 'r12'")


def decode_configuration(payload: bytes) -> RoutingConfiguration:
    """Returns the configuration in a record; raises DocumentInvalid."""
    document = _parse_object(payload)
    try:
        services = [_decode_service(item) for item in document["services"]]
        limits = document["limits"]
        # Without the field, the deployment has no accounts; an empty list admits nobody.
        accounts, omissions = (
            decode_accounts(document["tenants"]) if "tenants" in document else (None, ())
        )
        return RoutingConfiguration(
            version=decode_version(document["version"]),
            routes=tuple(_decode_route(item) for item in document["routes"]),
            services={service.name: service for service in services},
            limits=InputLimits(
                header_bytes=int(limits["maxHeaderBytes"]),
                body_bytes=int(limits["maxBodyBytes"]),
                header_timeout_s=float(limits["headerTimeoutMs"]) / 1000,
                idle_timeout_s=float(limits["idleTimeoutMs"]) / 1000,
            ),
            accounts=accounts,
            omissions=omissions,
        )
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise DocumentInvalid(f"configuration: {error}") from error


def _decode_route(item: Mapping[str, Any]) -> PrefixRoute:
    shares = item.get("weightedServices")
    destinations = (
        tuple(Destination(_get_string(part, "service"), float(part["weight"])) for part in shares)
        if shares
        else (Destination(_get_string(item, "service"), 1.0),)
    )
    return PrefixRoute(
        name=_get_string(item, "name"),
        host=_get_string(item, "host").lower(),
        prefix=_get_string(item, "pathPrefix"),
        # Requests of any other kind must not be executed more than once.
        idempotent=item["kind"] == "safe",
        timeout_s=float(item["timeoutMs"]) / 1000,
        target_latency_s=float(item["targetLatencyMs"]) / 1000,
        priority=int(item["priority"]),
        destinations=tuple(part for part in destinations if part.weight > 0),
        instance_limit=int(item["maxAttempts"]),
        public=_get_flag(item, "public"),
    )


def _decode_service(item: Mapping[str, Any]) -> RoutedService:
    return RoutedService(
        name=_get_string(item, "name"),
        health_path=_get_string(item, "healthPath"),
        connection_limit=int(item["maxConns"]),
    )


def decode_instance(key: str, payload: bytes) -> Instance:
    """Returns the instance in a record; raises DocumentInvalid for a missing or invalid field.

    The topic may contain records of other writers, so every field is checked. The key becomes the
    value of a header field, and names become a part of log lines and of messages to other hosts.
    """
    _check_name(key, "the key")
    if not key or key != key.strip() or _REPLACEMENT_CHARACTER in key:
        raise DocumentInvalid(f"instance {key!r}: the key is no identifier")
    document = _parse_object(payload)
    try:
        info, status = document["info"], document["status"]
        state = status["state"]
        if state not in ("ready", "draining"):
            raise DocumentInvalid(
                f"instance {key}: state must be ready or draining, not {state!r:.60}"
            )
        address = _get_string(document, "address")
        if not is_endpoint(address):
            raise DocumentInvalid(f"instance {key}: {address!r:.60} is not an address like IP:port")
        _get_integer(status, "sequence", _MAX_INTEGER)
        return Instance(
            id=key,
            started_unix_ms=(
                _get_integer(document, "born", _MAX_INTEGER) if "born" in document else 0
            ),
            service=_get_name(info, "service"),
            address=address,
            zone=_get_name(info, "zone"),
            version=_get_name(info, "version"),
            slots=_get_integer(info, "slots", _MAX_SLOTS, minimum=1),
            draining=state == "draining",
            warmup_s=max(0.0, _get_number(status, "warmupLeftMs", _MAX_WARMUP_MS) / 1000),
        )
    except (LookupError, TypeError, AttributeError) as error:
        raise DocumentInvalid(f"instance {key}: {error!r}") from error


def _parse_object(payload: bytes) -> Any:
    try:
        document = json.loads(payload)
    except (ValueError, RecursionError) as error:
        raise DocumentInvalid(f"invalid JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentInvalid("expected a JSON object")
    return document


def _get_string(item: Mapping[str, Any], name: str) -> str:
    value = item[name]
    if type(value) is not str or not value:
        raise DocumentInvalid(f"{name!r} must be a non-empty string")
    return value


def _get_name(item: Mapping[str, Any], name: str) -> str:
    """Returns a string that can be encoded and logged."""
    value = _get_string(item, name)
    _check_name(value, name)
    return value


def _check_name(value: str, name: str) -> None:
    # Not printable are control characters, line breaks and parts of a surrogate pair.
    if len(value) > _MAX_NAME_LENGTH or not value.isprintable():
        raise DocumentInvalid(f"{name} must be printable and short, not {value!r:.60}")


def _get_flag(item: Mapping[str, Any], name: str) -> bool:
    value = item.get(name, False)
    if type(value) is not bool:
        raise DocumentInvalid(f"{name!r} must be true or false")
    return value


def _get_integer(
    item: Mapping[str, Any], name: str, maximum: int, minimum: int = -_MAX_INTEGER
) -> int:
    value = item[name]
    if type(value) is not int or not minimum <= value <= maximum:
        raise DocumentInvalid(f"{name!r} must be an integer from {minimum} to {maximum}")
    return value


def _get_number(item: Mapping[str, Any], name: str, maximum: float) -> float:
    value = item[name]
    # A comparison with NaN is false.
    if type(value) not in (int, float) or not abs(value) <= maximum:
        raise DocumentInvalid(f"{name!r} must be a number up to {maximum}")
    return float(value)
