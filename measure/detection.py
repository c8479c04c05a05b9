"""Detection times and false ejections of the outlier ejector in virtual time, with fixed seeds.

Run as `python -m measure.detection`. Progress goes to stderr, rows to stdout.
"""

import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import quantiles

from tabulate import tabulate

from anviltray.decisions import ExchangeOutcome
from measure._cost import cost_rows
from measure._fleet import (
    DEADLINE_S,
    FLUSH_INTERVAL_S,
    MEDIAN_S,
    NEVER,
    SIGMA,
    Fleet,
    Response,
    build_service,
    healthy,
)

Row = tuple[str, float, str]

SETTINGS = {"noorani": "fast", "vatuloa": "careful"}
FAULTS = ("stall", "errors", "slow")
TRIALS = 200
WARM_UP_S = 15.0
LIMIT_S = 30.0
WORKERS = 5

BASELINE = "consecutive_errors"
BASELINE_TRIALS = 60
BASELINE_LIMIT_S = 60.0  # The baseline detects stalled requests only when they time out after 30 s.
SWEEP_S = 10.0

PHASES = {
    "whole": "likelihood_ratio_whole",
    "first_byte": "likelihood_ratio",
}
PHASE_TRIALS = 40


def faulty(
    kind: str, faulty_upstream: int, since_s: float
) -> Callable[[float, int, int, Random], Response]:
    """Returns the behaviour of upstreams, one of which has a fault from `since_s` on."""

    def behave(now_s: float, node: int, upstream: int, rng: Random) -> Response:
        response = healthy(now_s, node, upstream, rng)
        if upstream != faulty_upstream or kind not in FAULTS:
            return response
        if kind == "stall":
            if now_s + response.end_s < since_s:
                return response
            first_s = (
                response.first_byte_s if now_s + response.first_byte_s < since_s else DEADLINE_S
            )
            return Response(first_s, DEADLINE_S, ExchangeOutcome.TIMED_OUT)
        if now_s < since_s:
            return response
        if kind == "slow":
            return Response(response.first_byte_s * 10, response.end_s * 10, response.outcome)
        if rng.random() < 0.5:
            return response._replace(outcome=ExchangeOutcome.SERVER_ERROR)
        return response

    return behave


def streaming(
    kind: str, faulty_upstream: int, since_s: float
) -> Callable[[float, int, int, Random], Response]:
    """Returns the behaviour of upstreams that stream one response in ten for 1 to 5 s.

    One caller in 100 reads slowly. With the fault `body`, responses begin but never end.
    """
    without_streaming = faulty(kind, faulty_upstream, since_s)

    def behave(now_s: float, node: int, upstream: int, rng: Random) -> Response:
        response = without_streaming(now_s, node, upstream, rng)
        if response.outcome is not ExchangeOutcome.OK:
            return response
        if kind == "body" and upstream == faulty_upstream and now_s >= since_s:
            return Response(response.first_byte_s, DEADLINE_S, ExchangeOutcome.TIMED_OUT)
        if rng.random() < 0.01:
            return Response(response.first_byte_s, response.end_s + 3.0, ExchangeOutcome.ABANDONED)
        body_s = rng.uniform(1.0, 5.0) if rng.random() < 0.1 else 0.0
        return response._replace(end_s=response.end_s + body_s)

    return behave


def trial(
    kind: str,
    sensitivity: str,
    seed: int,
    nodes: int,
    rate: float,
    detector: str,
    behaviour: str = "plain",
) -> tuple[float, float, int]:
    """Returns the detection time, the time of the first request after the fault, and the number of
    floor violations.
    """
    faulty_upstream = seed % 8
    # The baseline updates each node at another time; the fault may start at any point between.
    fault_window_s = SWEEP_S if detector == BASELINE else 1.0
    limit_s = BASELINE_LIMIT_S if detector == BASELINE else LIMIT_S
    since_s = WARM_UP_S + Random(seed).random() * fault_window_s
    upstreams = streaming if behaviour == "streaming" else faulty
    behave = upstreams(kind, faulty_upstream, since_s)
    stagger_s = SWEEP_S if detector == BASELINE else FLUSH_INTERVAL_S
    fleet = Fleet(build_service(sensitivity), nodes, rate, behave, seed, detector, stagger_s)
    fleet.run(since_s)
    fleet.first_sent_s[faulty_upstream] = NEVER
    fleet.last_sent_s[faulty_upstream] = since_s
    fleet.run(
        since_s + limit_s,
        lambda: not any(fleet.routes_to(node, faulty_upstream) for node in range(nodes)),
    )
    if any(fleet.routes_to(node, faulty_upstream) for node in range(nodes)):
        detected_s = NEVER
    else:
        detected_s = fleet.last_sent_s[faulty_upstream] - since_s
    first_s = fleet.first_sent_s[faulty_upstream] - since_s
    return detected_s, first_s, fleet.floor_violations


