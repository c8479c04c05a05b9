"""Decides on the head of a request whether, and as what, it may be sent to an instance."""

from typing import NamedTuple

from anviltray.callers import Problem, RequestHead
from anviltray.declarations import PrefixRoute
from anviltray.edge._state import EdgeState

_DEFAULT_RETRY_AFTER_S = 0.4  # Time after which a starting host has loaded its state.

_NOT_READY = Problem(
    503, "not-ready", "the host has no configuration yet", retry_after_s=_DEFAULT_RETRY_AFTER_S
)
_NO_ROUTE = Problem(404, "no-route", "no route matches the request")


class AdmittedRequest(NamedTuple):
    """What the active configuration says about a request."""

    route: PrefixRoute  # Route of the request.
    service: str  # Service that gets it, chosen by the weights of the route.
    account: str  # Name of the client account; empty on public routes and without accounts.
    priority: int  # 0 is the most urgent.


class RequestAdmission:
    """Matches requests with the active configuration of a host.

    Example: `admission.admit(head)` returns an `AdmittedRequest`, or the `Problem` to respond with.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state

    def admit(self, head: RequestHead) -> AdmittedRequest | Problem:
        """Returns what the configuration says about a request, or why it is rejected."""
        state = self._state
        if state.configuration is None:
            return _NOT_READY
        route = state.find_route(head.host, head.path)
        if route is None:
            return _NO_ROUTE
        return AdmittedRequest(route, state.choose_service(route), "", route.priority)
