"""Exit codes of the tool; docs/operators/command-line.md explains them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the tool tells the shell."""

    DONE = 0  # Accepted, or the whole answer was shown.
    FAILED = 1  # The node refused the call, for example for a wrong key.
    USAGE = 2  # Wrong arguments, statement or file; nothing was sent.
    REJECTED = 3  # The command is in the log but another one came first.
    UNKNOWN = 4  # The command may or may not take effect.
    UNREACHABLE = 5  # No node answered before the deadline; nothing was sent.
    INCOMPLETE = 6  # Rows were shown, but some nodes did not answer.
