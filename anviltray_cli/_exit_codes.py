"""Exit codes of the tool; docs/operators/command-line.md explains them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of the tool."""

    DONE = 0  # The command was accepted, or the complete result was shown.
    FAILED = 1  # The node rejected the call, for example because of a wrong key.
    USAGE = 2  # Invalid arguments, statement or file; nothing was changed.
    REJECTED = 3  # The command has no effect, for example because of a conflicting one.
    UNKNOWN = 4  # The command may or may not take effect.
    UNREACHABLE = 5  # No node responded before the deadline; nothing was changed.
    INCOMPLETE = 6  # Rows were shown, but some nodes did not respond.
