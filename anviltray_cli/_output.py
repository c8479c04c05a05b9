"""Tables for people and JSON for programs."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from tabulate import tabulate


def print_json(data: Any) -> None:
    """Prints one JSON document."""
    print(json.dumps(data, indent=2, ensure_ascii=False))


def print_rows(rows: Sequence[Mapping[str, Any]]) -> None:
    """Prints a table with a column for each key, or a line if there are no rows."""
    if not rows:
        print("no rows")
        return
    columns = list(dict.fromkeys(name for row in rows for name in row))
    table = [[row.get(name, "") for name in columns] for row in rows]
    print(tabulate(table, headers=columns, disable_numparse=True))
