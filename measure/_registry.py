"""Registry of the measurements; each module registers its own."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from measure._rows import Row


class Result(NamedTuple):
    """Figures of one measurement."""

    rows: Iterable[Row]  # Figures of the node and its policies.
    baseline_rows: Iterable[Row] = ()  # The same names for the simple policy or the bare process.


Measurement = Callable[[], Result]

measurements: dict[str, Measurement] = {}


def measurement(name: str) -> Callable[[Measurement], Measurement]:
    """Returns a decorator that registers a measurement, which `python -m measure NAME` runs."""

    def add(function: Measurement) -> Measurement:
        measurements[name] = function
        return function

    return add
