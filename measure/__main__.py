"""`make measure`: runs the measurements and prints and stores their figures.

`python -m measure NAME ...` runs only the named ones.
"""

import sys
import time
from pathlib import Path

from measure import _policies, request_path  # noqa: F401  (register)
from measure._registry import measurements
from measure._rows import TARGETS, Row

FOLDER = Path("measurements")


def main(names: list[str]) -> None:
    """Runs the measurements in order; prints each figure as soon as it is measured."""
    FOLDER.mkdir(exist_ok=True)
    baseline: list[Row] = []
    with (FOLDER / "figures.tsv").open("a", encoding="utf-8") as stored:
        for name in names or list(measurements):
            started_s = time.monotonic()
            result = measurements[name]()
            for row in result.rows:
                line = _line(row)
                print(line, flush=True)
                stored.write(line + "\n")
            baseline.extend(result.baseline_rows)
            print(f"{name}: {time.monotonic() - started_s:.0f} s", file=sys.stderr)
    if baseline:
        print("\nbaseline")
        for row in baseline:
            print(f"{row.name}\t{row.value:.6g}\t{row.unit}")


def _line(row: Row) -> str:
    target = TARGETS.get(row.name)
    bound = f"{target.kind} {target.bound:g}" if target else "-"
    verdict = target.verdict(row.value) if target else "-"
    return f"{row.name}\t{row.value:.6g}\t{row.unit}\t{bound}\t{verdict}"


if __name__ == "__main__":
    main(sys.argv[1:])
