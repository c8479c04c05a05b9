"""The side of a node that callers connect to."""

from anviltray.callers._application import CallerApplication, create_application
from anviltray.callers._context import CallerContext, Outcome, StoredResponse
from anviltray.callers._server import bind, serve

__all__ = [
    "CallerApplication",
    "CallerContext",
    "Outcome",
    "StoredResponse",
    "bind",
    "create_application",
    "serve",
]
