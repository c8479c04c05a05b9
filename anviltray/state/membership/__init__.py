"""Membership of the fleet as pure rules."""

from anviltray.state.membership._membership import BUCKETS, Membership, Merge, Probe, Step
from anviltray.state.membership._selection import (
    Location,
    rendezvous_rank,
    rendezvous_score,
    select_peers,
)

__all__ = [
    "BUCKETS",
    "Location",
    "Membership",
    "Merge",
    "Probe",
    "Step",
    "rendezvous_rank",
    "rendezvous_score",
    "select_peers",
]
