"""Statements of the operator language."""

from typing import NamedTuple


class Condition(NamedTuple):
    """One comparison of a `where` clause."""

    field: str  # Column of the rows.
    operator: str  # One of = != < <= > >=.
    value: str | float  # Value to compare with; a number compares numerically.


class ShowUpstreams(NamedTuple):
    """Upstreams as each node sees them."""

    service: str | None  # Only this service.
    conditions: tuple[Condition, ...]  # All must hold.


class ShowNodes(NamedTuple):
    """Members of the fleet."""

    conditions: tuple[Condition, ...]  # All must hold.


class ShowServices(NamedTuple):
    """Services with their capacity and floor at each node."""

    conditions: tuple[Condition, ...]  # All must hold.


class ShowConfigVersion(NamedTuple):
    """Configuration version of each node."""


class ShowAttempts(NamedTuple):
    """What is remembered of one request."""

    request_id: str  # Whole request identifier.


class ShowHistory(NamedTuple):
    """Commands with operator, time and reason."""

    service: str | None  # Only commands on this service.


class ExplainUpstream(NamedTuple):
    """Evidence, beliefs and rules behind the state of one upstream."""

    address: str  # IP:port of the upstream.


class SetFloor(NamedTuple):
    """Changes the floor of a service; one of both values is set."""

    service: str  # Service name.
    slots: int | None  # New floor in slots.
    share: float | None  # New floor as a share of capacity from 0 to 1.
    reason: str  # Kept in the history.


class SetUpstreamState(NamedTuple):
    """Changes the operators' state of an upstream."""

    address: str  # IP:port of the upstream.
    state: str  # active, draining or ejected.
    reason: str  # Kept in the history.


Query = (
    ShowUpstreams
    | ShowNodes
    | ShowServices
    | ShowConfigVersion
    | ShowAttempts
    | ShowHistory
    | ExplainUpstream
)
Command = SetFloor | SetUpstreamState
Statement = Query | Command
