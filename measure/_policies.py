"""Registers the measurements of the policies and of configuration and membership."""

import sys
from collections.abc import Iterable

from measure._registry import Result, measurement
from measure._rows import Row

_RowTuple = tuple[str, float, str]


def _rows(rows: Iterable[_RowTuple]) -> list[Row]:
    return [Row(*row) for row in rows]


def _progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


@measurement("decision_cost")
def _decision_cost() -> Result:
    from measure import decision_cost

    return Result(_rows(decision_cost.measure()))


@measurement("configuration")
def _configuration() -> Result:
    from measure import configuration

    return Result(_rows(configuration.measure_all()))


@measurement("detection")
def _detection() -> Result:
    from measure import detection

    rows: list[_RowTuple] = []
    for suffix, sensitivity in detection.SETTINGS.items():
        _progress(f"detection: {suffix}")
        rows += detection.detection_rows(suffix, sensitivity)
        rows += detection.detection_rows(f"lone_{suffix}", sensitivity, nodes=1, rate=20.0)
    baseline = detection.detection_rows(
        "baseline", "fast", detector=detection.BASELINE, trials=detection.BASELINE_TRIALS
    )
    return Result(_rows(rows), _rows(baseline))


@measurement("false_ejections")
def _false_ejections() -> Result:
    from measure import detection

    rows: list[_RowTuple] = []
    for suffix, sensitivity in detection.SETTINGS.items():
        _progress(f"false ejections: {suffix}")
        rows += detection.false_ejection_rows(suffix, sensitivity)
    return Result(_rows(rows))


@measurement("load")
def _load() -> Result:
    from measure import load

    return Result(_rows(load.measure()))
