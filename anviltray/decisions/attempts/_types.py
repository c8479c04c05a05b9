"""Results of the arrival of a request at the attempt table.

Distinguish results with `isinstance` or `match`: named tuples of two types with equal fields
compare equal.
"""

from enum import StrEnum
from typing import Literal, NamedTuple

Outcome = Literal["done", "not-run", "unknown"]


class StoredResponse(NamedTuple):
    """A response that is stored for duplicates of the request."""

    status: int  # HTTP status.
    headers: tuple[tuple[bytes, bytes], ...]  # Header fields in order.
    body: bytes  # Complete body.


class RejectReason(StrEnum):
    """Why a request was rejected as not run."""

    MALFORMED = "malformed"  # Not a valid identifier (400).
    NOT_ISSUED = "invented"  # Contains an epoch that this node has not issued yet (400).
    FULL = "full"  # No space for another identifier until an epoch ends (503).


class Start(NamedTuple):
    """The request may run now; `finish` must be called once with its outcome."""

    request_id: str  # Identifier from the caller or assigned by the table.


class InProgress(NamedTuple):
    """A duplicate of a running request."""


class Replay(NamedTuple):
    """A duplicate of a request whose response is stored."""

    response: StoredResponse  # Response to the first arrival.


class RecordedOutcome(NamedTuple):
    """A duplicate of a finished request without a stored response."""

    outcome: Outcome  # Outcome of the first arrival.


class Forward(NamedTuple):
    """Only the issuing node may start the request; if it has left, the outcome is unknown."""

    node: str  # Node that issued the identifier.
    incarnation: int  # Incarnation of that node.


class Reject(NamedTuple):
    """The request was not run and never will be under this identifier."""

    reason: RejectReason


class Expired(NamedTuple):
    """The identifier is too old or from an earlier incarnation: the outcome is unknown."""


ArrivalResult = Start | InProgress | Replay | RecordedOutcome | Forward | Reject | Expired
