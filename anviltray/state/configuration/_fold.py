"""Deterministic fold of the configuration log."""

from collections import OrderedDict, deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

import cbor2
import xxhash

from anviltray.declarations import Service
from anviltray.messages import (
    CommandEntry,
    ConfigCommand,
    ConfigState,
    RemovedService,
    ServiceState,
)
from anviltray.state.configuration._records import (
    RecordError,
    decode_record,
    encode_record,
    to_record,
    to_service,
)
from anviltray.state.configuration._routes import RouteTable
from anviltray.state.configuration._rules import (
    intern_strings,
    validate_floor,
    validate_service,
    validate_upstream_state,
)

# Commands kept in the history. If a command is repeated after its first copy has left the history,
# the repetition is rejected as a conflict, because both copies are based on the same version.
HISTORY_LIMIT = 1024
# Removed services whose revision is kept, to reject commands based on a version before the removal.
REMOVED_LIMIT = 1024
_DIGEST_MASK = (1 << 128) - 1


class ConfigurationError(Exception):
    """Base class of the errors of the fold."""


class FoldStopped(ConfigurationError):
    """A record cannot be decoded or has a newer schema; no later record is applied."""


class OutOfOrder(ConfigurationError):
    """The offset of a record is not the one after the version of the fold."""


class Applied(NamedTuple):
    """A command took effect."""

    version: int  # Offset of the record.
    command_id: str  # Identifier of the command.
    service: str  # Service that changed.
    duplicate: bool  # True if an earlier record has the same command; then this one has no effect.


class Rejected(NamedTuple):
    """A command had no effect; the outcome is the same on every node."""

    version: int  # Offset of the record.
    command_id: str  # Identifier of the command.
    service: str  # Service that the command names.
    reason: str  # Reason for the operator.


