"""Memory of this process, as the platform counts it."""

import contextlib
import resource
import sys
from pathlib import Path

_STATISTICS = Path("/proc/self/statm")  # Sizes in pages; the second one is the resident memory.
_MAXIMUM_UNIT_BYTES = 1 if sys.platform == "darwin" else 1024


def resident_bytes() -> int:
    """Returns the resident memory in bytes, or its maximum so far where /proc is not available."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        return int(_STATISTICS.read_text().split()[1]) * resource.getpagesize()
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * _MAXIMUM_UNIT_BYTES
