"""Loads declarations from YAML files."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

from anviltray.declarations._generated import Declarations, build_declarations
from anviltray.schema import DocumentError, load_document, validate_document


def load_declarations(paths: Iterable[Path]) -> Declarations:
    """Returns the services of all files.

    Raises DocumentError if a file is invalid or a service or an upstream is declared twice.
    """
    services: list[Any] = []
    for path in paths:
        services.extend(load_document(path, "declarations")["services"])
    return parse_declarations({"services": services}, "declarations")


def parse_declarations(data: Any, source: str) -> Declarations:
    """Returns the declarations in `data`.

    Raises DocumentError with the name `source` if `data` does not match the schema or declares a
    service or an upstream twice.
    """
    declarations = build_declarations(validate_document(data, "declarations", source))
    names: set[str] = set()
    addresses: dict[str, str] = {}
    for service in declarations.services:
        if service.name in names:
            raise DocumentError(f"{source}: service {service.name!r} is declared twice")
        names.add(service.name)
        for upstream in service.upstreams:
            if upstream.address in addresses:
                raise DocumentError(f"{source}: upstream {upstream.address} is declared twice")
            addresses[upstream.address] = service.name
    return declarations
