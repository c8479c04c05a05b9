"""Appends commands to the configuration log and finds out what became of them."""

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

_RETRY_S = 0.1


class CommandOutcome(NamedTuple):
    """What became of a command."""

    outcome: Literal["accepted", "rejected", "unknown"]  # Accepted only after reading it back.
    command_id: str  # Identifier that determines the outcome later, in the history.
    version: int  # Version of the command's record, -1 if it is not in the log or unknown.
    reason: str  # Why it is not accepted, for the operator.


class CommandPublisher:
    """Submits commands through the log.

    `read_log` reads the log to its end into the store, see `LogFollower.read`. `counters` holds
    the number of each outcome.
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
        """Appends `command` and reads it back, for at most `timeout_s`.

        Appending again after an unknown outcome is safe: a repeated identifier counts once. If the
        time runs out after an append that may have taken effect, the outcome is unknown.
        """
        progress = _Progress()
        if self._store.fold.stop_reason:
            # The outcome could not be read back here.
            progress.detail = f"the configuration stopped at {self._store.fold.stop_reason}"
            outcome = self._after_timeout(command, progress)
            self.counters[outcome.outcome] += 1
            return outcome
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._submit(command, progress)
        except TimeoutError:
            outcome = self._after_timeout(command, progress)
        self.counters[outcome.outcome] += 1
        return outcome

    async def _submit(self, command: ConfigCommand, progress: "_Progress") -> CommandOutcome:
        payload = encode_record(command)
        while True:
            progress.may_be_in_log_before = progress.may_be_in_log
            progress.may_be_in_log = True
            try:
                await self._platform.append(STREAM, payload)
            except (AppendRejected, PlatformUnavailable) as error:
                progress.may_be_in_log = progress.may_be_in_log_before
                progress.detail = str(error)
                await asyncio.sleep(_RETRY_S)
                continue
            except AppendUnknown as error:
                progress.detail = str(error)
                await self._read_log()
                outcome = self._read_back(command.command_id)
                if outcome is not None:
                    return outcome
                await asyncio.sleep(_RETRY_S)
                continue
            return await self._wait(command.command_id, progress)

    async def _wait(self, command_id: str, progress: "_Progress") -> CommandOutcome:
        """Waits until the command, which is in the log, has been applied here."""
        while True:
            if not await self._read_log():
                progress.detail = "the log is unavailable for reading the command back"
            outcome = self._read_back(command_id)
            if outcome is not None:
                return outcome
            await self._store.wait_for_change(_RETRY_S)

    def _read_back(self, command_id: str) -> CommandOutcome | None:
        entry = self._store.fold.history_entry(command_id)
        if entry is None:
            return None
        if entry.rejection:
            return CommandOutcome("rejected", command_id, entry.version, entry.rejection)
        return CommandOutcome("accepted", command_id, entry.version, "")

    def _after_timeout(self, command: ConfigCommand, progress: "_Progress") -> CommandOutcome:
        outcome = self._read_back(command.command_id)
        if outcome is not None:
            return outcome
        if progress.may_be_in_log:
            reason = f"{progress.detail}; `show history` tells the outcome of {command.command_id}"
            return CommandOutcome("unknown", command.command_id, -1, reason)
        reason = f"not appended: {progress.detail}"
        return CommandOutcome("rejected", command.command_id, -1, reason)


class _Progress:
    """What is known of a command while it is being submitted."""

    def __init__(self) -> None:
        self.may_be_in_log = False
        self.may_be_in_log_before = False
        self.detail = "no answer in time"
