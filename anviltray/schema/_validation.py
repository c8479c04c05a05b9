"""Validation of YAML documents against the JSON Schemas of this package."""

from functools import cache
from importlib import resources
from pathlib import Path
from typing import Any

import jsonschema
import yaml

from anviltray.schema._endpoints import is_endpoint
from anviltray.schema._errors import DocumentError

_FORMATS = jsonschema.FormatChecker(formats=())


@_FORMATS.checks("ip-port")
def _is_ip_port(value: object) -> bool:
    return not isinstance(value, str) or is_endpoint(value)


@cache
def _validator(schema_name: str) -> jsonschema.Draft202012Validator:
    text = resources.files("anviltray.schema").joinpath(f"{schema_name}.yaml").read_text("utf-8")
    return jsonschema.Draft202012Validator(yaml.safe_load(text), format_checker=_FORMATS)


def load_document(path: Path, schema_name: str) -> dict[str, Any]:
    """Reads the YAML file `path` and validates it against `schema_name`.

    Raises DocumentError with one line that contains the file, the key, the value found and the
    values allowed.
    """
    try:
        data = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise DocumentError(f"{path}: cannot be read: {error.strerror}") from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise DocumentError(f"{path}: is not YAML: {message}") from error
    return validate_document(data, schema_name, str(path))


def validate_document(data: Any, schema_name: str, source: str) -> dict[str, Any]:
    """Returns `data` if it matches `schema_name`, else raises DocumentError with `source`."""
    errors = sorted(_validator(schema_name).iter_errors(data), key=lambda error: error.json_path)
    if errors:
        raise DocumentError(f"{source}: {_describe(errors[0])}")
    validated: dict[str, Any] = data
    return validated


def _describe(error: jsonschema.ValidationError) -> str:
    key = error.json_path.removeprefix("$").lstrip(".") or "document"
    instance: Any = error.instance
    rule_value: Any = error.validator_value
    if error.validator == "additionalProperties":
        schema: Any = error.schema
        allowed = sorted(schema["properties"])
        unknown = sorted(set(instance) - set(allowed))
        return f"{key}: found unknown key {unknown[0]!r}, allowed are {', '.join(allowed)}"
    if error.validator == "required":
        missing = [name for name in rule_value if name not in instance]
        return f"{key}: found no key {missing[0]!r}, which is required"
    if error.validator == "format":
        return f"{key}: found {instance!r}, allowed is an IP address and port like 10.0.0.1:80"
    rule = f"{error.validator} {rule_value!r}"
    return f"{key}: found {instance!r}, allowed is {rule}"
