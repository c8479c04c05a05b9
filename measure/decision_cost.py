"""Elapsed time of one routing decision and of other steps of a request."""

import sys
import time
from collections.abc import Callable
from random import Random

from anviltray.decisions import ExchangeOutcome, RoutableSet, RoutableUpstream
from anviltray.decisions.attempts import AttemptTable
from anviltray.decisions.limits import Admission
from anviltray.decisions.routing import LoadTracker, routers
from anviltray.settings import AttemptSettings

Row = tuple[str, float, str]

_ROUNDS = 5  # The minimum of several rounds counts, because other processes share the cores.
_DECISIONS = 5000  # Per round.
_SIZES = (40, 200, 1000)


def _time_us(action: Callable[[int], object], count: int = _DECISIONS) -> float:
    best = float("inf")
    for _ in range(_ROUNDS):
        started_s = time.perf_counter()
        for number in range(count):
            action(number)
        best = min(best, time.perf_counter() - started_s)
    return best / count * 1e6


def _decision_us(name: str, size: int, load: float) -> float:
    """Returns the cost of a choice and of its load accounting at loads around `load`."""
    localities = (("r1", "r1-a"), ("r1", "r1-b"), ("r2", "r2-a"), ("r2", "r2-b"))
    upstreams = tuple(
        RoutableUpstream(f"10.0.{number // 250}.{number % 250}:80", *localities[number % 4], 6, 1.0)
        for number in range(size)
    )
    routable = RoutableSet(1, "service", tuple(sorted(upstreams)))
    rng = Random(1)
    load_tracker = LoadTracker("n1", 1)
    router = routers[name]("r1", "r1-a", load_tracker, rng)
    exclude: frozenset[str] = frozenset()

    def decide(number: int) -> None:
        now_s = number * 0.001
        chosen = router.choose(routable, now_s, exclude, False, 400)
        if chosen is not None:
            load_tracker.on_exchange_started(chosen.address)
            load_tracker.on_exchange_ended(now_s, chosen.address, 0.02, load + rng.random() * 0.1)

    return _time_us(decide)


def _admission_us() -> float:
    admission = Admission()
    admission.set_capacity(0.0, 180, 48)
    for ticket in range(4):
        admission.admit(0.0, "c", 30.0, ticket)

    def pass_through(number: int) -> None:
        now_s = number * 0.001
        admission.admit(now_s, f"c{number % 50}", now_s + 1.0, number + 4)
        admission.release(now_s, number, 0.02, ExchangeOutcome.OK)
        admission.expire(now_s)

    return _time_us_once(pass_through)


def _attempts_us() -> float:
    table = AttemptTable("n1", 1, AttemptSettings(60.0, 10, 100000, 4096, 8388608))
    prefix = table.prefix(0.0)

    def once(number: int) -> None:
        request_id = f"{prefix}{number}"
        table.on_arrival(0.0, request_id)
        table.finish(0.0, request_id, "done", None)

    return _time_us_once(once)


def _time_us_once(action: Callable[[int], object]) -> float:
    """Times an action that needs a new number in each call."""
    started_s = time.perf_counter()
    for number in range(_DECISIONS):
        action(number)
    return (time.perf_counter() - started_s) / _DECISIONS * 1e6


def measure() -> list[Row]:
    """Returns the rows of this module; at high load a decision considers all tiers."""
    rows: list[Row] = []
    for name in ("two_choices", "round_robin", "random"):
        for size in _SIZES:
            for kind, load in (("", 0.4), ("_full", 0.97)):
                print(f"decision_cost: {name} {size} {load}", file=sys.stderr, flush=True)
                label = "" if name == "two_choices" else f"_{name}"
                rows.append(
                    (f"decision_us_{size}{kind}{label}", _decision_us(name, size, load), "us")
                )
    rows.append(("admission_us", _admission_us(), "us"))
    rows.append(("attempts_us", _attempts_us(), "us"))
    return rows


def main() -> None:
    """Prints the rows."""
    for name, value, unit in measure():
        print(f"{name:55} {value:10.4f} {unit}")


if __name__ == "__main__":
    main()
