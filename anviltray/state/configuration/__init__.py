"""Configuration, computed from the log by a deterministic fold.

Example: `Fold().apply(0, encode_record(put_service(service, ...)))` returns Applied.
"""

from anviltray.state.configuration._commands import (
    put_service,
    remove_service,
    set_floor,
    set_upstream_state,
)
from anviltray.state.configuration._fold import (
    Applied,
    ConfigurationError,
    Fold,
    FoldStopped,
    OutOfOrder,
    Rejected,
    decode_state,
    encode_state,
)
from anviltray.state.configuration._records import (
    SNAPSHOT_STREAM,
    STREAM,
    NewerSchema,
    RecordError,
    decode_record,
    encode_record,
)
from anviltray.state.configuration._routes import RouteTable
from anviltray.state.configuration._snapshot import SnapshotAssembler, split_state
from anviltray.state.configuration._store import ConfigurationStore

__all__ = [
    "SNAPSHOT_STREAM",
    "STREAM",
    "Applied",
    "ConfigurationError",
    "ConfigurationStore",
    "Fold",
    "FoldStopped",
    "NewerSchema",
    "OutOfOrder",
    "RecordError",
    "Rejected",
    "RouteTable",
    "SnapshotAssembler",
    "decode_record",
    "decode_state",
    "encode_record",
    "encode_state",
    "put_service",
    "remove_service",
    "set_floor",
    "set_upstream_state",
    "split_state",
]
