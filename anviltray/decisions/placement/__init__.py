"""Assigns requests to instances by load, distance and estimated health."""

from anviltray.decisions.placement._evidence import (
    ACCEPTED_AFTER_S,
    ACKNOWLEDGEMENT_TIMEOUT_S,
    HealthTracker,
    InstanceHealth,
)
from anviltray.decisions.placement._placement import (
    Locality,
    Placed,
    Placement,
    PlacementRequest,
    Shed,
)
from anviltray.decisions.placement._rate_limits import RequestRateLimit, limit_share
from anviltray.decisions.placement._shares import WeightedChoice
from anviltray.decisions.placement._unserved import UnservedShare

__all__ = [
    "ACCEPTED_AFTER_S",
    "ACKNOWLEDGEMENT_TIMEOUT_S",
    "HealthTracker",
    "InstanceHealth",
    "Locality",
    "Placed",
    "Placement",
    "PlacementRequest",
    "RequestRateLimit",
    "Shed",
    "UnservedShare",
    "WeightedChoice",
    "limit_share",
]
