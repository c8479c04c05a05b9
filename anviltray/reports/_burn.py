"""Computes burn rates and error budgets from the summaries in the log."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anviltray.messages import BurnSummary

WINDOWS_S: Mapping[str, int] = {"5m": 300, "1h": 3600, "6h": 21600, "3d": 259200}
_BUDGET_WINDOW = "3d"


class BurnWindow(NamedTuple):
    """Burn rate of one service over one window."""

    service: str  # Service name.
    window: str  # Name of the window, a key of WINDOWS_S.
    good: int  # Requests that met the objective.
    bad: int  # Requests that missed it.
    burn_rate: float | None  # Bad share divided by the allowed share; None without requests.
    covered_share: float  # Share of the window's slots, over all zones, with a record.


class BurnGap(NamedTuple):
    """Period for which a zone has no records."""

    zone: str  # Availability zone.
    start_s: int  # Unix time.
    end_s: int  # Unix time.


class BurnReport(NamedTuple):
    """Burn rates and error budgets of all services at one time."""

    windows: tuple[BurnWindow, ...]  # For each service and window.
    budget_left_share: Mapping[str, float | None]  # By service, over 3 days; None without requests.
    gaps: tuple[BurnGap, ...]  # In the longest window, sorted by zone and time.


def burn_report(
    summaries: Iterable[BurnSummary],
    objectives: Mapping[str, float],
    zones: Iterable[str],
    slot_s: int,
    now_s: float,
) -> BurnReport:
    """Returns the report at Unix time `now_s`.

    `objectives` maps a service to the share of requests that must be good. If there are several
    records for a zone and slot, the first one in the log counts. Slots without a record lower
    `covered_share` and are reported as gaps; they are not treated as slots without requests.
    """
    current = int(now_s) // slot_s
    first = current - WINDOWS_S[_BUDGET_WINDOW] // slot_s
    by_key: dict[tuple[str, int], BurnSummary] = {}
    for summary in summaries:
        if summary.slot_s == slot_s and first <= summary.slot < current:
            by_key.setdefault((summary.zone, summary.slot), summary)
    all_zones = sorted(set(zones) | {zone for zone, _ in by_key})
    windows = tuple(
        _window(by_key, service, objective, name, len(all_zones), current, slot_s)
        for service, objective in sorted(objectives.items())
        for name in WINDOWS_S
    )
    budgets = {
        window.service: None if window.burn_rate is None else 1.0 - window.burn_rate
        for window in windows
        if window.window == _BUDGET_WINDOW
    }
    gaps = tuple(
        gap for zone in all_zones for gap in _gaps(by_key, zone, range(first, current), slot_s)
    )
    return BurnReport(windows, budgets, gaps)


def _window(
    by_key: Mapping[tuple[str, int], BurnSummary],
    service: str,
    objective: float,
    name: str,
    zone_count: int,
    current: int,
    slot_s: int,
) -> BurnWindow:
    slots = WINDOWS_S[name] // slot_s
    good = bad = covered = 0
    for (_, slot), summary in by_key.items():
        if slot < current - slots:
            continue
        covered += 1
        for row in summary.services:
            if row.service == service:
                good += row.good
                bad += row.bad
    total = good + bad
    burn_rate = bad / total / (1.0 - objective) if total else None
    share = covered / (slots * zone_count) if zone_count else 0.0
    return BurnWindow(service, name, good, bad, burn_rate, share)


def _gaps(
    by_key: Mapping[tuple[str, int], BurnSummary], zone: str, slots: range, slot_s: int
) -> Iterable[BurnGap]:
    start: int | None = None
    for slot in slots:
        missing = (zone, slot) not in by_key
        if missing and start is None:
            start = slot
        elif not missing and start is not None:
            yield BurnGap(zone, start * slot_s, slot * slot_s)
            start = None
    if start is not None:
        yield BurnGap(zone, start * slot_s, slots.stop * slot_s)
