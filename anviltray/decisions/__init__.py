"""Decision policies of a node, free of I/O: they take events and the time and return actions."""

from anviltray.decisions._registry import Registry, UnknownPolicy
from anviltray.decisions._types import ExchangeOutcome, RoutableSet, RoutableUpstream

__all__ = ["ExchangeOutcome", "Registry", "RoutableSet", "RoutableUpstream", "UnknownPolicy"]
