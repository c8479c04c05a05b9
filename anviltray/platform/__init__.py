"""Access to the platform: its wire names, document formats and service clients.

`HttpPlatform` and `MemoryPlatform` are adapters for the log and host list that the nodes use. The
other modules implement the protocols of the platform that the edge hosts run on.
"""

from anviltray.platform import _names as names
from anviltray.platform._addresses import encode_addresses
from anviltray.platform._documents import (
    DocumentInvalid,
    decode_configuration,
    decode_instance,
)
from anviltray.platform._host_settings import HostSettingsError, load_host_settings
from anviltray.platform._http import HttpPlatform
from anviltray.platform._interface import (
    AppendConflict,
    Appended,
    AppendRejected,
    AppendUnknown,
    Batch,
    HostEntry,
    KeyedRecord,
    NewestRecords,
    Offsets,
    OffsetTrimmed,
    Platform,
    PlatformError,
    PlatformUnavailable,
    Record,
    RecordBatch,
)
from anviltray.platform._memory import MemoryPlatform
from anviltray.platform._statements import (
    MAX_RETRY_AFTER_S,
    InstanceStatements,
    decode_statements,
    is_promise,
)
from anviltray.platform._store import KeyedStore
from anviltray.platform._transport import BODY_LIMIT_BYTES, ResponseTooLarge, read_body

__all__ = [
    "AppendConflict",
    "AppendRejected",
    "AppendUnknown",
    "Appended",
    "BODY_LIMIT_BYTES",
    "Batch",
    "DocumentInvalid",
    "HostEntry",
    "HostSettingsError",
    "HttpPlatform",
    "InstanceStatements",
    "KeyedRecord",
    "KeyedStore",
    "MAX_RETRY_AFTER_S",
    "MemoryPlatform",
    "NewestRecords",
    "OffsetTrimmed",
    "Offsets",
    "Platform",
    "PlatformError",
    "PlatformUnavailable",
    "Record",
    "RecordBatch",
    "ResponseTooLarge",
    "decode_configuration",
    "decode_instance",
    "decode_statements",
    "encode_addresses",
    "is_promise",
    "load_host_settings",
    "names",
    "read_body",
]
