"""`python -m standins.soak`: plays seeded runs and exits with status 1 if a rule was broken."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

import defopt

from standins.soak import (
    EVENTS,
    FEW_INSTANCES,
    FEW_INSTANCES_WORK_S,
    SoakOptions,
    Topology,
    run_soak,
)

_LISTED_VIOLATIONS = 5  # Of each rule.


def main(
    *,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 30.0,
    interval: float = 4.0,
    hosts_per_zone: int = 12,
    few_instances: bool = False,
    accounts: int = 0,
    kinds: list[str] | None = None,
    logs: Path | None = None,
) -> int:
    """Play the soak with real processes.

    :param seed: Seed of the first run; the next ones count up from it.
    :param runs: Number of runs.
    :param seconds: Duration of a run.
    :param interval: Mean number of seconds between two disturbances.
    :param hosts_per_zone: Edge hosts in each of the four availability zones.
    :param few_instances: Have fewer and faster instances, whose connections carry more requests.
    :param accounts: Client accounts, whose keys are replaced every few seconds.
    :param kinds: Kinds of disturbances; all by default.
    :param logs: Directory in which the logs of the hosts are kept, one directory for each seed.
    """
    unknown = set(kinds or ()) - set(EVENTS)
    if unknown:
        print(f"unknown kinds: {', '.join(sorted(unknown))}; known: {', '.join(EVENTS)}")
        return 2
    topology = Topology(hosts_per_zone, accounts=accounts)
    if few_instances:
        topology = topology._replace(instances=FEW_INSTANCES, work_s=FEW_INSTANCES_WORK_S)
    failed = 0
    for number in range(seed, seed + runs):
        options = SoakOptions(number, seconds, interval, tuple(kinds or EVENTS), topology)
        print(f"seed {number}", flush=True)
        directory = None if logs is None else logs / str(number)
        if directory is not None:
            directory.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(run_soak(options, directory, lambda line: print(line, flush=True)))
        for rule, count in Counter(each.rule for each in report.violations).items():
            print(f"broken: {rule}, {count} times")
            for each in [one for one in report.violations if one.rule == rule][:_LISTED_VIOLATIONS]:
                print(f"  {each.at_s:6.2f} s: {each.detail}")
        print(
            f"statuses {dict(sorted(report.statuses.items()))}, {report.arrivals} arrivals, "
            f"{report.connections} connections to instances, "
            f"{report.rejections} rejected with Retry-After, lag {report.lag_s:.2f} s, "
            f"{'broken' if report.violations else 'all rules kept'}",
            flush=True,
        )
        failed += bool(report.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
