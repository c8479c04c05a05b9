"""Operator endpoint of a node: queries, commands, declarations and error-budget records."""

from anviltray.operators._application import create_operator_application
from anviltray.operators._context import (
    ActiveConfiguration,
    FleetQueryResult,
    NodeView,
    OperatorContext,
    Row,
)
from anviltray.operators._queries import answer_query

__all__ = [
    "FleetQueryResult",
    "ActiveConfiguration",
    "NodeView",
    "OperatorContext",
    "Row",
    "answer_query",
    "create_operator_application",
]
