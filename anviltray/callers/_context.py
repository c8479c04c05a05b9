"""What the application needs of the node: decision objects, configuration and counters.

The decision objects are given by structure, so a test can give fakes; their results are the types
of `anviltray.decisions`.
"""

from collections.abc import Iterable, Sequence
from typing import Any, Literal, Protocol

from anviltray.decisions import ExchangeOutcome, RoutableSet
from anviltray.decisions.attempts import Arrival
from anviltray.decisions.limits import AdmissionResult
from anviltray.decisions.routing import Router
from anviltray.declarations import RetryRule, Service
from anviltray.messages import Member
from anviltray.settings import Settings
from anviltray.upstreams import UpstreamClient

Outcome = Literal["done", "not-run", "unknown"]


class StoredResponse(Protocol):
    """A short response that is kept for replay."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> Sequence[tuple[bytes, bytes]]:
        """Header fields with names in lower case."""

    @property
    def body(self) -> bytes:
        """Whole body."""


class Board(Protocol):
    """`decisions.ejection.EjectionBoard` as far as requests need it."""

    def started(self, now_s: float, service: str, address: str, fresh_connection: bool) -> int:
        """Returns the number of a new exchange."""

    def first_byte(self, now_s: float, exchange: int) -> None:
        """The head of the response has arrived."""

    def ended(self, now_s: float, exchange: int, outcome: ExchangeOutcome) -> None:
        """The exchange has ended."""

    def warming(self, now_s: float, address: str) -> None:
        """The upstream said that it is cold."""

    def routable(self, service: str) -> RoutableSet:
        """Returns the upstreams that may get requests."""


class Loads(Protocol):
    """`decisions.routing.LoadTracker` as far as requests need it."""

    def on_request_started(self, address: str) -> None:
        """An exchange has started."""

    def on_request_ended(
        self, now_s: float, address: str, latency_s: float, reported_load: float | None
    ) -> None:
        """An exchange has ended."""


class Leaving(Protocol):
    """`decisions.draining.DrainingSet` as far as responses need it."""

    def on_drain_response(self, now_s: float, address: str) -> None:
        """The upstream said that it is leaving."""


class Admission(Protocol):
    """`decisions.limits.Admission` of one service."""

    def arrive(self, now_s: float, caller: str, deadline_s: float, ticket: Any) -> AdmissionResult:
        """Returns Admitted, Queued or Refused(retry_after_s)."""

    def finished(
        self, now_s: float, ticket: Any, latency_s: float, outcome: ExchangeOutcome
    ) -> tuple[Any, ...]:
        """Returns the queued tickets that may start now."""

    def expire(self, now_s: float) -> tuple[Any, ...]:
        """Returns the queued tickets whose deadline has passed."""


class RetryBudget(Protocol):
    """`decisions.retries.RetryBudget` of one service."""

    def request(self, now_s: float) -> None:
        """A request has arrived."""

    def take(self, now_s: float) -> bool:
        """Tells whether one extra attempt is allowed."""


class Attempts(Protocol):
    """`decisions.attempts.AttemptTable`."""

    def prefix(self, now_s: float) -> str:
        """Returns the prefix of new request identifiers."""

    def arrive(self, now_s: float, request_id: str | None) -> Arrival:
        """Returns Start, InProgress, Replay, Known, Forward, Refuse or Expired."""

    def finish(self, now_s: float, request_id: str, outcome: Outcome, response: Any | None) -> None:
        """Records how a request ended."""


class CallerContext(Protocol):
    """Everything that the caller side of a node uses."""

    @property
    def settings(self) -> Settings:
        """Settings of the node."""

    @property
    def upstreams(self) -> UpstreamClient:
        """Client of the upstreams and of other nodes."""

    @property
    def board(self) -> Board:
        """Evidence and ejections."""

    @property
    def loads(self) -> Loads:
        """Load of the upstreams."""

    @property
    def leaving(self) -> Leaving:
        """Upstreams that are leaving."""

    @property
    def attempts(self) -> Attempts:
        """Unrepeatable requests."""

    @property
    def shutting_down(self) -> bool:
        """True from the moment the node is no longer named in ask responses."""

    def route(self, host: str, path: str) -> Service | None:
        """Returns the service of a request."""

    def rule_for(self, service: Service, method: str, path: str) -> RetryRule | None:
        """Returns the rule that allows a repeat; `decisions.retries.rule_for`."""

    def router(self, service: str) -> Router:
        """Returns the router of a service."""

    def admission(self, service: str) -> Admission:
        """Returns the admission of a service."""

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""

    def stored_response(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> StoredResponse:
        """Builds the record of a response for `Attempts.finish`."""

    def members(self) -> Iterable[Member]:
        """Returns the nodes that may be named to callers."""

    def entry_addresses(
        self, members: Iterable[Member], service: str, region: str, caller: str, count: int
    ) -> tuple[str, ...]:
        """Returns entry addresses; `decisions.entry.entry_addresses`."""

    def has_service(self, service: str) -> bool:
        """Tells whether the service is declared."""

    def node_address(self, node: str, incarnation: Any) -> str | None:
        """Returns the caller address of a node if that incarnation is known to be alive."""

    def not_ready(self) -> tuple[str, ...]:
        """Returns the reasons why the node is not ready, none if it is."""

    def record_completion(
        self, service: str, status: int, latency_s: float, outcome: Outcome
    ) -> None:
        """Counts a request that was answered, for the burn report and metrics."""

    def count(self, event: str) -> None:
        """Counts an event such as `refused.admission` or `caller.left`."""
