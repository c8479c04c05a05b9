"""Evaluates `where` clauses on rows."""

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
    """A condition refers to a column that the rows do not have."""


def filter_rows(rows: Iterable[Row], conditions: tuple[Condition, ...]) -> list[Row]:
    """Returns the rows that satisfy all conditions; raises UnknownColumnError."""
    return [row for row in rows if all(_satisfies(row, condition) for condition in conditions)]


def _satisfies(row: Row, condition: Condition) -> bool:
    if condition.field not in row:
        columns = ", ".join(sorted(row))
        raise UnknownColumnError(f"no column {condition.field!r}; known are {columns}")
    value = row[condition.field]
    compare = _COMPARISONS[condition.operator]
    if isinstance(condition.value, float):
        if isinstance(value, int | float) and not isinstance(value, bool):
            return compare(float(value), condition.value)
        return compare(str(value), f"{condition.value:g}")
    text = str(value).lower() if isinstance(value, bool) else str(value)
    return compare(text, condition.value)
