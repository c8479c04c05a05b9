"""Launcher of a whole fleet on loopback addresses, for tests and manual experiments."""

from standins.fleet._fleet import Fleet, NodeHandle
from standins.fleet._handles import PlatformHandle, UpstreamHandle
from standins.fleet._plan import FleetPlan, NodePlan, ServicePlan, UpstreamPlan, small_plan
from standins.fleet._process import ManagedProcess, ProcessEnded

__all__ = [
    "Fleet",
    "FleetPlan",
    "ManagedProcess",
    "NodeHandle",
    "NodePlan",
    "PlatformHandle",
    "ProcessEnded",
    "ServicePlan",
    "UpstreamHandle",
    "UpstreamPlan",
    "small_plan",
]
