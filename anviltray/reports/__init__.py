"""Reports on service-level objectives."""

from anviltray.reports._burn import WINDOWS_S, BurnGap, BurnReport, BurnWindow, burn_report
from anviltray.reports._chart import PlottingUnavailableError, burn_series, write_burn_chart
from anviltray.reports._counters import SLOT_S, BurnCollector, BurnCounters

__all__ = [
    "SLOT_S",
    "WINDOWS_S",
    "BurnCollector",
    "BurnCounters",
    "BurnGap",
    "BurnReport",
    "BurnWindow",
    "PlottingUnavailableError",
    "burn_report",
    "burn_series",
    "write_burn_chart",
]
