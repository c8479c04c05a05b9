"""Admission control for requests to one service at one node."""

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.limits._concurrency import ConcurrencyLimit
from anviltray.decisions.limits._queue import FairQueue, QueuedTicket
from anviltray.decisions.limits._types import (
    AdmissionResult,
    AdmissionSettings,
    Admitted,
    Queued,
    Rejected,
)


class UnknownTicket(LookupError):
    """The ticket is neither in flight nor queued."""


class Admission:
    """Bounded fair queue in front of an adaptive concurrency limit.

    `admit` rejects a request early if it could not end before its deadline; a rejected request was
    not run. Tickets that `expire` returns were not run either and never start: their deadline
    passed in the queue, or a request of a caller with a shorter queue displaced them.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._limit = ConcurrencyLimit(
            self._settings.initial_latency_s, self._settings.start_factor
        )
        self._queue = FairQueue()
        self._in_flight: set[int] = set()
        self._not_started: list[int] = []
        # Expected retries of rejected requests: a backlog that drains at the service rate.
        self._retry_backlog = 0.0
        self._retry_backlog_updated_s = 0.0
        self._retry_after_spread = 0.0

    @property
    def in_flight(self) -> int:
        """Number of requests that were admitted and have not finished."""
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def limit(self) -> float:
        """Maximum number of requests in flight."""
        return self._limit.value

    def set_capacity(self, now_s: float, slots: float, nodes: int = 1) -> None:
        """Sets the usable slots of the service and the number of nodes that share them."""
        self._limit.set_share(slots / max(1, nodes))

    def admit(self, now_s: float, caller: str, deadline_s: float, ticket: int) -> AdmissionResult:
        """Admits, queues or rejects a new request; `deadline_s` is on the same clock as `now_s`."""
        if deadline_s <= now_s:
            return Rejected(self.retry_after_s(now_s))
        self._collect_expired(now_s)
        if not self._queue and self._has_capacity():
            self._in_flight.add(ticket)
            return Admitted()
        wait_s = (self._queue.requests_ahead_of(caller) + 1) / self._service_rate()
        latest_s = min(self._settings.wait_limit_s, deadline_s - now_s - self._limit.latency_s)
        if wait_s > latest_s:
            return Rejected(self.retry_after_s(now_s))
        if len(self._queue) >= self._settings.queue_limit:
            displaced = self._queue.displace_for(caller)
            if displaced is None:
                return Rejected(self.retry_after_s(now_s))
            self._not_started.append(displaced.ticket)
        self._queue.push(QueuedTicket(ticket, caller, deadline_s))
        return Queued()

    def release(
        self, now_s: float, ticket: int, latency_s: float, outcome: ExchangeOutcome
    ) -> tuple[int, ...]:
        """Ends a request and returns the queued tickets that start now.

        Also removes a queued ticket whose caller has disconnected. Raises UnknownTicket for
        any other ticket that is not in flight.
        """
        if ticket in self._in_flight:
            self._limit.on_exchange_ended(now_s, latency_s, outcome, len(self._in_flight))
            self._in_flight.remove(ticket)
        elif not self._queue.remove(ticket):
            raise UnknownTicket(str(ticket))
        return self._start_queued(now_s)

    def expire(self, now_s: float) -> tuple[int, ...]:
        """Returns the tickets that will never start; each is returned once."""
        self._collect_expired(now_s)
        tickets = tuple(self._not_started)
        self._not_started.clear()
        return tickets

    def _collect_expired(self, now_s: float) -> None:
        self._not_started.extend(self._queue.remove_expired(now_s))

    def _has_capacity(self) -> bool:
        return len(self._in_flight) < self._limit.value

    def _start_queued(self, now_s: float) -> tuple[int, ...]:
        started: list[int] = []
        while self._queue and self._has_capacity():
            item = self._queue.pop()
            if item.deadline_s <= now_s:
                self._not_started.append(item.ticket)
                continue
            self._in_flight.add(item.ticket)
            started.append(item.ticket)
        return tuple(started)

    def _service_rate(self) -> float:
        """Returns the requests per second that the limit allows."""
        return self._limit.value / max(self._limit.latency_s, 1e-6)

    def retry_after_s(self, now_s: float) -> float:
        """Returns the Retry-After for one more request that was not run.

        Call it once for each ticket from `expire` and each request that upstreams refused. The time
        grows with each call up to the limit, so that callers do not all retry at once and find the
        queue full again.
        """
        rate = self._service_rate()
        drained = rate * (now_s - self._retry_backlog_updated_s)
        self._retry_backlog = max(0.0, self._retry_backlog - drained) + 1
        self._retry_backlog_updated_s = now_s
        wait_s = (len(self._queue) + self._retry_backlog) / rate
        limit_s = self._settings.retry_after_limit_s
        if wait_s <= limit_s:
            return wait_s
        # Times above the limit are spread over its second half by multiples of the golden ratio.
        # Callers with equal times would cause the next overload.
        self._retry_after_spread = (self._retry_after_spread + 0.618034) % 1.0
        return limit_s * (1.0 - 0.5 * self._retry_after_spread)
