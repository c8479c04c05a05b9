"""Membership of the fleet, implemented without I/O."""

from anviltray.state.membership._membership import (
    DIGEST_BUCKETS,
    Membership,
    MergeResult,
    Probe,
    StepResult,
)
from anviltray.state.membership._selection import (
    Location,
    rendezvous_rank,
    rendezvous_score,
    select_peers,
)

__all__ = [
    "DIGEST_BUCKETS",
    "Location",
    "Membership",
    "MergeResult",
    "Probe",
    "StepResult",
    "rendezvous_rank",
    "rendezvous_score",
    "select_peers",
]
