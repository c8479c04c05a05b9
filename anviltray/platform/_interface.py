"""What anviltray needs of the platform: an append-only log and a list of hosts."""

from typing import NamedTuple, Protocol


class PlatformError(Exception):
    """Base of the platform errors."""


class PlatformUnavailable(PlatformError):
    """The call failed before it could take effect, or was a read."""


class AppendUnknown(PlatformError):
    """The append may or may not have taken effect."""


class AppendRejected(PlatformError):
    """The log refused the append, for example above its append rate; it did not take effect."""


class AppendConflict(PlatformError):
    """The partition does not end at the expected offset; the append did not take effect."""

    def __init__(self, message: str, end: int) -> None:
        super().__init__(message)
        self.end = end  # Offset that the next append gets.


class OffsetTrimmed(PlatformError):
    """The offset is older than the oldest record that the log still has."""


class Record(NamedTuple):
    """One record of a stream."""

    offset: int  # Position in the stream from 0, consecutive.
    payload: bytes  # Bytes as appended.


class Batch(NamedTuple):
    """Records of one read."""

    records: tuple[Record, ...]  # Consecutive records from the requested offset.
    oldest_offset: int  # Oldest offset that the log still has.
    next_offset: int  # Offset that the next append gets.


class Offsets(NamedTuple):
    """Range of a stream."""

    oldest: int  # Oldest offset that the log still has.
    next: int  # Offset that the next append gets.


class KeyedRecord(NamedTuple):
    """One record of a topic whose records have keys."""

    key: str  # Key of the record.
    payload: bytes | None  # Value; None if the record removes the key.


class Newest(NamedTuple):
    """The newest record of each key of a topic."""

    records: tuple[KeyedRecord, ...]  # Sorted as the store gives them.
    end: int  # Offset from which later changes can be read.


class RecordBatch(NamedTuple):
    """Consecutive records of a topic whose records have keys."""

    records: tuple[KeyedRecord, ...]  # In the order of the log.
    next_offset: int  # Offset after the last record of this batch.
    end: int  # Offset that the next append gets.


class HostEntry(NamedTuple):
    """One entry of the host list, which lags behind the truth."""

    address: str  # IP:port; the caller address of a node or the address of an upstream.
    role: str  # "node" or "upstream".
    state: str  # "live" or "leaving".
    region: str  # Region of the host.
    zone: str  # Availability zone of the host.
    peer_address: str  # IP:port for other nodes; empty for an upstream.
    node: str  # Node name; empty for an upstream.


class Platform(Protocol):
    """The platform's services; each adapter is one module."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Appends a record and returns its offset.

        Raises AppendRejected or PlatformUnavailable if it did not take effect, AppendUnknown if it
        may have.
        """

    async def read(self, stream: str, offset: int, limit: int) -> Batch:
        """Returns up to `limit` records from `offset`.

        Raises OffsetTrimmed if `offset` is below the oldest one, and PlatformUnavailable.
        """

    async def offsets(self, stream: str) -> Offsets:
        """Returns the range of a stream; raises PlatformUnavailable."""

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the host list; raises PlatformUnavailable."""

    async def close(self) -> None:
        """Closes the connections of the adapter."""
