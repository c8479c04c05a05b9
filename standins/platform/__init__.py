"""Stand-in for the platform: an append-only log and a lagging host list over HTTP."""

from standins.platform._application import PlatformStandin
from standins.platform._store import Conditions, HostList, LogStore, StreamTrimmed

__all__ = ["Conditions", "HostList", "LogStore", "PlatformStandin", "StreamTrimmed"]
