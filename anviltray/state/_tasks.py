"""The tasks of one node that keep the shared state current."""

import asyncio
import random
from pathlib import Path

import logbook

from anviltray.platform import Platform
from anviltray.settings import Settings
from anviltray.state._host_poller import HostListPoller
from anviltray.state._log_follower import LogFollower
from anviltray.state._publisher import CommandPublisher
from anviltray.state._ranks import reader_ranks, snapshot_rank
from anviltray.state._snapshots import SnapshotWriter
from anviltray.state.configuration import ConfigurationStore
from anviltray.state.exchange import Exchange

_log = logbook.Logger("anviltray.state")


class EmptyKey(ValueError):
    """A key file contains no key, which would silently disable authentication."""


def load_key(path: str) -> bytes:
    """Returns the key in a file without surrounding white space, or b"" for an empty path.

    Raises EmptyKey, or OSError if the file cannot be read.
    """
    if not path:
        return b""
    key = Path(path).read_bytes().strip()
    if not key:
        raise EmptyKey(f"{path}: the key file is empty")
    return key


class StateTasks:
    """Configuration, membership and exchange of one node, with the tasks that keep them current.

    Example: `state = StateTasks(settings, platform, load_key(settings.peer_key_file), rng)`, then
    `await state.start()`; `state.store.fold.routes.route(host, path)` finds a service.
    """

    def __init__(
        self, settings: Settings, platform: Platform, key: bytes, rng: random.Random
    ) -> None:
        self.store = ConfigurationStore()
        self.exchange = Exchange(settings, self.store, key, rng)
        membership = self.exchange.membership
        self.follower = LogFollower(
            platform,
            self.store,
            lambda: reader_ranks(membership),
            poll_interval_s=settings.platform.poll_interval_s,
            readers_per_zone=settings.exchange.log_readers_per_zone,
        )
        self.publisher = CommandPublisher(platform, self.store, self.follower.read)
        self.snapshot_writer = SnapshotWriter(
            platform,
            self.store,
            lambda: snapshot_rank(membership),
            after_records=settings.platform.snapshot_after_records,
            chunk_bytes=settings.platform.snapshot_chunk_bytes,
        )
        self.host_poller = HostListPoller(platform, settings.platform.host_list_interval_s)
        self.host_poller.subscribe(self.exchange.set_hosts)
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    def not_ready_reason(self) -> str | None:
        """Returns why this node must not serve requests yet, or None if it may."""
        return self.store.not_ready_reason()

    async def start(self) -> None:
        """Starts all tasks; raises OSError if the peer address is in use."""
        await self.exchange.start()
        self._tasks = tuple(
            asyncio.create_task(coroutine)
            for coroutine in (
                self.follower.run(),
                self.snapshot_writer.run(),
                self.host_poller.run(),
            )
        )
        for task in self._tasks:
            task.add_done_callback(_log_failure)

    async def stop(self) -> None:
        """Cancels all tasks and announces to the peers that this node is leaving."""
        await self._cancel_tasks()
        await self.exchange.stop()

    async def abort(self) -> None:
        """Cancels all tasks without notifying the peers, as in a crash."""
        await self._cancel_tasks()
        await self.exchange.abort()

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = ()


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.critical("a task of the shared state failed: {!r}", task.exception())
