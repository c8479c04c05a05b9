"""Positions of a node in the rendezvous orders that assign the log tasks."""

from anviltray.state._log_follower import ReaderRanks
from anviltray.state.membership import Membership, rendezvous_rank


def reader_ranks(membership: Membership) -> ReaderRanks:
    """Returns the positions of this node among the log readers of its region and zone."""
    own = membership.own
    region = [member for member in membership.serving() if member.region == own.region]
    zone = [member.node for member in region if member.zone == own.zone]
    # With the same key for both orders, the first reader of a region is also the first of its zone.
    key = f"log|{own.region}"
    return ReaderRanks(
        rendezvous_rank(key, own.node, [member.node for member in region]),
        rendezvous_rank(key, own.node, zone),
    )


def snapshot_rank(membership: Membership) -> int:
    """Returns the position of this node among the snapshot writers of the fleet."""
    nodes = [member.node for member in membership.serving()]
    return rendezvous_rank("snapshot", membership.own.node, nodes)
