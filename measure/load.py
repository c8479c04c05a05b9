"""Goodput, recovery, extra attempts and evenness of load in virtual time, beside baselines."""

import sys
from statistics import fmean, pstdev

from measure._fleet import Fleet, Policy, Shape

Row = tuple[str, float, str]

SHIPPED = Policy()
BASELINES = {
    "round_robin": Policy("round_robin", admission=False, retry_budget=False),
    "random": Policy("random", admission=False, retry_budget=False),
}
SERVICES = {"keeper_desk": Shape(), "order_desk": Shape(upstreams=8, slots=4)}


def _progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def goodput(seconds: float = 10.0, seed: int = 1) -> list[Row]:
    """Responses within the deadline per second at twice the capacity, against the capacity."""
    rows: list[Row] = []
    for service, shape in SERVICES.items():
        for skew in (0.0, 0.5):
            suffix = f"_{service}" + ("_skewed" if skew else "")
            for name, policy in {"": SHIPPED, **BASELINES}.items():
                label = suffix + (f"_{name}" if name else "")
                _progress(f"load: goodput at twice the capacity{label}")
                fleet = Fleet(shape._replace(load=2.0, skew=skew), policy, seed)
                fleet.run(5.0)
                fleet.reset()
                fleet.run(5.0 + seconds)
                ratio = fleet.counts["good"] / seconds / fleet.capacity
                started = max(1, fleet.counts["good"] + fleet.counts["failed"])
                extra = fleet.counts["attempts"] / started
                rows.append((f"goodput_2x_overload_ratio{label}", ratio, "of capacity"))
                rows.append((f"retry_amplification{label}", extra, "attempts per request"))
                rows.append((f"latency_2x_p99{label}", _p99_ms(fleet), "ms"))
    return rows


def _p99_ms(fleet: Fleet) -> float:
    return 1000 * _percentile(fleet.latencies_s, 0.99)


def recovery(seed: int = 1) -> list[Row]:
    """Seconds from the end of 10 s at twice the capacity until 99 % of new requests are good.

    The load falls to 70 % of the capacity. In the second case refused callers come back up to three
    times, and a request that was good only after such a return does not count.
    """
    rows: list[Row] = []
    for service, shape in SERVICES.items():
        for returns in (0, 3):
            for name, policy in {"": SHIPPED, **BASELINES}.items():
                label = f"_{service}" + ("_returning" if returns else "")
                label += f"_{name}" if name else ""
                _progress(f"load: recovery{label}")
                fleet = Fleet(shape._replace(load=2.0, caller_retries=returns), policy, seed)
                fleet.run(10.0)
                fleet.load = 0.7
                fleet.run(42.0)
                row = f"recovery_after_overload_s{label}"
                rows.append((row, _recovered_s(fleet, 10, 40), "s"))
    return rows


def _recovered_s(fleet: Fleet, ended: int, last: int) -> float:
    """Returns the seconds after `ended` from which all seconds until `last` are good."""
    for second in reversed(range(ended, last)):
        if fleet.good_by_second[second] < 0.99 * fleet.offered_by_second[second]:
            return second + 1.0 - ended
    return 0.0


def evenness(seconds: float = 10.0, seed: int = 1) -> list[Row]:
    """Spread of the load over upstreams and latency at 70 % load, 48 nodes, stale reports."""
    rows: list[Row] = []
    for service, shape in SERVICES.items():
        for name in ("two_choices", "round_robin", "random"):
            _progress(f"load: evenness {service} {name}")
            fleet = Fleet(shape, Policy(router=name), seed)
            fleet.run(3.0)
            fleet.reset()
            fleet.run(3.0 + seconds)
            loads = list(fleet.loads())
            label = f"{service}_{name}"
            rows.append((f"load_spread_{label}", pstdev(loads) / fmean(loads), "std/mean"))
            rows.append((f"latency_p99_{label}", _p99_ms(fleet), "ms"))
            shed = fleet.counts["shed"] / max(1, fleet.counts["attempts"])
            rows.append((f"shed_share_{label}", shed, "of attempts"))
            far = fleet.counts["far"] / max(1, fleet.counts["attempts"])
            rows.append((f"far_share_{label}", far, "of attempts"))
    return rows


def measure() -> list[Row]:
    """Returns all rows of this module."""
    return goodput() + recovery() + evenness()


def main() -> None:
    """Prints the rows."""
    for name, value, unit in measure():
        print(f"{name:55} {value:10.4f} {unit}")


if __name__ == "__main__":
    main()
