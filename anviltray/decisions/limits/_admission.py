"""Admission of requests to one service at one node."""

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.limits._concurrency import ConcurrencyLimit
from anviltray.decisions.limits._queue import FairQueue, QueuedTicket
from anviltray.decisions.limits._types import (
    AdmissionResult,
    AdmissionSettings,
    Admitted,
    Queued,
    Refused,
)


class UnknownTicket(LookupError):
    """The ticket is neither in flight nor queued."""


class Admission:
    """Bounded fair queue in front of an adaptive concurrency limit.

    `admit` refuses a request early if it could not end before its deadline; a refused request was
    not run. Tickets that `expire` returns were not run either: their deadline passed in the queue,
    or a request of a caller with a shorter line took their place. They never start.
    """

    def __init__(self, settings: AdmissionSettings | None = None) -> None:
        self._settings = settings or AdmissionSettings()
        self._limit = ConcurrencyLimit(
            self._settings.initial_latency_s, self._settings.start_factor
        )
        self._queue = FairQueue()
        self._in_flight: set[int] = set()
        self._not_started: list[int] = []
        # Refused requests that are told to come back, as a backlog that drains at the service rate.
        self._returning = 0.0
        self._returning_at_s = 0.0
        self._spread = 0.0

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and have not finished."""
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def limit(self) -> float:
        """Requests that may be in flight now."""
        return self._limit.value

    def set_capacity(self, now_s: float, slots: float, nodes: int = 1) -> None:
        """Sets the usable slots of the service and the number of nodes that share them."""
        self._limit.set_share(slots / max(1, nodes))

    def admit(self, now_s: float, caller: str, deadline_s: float, ticket: int) -> AdmissionResult:
        """Decides about a new request; `deadline_s` is on the same clock as `now_s`."""
        if deadline_s <= now_s:
            return Refused(self.retry_after_s(now_s))
        self._collect_expired(now_s)
        if not self._queue and self._has_room():
            self._in_flight.add(ticket)
            return Admitted()
        wait_s = (self._queue.ahead_of(caller) + 1) / self._rate()
        latest_s = min(self._settings.wait_limit_s, deadline_s - now_s - self._limit.latency_s)
        if wait_s > latest_s:
            return Refused(self.retry_after_s(now_s))
        if len(self._queue) >= self._settings.queue_limit:
            displaced = self._queue.displace_for(caller)
            if displaced is None:
                return Refused(self.retry_after_s(now_s))
            self._not_started.append(displaced.ticket)
        self._queue.push(QueuedTicket(ticket, caller, deadline_s))
        return Queued()

    def release(
        self, now_s: float, ticket: int, latency_s: float, outcome: ExchangeOutcome
    ) -> tuple[int, ...]:
        """Ends a request and returns the queued tickets that start now.

        A queued ticket whose caller has left may be ended too. Raises UnknownTicket.
        """
        if ticket in self._in_flight:
            self._limit.ended(now_s, latency_s, outcome, len(self._in_flight))
            self._in_flight.remove(ticket)
        elif not self._queue.remove(ticket):
            raise UnknownTicket(str(ticket))
        return self._start_queued(now_s)

    def expire(self, now_s: float) -> tuple[int, ...]:
        """Returns the tickets that will never start, each once."""
        self._collect_expired(now_s)
        tickets = tuple(self._not_started)
        self._not_started.clear()
        return tickets

    def _collect_expired(self, now_s: float) -> None:
        self._not_started.extend(self._queue.remove_expired(now_s))

    def _has_room(self) -> bool:
        return len(self._in_flight) < self._limit.value

    def _start_queued(self, now_s: float) -> tuple[int, ...]:
        started: list[int] = []
        while self._queue and self._has_room():
            item = self._queue.pop()
            if item.deadline_s <= now_s:
                self._not_started.append(item.ticket)
                continue
            self._in_flight.add(item.ticket)
            started.append(item.ticket)
        return tuple(started)

    def _rate(self) -> float:
        """Returns the requests per second that the limit lets through."""
        return self._limit.value / max(self._limit.latency_s, 1e-6)

    def retry_after_s(self, now_s: float) -> float:
        """Returns the Retry-After of one more request that was not run.

        To be asked once for each ticket from `expire` and each request that upstreams refused. Each
        call returns a later time than the one before, so that the callers do not all return at once
        and meet the same full queue.
        """
        rate = self._rate()
        drained = rate * (now_s - self._returning_at_s)
        self._returning = max(0.0, self._returning - drained) + 1
        self._returning_at_s = now_s
        wait_s = (len(self._queue) + self._returning) / rate
        limit_s = self._settings.retry_after_limit_s
        if wait_s <= limit_s:
            return wait_s
        # Callers above the limit are spread over its second half by multiples of the golden ratio;
        # told the same time, they would cause the next overload.
        self._spread = (self._spread + 0.618034) % 1.0
        return limit_s * (1.0 - 0.5 * self._spread)
