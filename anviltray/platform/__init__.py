"""The platform behind narrow interfaces: its names, formats and calls.

`HttpPlatform` and `MemoryPlatform` are adapters for the log of the stand-in. The rest speaks what
the users' platform speaks.
"""

from anviltray.platform import _names as names
from anviltray.platform._answers import encode_addresses
from anviltray.platform._documents import (
    DocumentInvalid,
    decode_configuration,
    decode_instance,
)
from anviltray.platform._host_settings import HostSettingsError, load_host_settings
from anviltray.platform._http import HttpPlatform
from anviltray.platform._interface import (
    AppendConflict,
    AppendRejected,
    AppendUnknown,
    Batch,
    HostEntry,
    KeyedRecord,
    Newest,
    Offsets,
    OffsetTrimmed,
    Platform,
    PlatformError,
    PlatformUnavailable,
    Record,
    RecordBatch,
)
from anviltray.platform._memory import MemoryPlatform
from anviltray.platform._store import KeyedStore

__all__ = [
    "AppendConflict",
    "AppendRejected",
    "AppendUnknown",
    "Batch",
    "DocumentInvalid",
    "HostEntry",
    "HostSettingsError",
    "HttpPlatform",
    "KeyedRecord",
    "KeyedStore",
    "MemoryPlatform",
    "Newest",
    "OffsetTrimmed",
    "Offsets",
    "Platform",
    "PlatformError",
    "PlatformUnavailable",
    "Record",
    "RecordBatch",
    "decode_configuration",
    "decode_instance",
    "encode_addresses",
    "load_host_settings",
    "names",
]
