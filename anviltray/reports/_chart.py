"""Chart of the burn rate over time.

Requires matplotlib, which only the command-line tool loads.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path

from anviltray.messages import BurnSummary

_POINT_S = 300  # Slots are summed over 5 minutes, so that a chart of 3 days stays readable.


class PlottingUnavailableError(RuntimeError):
    """The plotting library is not installed."""


def burn_series(
    summaries: Iterable[BurnSummary], objective: float, service: str
) -> list[tuple[int, float]]:
    """Returns (Unix time, burn rate) points; the burn rate is NaN for times without records."""
    good: defaultdict[int, int] = defaultdict(int)
    bad: defaultdict[int, int] = defaultdict(int)
    recorded: set[int] = set()
    for summary in summaries:
        point = summary.slot * summary.slot_s // _POINT_S
        recorded.add(point)
        for row in summary.services:
            if row.service == service:
                good[point] += row.good
                bad[point] += row.bad
    if not recorded:
        return []
    series = []
    for point in range(min(recorded), max(recorded) + 1):
        total = good[point] + bad[point]
        share = bad[point] / total if total else 0.0
        rate = share / (1.0 - objective) if point in recorded else float("nan")
        series.append((point * _POINT_S, rate))
    return series


def write_burn_chart(
    path: Path, summaries: Iterable[BurnSummary], objectives: Mapping[str, float]
) -> None:
    """Writes a PNG or SVG chart, by the suffix of `path`; raises PlottingUnavailableError.

    Lines are interrupted where the log has no records.
    """
    try:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError as error:
        raise PlottingUnavailableError("pip install 'anviltray[picture]'") from error
    rows = list(summaries)
    figure, axes = pyplot.subplots(figsize=(10, 4))
    for service, objective in sorted(objectives.items()):
        series = burn_series(rows, objective, service)
        end_s = series[-1][0] if series else 0
        hours = [(time_s - end_s) / 3600 for time_s, _ in series]
        axes.plot(hours, [rate for _, rate in series], label=service)
    axes.axhline(1.0, linestyle="--", linewidth=0.8)
    axes.set_xlabel("hours before the last record")
    axes.set_ylabel("burn rate")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