def _trial(arguments: tuple[str, str, int, int, float, str, str]) -> tuple[float, float, int]:
    return trial(*arguments)


def percentiles(values: Iterable[float]) -> tuple[float, float]:
    """Returns the median and the 99th percentile."""
    ordered = sorted(min(value, BASELINE_LIMIT_S) for value in values)
    cuts = quantiles(ordered, n=100, method="inclusive")
    return cuts[49], cuts[98]


def detection_rows(
    suffix: str,
    sensitivity: str,
    *,
    nodes: int = 4,
    rate: float = 100.0,
    detector: str = "likelihood_ratio",
    trials: int = TRIALS,
    faults: Sequence[str] = FAULTS,
    behaviour: str = "plain",
) -> list[Row]:
    """Returns the detection times of each fault; 60 s means that it was not detected."""
    rows: list[Row] = []
    violations = 0
    with ProcessPoolExecutor(WORKERS) as pool:
        for kind in faults:
            jobs = [
                (kind, sensitivity, seed, nodes, rate, detector, behaviour)
                for seed in range(trials)
            ]
            results = list(pool.map(_trial, jobs, chunksize=8))
            p50_s, p99_s = percentiles(result[0] for result in results)
            rows.append((f"detect_{kind}_p50_s_{suffix}", p50_s, "s"))
            rows.append((f"detect_{kind}_p99_s_{suffix}", p99_s, "s"))
            violations += sum(result[2] for result in results)
            print(f"{suffix} {kind}: {p50_s:.3f} {p99_s:.3f}", file=sys.stderr, flush=True)
            if kind == "stall":
                first = percentiles(result[1] for result in results)
                rows.append((f"first_request_p50_s_{suffix}", first[0], "s"))
                rows.append((f"first_request_p99_s_{suffix}", first[1], "s"))
    rows.append((f"floor_violations_{suffix}", float(violations), ""))
    return rows


