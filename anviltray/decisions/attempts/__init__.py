"""At-most-once execution: identifiers of unrepeatable requests and the attempts of one request.

Example: `table.on_arrival(now_s, table.prefix(now_s) + "7f3a")` returns `Start`; the same call
again returns `InProgress` until `table.finish(...)` records an outcome.
"""

from anviltray.decisions.attempts._identifiers import (
    ASSIGNED_PREFIX,
    SUFFIX_MAX_LENGTH,
    Identifier,
    format_prefix,
    parse_identifier,
)
from anviltray.decisions.attempts._machine import (
    UNREPEATABLE_ATTEMPTS,
    AttemptEvent,
    AttemptState,
    InvalidTransition,
    RequestAttempts,
)
from anviltray.decisions.attempts._table import AttemptTable, NotInFlight
from anviltray.decisions.attempts._types import (
    ArrivalResult,
    Expired,
    Forward,
    InProgress,
    Outcome,
    RecordedOutcome,
    Reject,
    RejectReason,
    Replay,
    Start,
    StoredResponse,
)

__all__ = [
    "ASSIGNED_PREFIX",
    "ArrivalResult",
    "AttemptEvent",
    "AttemptState",
    "AttemptTable",
    "Expired",
    "Forward",
    "Identifier",
    "InProgress",
    "RecordedOutcome",
    "NotInFlight",
    "Outcome",
    "Reject",
    "RejectReason",
    "Replay",
    "RequestAttempts",
    "SUFFIX_MAX_LENGTH",
    "Start",
    "StoredResponse",
    "UNREPEATABLE_ATTEMPTS",
    "InvalidTransition",
    "format_prefix",
    "parse_identifier",
]
