"""HTTP front end of a node: the server, proxy and request handling for callers."""

from anviltray.callers._application import CallerApplication, create_application
from anviltray.callers._body import RequestBody
from anviltray.callers._context import CallerContext, Outcome, StoredResponse
from anviltray.callers._exchange import CallerExchange
from anviltray.callers._head import CallerHeaders, HeadReader, RequestHead
from anviltray.callers._pressure import CallerPressure
from anviltray.callers._problems import InputError, Problem
from anviltray.callers._protocol import protocol_class
from anviltray.callers._relay import add_content_length
from anviltray.callers._server import bind, serve, serve_internal

__all__ = [
    "CallerApplication",
    "CallerContext",
    "CallerExchange",
    "CallerHeaders",
    "CallerPressure",
    "HeadReader",
    "InputError",
    "Outcome",
    "Problem",
    "RequestBody",
    "RequestHead",
    "StoredResponse",
    "add_content_length",
    "bind",
    "create_application",
    "protocol_class",
    "serve",
    "serve_internal",
]
