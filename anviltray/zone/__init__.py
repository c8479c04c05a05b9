"""Communication within one availability zone: beacons, health evidence and store state."""

from anviltray.zone._exchange import ZoneExchange
from anviltray.zone._follower import StoreFollower
from anviltray.zone._hosts import STANDBY, HostTable, ZoneHost
from anviltray.zone._snapshots import (
    SNAPSHOT_CODING,
    SNAPSHOT_PATH,
    SnapshotUnavailable,
    encode_snapshot,
    fetch_snapshot,
)

__all__ = [
    "SNAPSHOT_CODING",
    "SNAPSHOT_PATH",
    "STANDBY",
    "HostTable",
    "SnapshotUnavailable",
    "StoreFollower",
    "ZoneExchange",
    "ZoneHost",
    "encode_snapshot",
    "fetch_snapshot",
]