class NormalTraffic:
    """Healthy upstreams with disturbances that must not be detected as faults.

    One request in 100 has a Pareto tail (exponent 1.5) from five times the median; one in 1,000
    fails. Each upstream sheds half of its requests for 20 s every half hour, and restarts cold
    every hour, at first ten times slower. Each node has a local fault for 3 s every hour: all or
    three in ten of its requests stall, or all take 0.2 s longer. One caller in 100 reads slowly.
    """

    def __init__(self, seed: int, offset_s: float) -> None:
        self._random = Random(seed)
        self._offset_s = offset_s

    def __call__(self, now_s: float, node: int, upstream: int, rng: Random) -> Response:
        time_s = now_s + self._offset_s
        if (time_s + 225 * upstream) % 1800 < 20 and rng.random() < 0.5:
            return Response(0.001, 0.001, ExchangeOutcome.REFUSED)
        latency_s = MEDIAN_S * rng.lognormvariate(0.0, SIGMA)
        if rng.random() < 0.01:
            latency_s = min(5 * MEDIAN_S * rng.paretovariate(1.5), 10.0)
        cold_s = (time_s + 450 * upstream + 100) % 3600
        cold = cold_s < 5
        if cold:
            latency_s *= 1 + 9 * (1 - cold_s / 5)
        first_s = latency_s * 0.9
        outcome = ExchangeOutcome.OK if rng.random() > 0.001 else ExchangeOutcome.SERVER_ERROR
        local_fault_s = (time_s + 900 * node + 300) % 3600
        if local_fault_s < 3:
            kind = int((time_s + 900 * node + 300) // 3600) % 3
            if kind == 2:
                latency_s += 0.2
                first_s += 0.2
            elif kind == 0 or rng.random() < 0.3:
                return Response(8.0, 8.0, ExchangeOutcome.BROKEN)
        if rng.random() < 0.01:
            return Response(first_s, latency_s + 3.0, ExchangeOutcome.ABANDONED, cold)
        return Response(first_s, latency_s, outcome, cold)


def _run_normal_traffic(
    arguments: tuple[str, int, float, float, float, str],
) -> tuple[list[tuple[float, str, str, str]], int, int, int]:
    sensitivity, seed, offset_s, length_s, rate, detector = arguments
    fleet = Fleet(
        build_service(sensitivity), 4, rate, NormalTraffic(seed, offset_s), seed, detector
    )
    fleet.run(length_s)
    removals = [
        (time_s + offset_s, change.address, f"n{node} {change.after}", change.reason)
        for time_s, node, change in fleet.changes
        if change.after in ("avoided", "ejected")
    ]
    return removals, fleet.requests, fleet.floor_violations, fleet.messages


def false_ejection_rows(
    suffix: str,
    sensitivity: str,
    *,
    hours: float = 24.0,
    rate: float = 10.0,
    detector: str = "likelihood_ratio",
) -> list[Row]:
    """Returns the removals of healthy upstreams; those of one upstream within 10 s count once."""
    parts = max(WORKERS, int(hours))
    length_s = hours * 3600 / parts
    jobs = [(sensitivity, part, part * length_s, length_s, rate, detector) for part in range(parts)]
    incidents = 0
    removals = requests = violations = messages = 0
    with ProcessPoolExecutor(WORKERS) as pool:
        for part, result in enumerate(pool.map(_run_normal_traffic, jobs)):
            last: dict[str, float] = {}
            for time_s, address, state, reason in result[0]:
                removals += 1
                if time_s - last.get(address, -NEVER) > 10.0:
                    incidents += 1
                last[address] = time_s
                print(f"{suffix} {time_s:.1f} {address} {state}: {reason}", file=sys.stderr)
            requests += result[1]
            violations += result[2]
            messages += result[3]
            print(f"{suffix} part {part + 1} of {parts}", file=sys.stderr, flush=True)
    label = "24h" if hours == 24 else f"{hours:g}h"
    return [
        (f"false_ejections_{label}_{suffix}", float(incidents), ""),
        (f"false_removals_by_node_{label}_{suffix}", float(removals), ""),
        (f"requests_{label}_{suffix}", float(requests), ""),
        (f"messages_per_node_s_{label}_{suffix}", messages / 4 / hours / 3600, "1/s"),
        (f"floor_violations_{label}_{suffix}", float(violations), ""),
    ]


def phase_rows() -> list[Row]:
    """Compares evidence from whole exchanges with evidence up to the first byte."""
    rows: list[Row] = []
    for name, detector in PHASES.items():
        rows += detection_rows(
            f"plain_{name}", "fast", detector=detector, trials=PHASE_TRIALS, faults=("stall",)
        )
        rows += detection_rows(
            f"streaming_{name}",
            "fast",
            detector=detector,
            trials=PHASE_TRIALS,
            faults=("stall", "slow"),
            behaviour="streaming",
        )
        rows += false_ejection_rows(name, "fast", hours=0.25, rate=100.0, detector=detector)
    return rows


def body_rows() -> list[Row]:
    """Compares the same detectors for responses that begin but never end."""
    rows: list[Row] = []
    for name, detector in PHASES.items():
        rows += detection_rows(
            f"streaming_{name}",
            "fast",
            detector=detector,
            trials=PHASE_TRIALS // 2,
            faults=("body",),
            behaviour="streaming",
        )
    return rows


def main() -> None:
    """Prints the rows of the parts given on the command line, or of all parts."""
    parts = sys.argv[1:] or [
        "cost",
        "detection",
        "lone",
        "baseline",
        "phases",
        "body",
        "day",
        "full",
    ]
    rows: list[Row] = []
    for suffix, sensitivity in SETTINGS.items():
        if "detection" in parts:
            rows += detection_rows(suffix, sensitivity)
        if "lone" in parts:
            rows += detection_rows(f"lone_{suffix}", sensitivity, nodes=1, rate=20.0)
        if "day" in parts:
            rows += false_ejection_rows(suffix, sensitivity)
        if "full" in parts:
            rows += false_ejection_rows(suffix, sensitivity, hours=1.0, rate=100.0)
    if "baseline" in parts:
        rows += detection_rows("baseline", "fast", detector=BASELINE, trials=BASELINE_TRIALS)
    if "cost" in parts:
        rows += cost_rows()
    if "phases" in parts:
        rows += phase_rows()
    if "body" in parts:
        rows += body_rows()
    print(tabulate(rows, headers=("name", "value", "unit"), floatfmt=".3f"))


if __name__ == "__main__":
    main()
