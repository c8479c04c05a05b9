"""Goodput, recovery, retries and load balance in virtual time, compared with baselines."""

import sys
from statistics import fmean, pstdev

from measure._load_model import Fleet, Policy, Scenario

Row = tuple[str, float, str]

SHIPPED = Policy()
BASELINES = {
    "round_robin": Policy("round_robin", admission=False, retry_budget=False),
    "random": Policy("random", admission=False, retry_budget=False),
}
ORDER_DESK = Scenario(upstreams=8, slots=4)
SERVICES = {
    "keeper_desk": Scenario(),
    "order_desk": ORDER_DESK,
    # Instances that queue up to 2.3 s of work instead of shedding, beyond the callers' deadline.
    "deep_queue": ORDER_DESK._replace(shed_at=100),
}


def _progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def goodput(seconds: float = 10.0, seed: int = 1) -> list[Row]:
    """Returns the goodput at twice the capacity as a share of the capacity."""
    rows: list[Row] = []
    for service, scenario in SERVICES.items():
        for skew in (0.0, 0.5):
            suffix = f"_{service}" + ("_skewed" if skew else "")
            for name, policy in {"": SHIPPED, **BASELINES}.items():
                label = suffix + (f"_{name}" if name else "")
                _progress(f"load: goodput at twice the capacity{label}")
                fleet = Fleet(scenario._replace(load=2.0, skew=skew), policy, seed)
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
    """Returns the time after 10 s at twice the capacity until goodput equals the offered load.

    The load falls to 70 % of the capacity. In the second case rejected and failed callers retry up
    to three times, so that the demand stays above the capacity for longer; the second row is the
    share of the new requests of the next 10 s that succeeded without a retry of the caller.
    """
    rows: list[Row] = []
    for service, scenario in SERVICES.items():
        # With 30 instances the baselines take minutes and add nothing to the smaller services.
        baselines = {} if service == "keeper_desk" else BASELINES
        for returns in (0, 3):
            for name, policy in {"": SHIPPED, **baselines}.items():
                label = f"_{service}" + ("_returning" if returns else "")
                label += f"_{name}" if name else ""
                _progress(f"load: recovery{label}")
                fleet = Fleet(scenario._replace(load=2.0, caller_retries=returns), policy, seed)
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
        # Allows for a second that ends with a few more requests in flight than it began with.
        if fleet.good_by_second[second] < 0.97 * fleet.offered_by_second[second]:
            return second + 1.0 - ended
    return 0.0


def evenness(seconds: float = 10.0, seed: int = 1) -> list[Row]:
    """Returns the load balance and latency at 70 % load with 48 nodes and outdated load reports."""
    rows: list[Row] = []
    scenarios = {
        "keeper_desk": SERVICES["keeper_desk"],
        "order_desk": ORDER_DESK,
        "order_desk_busy": ORDER_DESK._replace(load=0.9),
        # The callers' region has only 71 % of the required capacity; some requests must leave it.
        "order_desk_one_region": ORDER_DESK._replace(one_region=True),
    }
    for service, scenario in scenarios.items():
        for name in ("two_choices", "round_robin", "random"):
            _progress(f"load: evenness {service} {name}")
            fleet = Fleet(scenario, Policy(router=name), seed)
            fleet.run(3.0)
            fleet.reset()
            fleet.run(3.0 + seconds)
            loads = list(fleet.loads())
            label = f"{service}_{name}"
            rows.append((f"load_spread_{label}", pstdev(loads) / fmean(loads), "std/mean"))
            # The zones have 8, 8, 7 and 7 of 30 instances, so the preference for the own zone makes
            # the load uneven between zones; within a zone it should be even.
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
    """Returns latencies at 50 % load with and without hedging, all healthy or one 10x slower."""
    rows: list[Row] = []
    scenario = SERVICES["keeper_desk"]._replace(load=0.5)
    for case, slow in (("healthy", 1.0), ("one_slow", 10.0)):
        for name, after_s in (("no_hedge", 0.0), ("hedge_60ms", 0.06), ("hedge_100ms", 0.1)):
            _progress(f"load: hedging {case} {name}")
            fleet = Fleet(scenario, Policy(hedge_after_s=after_s), seed)
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
    """Prints the rows of each part as soon as it is complete."""
    for part in _PARTS:
        for name, value, unit in part():
            print(f"{name:60} {value:10.4f} {unit}", flush=True)


if __name__ == "__main__":
    main()
