"""Outlier ejection: which upstreams of a service a node routes to, within the capacity floor."""

from anviltray.decisions.ejection._ejector import OutlierEjector
from anviltray.decisions.ejection._floor import Candidate, floor_slots, select_removals
from anviltray.decisions.ejection._member import MemberState
from anviltray.decisions.ejection._types import EjectionUpdate, StateChange

__all__ = [
    "EjectionUpdate",
    "Candidate",
    "OutlierEjector",
    "MemberState",
    "StateChange",
    "floor_slots",
    "select_removals",
]
