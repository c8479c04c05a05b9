"""Guards against requests counted twice, gaps counted as success, and wrong burn rates."""

import math

import pytest

from anviltray.messages import BurnSummary, Counters, ServiceCounters
from anviltray.reports import (
    SLOT_S,
    BurnCollector,
    BurnCounters,
    burn_report,
    burn_series,
    write_burn_chart,
)

NOW_S = 10_000_000.0
SLOT = int(NOW_S) // SLOT_S


def summary(slot, good, bad, zone="a", service="s"):
    return BurnSummary(zone, slot, SLOT_S, 1, (ServiceCounters(service, good, bad),))


def counters(incarnation, sequence, good, bad=0):
    return Counters("n1", incarnation, sequence, (ServiceCounters("s", good, bad),))


@pytest.mark.parametrize(
    ("messages", "good"),
    [
        ([counters(1, 1, 5), counters(1, 2, 8)], 8),
        ([counters(1, 1, 5), counters(1, 1, 5)], 5),
        ([counters(1, 2, 8), counters(1, 1, 5)], 8),
        ([counters(1, 1, 5), counters(2, 1, 3)], 8),
    ],
    ids=["difference", "duplicate", "reordered", "restart"],
)
def test_collector_counts_once(messages, good):
    collector = BurnCollector("a")
    for message in messages:
        collector.receive(message)
    assert collector.pop_summary(1).services == (ServiceCounters("s", good, 0),)
    assert collector.pop_summary(2).services == ()


def test_counters_message_has_totals():
    burn = BurnCounters("n1", 7)
    burn.record("s", good=True)
    burn.record("s", good=False)
    first, second = burn.to_message(), burn.to_message()
    assert first.services == second.services == (ServiceCounters("s", 1, 1),)
    assert second.sequence > first.sequence


@pytest.mark.parametrize(
    ("summaries", "window", "burn_rate", "covered"),
    [
        ([summary(SLOT - 1, 999, 1)], "5m", 1.0, 1 / 5),
        ([summary(SLOT - 1, 99, 1), summary(SLOT - 2, 99, 1)], "5m", 10.0, 2 / 5),
        ([summary(SLOT - 1, 1000, 0), summary(SLOT - 1, 0, 1000)], "5m", 0.0, 1 / 5),
        ([summary(SLOT - 6, 0, 10)], "5m", None, 0.0),
        ([summary(SLOT - 6, 0, 10)], "1h", 1000.0, 1 / 60),
        ([summary(SLOT - 1, 99, 1), summary(SLOT - 1, 99, 1, "b")], "5m", 10.0, 1 / 5),
        ([summary(SLOT, 0, 1000)], "5m", None, 0.0),
    ],
    ids=["at objective", "two slots", "second record", "outside", "1h", "two zones", "unfinished"],
)
def test_burn_rate(summaries, window, burn_rate, covered):
    report = burn_report(summaries, {"s": 0.999}, ["a"], SLOT_S, NOW_S)
    row = next(row for row in report.windows if row.window == window)
    assert row.burn_rate == pytest.approx(burn_rate) if burn_rate else row.burn_rate == burn_rate
    assert row.covered_share == pytest.approx(covered)


def test_missing_slots_are_gaps():
    slots = 259200 // SLOT_S
    rows = [summary(SLOT - back, 1, 0) for back in range(1, slots + 1) if not 10 <= back < 20]
    report = burn_report(rows, {"s": 0.999}, ["a"], SLOT_S, NOW_S)
    (gap,) = report.gaps
    assert (gap.start_s, gap.end_s) == ((SLOT - 19) * SLOT_S, (SLOT - 9) * SLOT_S)
    assert report.budget_left_share["s"] == 1.0


def test_chart_interrupts_the_line_at_a_gap(tmp_path):
    rows = [summary(SLOT - 5, 9, 1), summary(SLOT - 25, 9, 1)]
    series = burn_series(rows, 0.9, "s")
    assert any(math.isnan(rate) for _, rate in series)
    path = tmp_path / "burn.svg"
    write_burn_chart(path, rows, {"s": 0.9})
    assert b"<svg" in path.read_bytes()
