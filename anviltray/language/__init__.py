"""Query and command language for operators."""

from anviltray.language._conditions import Row, UnknownColumnError, filter_rows
from anviltray.language._parser import LanguageError, parse_statement
from anviltray.language._statements import (
    Command,
    Condition,
    ExplainUpstream,
    Query,
    SetFloor,
    SetUpstreamState,
    ShowAttempts,
    ShowConfigVersion,
    ShowHistory,
    ShowNodes,
    ShowServices,
    ShowUpstreams,
    Statement,
)

__all__ = [
    "Command",
    "Condition",
    "ExplainUpstream",
    "LanguageError",
    "Query",
    "Row",
    "SetFloor",
    "SetUpstreamState",
    "ShowAttempts",
    "ShowConfigVersion",
    "ShowHistory",
    "ShowNodes",
    "ShowServices",
    "ShowUpstreams",
    "Statement",
    "UnknownColumnError",
    "filter_rows",
    "parse_statement",
]
