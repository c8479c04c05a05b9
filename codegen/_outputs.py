"""Generated files and their generators."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import black
import black.mode
import yaml

from codegen._messages import render_messages
from codegen._objects import render_objects
from codegen._settings_page import render_settings_page

ROOT = Path(__file__).resolve().parent.parent


class Output(NamedTuple):
    """One generated file."""

    schema: str  # Schema file below anviltray/schema/.
    path: str  # Generated file, relative to the repository.
    render: Callable[[dict[str, Any]], str]  # Returns the text of the file for the parsed schema.


OUTPUTS = (
    Output("messages.yaml", "anviltray/messages/_generated.py", render_messages),
    Output("settings.yaml", "anviltray/settings/_generated.py", render_objects),
    Output("declarations.yaml", "anviltray/declarations/_generated.py", render_objects),
    Output("settings.yaml", "docs/operators/settings.md", render_settings_page),
)


def render_all() -> dict[Path, str]:
    """Returns the text of each generated file by path; Python files are formatted with Black."""
    texts: dict[Path, str] = {}
    for output in OUTPUTS:
        schema_path = ROOT / "anviltray" / "schema" / output.schema
        schema = yaml.safe_load(schema_path.read_text(encoding="utf-8"))
        text = output.render(schema)
        if output.path.endswith(".py"):
            mode = black.Mode(line_length=100, target_versions={black.mode.TargetVersion.PY311})
            text = black.format_str(text, mode=mode)
        texts[ROOT / output.path] = text
    return texts
