"""A node without one of its safeguards: `python -m standins.tests.seeded_node SETTINGS`.

`SEEDED_FAULT` names the fault, which removes a safeguard. The tests of the invariants must detect
it.
"""

import contextlib
import os
from collections import deque
from collections.abc import Callable
from time import monotonic

from anviltray.callers import _exchange, _runner
from anviltray.decisions.attempts import AttemptEvent, Forward, Start, _table
from anviltray.decisions.ejection import _service
from anviltray.node import Node, main
from anviltray.node._context import NodeContext
from anviltray.platform import PlatformError
from anviltray.state import CommandOutcome, CommandPublisher, LogFollower
from anviltray.state.configuration import ConfigurationStore, encode_record
from anviltray.upstreams import _client, _connector

SEEDED_FAULTS: dict[str, Callable[[], None]] = {}


def seeded_fault(function):
    SEEDED_FAULTS[function.__name__] = function
    return function


@seeded_fault
def forget_attempts():
    """A duplicate of a finished request is started again."""
    original = _table.AttemptTable.on_arrival

    def forgetful(self, now_s, request_id):
        entry = self._entries.get(request_id)
        if entry is not None and entry.outcome is not None:
            del self._entries[request_id]
            self._by_epoch[entry.epoch].remove(request_id)
        return original(self, now_s, request_id)

    _table.AttemptTable.on_arrival = forgetful


@seeded_fault
def start_elsewhere():
    """A node starts requests with identifiers of other nodes instead of forwarding them."""
    original = _table.AttemptTable.on_arrival

    def local(self, now_s, request_id):
        result = original(self, now_s, request_id)
        if isinstance(result, Forward) and request_id not in self._entries:
            self._start(now_s, request_id)
            return Start(request_id)
        return result

    _table.AttemptTable.on_arrival = local


@seeded_fault
def assume_not_run():
    """A failed exchange is treated as proof that the request did not run."""

    async def assume(self, call, attempt):
        if attempt.written and call.rule is None:
            attempt.record(AttemptEvent.CANCELLED)

    _runner.Runner._cancel_at_upstream = assume


@seeded_fault
def accept_before_read_back():
    """A command is accepted without reading it back from the log."""

    async def submit(self, command, timeout_s):
        with contextlib.suppress(PlatformError):
            await self._platform.append("configuration", encode_record(command))
        return CommandOutcome("accepted", command.command_id, self._store.version + 1, "")

    CommandPublisher.submit = submit


@seeded_fault
def fold_again():
    """Each read of the log starts from an empty configuration."""
    read = LogFollower._read_once

    async def reread(self):
        self._store.fold.clear()
        return await read(self)

    LogFollower._read_once = reread


@seeded_fault
def ready_without_configuration():
    """A node is ready with any version of the configuration."""
    ConfigurationStore.not_ready_reason = lambda self: None


@seeded_fault
def end_cut_responses():
    """A truncated response is ended as if it were complete."""
    _exchange.CallerExchange.abort = lambda self: self.end()


@seeded_fault
def reuse_abandoned_connections():
    """A connection with an abandoned exchange is returned to the pool."""
    _connector._is_reusable = lambda protocol: protocol.transport is not None
    close = _client.Connection.close

    def keep(self):
        protocol = self._protocol
        if protocol is None or not protocol.is_connected():
            close(self)
            return
        self._connector._conns.setdefault(self._key, deque()).append((protocol, monotonic()))
        self._connector._acquired.discard(protocol)
        self._protocol = None

    _client.Connection.close = keep


@seeded_fault
def exit_at_once():
    """A graceful shutdown exits at once."""

    async def stop(self):
        os._exit(0)

    Node.stop = stop


@seeded_fault
def ignore_leaving():
    """Draining upstreams remain in use."""
    NodeContext.apply_draining = lambda self, now_s: None


@seeded_fault
def no_floor():
    """All suspected upstreams are removed."""
    _service.select_removals = lambda candidates, floor, heard=(): frozenset(
        candidate.address for candidate in candidates if candidate.suspicion
    )


if __name__ == "__main__":
    SEEDED_FAULTS[os.environ["SEEDED_FAULT"]]()
    main()
