"""Interface that the node implements for the operator endpoint."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from anviltray.declarations import Service
from anviltray.messages import BurnSummary, CommandEntry, ConfigCommand, Member

Row = dict[str, Any]


class ActiveConfiguration(NamedTuple):
    """The active configuration at this node."""

    version: int  # Offset of the last applied record, or -1.
    digest: str  # Digest of the configuration at that version.
    services: Mapping[str, Service]  # By name.


class CommandOutcome(Protocol):
    """Outcome of a command."""

    @property
    def outcome(self) -> str:
        """One of accepted, rejected and unknown."""

    @property
    def version(self) -> int:
        """Offset of the command in the log, or -1."""

    @property
    def reason(self) -> str:
        """Why the command was not accepted."""


class FleetQueryResult(NamedTuple):
    """Rows of all nodes that responded to a query."""

    rows: Sequence[Row]  # Each row has the column `node`.
    missing_nodes: tuple[str, ...]  # Nodes that did not respond before the deadline.


class NodeView(Protocol):
    """Local state of one node, as rows for queries."""

    def upstream_rows(self, service: str | None) -> list[Row]:
        """Returns a row for each upstream of one service, or of all services."""

    def service_rows(self) -> list[Row]:
        """Returns a row for each service."""

    def node_row(self) -> Row:
        """Returns the state of the node itself."""

    def explain_rows(self, address: str) -> list[Row]:
        """Returns the evidence and the derived state of one upstream at this node."""

    def attempt_rows(self, request_id: str) -> list[Row]:
        """Returns the entry of one request in the attempt table of this node."""

    def active_configuration(self) -> ActiveConfiguration:
        """Returns the active configuration."""

    def history(self) -> Sequence[CommandEntry]:
        """Returns the most recent commands in log order."""


class OperatorContext(NodeView, Protocol):
    """Everything that the operator endpoint uses."""

    def members(self) -> Sequence[Member]:
        """Returns all members of the fleet that are known to this node."""

    async def query_fleet(self, text: str, deadline_s: float) -> FleetQueryResult:
        """Runs a query at all nodes."""

    async def submit(self, command: ConfigCommand, timeout_s: float) -> CommandOutcome:
        """Appends a command to the log and reads it back to determine its outcome."""

    async def burn_summaries(self) -> Sequence[BurnSummary]:
        """Returns the burn records of the last days; raises PlatformUnavailable."""

    def wall_time_s(self) -> float:
        """Returns Unix time, for display and reports only."""

    def command(
        self, kind: str, service: str, based_on: int, who: str, why: str, **fields: Any
    ) -> ConfigCommand:
        """Builds a configuration command."""

    def count(self, event: str) -> None:
        """Counts an event such as `operators.refused`."""
