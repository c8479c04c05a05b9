"""Request identifiers `<node>.<incarnation>.<epoch>.<suffix>`."""

import re
from typing import NamedTuple

SUFFIX_MAX_LENGTH = 64  # In characters; bounds the memory of one entry.

# First character of suffixes that a table assigns. Callers may not start a request with such a
# suffix, so an assigned identifier never equals one that was reported to a caller as not run.
ASSIGNED_PREFIX = "-"

# Lower-case hexadecimal without leading zeros, so that each identifier has a single spelling.
_NUMBER = r"(0|[1-9a-f][0-9a-f]{0,15})"
_IDENTIFIER = re.compile(
    r"([a-z0-9][a-z0-9-]{0,31})\."
    rf"{_NUMBER}\.{_NUMBER}\."
    rf"([A-Za-z0-9_-]{{1,{SUFFIX_MAX_LENGTH}}})",
    re.ASCII,
)


class Identifier(NamedTuple):
    """Parts of a request identifier."""

    node: str  # Node that issued the prefix.
    incarnation: int  # Incarnation of that node.
    epoch: int  # Epoch in which the prefix was issued.
    suffix: str  # Added by the caller.


def parse_identifier(text: str) -> Identifier | None:
    """Returns the parts of an identifier, or None if it is malformed or too long."""
    match = _IDENTIFIER.fullmatch(text)
    if match is None:
        return None
    node, incarnation, epoch, suffix = match.groups()
    return Identifier(node, int(incarnation, 16), int(epoch, 16), suffix)


def format_prefix(node: str, incarnation: int, epoch: int) -> str:
    """Returns the prefix to which a caller appends its suffix, for example `n1.9f.3a.`."""
    return f"{node}.{incarnation:x}.{epoch:x}."
