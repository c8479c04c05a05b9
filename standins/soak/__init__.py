"""Soak of edge hosts as real processes, with instances, callers and a store in one more process.

A seeded plan disturbs hosts, instances and the store while callers send requests over kept
connections. What callers and instances have seen is checked against the rules on retries and on
instances that ask for fewer requests.
"""

from standins.soak._deployment import (
    FEW_INSTANCES,
    FEW_INSTANCES_WORK_S,
    Deployment,
    Topology,
)
from standins.soak._plan import EVENTS, build_plan
from standins.soak._rules import Bounds, Observations, Violation, check
from standins.soak._run import SoakOptions, SoakReport, run_soak

__all__ = [
    "Bounds",
    "Deployment",
    "EVENTS",
    "FEW_INSTANCES",
    "FEW_INSTANCES_WORK_S",
    "Observations",
    "SoakOptions",
    "SoakReport",
    "Topology",
    "Violation",
    "build_plan",
    "check",
    "run_soak",
]
