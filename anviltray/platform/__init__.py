"""The platform behind one narrow interface, with one module for each adapter."""

from anviltray.platform._http import HttpPlatform
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
from anviltray.platform._memory import MemoryPlatform

__all__ = [
    "AppendRejected",
    "AppendUnknown",
    "Batch",
    "HostEntry",
    "HttpPlatform",
    "MemoryPlatform",
    "OffsetTrimmed",
    "Offsets",
    "Platform",
    "PlatformError",
    "PlatformUnavailable",
    "Record",
]
