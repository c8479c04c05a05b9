"""Output as tables or JSON."""

import json
import shutil
from collections.abc import Mapping, Sequence
from typing import Any

from tabulate import tabulate

_FALLBACK_SIZE = (160, 24)  # Terminal size assumed if the output is not a terminal.


def print_json(data: Any) -> None:
    """Prints one JSON document."""
    print(json.dumps(data, indent=2, ensure_ascii=False))


def print_rows(rows: Sequence[Mapping[str, Any]]) -> None:
    """Prints a table with a column for each key that has a non-empty value in any row.

    If the table is wider than the terminal, each row is printed as a block of lines instead.
    """
    if not rows:
        print("no rows")
        return
    names = list(dict.fromkeys(name for row in rows for name in row))
    columns = [name for name in names if any(row.get(name, "") != "" for row in rows)]
    table = [[_text(row.get(name, "")) for name in columns] for row in rows]
    text = tabulate(table, headers=columns, disable_numparse=True)
    width = max(len(line) for line in text.splitlines())
    if width <= shutil.get_terminal_size(_FALLBACK_SIZE).columns:
        print(text)
        return
    blocks = (
        tabulate(
            [(name, value) for name, value in zip(columns, row, strict=True) if value != ""],
            tablefmt="plain",
            disable_numparse=True,
        )
        for row in table
    )
    print("\n\n".join(blocks))


def _text(value: Any) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)
