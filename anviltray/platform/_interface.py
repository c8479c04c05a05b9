"""The platform interface: an append-only log and a list of hosts, with their types and errors."""

from typing import NamedTuple, Protocol


class PlatformError(Exception):
    """Base class of the platform errors."""


class PlatformUnavailable(PlatformError):
    """A read failed, or another call failed before it could take effect."""


class AppendUnknown(PlatformError):
    """The append may or may not have taken effect."""


class AppendRejected(PlatformError):
    """The log rejected the append, for example by its rate limit; it did not take effect."""


class AppendConflict(PlatformError):
    """The partition does not end at the expected offset; the append did not take effect."""

    def __init__(self, message: str, end_offset: int, generation: int | None = None) -> None:
        super().__init__(message)
        self.end_offset = end_offset  # Offset that the next append gets.
        self.generation = generation  # Generation of the store in which that is the end.


class OffsetTrimmed(PlatformError):
    """The log has no record at the offset: the records were deleted, or the store has gone back."""


class Record(NamedTuple):
    """One record of a stream."""

    offset: int  # Position in the stream from 0, consecutive.
    payload: bytes  # As appended.


class Batch(NamedTuple):
    """Result of one read of a stream."""

    records: tuple[Record, ...]  # Consecutive records from the requested offset.
    oldest_offset: int  # Oldest retained offset.
    next_offset: int  # Offset that the next append gets.


class Offsets(NamedTuple):
    """Range of the offsets of a stream."""

    oldest: int  # Oldest retained offset.
    next: int  # Offset that the next append gets.


class KeyedRecord(NamedTuple):
    """One record of a keyed topic."""

    key: str  # Key of the record.
    payload: bytes | None  # Value; None if the record removes the key.


class NewestRecords(NamedTuple):
    """The newest record of each key of a topic."""

    records: tuple[KeyedRecord, ...]  # In the order of the store.
    end_offset: int  # Offset from which later changes can be read.
    generation: int | None  # Generation of the store that all of it belongs to; None if not stated.
    # False if it was read in pages: some records may be newer than the end offset.
    is_snapshot: bool = True


class RecordBatch(NamedTuple):
    """Consecutive records of a keyed topic."""

    records: tuple[KeyedRecord, ...]  # In the order of the log.
    next_offset: int  # Offset after the last record of this batch.
    end_offset: int  # Offset that the next append gets.
    generation: int | None  # Generation of the store that all of it belongs to; None if not stated.


class Appended(NamedTuple):
    """An append that took effect."""

    generation: int | None  # Generation of the store that has the record; None if not stated.


class HostEntry(NamedTuple):
    """One entry of the host list, which is updated with a delay."""

    address: str  # IP:port; the caller address of a node or the address of an upstream.
    role: str  # "node" or "upstream".
    state: str  # "live" or "leaving".
    region: str  # Region of the host.
    zone: str  # Availability zone of the host.
    peer_address: str  # IP:port for other nodes; empty for an upstream.
    node: str  # Node name; empty for an upstream.


class Platform(Protocol):
    """Client of the platform's log and host list; each adapter is one module."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset.

        Raises AppendRejected or PlatformUnavailable if the append did not take effect, and
        AppendUnknown if it may have.
        """

    async def read(self, stream: str, offset: int, limit: int) -> Batch:
        """Returns up to `limit` records from `offset`.

        Raises OffsetTrimmed if `offset` is below the oldest one, and PlatformUnavailable.
        """

    async def offsets(self, stream: str) -> Offsets:
        """Returns the offset range of a stream; raises PlatformUnavailable."""

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the host list; raises PlatformUnavailable."""

    async def close(self) -> None:
        """Closes the connections of the adapter."""
