"""Spreads the configuration between nodes: announce, then pull."""

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

_RECORDS_BYTES = 32768  # Largest answer to one request.
_CHUNK_BYTES = 8192  # Snapshot part, small enough to let urgent messages pass between two parts.
_PULL_TIMEOUT_S = 1.5  # Wait for an answer before another peer is asked.
# A node that hears of a version only from another region waits for a share of this time, by its
# position in the rendezvous order of its region, so that the payload crosses about once.
_SPREAD_S = 0.5
# Nodes of a region that announce a change to other regions at once. If each node did, the
# announcements would take more of the link than the payload. Anti-entropy covers their failure.
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
        self._asked: Link | None = None
        self._asked_until_s = 0.0
        self._failed: set[Link] = set()
        self._timer: asyncio.TimerHandle | None = None
        store.subscribe(self._on_change)

    def link_up(self, link: Link) -> None:
        """Greets a new peer with the own version."""
        self._store.observe_version(_now_s(), link.config_version)
        link.send(self._announcement())
        self._pull()

    def link_down(self, link: Link) -> None:
        """Asks another peer if the pull was at this one."""
        self._failed.discard(link)
        if self._asked is link:
            self._asked = None
            self._pull()

    def announce_to(self, link: Link) -> None:
        """Sends the own version, for anti-entropy."""
        link.send(self._announcement())

    def on_announce(self, link: Link, message: ConfigAnnounce) -> None:
        """Compares a peer's version with the own one."""
        link.config_version = message.version
        self._store.observe_version(_now_s(), message.version)
        if message.version == self._store.version:
            if not self._store.verify_digest(message.version, message.digest, link.peer.node):
                self._failed.add(link)
                self._pull()
        elif message.version < self._store.version:
            link.send(self._announcement())
        else:
            self._pull()

    def on_request(self, link: Link, message: ConfigRequest) -> None:
        """Answers with records, or with a snapshot if they are no longer here."""
        version = self._store.version
        records = self._store.records_after(message.after_version, _RECORDS_BYTES)
        if records is None:
            for part in split_state(self._store.fold.state(), _CHUNK_BYTES):
                link.send(ConfigSnapshot(part))
            return
        last = records[-1].offset if records else version
        digest = self._store.fold.digest if last == version else ""
        link.send(ConfigRecords(message.after_version, records, last, digest))

    def on_records(self, link: Link, message: ConfigRecords) -> None:
        """Applies pulled records."""
        self._finish(link)
        self._store.apply(_now_s(), message.records)
        if message.digest and not self._store.verify_digest(
            message.version, message.digest, link.peer.node
        ):
            self._failed.add(link)
        elif self._store.version < message.version:
            # The records did not follow the own version, or this node cannot read them.
            self._failed.add(link)
        self._pull()

    def on_snapshot(self, link: Link, message: ConfigSnapshot) -> None:
        """Adds one part; the state is verified against the next announcement of its version."""
        if self._asked is link:
            self._asked_until_s = _now_s() + _PULL_TIMEOUT_S
        complete = message.part.chunk_index == message.part.chunk_count - 1
        if self._store.add_snapshot_part(_now_s(), message.part):
            self._finish(link)
            self._failed.clear()
            # The peer answers with its version and digest if they differ, else it confirms them.
            link.send(ConfigRequest(self._store.version))
        elif complete and self._asked is link:
            self._finish(link)
            self._failed.add(link)
        self._pull()

    def retry(self) -> None:
        """Starts over with peers that failed before; called at intervals."""
        self._failed.clear()
        self._pull()

    def _announcement(self) -> ConfigAnnounce:
        return ConfigAnnounce(self._store.version, self._store.fold.digest)

    def _on_change(self, _: frozenset[str]) -> None:
        announcement = self._announcement()
        announces_far = self._rank().position < _ANNOUNCERS
        for link in self._links():
            near = link.peer.region == self._region
            if link.config_version < announcement.version and (near or announces_far):
                link.send(announcement)

    def _finish(self, link: Link) -> None:
        if self._asked is link:
            self._asked = None

    def _pull(self) -> None:
        """Asks the best peer that has a newer version, unless one has been asked already."""
        now_s = _now_s()
        if self._store.fold.stop_reason:
            return
        if self._asked is not None:
            if now_s < self._asked_until_s:
                self._wake_at(self._asked_until_s)
                return
            self._failed.add(self._asked)
            self._asked = None
        sources = [
            link
            for link in self._links()
            if link.config_version > self._store.version and link not in self._failed
        ]
        near = [link for link in sources if link.peer.region == self._region]
        if not near and sources:
            since_s = self._store.behind_since_s
            waited_s = now_s - since_s if since_s is not None else 0.0
            rank = self._rank()
            delay_s = _SPREAD_S * rank.position / max(1, rank.nodes)
            if waited_s < delay_s:
                self._wake_at(now_s + delay_s - waited_s)
                return
        chosen = max(near or sources, key=lambda link: link.config_version, default=None)
        if chosen is None:
            return
        self._asked = chosen
        self._asked_until_s = now_s + _PULL_TIMEOUT_S
        self._wake_at(self._asked_until_s)
        chosen.send(ConfigRequest(self._store.version))

    def _wake_at(self, time_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(time_s + 0.001, self._pull)

    def close(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
