"""At most once: identifiers of unrepeatable requests and the attempts of one request.

Example: `table.arrive(now_s, table.prefix(now_s) + "7f3a")` returns `Start`; the same call again
returns `InProgress` until `table.finish(...)` records an outcome.
"""

from anviltray.decisions.attempts._identifiers import (
    ASSIGNED_MARK,
    SUFFIX_LIMIT,
    Identifier,
    format_prefix,
    parse_identifier,
)
from anviltray.decisions.attempts._machine import (
    UNREPEATABLE_ATTEMPTS,
    AttemptEvent,
    AttemptState,
    RequestAttempts,
    WrongAttemptEvent,
)
from anviltray.decisions.attempts._table import AttemptTable, NotInFlight
from anviltray.decisions.attempts._types import (
    Arrival,
    Expired,
    Forward,
    InProgress,
    Known,
    Outcome,
    Refuse,
    RefuseReason,
    Replay,
    Start,
    StoredResponse,
)

__all__ = [
    "ASSIGNED_MARK",
    "Arrival",
    "AttemptEvent",
    "AttemptState",
    "AttemptTable",
    "Expired",
    "Forward",
    "Identifier",
    "InProgress",
    "Known",
    "NotInFlight",
    "Outcome",
    "Refuse",
    "RefuseReason",
    "Replay",
    "RequestAttempts",
    "SUFFIX_LIMIT",
    "Start",
    "StoredResponse",
    "UNREPEATABLE_ATTEMPTS",
    "WrongAttemptEvent",
    "format_prefix",
    "parse_identifier",
]
