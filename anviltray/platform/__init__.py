"""The platform behind one narrow interface, with one module for each adapter."""

from anviltray.platform._interface import (
    AppendRejected,
    AppendUnknown,
    Batch,
    HostEntry,
    Offsets,
    OffsetTrimmed,
    Platform,
    PlatformError,
    PlatformUnavailable,
    Record,
)

__all__ = [
    "AppendRejected",
    "AppendUnknown",
    "Batch",
    "HostEntry",
    "OffsetTrimmed",
    "Offsets",
    "Platform",
    "PlatformError",
    "PlatformUnavailable",
    "Record",
]
