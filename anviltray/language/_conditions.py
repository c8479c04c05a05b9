"""Evaluation of `where` clauses over rows."""

import operator
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from anviltray.language._statements import Condition

Row = Mapping[str, Any]

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


class UnknownColumnError(ValueError):
    """A condition names a column that the rows do not have."""


def filter_rows(rows: Iterable[Row], conditions: tuple[Condition, ...]) -> list[Row]:
    """Returns the rows for which all conditions hold; raises UnknownColumnError."""
    return [row for row in rows if all(_holds(row, condition) for condition in conditions)]


def _holds(row: Row, condition: Condition) -> bool:
    if condition.field not in row:
        known = ", ".join(sorted(row))
        raise UnknownColumnError(f"no column {condition.field!r}; known are {known}")
    found = row[condition.field]
    compare = _COMPARISONS[condition.operator]
    if isinstance(condition.value, float):
        if isinstance(found, int | float) and not isinstance(found, bool):
            return compare(float(found), condition.value)
        return compare(str(found), f"{condition.value:g}")
    shown = str(found).lower() if isinstance(found, bool) else str(found)
    return compare(shown, condition.value)
