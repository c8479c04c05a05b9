"""Stand-in for one upstream instance, with gray failures and an execution count."""

from standins.upstream._application import UpstreamStandin
from standins.upstream._options import Faults, UpstreamOptions

__all__ = ["Faults", "UpstreamOptions", "UpstreamStandin"]
