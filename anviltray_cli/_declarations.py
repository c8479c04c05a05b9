"""`anviltray plan`, `apply` and `export`: manages declarations kept in version control."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import yaml

from anviltray.declarations import (
    Change,
    Declarations,
    Service,
    as_document,
    difference,
    load_declarations,
    parse_declarations,
)
from anviltray.schema import DocumentError
from anviltray_cli._client import Target, ToolError, call, target_from
from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._output import print_json, print_rows
from anviltray_cli._registry import command
from anviltray_cli._statements import publish


@command
def plan(
    *files: Path,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
    deadline_s: float = 5.0,
) -> int:
    """Show what `apply` would change; changes nothing.

    Example: `anviltray plan services.yaml`.

    :param files: Declarations; services that they do not name would be removed.
    :param node: Operator addresses, tried in order.
    :param json: Print JSON.
    :param deadline_s: Time limit in seconds.
    """
    declared = _load(files)
    active, _ = _active_configuration(target_from(node, deadline_s))
    _print_changes(difference(active, declared.services), as_json=json)
    return ExitCode.DONE


@command
def apply(
    *files: Path,
    reason: str = "",
    node: list[str] = [],  # noqa: B006
    json: bool = False,
    deadline_s: float = 10.0,
) -> int:
    """Publish declarations, so that exactly these services are in force.

    Rejected as a whole if another operator has changed one of the services since it was read.

    Example: `anviltray apply services.yaml --reason "more satin"`.

    :param files: Declarations; services that they do not name are removed.
    :param reason: Kept in the history.
    :param node: Operator addresses, tried in order.
    :param json: Print JSON.
    :param deadline_s: Time limit in seconds.
    """
    declared = _load(files)
    target = target_from(node, deadline_s)
    active, version = _active_configuration(target)
    changes = difference(active, declared.services)
    if not changes:
        print("nothing to change", file=sys.stderr)
        return ExitCode.DONE
    changed = {change.service for change in changes}
    names = {service.name for service in declared.services}
    body = {
        "services": [as_document(item) for item in declared.services if item.name in changed],
        "remove": sorted(active.keys() - names),
        "based_on": version,
        "reason": reason,
    }
    return publish(target, "/v1/apply", body, as_json=json)


@command
def export(
    *,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
    deadline_s: float = 5.0,
) -> int:
    """Write the declarations in force as YAML.

    Example: `anviltray export > services.yaml`.

    :param node: Operator addresses, tried in order.
    :param json: Print JSON.
    :param deadline_s: Time limit in seconds.
    """
    active, _ = _active_configuration(target_from(node, deadline_s))
    document = {"services": [as_document(active[name]) for name in sorted(active)]}
    if json:
        print_json(document)
    else:
        print(yaml.safe_dump(document, sort_keys=False), end="")
    return ExitCode.DONE


def _load(files: Sequence[Path]) -> Declarations:
    if not files:
        raise ToolError("name at least one file with declarations", ExitCode.USAGE)
    try:
        return load_declarations(files)
    except DocumentError as error:
        raise ToolError(str(error), ExitCode.USAGE) from error


def _active_configuration(target: Target) -> tuple[dict[str, Service], int]:
    data: dict[str, Any] = call(target, "GET", "/v1/declarations")
    services = parse_declarations({"services": data["services"]}, "node").services
    return {service.name: service for service in services}, data["version"]


def _print_changes(changes: tuple[Change, ...], *, as_json: bool) -> None:
    rows = [change._asdict() for change in changes]
    if as_json:
        print_json(rows)
    else:
        print_rows(rows)
