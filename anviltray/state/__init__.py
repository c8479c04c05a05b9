"""State shared between nodes: configuration, membership, and the tasks that update them."""

from anviltray.state._host_poller import HostListPoller
from anviltray.state._log_follower import LogFollower, ReaderRanks
from anviltray.state._publisher import CommandOutcome, CommandPublisher
from anviltray.state._ranks import reader_ranks, snapshot_rank
from anviltray.state._snapshots import SnapshotWriter, read_newest_snapshot
from anviltray.state._tasks import EmptyKey, StateTasks, load_key

__all__ = [
    "CommandOutcome",
    "CommandPublisher",
    "EmptyKey",
    "HostListPoller",
    "LogFollower",
    "ReaderRanks",
    "SnapshotWriter",
    "StateTasks",
    "load_key",
    "read_newest_snapshot",
    "reader_ranks",
    "snapshot_rank",
]