class Fold:
    """Configuration as the result of applying all records of the log in order.

    The version is the offset of the last applied record, -1 before the first one. The digest
    depends only on the state. It is the sum of a hash of each service and of each history entry,
    so that a change does not require hashing the whole state. Every rule depends only on the state
    and the record, so nodes with the same version have the same state. `stop_reason` is empty
    until the fold raises FoldStopped.
    """

    def __init__(self) -> None:
        self.version = -1
        self.stop_reason = ""
        self._services: dict[str, Service] = {}
        self._revisions: dict[str, int] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._forgotten_revision = -1
        self._history: deque[CommandEntry] = deque()
        self._entries: dict[str, CommandEntry] = {}
        self._digest_sum = 0
        self.services: Mapping[str, Service] = MappingProxyType(self._services)
        self.routes = RouteTable(self.services)

    @property
    def digest(self) -> str:
        """Digest of services and history, 32 hexadecimal characters."""
        return f"{self._digest_sum:032x}"

    @property
    def history(self) -> tuple[CommandEntry, ...]:
        """The latest commands in log order."""
        return tuple(self._history)

    def revision(self, service: str) -> int:
        """Returns the offset of the last command that changed a service, or -1 if there is none."""
        return self._revisions.get(service, self._removed.get(service, -1))

    def history_entry(self, command_id: str) -> CommandEntry | None:
        """Returns the history entry of a command, or None."""
        return self._entries.get(command_id)

    def apply(self, offset: int, payload: bytes) -> Applied | Rejected:
        """Applies the record at `offset`, which must be the one after the version.

        Raises OutOfOrder for any other offset. Raises FoldStopped for a record that this version of
        the software cannot read, and for every call after it.
        """
        if self.stop_reason:
            raise FoldStopped(self.stop_reason)
        if offset != self.version + 1:
            raise OutOfOrder(f"record {offset} does not follow version {self.version}")
        try:
            command = decode_record(payload)
            if not isinstance(command, ConfigCommand):
                raise RecordError(f"{type(command).__name__} is no command")
        except RecordError as error:
            self.stop_reason = f"record {offset}: {error}"
            raise FoldStopped(self.stop_reason) from error
        self.version = offset
        earlier = self._entries.get(command.command_id)
        if earlier is not None:
            return self._result(offset, earlier, duplicate=True)
        reason = self._find_conflict(command) or self._execute(offset, command)
        entry = CommandEntry(
            offset,
            command.command_id,
            command.kind,
            command.service,
            command.who,
            command.issued_unix_s,
            command.why,
            reason,
        )
        self._add_to_history(entry)
        return self._result(offset, entry, duplicate=False)

    def state(self) -> ConfigState:
        """Returns the whole state for a snapshot."""
        return ConfigState(
            self.version,
            tuple(
                ServiceState(to_record(service), self._revisions[name])
                for name, service in sorted(self._services.items())
            ),
            tuple(RemovedService(name, revision) for name, revision in self._removed.items()),
            self._forgotten_revision,
            tuple(self._history),
        )

    def load(self, state: ConfigState) -> bool:
        """Replaces the state if `state` is newer, else keeps it and returns False."""
        if state.version <= self.version:
            return False
        self.clear()
        self._removed = OrderedDict((item.name, item.revision) for item in state.removed)
        self._forgotten_revision = state.forgotten_revision
        for item in state.services:
            service = intern_strings(to_service(item.definition))
            self._replace(service.name, service, item.revision)
        for entry in state.history:
            self._add_to_history(entry)
        self.version = state.version
        return True

    def clear(self) -> None:
        """Resets to the state before the first record."""
        for name in list(self._services):
            self._replace(name, None, -1)
        self.version = -1
        self.stop_reason = ""
        self._removed.clear()
        self._forgotten_revision = -1
        self._history.clear()
        self._entries.clear()
        self._digest_sum = 0

    def _result(self, offset: int, entry: CommandEntry, *, duplicate: bool) -> Applied | Rejected:
        if entry.rejection:
            return Rejected(offset, entry.command_id, entry.service, entry.rejection)
        return Applied(offset, entry.command_id, entry.service, duplicate)

    def _find_conflict(self, command: ConfigCommand) -> str:
        """Returns why the command conflicts with an earlier one on the same service, or ""."""
        revision = self._revisions.get(command.service)
        if revision is None:
            revision = self._removed.get(command.service, self._forgotten_revision)
        if command.based_on < revision:
            return (
                f"conflict: {command.service} changed at version {revision}, "
                f"the command is based on {command.based_on}"
            )
        return ""

    def _execute(self, offset: int, command: ConfigCommand) -> str:
        """Executes a command and returns "", or returns why it is invalid."""
        if command.kind == "put":
            return self._put(offset, command)
        service = self._services.get(command.service)
        if service is None:
            return f"there is no service {command.service!r}"
        if command.kind == "remove":
            self._replace(command.service, None, offset)
            return ""
        if command.kind == "floor":
            error = validate_floor(command.floor_slots, command.floor_share)
            changed = service._replace(
                floor_slots=command.floor_slots, floor_share=command.floor_share
            )
        elif command.kind == "upstream":
            error = validate_upstream_state(command.state)
            if not any(item.address == command.address for item in service.upstreams):
                error = f"{command.service} has no upstream {command.address}"
            changed = service._replace(
                upstreams=tuple(
                    item._replace(state=command.state) if item.address == command.address else item
                    for item in service.upstreams
                )
            )
        else:
            return f"the command kind {command.kind!r} is unknown"
        if not error:
            self._replace(command.service, changed, offset)
        return error

    def _put(self, offset: int, command: ConfigCommand) -> str:
        if len(command.definition) != 1 or command.definition[0].name != command.service:
            return "the command needs the definition of its service"
        service = intern_strings(to_service(command.definition[0]))
        error = validate_service(service)
        if error:
            return error
        for route in service.routes:
            owner = self.routes.owner(route)
            if owner is not None and owner != service.name:
                return f"the route {route.host}{route.prefix} belongs to {owner}"
        self._replace(service.name, service, offset)
        return ""

    def _replace(self, name: str, service: Service | None, revision: int) -> None:
        """Sets or removes a service with its routes, hash and revision."""
        old = self._services.get(name)
        if old is not None:
            self._digest_sum = (
                self._digest_sum - _service_hash(old, self._revisions[name])
            ) & _DIGEST_MASK
        self.routes.update(old, service)
        if service is not None:
            self._services[name] = service
            self._revisions[name] = revision
            self._removed.pop(name, None)
            self._digest_sum = (self._digest_sum + _service_hash(service, revision)) & _DIGEST_MASK
            return
        self._services.pop(name, None)
        self._revisions.pop(name, None)
        self._removed[name] = revision
        if len(self._removed) > REMOVED_LIMIT:
            _, forgotten = self._removed.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, forgotten)

    def _add_to_history(self, entry: CommandEntry) -> None:
        self._history.append(entry)
        self._entries[entry.command_id] = entry
        self._digest_sum = (self._digest_sum + _entry_hash(entry)) & _DIGEST_MASK
        if len(self._history) > HISTORY_LIMIT:
            oldest = self._history.popleft()
            del self._entries[oldest.command_id]
            self._digest_sum = (self._digest_sum - _entry_hash(oldest)) & _DIGEST_MASK


def _service_hash(service: Service, revision: int) -> int:
    return xxhash.xxh3_128_intdigest(cbor2.dumps((*service, revision)))


def _entry_hash(entry: CommandEntry) -> int:
    return xxhash.xxh3_128_intdigest(cbor2.dumps(entry))


def encode_state(state: ConfigState) -> bytes:
    """Returns the encoded state, which is the same on every node with the same version."""
    return encode_record(state)


def decode_state(data: bytes) -> ConfigState:
    """Decodes a state; raises RecordError if `data` is not a valid one."""
    state = decode_record(data)
    if not isinstance(state, ConfigState):
        raise RecordError(f"{type(state).__name__} is no state")
    return state
