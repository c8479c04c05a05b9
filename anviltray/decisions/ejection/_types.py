"""Results of the ejection board."""

from typing import NamedTuple

from anviltray.messages import Ejection, Evidence


class StateChange(NamedTuple):
    """A change of one upstream for the log."""

    service: str  # Service name.
    address: str  # IP:port of the upstream.
    before: str  # State before the change.
    after: str  # State after it.
    reason: str  # Evidence behind it.


class EjectionUpdate(NamedTuple):
    """What follows from one update."""

    messages: tuple[Evidence | Ejection, ...]  # To send to the peers.
    changes: tuple[StateChange, ...]  # To log.
