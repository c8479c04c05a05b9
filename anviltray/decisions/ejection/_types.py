"""Results of an update of the ejector."""

from typing import NamedTuple

from anviltray.messages import Ejection, Evidence


class StateChange(NamedTuple):
    """A change of the ejection state of one upstream."""

    service: str  # Service name.
    address: str  # IP:port of the upstream.
    before: str  # State before the change.
    after: str  # State after the change.
    reason: str  # Evidence that led to the change.


class EjectionUpdate(NamedTuple):
    """Messages and state changes that follow from one update."""

    messages: tuple[Evidence | Ejection, ...]  # To send to the peers.
    changes: tuple[StateChange, ...]  # To log.
