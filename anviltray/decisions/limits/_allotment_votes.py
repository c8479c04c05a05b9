"""Decides which host of an availability zone grants how much of the allotted rates.

Load pattern: hundreds of hosts, each of which gets less than one request a second of an account. A
part of the rate for each host would be too small to be of use, so one host of the zone grants
requests to all of them.

No two hosts may grant the same part, also while hosts do not hear each other or are suspended. Each
host has one vote for each group of accounts, and a granting host grants by the votes that it holds.
A vote is lent for a short time: the receiver counts that time from the beacon that the vote
responds to, and the voter from the arrival of that beacon, which is later. So a vote never counts
twice, whatever is lost, late or duplicated.
"""

from collections.abc import Collection
from typing import NamedTuple

import xxhash

# Accounts are divided into this many groups, so that a large zone can have several granting hosts.
GROUPS = 16
ALL_GROUPS = (1 << GROUPS) - 1
# A vote counts for this long, two intervals of beacons, as timers may be late. Also the time for
# which a host that has started does not vote, since the vote of its previous process may still
# count.
VOTE_LIFETIME_S = 1.0
# One granting host for this many ready hosts of a zone.
_HOSTS_PER_LEADER = 32


def group_of(account: str) -> int:
    """Returns the group of an account."""
    return _rank(account) % GROUPS


def choose_leaders(ready: Collection[str], alive: int) -> tuple[str, ...]:
    """Returns the host that grants each group of accounts for a zone; empty if no host is ready.

    They are the first `ready` hosts in the order of a hash, one for each 32 of the hosts that are
    `alive`. A host that is added or removed further down in the order changes nothing; it is the
    order of the serving hosts (`decisions.entry`), whose number follows the traffic.
    """
    if not ready:
        return ()
    first = sorted(ready, key=_rank)[: 1 + alive // _HOSTS_PER_LEADER]
    return tuple(max(first, key=lambda host: _rank(f"{group}\0{host}")) for group in range(GROUPS))


def _rank(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def granted_share(votes: int, hosts: int) -> float:
    """Returns the share of the zone's part that `votes` of `hosts` votes allow to grant.

    Disjoint sets of voters never get more than the whole. A large majority gets nearly all, since
    most hosts that are cut off have lost their callers too; a few hosts get next to nothing.

    Example: five sixths of the votes give 0.96, one of thirty 0.001.
    """
    part = min(1.0, votes / hosts)
    return part**2 / (part**2 + (1.0 - part) ** 2)


class _Pledge(NamedTuple):
    leader: str  # IP address of the host that may count the vote; empty if unknown.
    incarnation: int  # Its incarnation, by the beacon that was responded to.
    sequence: int  # Sequence of that beacon.
    until_s: float  # Time from which no host counts the vote.


class VoteBook:
    """The votes of one host, and for whom they are.

    `first_start` is true if no previous process of this host can have voted.
    """

    def __init__(self, now_s: float, *, first_start: bool) -> None:
        until_s = now_s if first_start else now_s + VOTE_LIFETIME_S
        self._pledges = [_Pledge("", 0, 0, until_s)] * GROUPS

    def pledge(
        self,
        now_s: float,
        heard_s: float,
        leader: str,
        incarnation: int,
        sequence: int,
        groups: int,
    ) -> int:
        """Votes for a host in response to its beacon, which came at `heard_s`.

        Returns the groups it gets votes for, as a bit mask like `groups`. A vote that another host
        may still count stays there.
        """
        given = 0
        for group, current in enumerate(self._pledges):
            if groups >> group & 1 and (current.leader == leader or current.until_s <= now_s):
                until_s = max(heard_s + VOTE_LIFETIME_S, current.until_s)
                self._pledges[group] = _Pledge(leader, incarnation, sequence, until_s)
                given |= 1 << group
        return given

    def release(self, now_s: float, leader: str, incarnation: int, sequence: int) -> None:
        """Takes the votes back from a host that says in its beacon that it counts none any more."""
        for group, current in enumerate(self._pledges):
            same_process = (current.leader, current.incarnation) == (leader, incarnation)
            if same_process and current.sequence < sequence:
                self._pledges[group] = current._replace(until_s=now_s)

    def held_by(self, now_s: float, leader: str) -> int:
        """Returns the groups for which a host may count the vote, as a bit mask."""
        return sum(
            1 << group
            for group, pledge in enumerate(self._pledges)
            if pledge.leader == leader and pledge.until_s > now_s
        )

    def holder(self, now_s: float, group: int) -> str:
        """Returns the host that may count the vote for a group, or an empty string."""
        pledge = self._pledges[group]
        return pledge.leader if pledge.until_s > now_s else ""


class _Vote(NamedTuple):
    expires_s: float  # Time from which it does not count.
    hosts: int  # Hosts of the zone that the voter knows.


class _Drop(NamedTuple):
    integral_s: float  # Integral of the share when it fell.
    share: float  # Share after that.


class VoteCount:
    """The votes that one host holds for one group of accounts, and the share that they allow.

    `integral_s` is the integral of the share over time: what accrues at a rate, accrues by its
    increase. What has accrued before the share fell is limited by `drops`.
    """

    def __init__(self, now_s: float) -> None:
        self.share = 0.0
        self.integral_s = 0.0
        # The latest falls of the share, without those that a later and deeper one makes irrelevant.
        self.drops: list[_Drop] = []
        self._votes: dict[str, _Vote] = {}
        self._updated_s = now_s
        self._next_expiry_s = float("inf")
        self._resigned = False

    def add(self, now_s: float, voter: str, expires_s: float, hosts: int) -> None:
        """Adds or renews a vote; `hosts` is the number of hosts of the zone that voter knows."""
        self.advance(now_s)
        previous = self._votes.get(voter)
        if expires_s <= now_s or (previous is not None and previous.expires_s >= expires_s):
            return
        self._votes[voter] = _Vote(expires_s, hosts)
        self._next_expiry_s = min(self._next_expiry_s, expires_s)
        self._set_share()

    def resign(self, now_s: float) -> None:
        """Counts no votes from now on, since this host is about to end."""
        self.advance(now_s)
        self._resigned = True
        self._set_share()

    def advance(self, now_s: float) -> None:
        """Drops expired votes and updates the share and its integral.

        If votes have expired since the latest call, the lower share counts for the whole time.
        """
        if self._next_expiry_s <= now_s:
            self._votes = {
                voter: vote for voter, vote in self._votes.items() if vote.expires_s > now_s
            }
            self._next_expiry_s = min(
                (vote.expires_s for vote in self._votes.values()), default=float("inf")
            )
            self._set_share()
        self.integral_s += self.share * max(0.0, now_s - self._updated_s)
        self._updated_s = max(self._updated_s, now_s)

    def _set_share(self) -> None:
        votes = len(self._votes)
        share = 0.0
        if votes and not self._resigned:
            hosts = max(votes, *(vote.hosts for vote in self._votes.values()))
            share = granted_share(votes, hosts)
        if share < self.share:
            while self.drops and self.drops[-1].share >= share:
                self.drops.pop()
            self.drops.append(_Drop(self.integral_s, share))
        self.share = share
