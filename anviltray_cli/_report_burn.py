"""`anviltray report burn`: error budgets and burn rates."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from anviltray.messages import BurnSummary, ServiceCounters
from anviltray.reports import (
    BurnReport,
    PlottingUnavailableError,
    burn_report,
    write_burn_chart,
)
from anviltray_cli._client import ToolError, call, target_from
from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._output import print_json, print_rows
from anviltray_cli._registry import report


@report
def burn(
    *,
    picture: Path | None = None,
    node: list[str] = [],  # noqa: B006
    json: bool = False,
    deadline_s: float = 10.0,
) -> int:
    """Show the error budget left and the burn rate of each service over 5 min, 1 h, 6 h and 3 d.

    Example: `anviltray report burn --picture burn.svg`.

    :param picture: Write a PNG or SVG, by its suffix.
    :param node: Operator addresses, tried in order.
    :param json: Print JSON.
    :param deadline_s: Time limit in seconds.
    """
    data = call(target_from(node, deadline_s), "GET", "/v1/burn")
    summaries = [_summary(row) for row in data["summaries"]]
    objectives: dict[str, float] = data["objectives"]
    result = burn_report(summaries, objectives, data["zones"], data["slot_s"], data["now_s"])
    if json:
        print_json(_as_json(result))
    else:
        _print(result)
    if picture is not None:
        try:
            write_burn_chart(picture, summaries, objectives)
        except PlottingUnavailableError as error:
            raise ToolError(f"no plotting library: {error}", ExitCode.USAGE) from error
    return ExitCode.DONE


def _summary(row: dict[str, Any]) -> BurnSummary:
    services = tuple(ServiceCounters(*item) for item in row["services"])
    return BurnSummary(row["zone"], row["slot"], row["slot_s"], row["nodes"], services)


def _as_json(result: BurnReport) -> dict[str, Any]:
    return {
        "windows": [window._asdict() for window in result.windows],
        "budget_left_share": dict(result.budget_left_share),
        "gaps": [gap._asdict() for gap in result.gaps],
    }


def _print(result: BurnReport) -> None:
    rows = []
    for window in result.windows:
        left = result.budget_left_share[window.service]
        rows.append(
            {
                "service": window.service,
                "window": window.window,
                "good": window.good,
                "bad": window.bad,
                "burn rate": (
                    "no requests" if window.burn_rate is None else f"{window.burn_rate:.2f}"
                ),
                "covered": f"{window.covered_share:.1%}",
                "budget left": "unknown" if left is None else f"{left:.1%}",
            }
        )
    print_rows(rows)
    for gap in result.gaps:
        start, end = (datetime.fromtimestamp(time_s, UTC) for time_s in (gap.start_s, gap.end_s))
        print(f"no records of {gap.zone} from {start:%Y-%m-%d %H:%M} to {end:%Y-%m-%d %H:%M} UTC")
