"""Spreads the configuration between nodes: nodes announce versions and pull newer ones."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from anviltray.messages import (
    ConfigAnnounce,
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
)
from anviltray.state.configuration import ConfigurationStore, split_state
from anviltray.state.exchange._link import Link

_MAX_RECORDS_BYTES = 32768  # Largest response to one request.
_CHUNK_BYTES = 8192  # Snapshot part; small, so that urgent messages can be sent between two parts.
_PULL_TIMEOUT_S = 1.5  # Time to wait for a response before asking another peer.
# A node that can pull a version only from another region first waits for a fraction of this time,
# given by its position in the rendezvous order of its region. So the payload is transferred between
# the regions about once.
_PULL_SPREAD_S = 0.5
# Number of nodes of a region that announce a change to other regions at once. If each node did, the
# announcements would use more of the link between regions than the payload. If these nodes fail,
# anti-entropy spreads the change.
_ANNOUNCERS = 2


class RegionRank(NamedTuple):
    """Position of this node in the rendezvous order of its region."""

    position: int  # From 0.
    nodes: int  # Nodes in the region.


class ConfigSync:
    """Announces each new version to the peers and pulls versions that peers announce.

    `rank` returns the position of this node in its region.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        region: str,
        links: Callable[[], Iterable[Link]],
        rank: Callable[[], RegionRank],
    ) -> None:
        self._store = store
        self._region = region
        self._links = links
        self._rank = rank
        self._pull_source: Link | None = None
        self._pull_deadline_s = 0.0
        self._failed_sources: set[Link] = set()
        self._timer: asyncio.TimerHandle | None = None
        store.subscribe(self._on_change)

    def on_link_up(self, link: Link) -> None:
        """Announces the own version to a new peer, and pulls if the peer is ahead."""
        self._store.observe_version(_now_s(), link.config_version)
        link.send(self._announcement())
        self._pull()

    def on_link_down(self, link: Link) -> None:
        """Pulls from another peer if a pull from this one was in progress."""
        self._failed_sources.discard(link)
        if self._pull_source is link:
            self._pull_source = None
            self._pull()

    def announce_to(self, link: Link) -> None:
        """Sends the own version to a peer, for anti-entropy."""
        link.send(self._announcement())

    def on_announce(self, link: Link, message: ConfigAnnounce) -> None:
        """Compares the version of a peer with the own version."""
        link.config_version = message.version
        self._store.observe_version(_now_s(), message.version)
        if message.version == self._store.version:
            if not self._store.verify_digest(message.version, message.digest, link.peer.node):
                self._failed_sources.add(link)
                self._pull()
        elif message.version < self._store.version:
            link.send(self._announcement())
        else:
            self._pull()

    def on_request(self, link: Link, message: ConfigRequest) -> None:
        """Responds with records, or with a snapshot if this node no longer has the records."""
        version = self._store.version
        records = self._store.records_after(message.after_version, _MAX_RECORDS_BYTES)
        if records is None:
            for part in split_state(self._store.fold.state(), _CHUNK_BYTES):
                link.send(ConfigSnapshot(part))
            return
        last = records[-1].offset if records else version
        digest = self._store.fold.digest if last == version else ""
        link.send(ConfigRecords(message.after_version, records, last, digest))

    def on_records(self, link: Link, message: ConfigRecords) -> None:
        """Applies pulled records."""
        self._end_pull(link)
        self._store.apply(_now_s(), message.records)
        if message.digest and not self._store.verify_digest(
            message.version, message.digest, link.peer.node
        ):
            self._failed_sources.add(link)
        elif self._store.version < message.version:
            # There is a gap before the records, or this node cannot read them.
            self._failed_sources.add(link)
        self._pull()

    def on_snapshot(self, link: Link, message: ConfigSnapshot) -> None:
        """Adds one part; a later announcement of the same version verifies the state."""
        if self._pull_source is link:
            self._pull_deadline_s = _now_s() + _PULL_TIMEOUT_S
        complete = message.part.chunk_index == message.part.chunk_count - 1
        if self._store.add_snapshot_part(_now_s(), message.part):
            self._end_pull(link)
            self._failed_sources.clear()
            # The response contains the digest of the peer, which confirms the state if it is equal.
            link.send(ConfigRequest(self._store.version))
        elif complete and self._pull_source is link:
            self._end_pull(link)
            self._failed_sources.add(link)
        self._pull()

    def retry(self) -> None:
        """Pulls again, also from peers that failed before; called at intervals."""
        self._failed_sources.clear()
        self._pull()

    def _announcement(self) -> ConfigAnnounce:
        return ConfigAnnounce(self._store.version, self._store.fold.digest)

    def _on_change(self, _: frozenset[str]) -> None:
        announcement = self._announcement()
        announces_to_other_regions = self._rank().position < _ANNOUNCERS
        for link in self._links():
            same_region = link.peer.region == self._region
            if link.config_version < announcement.version and (
                same_region or announces_to_other_regions
            ):
                link.send(announcement)

    def _end_pull(self, link: Link) -> None:
        if self._pull_source is link:
            self._pull_source = None

    def _pull(self) -> None:
        """Pulls from the best peer with a newer version, unless a pull is in progress."""
        now_s = _now_s()
        if self._store.fold.stop_reason:
            return
        if self._pull_source is not None:
            if now_s < self._pull_deadline_s:
                self._schedule_pull(self._pull_deadline_s)
                return
            self._failed_sources.add(self._pull_source)
            self._pull_source = None
        sources = [
            link
            for link in self._links()
            if link.config_version > self._store.version and link not in self._failed_sources
        ]
        region_sources = [link for link in sources if link.peer.region == self._region]
        if not region_sources and sources:
            since_s = self._store.behind_since_s
            waited_s = now_s - since_s if since_s is not None else 0.0
            rank = self._rank()
            delay_s = _PULL_SPREAD_S * rank.position / max(1, rank.nodes)
            if waited_s < delay_s:
                self._schedule_pull(now_s + delay_s - waited_s)
                return
        chosen = max(region_sources or sources, key=lambda link: link.config_version, default=None)
        if chosen is None:
            return
        self._pull_source = chosen
        self._pull_deadline_s = now_s + _PULL_TIMEOUT_S
        self._schedule_pull(self._pull_deadline_s)
        chosen.send(ConfigRequest(self._store.version))

    def _schedule_pull(self, time_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(time_s + 0.001, self._pull)

    def close(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
