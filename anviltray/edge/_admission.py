"""Decides on the head of a request whether, and as what, it may be sent to an instance."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import logbook

from anviltray.callers import Problem, RequestHead
from anviltray.decisions.accounts import AccountIndex, KeyFault, read_credentials
from anviltray.declarations import ClientAccount, PrefixRoute
from anviltray.edge._state import EdgeState

_log = logbook.Logger("anviltray.accounts")
_requests_log = logbook.Logger("anviltray.requests")

_DEFAULT_RETRY_AFTER_S = 0.4  # Time after which a starting host has loaded its state.
# Callers that try keys must not fill the log; the metrics count each request.
_LOG_INTERVAL_S = 1.0

_NOT_READY = Problem(
    503, "not-ready", "the host has no configuration yet", retry_after_s=_DEFAULT_RETRY_AFTER_S
)
_NO_ROUTE = Problem(404, "no-route", "no route matches the request")
_UNAUTHORIZED = {
    KeyFault.MISSING: "the request has no Authorization header",
    KeyFault.SEVERAL: "the request has several Authorization headers",
    KeyFault.MALFORMED: "the Authorization header is not of the form Bearer KEY",
    KeyFault.UNKNOWN: "the key belongs to no account",
}
_KEY_PROBLEMS = {
    fault: Problem(
        401,
        fault.value,
        detail,
        # RFC 6750, section 3.1: no error code if the request has no credentials.
        challenge="Bearer" if fault is KeyFault.MISSING else 'Bearer error="invalid_token"',
    )
    for fault, detail in _UNAUTHORIZED.items()
}


class AdmittedRequest(NamedTuple):
    """What the active configuration says about a request."""

    route: PrefixRoute  # Route of the request.
    service: str  # Service that gets it, chosen by the weights of the route.
    account: str  # Name of the client account; empty on public routes and without accounts.
    priority: int  # 0 is the most urgent.
    version: int  # Version of that configuration.
    account_headers: tuple[tuple[str, str], ...]  # For the instance, in each attempt.

    def __repr__(self) -> str:
        """Returns a representation without headers, since they may contain secrets."""
        return f"AdmittedRequest({self.route.name!r}, {self.service!r}, {self.account!r})"


class RequestAdmission:
    """Matches requests with the active configuration of a host.

    Example: `admission.admit(head)` returns an `AdmittedRequest`, or the `Problem` to respond with.
    """

    def __init__(
        self, state: EdgeState, count: Callable[[str], None], account_header: str = ""
    ) -> None:
        """`count` increments a counter; `account_header` tells instances the account's name."""
        self._state = state
        self._count = count
        self._account_header = account_header
        self._loop = asyncio.get_running_loop()
        self._unlogged: Counter[str] = Counter()  # Rejections since the last log line, by cause.
        self._next_log_s = float("-inf")

    def admit(self, head: RequestHead) -> AdmittedRequest | Problem:
        """Returns what the configuration says about a request, or why it is rejected."""
        return self._admit(head, None)

    def renew(self, head: RequestHead, admitted: AdmittedRequest) -> AdmittedRequest | Problem:
        """Returns what the configuration now says about a request that has been admitted.

        For requests that no attempt has sent yet. A request whose route has moved goes to one of
        its new services, and one whose route or key has been withdrawn is rejected.
        """
        configuration = self._state.configuration
        if configuration is not None and configuration.version == admitted.version:
            return admitted
        renewed = self._admit(head, admitted.service)
        if isinstance(renewed, Problem):
            self._count("withdrawn_while_waiting")
        return renewed

    def log_rejection(self, head: RequestHead, problem: Problem) -> None:
        """Logs a rejected request; those without a valid key as sums, at a bounded rate."""
        version = -1 if self._state.configuration is None else self._state.configuration.version
        if problem.challenge is None:
            _requests_log.info(
                problem.name,
                extra={"id": head.request_id, "status": problem.status, "version": version},
            )
            return
        self._unlogged[problem.name] += 1
        now_s = self._loop.time()
        if now_s >= self._next_log_s:
            self._next_log_s = now_s + _LOG_INTERVAL_S
            _log.info(
                "requests without a valid key are rejected",
                extra={"causes": dict(self._unlogged), "version": version},
            )
            self._unlogged.clear()

    def _admit(self, head: RequestHead, service: str | None) -> AdmittedRequest | Problem:
        """Decides on a request; `service` is kept if the route still leads there."""
        state = self._state
        configuration = state.configuration
        if configuration is None:
            return _NOT_READY
        route = state.find_route(head.host, head.path)
        if route is None:
            return _NO_ROUTE
        name, priority = "", route.priority
        account_headers: tuple[tuple[str, str], ...] = ()
        if state.accounts is None:
            account_headers = head.account_headers
        elif not route.public:
            account = _identify(state.accounts, head)
            if isinstance(account, KeyFault):
                self._count(account.value.replace("-", "_"))
                return _KEY_PROBLEMS[account]
            name = account.name
            account_headers = ((self._account_header, name),)
            if account.priority is not None:
                priority = account.priority
        if service is None or all(part.service != service for part in route.destinations):
            service = state.choose_service(route)
        return AdmittedRequest(
            route, service, name, priority, configuration.version, account_headers
        )


def _identify(accounts: AccountIndex, head: RequestHead) -> ClientAccount | KeyFault:
    credentials = read_credentials(head.authorization)
    if credentials.fault is not None:
        return credentials.fault
    return accounts.find(credentials.key) or KeyFault.UNKNOWN
