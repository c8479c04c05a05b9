"""State and actions of a node, as the operator endpoint uses them."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

from anviltray.language import (
    LanguageError,
    SetFloor,
    SetUpstreamState,
    UnknownColumnError,
    parse_statement,
)
from anviltray.messages import BurnSummary, CommandEntry, ConfigCommand, Member
from anviltray.node._burn_log import BurnLog
from anviltray.node._context import NodeContext
from anviltray.operators import ActiveConfiguration, FleetQueryResult, Row, answer_query
from anviltray.state import CommandOutcome, CommandPublisher
from anviltray.state.configuration import (
    put_service,
    remove_service,
    set_floor,
    set_upstream_state,
)

_BUILDERS: dict[str, Callable[..., ConfigCommand]] = {
    "floor": set_floor,
    "upstream": set_upstream_state,
    "remove": remove_service,
}


class OperatorView:
    """Implements `anviltray.operators.OperatorContext`."""

    def __init__(
        self, context: NodeContext, publisher: CommandPublisher, burn_log: BurnLog
    ) -> None:
        self._context = context
        self._publisher = publisher
        self._burn_log = burn_log
        self._loop = asyncio.get_running_loop()

    def upstream_rows(self, service: str | None) -> list[Row]:
        """Returns a row for each upstream with its state in the outlier ejector of this node."""
        now_s = self._loop.time()
        names = sorted(self._context.services) if service is None else [service]
        return [
            self._with_node_name({"service": name, **row})
            for name in names
            for row in self._context.ejector.rows(name, now_s)
        ]

    def service_rows(self) -> list[Row]:
        """Returns a row for each service with its slots, floor and routable slots."""
        rows = []
        for name, service in sorted(self._context.services.items()):
            routable = self._context.ejector.routable(name).upstreams
            declared = sum(upstream.slots for upstream in service.upstreams)
            rows.append(
                self._with_node_name(
                    {
                        "service": name,
                        "slots": declared,
                        "floor": max(service.floor_slots, service.floor_share * declared),
                        "routable_slots": sum(upstream.slots for upstream in routable),
                        "upstreams": len(service.upstreams),
                        "routable": len(routable),
                        "sensitivity": service.sensitivity,
                    }
                )
            )
        return rows

    def node_row(self) -> Row:
        """Returns the state of this node."""
        own = self._context.exchange.membership.own
        return self._with_node_name(
            {
                "status": own.status,
                "region": own.region,
                "zone": own.zone,
                "caller_address": own.caller_address,
                "config_version": self._context.store.version,
                "peers": len(self._context.exchange.peers),
                "known_nodes": len(self._context.exchange.membership.usable()),
                "not_ready": "; ".join(self._context.not_ready_reasons()),
            }
        )

    def explain_rows(self, address: str) -> list[Row]:
        """Returns the evidence on one upstream and the rule that determines its state."""
        rows = self._context.ejector.explain(address, self._loop.time())
        draining = address in self._context.draining_upstreams.addresses
        return [self._with_node_name({**row, "leaving": draining}) for row in rows]

    def attempt_rows(self, request_id: str) -> list[Row]:
        """Returns the entry of one request in the attempt table."""
        row = self._context.attempts.row(request_id)
        return [] if row is None else [self._with_node_name(dict(row))]

    def active_configuration(self) -> ActiveConfiguration:
        """Returns the active configuration."""
        fold = self._context.store.fold
        return ActiveConfiguration(fold.version, fold.digest, fold.services)

    def history(self) -> Sequence[CommandEntry]:
        """Returns the latest commands in log order."""
        return self._context.store.fold.history

    def members(self) -> Sequence[Member]:
        """Returns the known nodes that are not dead."""
        return tuple(self._context.exchange.membership.usable())

    async def query_fleet(self, text: str, deadline_s: float) -> FleetQueryResult:
        """Runs a query at all nodes and returns their rows together."""
        result = await self._context.exchange.query(text, deadline_s)
        rows = [dict(row) for node in sorted(result.answers) for row in result.answers[node]]
        return FleetQueryResult(rows, tuple(result.missing))

    def handle_query(self, text: str) -> Sequence[Row]:
        """Returns the rows for a query of another node; an invalid statement gives an error row."""
        try:
            statement = parse_statement(text)
            if isinstance(statement, SetFloor | SetUpstreamState):
                return []
            return [self._with_node_name(dict(row)) for row in answer_query(statement, self)]
        except (LanguageError, UnknownColumnError) as error:
            return [self._with_node_name({"error": str(error)})]

    async def submit(self, command: ConfigCommand, timeout_s: float) -> CommandOutcome:
        """Appends a command to the log and reads it back to determine its outcome."""
        return await self._publisher.submit(command, timeout_s)

    async def burn_summaries(self) -> Sequence[BurnSummary]:
        """Returns the burn records that the log retains; raises PlatformUnavailable."""
        return await self._burn_log.read_all()

    def wall_time_s(self) -> float:
        """Returns Unix time, for display and reports only."""
        return time.time()

    def command(
        self, kind: str, service: str, based_on: int, who: str, why: str, **fields: Any
    ) -> ConfigCommand:
        """Builds a command for the configuration log."""
        common: dict[str, Any] = {
            "based_on": based_on,
            "who": who,
            "why": why,
            "issued_unix_s": time.time(),
        }
        if kind == "put":
            return put_service(fields["definition"], **common)
        return _BUILDERS[kind](service, **fields, **common)

    def count(self, event: str) -> None:
        """Counts an event."""
        self._context.count(event)

    def _with_node_name(self, row: Row) -> Row:
        return {"node": self._context.settings.node, **row}
