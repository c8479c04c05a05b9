"""Answers of one node to the queries of the operator language."""

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

_Answer = Callable[[Any, NodeView], list[Row]]
_ANSWERS: dict[type[Query], _Answer] = {}

# The history is a part of the configuration, which is the same everywhere, so one node answers.
LOCAL_QUERIES: tuple[type[Query], ...] = (ShowHistory,)


def _answers(kind: type[Query]) -> Callable[[_Answer], _Answer]:
    def add(answer: _Answer) -> _Answer:
        _ANSWERS[kind] = answer
        return answer

    return add


def answer_query(query: Query, view: NodeView) -> list[Row]:
    """Returns this node's rows; raises `anviltray.language.UnknownColumnError`."""
    return _ANSWERS[type(query)](query, view)


@_answers(ShowUpstreams)
def _upstreams(query: ShowUpstreams, view: NodeView) -> list[Row]:
    return filter_rows(view.upstream_rows(query.service), query.conditions)


@_answers(ShowServices)
def _services(query: ShowServices, view: NodeView) -> list[Row]:
    return filter_rows(view.service_rows(), query.conditions)


@_answers(ShowNodes)
def _nodes(query: ShowNodes, view: NodeView) -> list[Row]:
    return filter_rows([view.node_row()], query.conditions)


@_answers(ShowConfigVersion)
def _config_version(_query: ShowConfigVersion, view: NodeView) -> list[Row]:
    version, digest, services = view.active_configuration()
    return [{"version": version, "digest": digest, "services": len(services)}]


@_answers(ShowAttempts)
def _attempts(query: ShowAttempts, view: NodeView) -> list[Row]:
    return list(view.attempt_rows(query.request_id))


@_answers(ExplainUpstream)
def _explain(query: ExplainUpstream, view: NodeView) -> list[Row]:
    return list(view.explain_rows(query.address))


@_answers(ShowHistory)
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
