"""Decodes the settings file that the platform writes for each edge host."""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from anviltray.settings import Guarantees, HostSettings

# If the platform states no limits.
_DEFAULT_MEMORY_MB = 300.0
_DEFAULT_DESCRIPTORS = 4100


class HostSettingsError(ValueError):
    """The settings file is unreadable or invalid; the message is one line for operators."""


def load_host_settings(path: Path) -> HostSettings:
    """Returns the settings in `path`; raises HostSettingsError naming the file and the key."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise HostSettingsError(f"{path}: {error}") from error
    try:
        return _build_settings(document)
    except KeyError as error:
        raise HostSettingsError(f"{path}: the key {error} is missing") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise HostSettingsError(f"{path}: {error}") from error


def _build_settings(document: Mapping[str, Any]) -> HostSettings:
    listen = document["listen"]
    bounds = dict(_parse_bound(text) for text in document["bounds"])
    return HostSettings(
        node=_get_string(document, "nodeName"),
        address=_get_string(document, "ip"),
        region=_get_string(document, "region"),
        zone=_get_string(document, "zone"),
        zone_regions={str(zone): str(region) for zone, region in document["zones"].items()},
        caller_address=_get_address(listen, "front"),
        readiness_address=_get_address(listen, "readiness"),
        directory_address=_get_address(listen, "directory"),
        first_internal_port=int(document["internalPorts"][0]),
        seed_addresses=tuple(str(seed).rpartition(":")[0] for seed in document.get("seeds", ())),
        store_address=_get_address(document["provider"], "address"),
        heartbeat_s=_parse_non_negative(document["heartbeatMs"], "heartbeatMs") / 1000,
        first_start=document.get("bootstrap", False) is True,
        memory_limit_bytes=_parse_memory_limit(document.get("limits", {})),
        processor_share=_parse_processor_share(document.get("limits", {})),
        descriptor_limit=_parse_descriptor_limit(document.get("limits", {})),
        guarantees=Guarantees(
            answer_lifetime_s=_parse_non_negative(bounds["ttl_max_s"], "ttl_max_s"),
            drain_s=_parse_non_negative(bounds["drainMs"], "drainMs") / 1000,
            grace_s=_parse_non_negative(bounds["graceS"], "graceS"),
            configuration_apply_s=_parse_non_negative(bounds["configApplyMs"], "configApplyMs")
            / 1000,
            retry_share=_parse_non_negative(bounds["retryBudgetRatio"], "retryBudgetRatio"),
            retry_window_s=_parse_non_negative(bounds["budgetWindowS"], "budgetWindowS"),
            retry_slack=_parse_non_negative(bounds["retryBudgetSlack"], "retryBudgetSlack"),
            # Optional: not all deployments have a floor.
            floor_share=_parse_share(bounds.get("floorShare", "0.7"), "floorShare"),
            **_parse_allotment_bounds(bounds),
        ),
    )


def _parse_allotment_bounds(bounds: Mapping[str, str]) -> dict[str, float]:
    """Returns the guarantees on allotted rates that the deployment states."""
    names = {
        "quotaWindowS": "allotment_window_s",
        "quotaOvershoot": "allotment_overshoot",
        "quotaSlack": "allotment_slack",
    }
    parsed = {
        field: _parse_non_negative(bounds[name], name)
        for name, field in names.items()
        if name in bounds
    }
    if parsed.get("allotment_window_s") == 0:
        raise ValueError("quotaWindowS must be above 0")
    return parsed


def _parse_bound(text: str) -> tuple[str, str]:
    name, _, value = text.partition("=")
    return name.strip(), value.strip()


def _get_string(document: Mapping[str, Any], key: str) -> str:
    value = document[key]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key} must be a non-empty string, found {value!r}")
    return value


def _get_address(document: Mapping[str, Any], key: str) -> str:
    value = _get_string(document, key)
    host, separator, port = value.rpartition(":")
    if not (host and separator and port.isdigit()):
        raise ValueError(f"{key} must be IP:port, found {value!r}")
    return value


def _parse_memory_limit(limits: Mapping[str, Any]) -> int:
    limit_mb = _parse_non_negative(limits.get("memoryMb", _DEFAULT_MEMORY_MB), "memoryMb")
    return int((limit_mb or _DEFAULT_MEMORY_MB) * 1_000_000)


def _parse_processor_share(limits: Mapping[str, Any]) -> float:
    return _parse_non_negative(limits.get("cpuShare", 1.0), "cpuShare") or 1.0


def _parse_descriptor_limit(limits: Mapping[str, Any]) -> int:
    limit = _parse_non_negative(limits.get("maxFds", _DEFAULT_DESCRIPTORS), "maxFds")
    return int(limit or _DEFAULT_DESCRIPTORS)


def _parse_share(value: Any, key: str) -> float:
    share = _parse_non_negative(value, key)
    if share > 1:
        raise ValueError(f"{key} must be between 0 and 1, found {value!r}")
    return share


def _parse_non_negative(value: Any, key: str) -> float:
    try:
        number = float(value)
    except ValueError:
        raise ValueError(f"{key} must be a number, found {value!r}") from None
    if not 0 <= number < math.inf:
        raise ValueError(f"{key} must be finite and not negative, found {value!r}")
    return number
