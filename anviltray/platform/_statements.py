"""Decodes what an instance states about itself in the header of a response."""

import math
import re
from collections.abc import Iterable
from typing import NamedTuple

from anviltray.platform import _names as names

# Longer waits are shortened to this. The next request after it finds out whether it still applies.
MAX_RETRY_AFTER_S = 3600.0

_SEAL = names.SEAL_HEADER.lower().encode()
_LIMIT = names.LIMIT_HEADER.lower().encode()
_LEAVING = names.LEAVING_HEADER.lower().encode()
_RETRY_AFTER = names.RETRY_AFTER_HEADER.lower().encode()
_DECIMAL = re.compile(rb"[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}")


class InstanceStatements(NamedTuple):
    """Statements of one response; those that are missing or invalid have their defaults."""

    sealed: bool = False  # The response proves that it comes from the instance.
    leaving: bool = False  # The instance is about to end.
    limit_per_s: float = math.inf  # Requests per second that it takes from all hosts together.
    retry_after_s: float = 0.0  # Time for which it wants no request from this host.


def decode_statements(status: int, fields: Iterable[tuple[bytes, bytes]]) -> InstanceStatements:
    """Returns the statements in the header `fields`, whose names are in lower case.

    Retry-After counts only in a response with status 503 (RFC 9110, 10.2.3), and only as a number
    of seconds: a date would have to be compared with the clock of another host.

    Example: `decode_statements(503, [(b"retry-after", b"1.5")]).retry_after_s` is 1.5.
    """
    values = dict(fields)
    retry_after_s = 0.0
    if status == 503:
        retry_after_s = min(MAX_RETRY_AFTER_S, _parse_decimal(values.get(_RETRY_AFTER), 0.0))
    return InstanceStatements(
        sealed=_SEAL in values,
        leaving=values.get(_LEAVING, b"").strip() == b"1",
        limit_per_s=_parse_decimal(values.get(_LIMIT), math.inf),
        retry_after_s=retry_after_s,
    )


def is_promise(status: int) -> bool:
    """Returns whether a host that responds with `status` promises that the request has not run."""
    return status in names.PROMISE_STATUSES


def _parse_decimal(value: bytes | None, default: float) -> float:
    """Returns a decimal number without a sign or an exponent, or `default` if it is invalid."""
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return default
    return float(value)
