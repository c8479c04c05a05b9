"""TCP relay that injects network faults: one-way and full partitions, silence and resets."""

from standins.relay._control import RelayControl
from standins.relay._relay import Connection, Direction, Relay

__all__ = ["Connection", "Direction", "Relay", "RelayControl"]
