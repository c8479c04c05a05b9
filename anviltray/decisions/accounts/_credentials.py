"""Reads the key in the Authorization headers of a request.

Load: requests of callers that nobody controls, with none, several or malformed credentials. Each is
read in one pass over its Authorization headers.
"""

import enum
import re
from collections.abc import Sequence
from typing import NamedTuple

# The scheme is case-insensitive (RFC 9110, section 11.1); a key consists of visible ASCII.
_BEARER = re.compile(r"[Bb][Ee][Aa][Rr][Ee][Rr] +([\x21-\x7e]+)")


class KeyFault(enum.Enum):
    """Why a request belongs to no client account; the values are names for logs and metrics."""

    MISSING = "key-missing"
    SEVERAL = "several-keys"  # Which one the caller means is unknown, also if they are equal.
    MALFORMED = "key-malformed"
    UNKNOWN = "key-unknown"


class Credentials(NamedTuple):
    """What a request says about its caller."""

    key: str  # Secret key; empty with a fault.
    fault: KeyFault | None  # Why there is no key.

    def __repr__(self) -> str:
        """Returns a representation without the key, for logs and errors."""
        return f"Credentials(fault={self.fault})"


def read_credentials(authorization: Sequence[str]) -> Credentials:
    """Returns the key in the Authorization header values of one request.

    Example: `read_credentials(["Bearer k1"]).key` is "k1".
    """
    if not authorization:
        return Credentials("", KeyFault.MISSING)
    if len(authorization) > 1:
        return Credentials("", KeyFault.SEVERAL)
    match = _BEARER.fullmatch(authorization[0].strip(" \t"))
    if match is None:
        return Credentials("", KeyFault.MALFORMED)
    return Credentials(match[1], None)
