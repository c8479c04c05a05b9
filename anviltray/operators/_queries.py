"""Evaluates queries of the operator language on the local state of one node."""

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from anviltray.language import (
    ExplainUpstream,
    Query,
    Row,
    ShowAttempts,
    ShowConfigVersion,
    ShowHistory,
    ShowNodes,
    ShowServices,
    ShowUpstreams,
    filter_rows,
)
from anviltray.operators._context import NodeView

_QueryHandler = Callable[[Any, NodeView], list[Row]]
_HANDLERS: dict[type[Query], _QueryHandler] = {}

# Queries that one node answers alone, because all nodes have the same configuration history.
LOCAL_QUERIES: tuple[type[Query], ...] = (ShowHistory,)


def _handles(kind: type[Query]) -> Callable[[_QueryHandler], _QueryHandler]:
    def register(handler: _QueryHandler) -> _QueryHandler:
        _HANDLERS[kind] = handler
        return handler

    return register


def answer_query(query: Query, view: NodeView) -> list[Row]:
    """Returns the rows of this node; raises `anviltray.language.UnknownColumnError`."""
    return _HANDLERS[type(query)](query, view)


@_handles(ShowUpstreams)
def _upstreams(query: ShowUpstreams, view: NodeView) -> list[Row]:
    return filter_rows(view.upstream_rows(query.service), query.conditions)


@_handles(ShowServices)
def _services(query: ShowServices, view: NodeView) -> list[Row]:
    return filter_rows(view.service_rows(), query.conditions)


@_handles(ShowNodes)
def _nodes(query: ShowNodes, view: NodeView) -> list[Row]:
    return filter_rows([view.node_row()], query.conditions)


@_handles(ShowConfigVersion)
def _config_version(_query: ShowConfigVersion, view: NodeView) -> list[Row]:
    version, digest, services = view.active_configuration()
    return [{"version": version, "digest": digest, "services": len(services)}]


@_handles(ShowAttempts)
def _attempts(query: ShowAttempts, view: NodeView) -> list[Row]:
    return list(view.attempt_rows(query.request_id))


@_handles(ExplainUpstream)
def _explain(query: ExplainUpstream, view: NodeView) -> list[Row]:
    return list(view.explain_rows(query.address))


@_handles(ShowHistory)
def _history(query: ShowHistory, view: NodeView) -> list[Row]:
    return [
        {
            "version": entry.version,
            "when": f"{datetime.fromtimestamp(entry.issued_unix_s, UTC):%Y-%m-%dT%H:%M:%SZ}",
            "who": entry.who,
            "what": entry.kind,
            "service": entry.service,
            "why": entry.why,
            "outcome": f"rejected: {entry.rejection}" if entry.rejection else "accepted",
            "command": entry.command_id,
        }
        for entry in view.history()
        if query.service in (None, entry.service)
    ]
