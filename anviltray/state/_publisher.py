"""Appends commands to the configuration log and determines their outcome."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Literal, NamedTuple

from anviltray.messages import ConfigCommand
from anviltray.platform import (
    AppendRejected,
    AppendUnknown,
    Platform,
    PlatformUnavailable,
)
from anviltray.state.configuration import STREAM, ConfigurationStore, encode_record

_RETRY_INTERVAL_S = 0.1


class CommandOutcome(NamedTuple):
    """Outcome of a submitted command."""

    outcome: Literal["accepted", "rejected", "unknown"]  # Accepted only after reading it back.
    command_id: str  # Identifier by which the history shows an unknown outcome later.
    version: int  # Version of the command's record, -1 if it is unknown or not in the log.
    reason: str  # Why the command is not accepted, for the operator; else empty.


class CommandPublisher:
    """Submits commands by appending them to the log.

    `read_log` reads the log to its end into the store, see `LogFollower.read`. `counters` has the
    number of each outcome.
    """

    def __init__(
        self,
        platform: Platform,
        store: ConfigurationStore,
        read_log: Callable[[], Awaitable[bool]],
    ) -> None:
        self._platform = platform
        self._store = store
        self._read_log = read_log
        self.counters: Counter[str] = Counter()

    async def submit(self, command: ConfigCommand, timeout_s: float) -> CommandOutcome:
        """Appends `command` and reads it back within `timeout_s`.

        Appending again after an unknown result is safe, because the fold ignores a repeated
        identifier. If the time runs out after an append that may have taken effect, the outcome is
        unknown.
        """
        progress = _Progress()
        if self._store.fold.stop_reason:
            # This node could not read the outcome back.
            progress.detail = f"the configuration stopped at {self._store.fold.stop_reason}"
            outcome = self._outcome_after_timeout(command, progress)
            self.counters[outcome.outcome] += 1
            return outcome
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._append_and_read_back(command, progress)
        except TimeoutError:
            outcome = self._outcome_after_timeout(command, progress)
        self.counters[outcome.outcome] += 1
        return outcome

    async def _append_and_read_back(
        self, command: ConfigCommand, progress: "_Progress"
    ) -> CommandOutcome:
        payload = encode_record(command)
        while True:
            progress.may_be_in_log_before = progress.may_be_in_log
            progress.may_be_in_log = True
            try:
                await self._platform.append(STREAM, payload)
            except (AppendRejected, PlatformUnavailable) as error:
                progress.may_be_in_log = progress.may_be_in_log_before
                progress.detail = str(error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            except AppendUnknown as error:
                progress.detail = str(error)
                await self._read_log()
                outcome = self._find_outcome(command.command_id)
                if outcome is not None:
                    return outcome
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            return await self._wait_until_applied(command.command_id, progress)

    async def _wait_until_applied(self, command_id: str, progress: "_Progress") -> CommandOutcome:
        """Waits until this node has applied the command, which is in the log."""
        while True:
            if not await self._read_log():
                progress.detail = "the log is unavailable for reading the command back"
            outcome = self._find_outcome(command_id)
            if outcome is not None:
                return outcome
            await self._store.wait_for_change(_RETRY_INTERVAL_S)

    def _find_outcome(self, command_id: str) -> CommandOutcome | None:
        entry = self._store.fold.history_entry(command_id)
        if entry is None:
            return None
        if entry.rejection:
            return CommandOutcome("rejected", command_id, entry.version, entry.rejection)
        return CommandOutcome("accepted", command_id, entry.version, "")

    def _outcome_after_timeout(
        self, command: ConfigCommand, progress: "_Progress"
    ) -> CommandOutcome:
        outcome = self._find_outcome(command.command_id)
        if outcome is not None:
            return outcome
        if progress.may_be_in_log:
            reason = f"{progress.detail}; `show history` tells the outcome of {command.command_id}"
            return CommandOutcome("unknown", command.command_id, -1, reason)
        reason = f"not appended: {progress.detail}"
        return CommandOutcome("rejected", command.command_id, -1, reason)


class _Progress:
    """State of a command while it is being submitted."""

    def __init__(self) -> None:
        self.may_be_in_log = False
        self.may_be_in_log_before = False
        self.detail = "no answer in time"
