"""Goodput, recovery, extra attempts and evenness of load in virtual time, beside baselines."""

import sys
from statistics import fmean, pstdev

from measure._load_model import Fleet, Policy, Shape

Row = tuple[str, float, str]

SHIPPED = Policy()
BASELINES = {
    "round_robin": Policy("round_robin", admission=False, retry_budget=False),
    "random": Policy("random", admission=False, retry_budget=False),
}
ORDER_DESK = Shape(upstreams=8, slots=4)
SERVICES = {
    "keeper_desk": Shape(),
    "order_desk": ORDER_DESK,
    # Instances that queue instead of shedding, up to 2.3 s of work, beyond the callers' deadline.
    "deep_queue": ORDER_DESK._replace(shed_at=100),
}


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
    """Seconds from the end of 10 s at twice the capacity until goodput equals the offered load.

    The load falls to 70 % of the capacity. In the second case refused and failed callers come back
    up to three times, so the demand stays above the capacity for longer; the second row tells how
    many new requests of the first 10 s were good without a return.
    """
    rows: list[Row] = []
    for service, shape in SERVICES.items():
        # The baselines at 30 instances take minutes and show what the smaller services show.
        baselines = {} if service == "keeper_desk" else BASELINES
        for returns in (0, 3):
            for name, policy in {"": SHIPPED, **baselines}.items():
                label = f"_{service}" + ("_returning" if returns else "")
                label += f"_{name}" if name else ""
                _progress(f"load: recovery{label}")
                fleet = Fleet(shape._replace(load=2.0, caller_retries=returns), policy, seed)
                fleet.run(10.0)
                fleet.load = 0.7
                fleet.run(32.0)
                rows.append((f"recovery_after_overload_s{label}", _recovered_s(fleet, 10, 30), "s"))
                after = range(10, 20)
                new = sum(fleet.new_good_by_second[second] for second in after)
                offered = sum(fleet.offered_by_second[second] for second in after)
                rows.append((f"new_good_after_overload{label}", new / offered, "of new requests"))
    return rows


def _recovered_s(fleet: Fleet, ended: int, last: int) -> float:
    """Returns the seconds after `ended` from which goodput equals the load until `last`."""
    for second in reversed(range(ended, last)):
        # A second may end with a few more requests in flight than it began with.
        if fleet.good_by_second[second] < 0.97 * fleet.offered_by_second[second]:
            return second + 1.0 - ended
    return 0.0


def evenness(seconds: float = 10.0, seed: int = 1) -> list[Row]:
    """Spread of the load over upstreams and latency at 70 % load, 48 nodes, stale reports."""
    rows: list[Row] = []
    shapes = {
        "keeper_desk": SERVICES["keeper_desk"],
        "order_desk": ORDER_DESK,
        "order_desk_busy": ORDER_DESK._replace(load=0.9),
        # The callers' region has only 71 % of the needed capacity, so some requests must leave it.
        "order_desk_one_region": ORDER_DESK._replace(one_region=True),
    }
    for service, shape in shapes.items():
        for name in ("two_choices", "round_robin", "random"):
            _progress(f"load: evenness {service} {name}")
            fleet = Fleet(shape, Policy(router=name), seed)
            fleet.run(3.0)
            fleet.reset()
            fleet.run(3.0 + seconds)
            loads = list(fleet.loads())
            label = f"{service}_{name}"
            rows.append((f"load_spread_{label}", pstdev(loads) / fmean(loads), "std/mean"))
            # The zones have 8, 8, 7 and 7 of 30 instances, so a preference for the own zone alone
            # spreads the load; inside a zone it should not.
            zones = [loads[start::4] for start in range(4)]
            inside = fmean(pstdev(zone) / max(1e-9, fmean(zone)) for zone in zones)
            rows.append((f"load_spread_inside_zones_{label}", inside, "std/mean"))
            rows.append((f"latency_p99_{label}", _p99_ms(fleet), "ms"))
            shed = fleet.counts["shed"] / max(1, fleet.counts["attempts"])
            rows.append((f"shed_share_{label}", shed, "of attempts"))
            far = fleet.counts["far"] / max(1, fleet.counts["attempts"])
            rows.append((f"far_share_{label}", far, "of attempts"))
    return rows


def hedging(seconds: float = 10.0, seed: int = 1) -> list[Row]:
    """Latency at 50 % load with and without a second attempt, all healthy and one 10x slower."""
    rows: list[Row] = []
    shape = SERVICES["keeper_desk"]._replace(load=0.5)
    for case, slow in (("healthy", 1.0), ("one_slow", 10.0)):
        for name, after_s in (("no_hedge", 0.0), ("hedge_60ms", 0.06), ("hedge_100ms", 0.1)):
            _progress(f"load: hedging {case} {name}")
            fleet = Fleet(shape, Policy(hedge_after_s=after_s), seed)
            fleet.instances["u000"].slow = slow
            fleet.run(3.0)
            fleet.reset()
            fleet.run(3.0 + seconds)
            started = max(1, fleet.counts["good"] + fleet.counts["failed"])
            label = f"{case}_{name}"
            rows.append((f"latency_p99_{label}", _p99_ms(fleet), "ms"))
            rows.append(
                (f"latency_p999_{label}", 1000 * _percentile(fleet.latencies_s, 0.999), "ms")
            )
            extra = fleet.counts["attempts"] / started
            rows.append((f"attempts_{label}", extra, "attempts per request"))
    return rows


_PARTS = (goodput, recovery, evenness, hedging)


def measure() -> list[Row]:
    """Returns all rows of this module."""
    return [row for part in _PARTS for row in part()]


def main() -> None:
    """Prints the rows of each part when it is done."""
    for part in _PARTS:
        for name, value, unit in part():
            print(f"{name:60} {value:10.4f} {unit}", flush=True)


if __name__ == "__main__":
    main()
