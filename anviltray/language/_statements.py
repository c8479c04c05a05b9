"""Statements of the operator language."""

from typing import NamedTuple


class Condition(NamedTuple):
    """One comparison of a `where` clause."""

    field: str  # Column of the rows.
    operator: str  # One of = != < <= > >=.
    value: str | float  # Value to compare with; a number compares numerically.


class ShowUpstreams(NamedTuple):
    """Lists the upstreams with their state at each node."""

    service: str | None  # Name of a service, or None for all services.
    conditions: tuple[Condition, ...]  # All must hold.


class ShowNodes(NamedTuple):
    """Lists the members of the fleet."""

    conditions: tuple[Condition, ...]  # All must hold.


class ShowServices(NamedTuple):
    """Lists the services with their capacity and floor at each node."""

    conditions: tuple[Condition, ...]  # All must hold.


class ShowConfigVersion(NamedTuple):
    """Shows the configuration version of each node."""


class ShowAttempts(NamedTuple):
    """Shows the entries of one request in the attempt tables of the nodes."""

    request_id: str  # Complete request identifier.


class ShowHistory(NamedTuple):
    """Lists past commands with operator, time and reason."""

    service: str | None  # Name of a service, or None for the commands on all services.


class ExplainUpstream(NamedTuple):
    """Shows the evidence, the beliefs and the rules behind the state of one upstream."""

    address: str  # IP:port of the upstream.


class SetFloor(NamedTuple):
    """Changes the floor of a service; exactly one of `slots` and `share` is set."""

    service: str  # Service name.
    slots: int | None  # New floor in slots.
    share: float | None  # New floor as a share of capacity from 0 to 1.
    reason: str  # Kept in the history.


class SetUpstreamState(NamedTuple):
    """Changes the administrative state of an upstream."""

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
