"""TCP relay between two ends that can lose one direction, both, or go silent."""

from standins.relay._control import RelayControl
from standins.relay._relay import Connection, Direction, Relay

__all__ = ["Connection", "Direction", "Relay", "RelayControl"]
