"""Decodes the settings file that the platform writes for each process."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from anviltray.settings import Guarantees, HostSettings


class HostSettingsError(ValueError):
    """The settings file cannot be used; the message is one line for an operator."""


def load_host_settings(path: Path) -> HostSettings:
    """Returns the settings in `path`; raises HostSettingsError naming the file and the key."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise HostSettingsError(f"{path}: {error}") from error
    try:
        return _build(document)
    except KeyError as error:
        raise HostSettingsError(f"{path}: the key {error} is missing") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise HostSettingsError(f"{path}: {error}") from error


def _build(document: Mapping[str, Any]) -> HostSettings:
    listen = document["listen"]
    bounds = dict(_bound(text) for text in document["bounds"])
    return HostSettings(
        node=_text(document, "nodeName"),
        address=_text(document, "ip"),
        region=_text(document, "region"),
        zone=_text(document, "zone"),
        zone_regions={str(zone): str(region) for zone, region in document["zones"].items()},
        caller_address=_address(listen, "front"),
        readiness_address=_address(listen, "readiness"),
        directory_address=_address(listen, "directory"),
        first_internal_port=int(document["internalPorts"][0]),
        seed_addresses=tuple(str(seed).rpartition(":")[0] for seed in document.get("seeds", ())),
        store_address=_address(document["provider"], "address"),
        heartbeat_s=_positive(document["heartbeatMs"], "heartbeatMs") / 1000,
        first_start=document.get("bootstrap", False) is True,
        guarantees=Guarantees(
            answer_lifetime_s=_positive(bounds["ttl_max_s"], "ttl_max_s"),
            drain_s=_positive(bounds["drainMs"], "drainMs") / 1000,
            grace_s=_positive(bounds["graceS"], "graceS"),
            configuration_apply_s=_positive(bounds["configApplyMs"], "configApplyMs") / 1000,
            retry_share=_positive(bounds["retryBudgetRatio"], "retryBudgetRatio"),
            retry_window_s=_positive(bounds["budgetWindowS"], "budgetWindowS"),
            retry_slack=_positive(bounds["retryBudgetSlack"], "retryBudgetSlack"),
        ),
    )


def _bound(text: str) -> tuple[str, str]:
    name, _, value = text.partition("=")
    return name.strip(), value.strip()


def _text(document: Mapping[str, Any], key: str) -> str:
    value = document[key]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key} must be a non-empty text, found {value!r}")
    return value


def _address(document: Mapping[str, Any], key: str) -> str:
    value = _text(document, key)
    host, separator, port = value.rpartition(":")
    if not (host and separator and port.isdigit()):
        raise ValueError(f"{key} must be IP:port, found {value!r}")
    return value


def _positive(value: Any, key: str) -> float:
    try:
        number = float(value)
    except ValueError:
        raise ValueError(f"{key} must be a number, found {value!r}") from None
    if number < 0:
        raise ValueError(f"{key} must not be negative, found {value!r}")
    return number
