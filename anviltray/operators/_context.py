"""What the operator endpoint needs of the node."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

from anviltray.declarations import Service
from anviltray.messages import BurnSummary, CommandEntry, ConfigCommand, Member

Row = dict[str, Any]


class ActiveConfiguration(NamedTuple):
    """The configuration in force at this node."""

    version: int  # Offset of the last applied record or -1.
    digest: str  # Digest of the state at that version.
    services: Mapping[str, Service]  # By name.


class Outcome(Protocol):
    """What became of a command."""

    @property
    def outcome(self) -> str:
        """accepted, rejected or unknown."""

    @property
    def version(self) -> int:
        """Offset of the command or -1."""

    @property
    def reason(self) -> str:
        """Why it was not accepted."""


class FleetQueryResult(NamedTuple):
    """Rows of all nodes that answered a query."""

    rows: Sequence[Row]  # Each with the column `node`.
    missing_nodes: tuple[str, ...]  # Known nodes that did not answer before the deadline.


class NodeView(Protocol):
    """What one node can tell about itself."""

    def upstream_rows(self, service: str | None) -> list[Row]:
        """Returns a row for each upstream, of one service or of all."""

    def service_rows(self) -> list[Row]:
        """Returns a row for each service."""

    def node_row(self) -> Row:
        """Returns the node's own state."""

    def explain_rows(self, address: str) -> list[Row]:
        """Returns what the node has seen and believes of one upstream."""

    def attempt_rows(self, request_id: str) -> list[Row]:
        """Returns what the node remembers of one request."""

    def active_configuration(self) -> ActiveConfiguration:
        """Returns the configuration in force."""

    def history(self) -> Sequence[CommandEntry]:
        """Returns the latest commands in log order."""


class OperatorContext(NodeView, Protocol):
    """Everything that the operator endpoint uses."""

    def members(self) -> Sequence[Member]:
        """Returns all nodes that this node knows of."""

    async def query_fleet(self, text: str, deadline_s: float) -> FleetQueryResult:
        """Runs a query at all nodes."""

    async def submit(self, command: ConfigCommand, timeout_s: float) -> Outcome:
        """Publishes a command and reads it back."""

    async def burn_summaries(self) -> Sequence[BurnSummary]:
        """Returns the burn records of the last days; raises PlatformUnavailable."""

    def wall_time_s(self) -> float:
        """Returns Unix time, which is only displayed."""

    def command(
        self, kind: str, service: str, based_on: int, who: str, why: str, **fields: Any
    ) -> ConfigCommand:
        """Builds a command."""

    def count(self, event: str) -> None:
        """Counts an event such as `operators.refused`."""
