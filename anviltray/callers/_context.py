"""Interface that the node implements for the application.

It covers the decision objects, the configuration and the counters. The decision objects are
protocols, so that tests can pass fakes; their results are the types of `anviltray.decisions`.
"""

from collections.abc import Iterable, Sequence
from typing import Any, Literal, Protocol

from anviltray.decisions import ExchangeOutcome, RoutableSet
from anviltray.decisions.attempts import ArrivalResult
from anviltray.decisions.limits import AdmissionResult
from anviltray.decisions.routing import Router
from anviltray.declarations import RetryRule, Service
from anviltray.messages import Member
from anviltray.settings import Settings
from anviltray.upstreams import UpstreamClient

Outcome = Literal["done", "not-run", "unknown"]


class StoredResponse(Protocol):
    """A short response that is stored for replay to a duplicate request."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> Sequence[tuple[bytes, bytes]]:
        """Header fields with names in lower case."""

    @property
    def body(self) -> bytes:
        """Complete body."""


class OutlierEjector(Protocol):
    """Part of `decisions.ejection.OutlierEjector` that this package uses."""

    def on_exchange_started(
        self, now_s: float, service: str, address: str, fresh_connection: bool
    ) -> int:
        """Records the start of an exchange and returns its number."""

    def on_first_byte(self, now_s: float, exchange: int) -> None:
        """Records that the head of the response was received."""

    def on_exchange_ended(self, now_s: float, exchange: int, outcome: ExchangeOutcome) -> None:
        """Records the end of an exchange."""

    def on_cold_response(self, now_s: float, address: str) -> None:
        """Records that the upstream reported a cold start."""

    def routable(self, service: str) -> RoutableSet:
        """Returns the upstreams that may receive requests."""


class LoadTracker(Protocol):
    """Part of `decisions.routing.LoadTracker` that this package uses."""

    def on_exchange_started(self, address: str) -> None:
        """Records the start of an exchange."""

    def on_exchange_ended(
        self, now_s: float, address: str, latency_s: float, reported_load: float | None
    ) -> None:
        """Records the end of an exchange and the load that the upstream reported."""


class DrainingSet(Protocol):
    """Part of `decisions.draining.DrainingSet` that this package uses."""

    def on_drain_response(self, now_s: float, address: str) -> None:
        """Records that the upstream reported that it is draining."""


class Admission(Protocol):
    """`decisions.limits.Admission`: admission control of one service."""

    def admit(self, now_s: float, caller: str, deadline_s: float, ticket: Any) -> AdmissionResult:
        """Returns Admitted, Queued or Rejected(retry_after_s)."""

    def release(
        self, now_s: float, ticket: Any, latency_s: float, outcome: ExchangeOutcome
    ) -> tuple[Any, ...]:
        """Frees the slot of a request and returns the queued tickets that may start now."""

    def expire(self, now_s: float) -> tuple[Any, ...]:
        """Removes and returns the queued tickets whose deadline has passed."""


class RetryBudget(Protocol):
    """Part of `decisions.retries.RetryBudget` of one service that this package uses."""

    def record_request(self, now_s: float) -> None:
        """Records the arrival of a request."""

    def try_acquire(self, now_s: float) -> bool:
        """Returns whether one more attempt is allowed, and deducts it from the budget."""


class AttemptTable(Protocol):
    """Part of `decisions.attempts.AttemptTable` that this package uses."""

    def prefix(self, now_s: float) -> str:
        """Returns the prefix of new request identifiers."""

    def on_arrival(self, now_s: float, request_id: str | None) -> ArrivalResult:
        """Returns Start, InProgress, Replay, RecordedOutcome, Forward, Reject or Expired."""

    def finish(self, now_s: float, request_id: str, outcome: Outcome, response: Any | None) -> None:
        """Records the outcome of a request and its response for replay, if any."""


class CallerContext(Protocol):
    """Everything that this package uses of a node."""

    @property
    def settings(self) -> Settings:
        """Settings of the node."""

    @property
    def upstreams(self) -> UpstreamClient:
        """HTTP client for the upstreams and for other nodes."""

    @property
    def ejector(self) -> OutlierEjector:
        """Outlier ejection."""

    @property
    def load_tracker(self) -> LoadTracker:
        """Load of each upstream."""

    @property
    def draining_upstreams(self) -> DrainingSet:
        """Upstreams that are draining."""

    @property
    def attempts(self) -> AttemptTable:
        """Table of the unrepeatable requests."""

    @property
    def shutting_down(self) -> bool:
        """Whether the node no longer offers its address to callers because it shuts down."""

    def route(self, host: str, path: str) -> Service | None:
        """Returns the service that a request is routed to."""

    def rule_for(self, service: Service, method: str, path: str) -> RetryRule | None:
        """Returns the rule that allows retries of a request; `decisions.retries.rule_for`."""

    def router(self, service: str) -> Router:
        """Returns the router of a service."""

    def admission(self, service: str) -> Admission:
        """Returns the admission control of a service."""

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""

    def stored_response(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> StoredResponse:
        """Builds the record of a response for `AttemptTable.finish`."""

    def members(self) -> Iterable[Member]:
        """Returns the nodes whose addresses may be offered to callers."""

    def entry_addresses(
        self, members: Iterable[Member], service: str, region: str, caller: str, count: int
    ) -> tuple[str, ...]:
        """Returns entry addresses; `decisions.entry.entry_addresses`."""

    def has_service(self, service: str) -> bool:
        """Returns whether the service is declared."""

    def node_address(self, node: str, incarnation: Any) -> str | None:
        """Returns the caller address of a node, or None if that incarnation is not known alive."""

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Returns the reasons why the node is not ready; empty if it is ready."""

    def record_completion(
        self, service: str, status: int, latency_s: float, outcome: Outcome
    ) -> None:
        """Counts an answered request for the burn report and the metrics."""

    def count(self, event: str) -> None:
        """Counts an event such as `refused.admission` or `caller.left`."""
