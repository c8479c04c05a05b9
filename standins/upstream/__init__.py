"""Stand-in for one upstream instance, with gray faults and counted executions."""

from standins.upstream._application import UpstreamStandin
from standins.upstream._options import Faults, UpstreamOptions

__all__ = ["Faults", "UpstreamOptions", "UpstreamStandin"]
