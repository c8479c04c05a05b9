"""Loads the settings of one node."""

from pathlib import Path

from anviltray.schema import DocumentError, load_document
from anviltray.settings._generated import Settings, build_settings


def load_settings(path: Path) -> Settings:
    """Returns the validated settings in the YAML file `path`.

    Raises `anviltray.schema.DocumentError` with a one-line message for the operator, also if a key
    file does not exist.
    """
    settings = build_settings(load_document(path, "settings"))
    for name in ("peer_key_file", "operator_key_file"):
        key_file = getattr(settings, name)
        if key_file and not Path(key_file).is_file():
            raise DocumentError(f"{path}: {name}: found {key_file!r}, allowed is an existing file")
    if settings.platform.kind == "http" and not settings.platform.url:
        raise DocumentError(f"{path}: platform.url: found '', allowed is a URL for kind http")
    return settings
