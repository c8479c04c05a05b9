"""Places requests on instances by load, distance and recent evidence."""

from anviltray.decisions.placement._evidence import (
    ACCEPTED_AFTER_S,
    EvidenceBoard,
    InstanceEvidence,
)
from anviltray.decisions.placement._placement import (
    Place,
    Placed,
    Placement,
    PlacementRequest,
    TurnedAway,
)
from anviltray.decisions.placement._shares import WeightedChoice
from anviltray.decisions.placement._unserved import UnservedShare

__all__ = [
    "ACCEPTED_AFTER_S",
    "EvidenceBoard",
    "InstanceEvidence",
    "Place",
    "Placed",
    "Placement",
    "PlacementRequest",
    "TurnedAway",
    "UnservedShare",
    "WeightedChoice",
]
