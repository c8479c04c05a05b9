"""State machine of the attempts of one request: which are proven not run, and when to retry."""

from enum import StrEnum

from anviltray.decisions.attempts._types import Outcome
from anviltray.declarations import RetryRule

# Maximum attempts of an unrepeatable request, each after proof that the earlier ones did not run.
UNREPEATABLE_ATTEMPTS = 3


class AttemptState(StrEnum):
    """State of one attempt as observed by the node."""

    CONNECTING = "connecting"  # No byte of the request has been written.
    SENT = "sent"  # At least one byte has been written; the upstream may have started the request.
    RESPONDING = "answering"  # A response other than a refusal has begun.
    NOT_RUN = "not-run"  # Proven not to have been started by the upstream.
    UNKNOWN = "unknown"  # Ended without a complete response and without proof.
    ERRORED = "errored"  # A complete server error was received; the request may have run.
    DONE = "done"  # Any other complete response was received.


class AttemptEvent(StrEnum):
    """Event of one attempt."""

    WRITE = "write"  # A byte of the request is about to be written.
    REFUSED = "refused"  # The upstream refused the request before the start, for load or draining.
    RESPONSE = "response"  # The head of a response other than a refusal arrived.
    COMPLETE = "complete"  # The response was received completely.
    ERROR = "error"  # A response with a 5xx status other than a refusal was received completely.
    FAILED = "failed"  # Connection lost, timeout, or exchange abandoned.
    CANCELLED = "cancelled"  # The upstream confirmed a cancellation before the request started.


class InvalidTransition(Exception):
    """The event is not allowed in the current state of the attempt."""


_State = AttemptState
_Event = AttemptEvent
_TRANSITIONS: dict[tuple[AttemptState, AttemptEvent], AttemptState] = {
    (_State.CONNECTING, _Event.WRITE): _State.SENT,
    (_State.CONNECTING, _Event.REFUSED): _State.NOT_RUN,
    (_State.CONNECTING, _Event.FAILED): _State.NOT_RUN,
    (_State.CONNECTING, _Event.CANCELLED): _State.NOT_RUN,
    (_State.SENT, _Event.WRITE): _State.SENT,
    (_State.SENT, _Event.REFUSED): _State.NOT_RUN,
    (_State.SENT, _Event.RESPONSE): _State.RESPONDING,
    (_State.SENT, _Event.FAILED): _State.UNKNOWN,
    (_State.SENT, _Event.CANCELLED): _State.NOT_RUN,
    # The response may begin while the request body is still being written.
    (_State.RESPONDING, _Event.WRITE): _State.RESPONDING,
    (_State.RESPONDING, _Event.COMPLETE): _State.DONE,
    (_State.RESPONDING, _Event.ERROR): _State.ERRORED,
    (_State.RESPONDING, _Event.FAILED): _State.UNKNOWN,
    # A confirmed cancellation that contradicts a response is no proof.
    (_State.RESPONDING, _Event.CANCELLED): _State.RESPONDING,
    (_State.DONE, _Event.CANCELLED): _State.DONE,
    (_State.DONE, _Event.FAILED): _State.DONE,
    (_State.ERRORED, _Event.CANCELLED): _State.ERRORED,
    (_State.ERRORED, _Event.FAILED): _State.ERRORED,
    (_State.NOT_RUN, _Event.FAILED): _State.NOT_RUN,
    (_State.NOT_RUN, _Event.CANCELLED): _State.NOT_RUN,
    (_State.UNKNOWN, _Event.FAILED): _State.UNKNOWN,
}


class RequestAttempts:
    """The attempts of one request.

    `rule` is the retry rule of the request; None means unrepeatable. `retries_elsewhere` is true if
    the request states that another layer already retries; then a retryable request gets another
    attempt only if all earlier ones are proven not to have run.
    """

    def __init__(self, rule: RetryRule | None, retries_elsewhere: bool = False) -> None:
        self._rule = rule
        self._retries_elsewhere = retries_elsewhere
        self._states: list[AttemptState] = []
        self._responded: set[int] = set()
        self._delivering = False

    @property
    def states(self) -> tuple[AttemptState, ...]:
        """States of all attempts in the order of their start."""
        return tuple(self._states)

    def can_start(self, now_s: float, deadline_s: float, replaced: int | None = None) -> bool:
        """Returns whether another attempt is allowed; the retry budget is checked separately.

        `replaced` is an attempt that the caller of this method ends if the new one is allowed.
        """
        if now_s >= deadline_s or self._delivering or AttemptState.DONE in self._states:
            return False
        if all(state is AttemptState.NOT_RUN for state in self._states):
            limit = UNREPEATABLE_ATTEMPTS if self._rule is None else self._rule.attempts
            return not self._states or len(self._states) < limit
        if self._rule is None or self._retries_elsewhere:
            return False
        if len(self._states) >= self._rule.attempts:
            return False
        running = any(
            state in (AttemptState.CONNECTING, AttemptState.SENT, AttemptState.RESPONDING)
            for number, state in enumerate(self._states)
            if number != replaced
        )
        return self._rule.hedge if running else True

    def start(self) -> int:
        """Adds an attempt that `can_start` allowed and returns its number."""
        self._states.append(AttemptState.CONNECTING)
        return len(self._states) - 1

    def record(self, attempt: int, event: AttemptEvent) -> AttemptState:
        """Applies an event and returns the new state; raises InvalidTransition."""
        state = self._states[attempt]
        if state is AttemptState.UNKNOWN and event is AttemptEvent.CANCELLED:
            # Proof after the exchange was abandoned is accepted unless a response had begun.
            proven = attempt not in self._responded
            new = AttemptState.NOT_RUN if proven else AttemptState.UNKNOWN
        else:
            try:
                new = _TRANSITIONS[state, event]
            except KeyError:
                raise InvalidTransition(f"event {event} is not allowed in state {state}") from None
        if new is AttemptState.RESPONDING:
            self._responded.add(attempt)
        self._states[attempt] = new
        return new

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt was written to an upstream without proof that it was not started."""
        return any(
            state not in (AttemptState.CONNECTING, AttemptState.NOT_RUN) for state in self._states
        )

    def mark_delivering(self) -> None:
        """Records that the response to the caller has begun; no further attempt may start."""
        self._delivering = True

    @property
    def outcome(self) -> Outcome:
        """Outcome of the whole request that may be reported to the caller now."""
        if AttemptState.DONE in self._states or AttemptState.ERRORED in self._states:
            return "done"
        if all(state is AttemptState.NOT_RUN for state in self._states):
            return "not-run"
        return "unknown"
