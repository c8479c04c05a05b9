"""YAML schemas of settings, declarations and messages, and validation against them.

The validation libraries are imported when a document is validated: a host that gets its settings
from the platform validates none and has little memory.
"""

from pathlib import Path
from typing import Any

from anviltray.schema._endpoints import is_endpoint
from anviltray.schema._errors import DocumentError

__all__ = ["DocumentError", "is_endpoint", "load_document", "validate_document"]


def load_document(path: Path, schema_name: str) -> dict[str, Any]:
    """Reads and validates a YAML file; see `_validation.load_document`."""
    from anviltray.schema import _validation

    return _validation.load_document(path, schema_name)


def validate_document(data: Any, schema_name: str, source: str) -> dict[str, Any]:
    """Validates data; see `_validation.validate_document`."""
    from anviltray.schema import _validation

    return _validation.validate_document(data, schema_name, source)
