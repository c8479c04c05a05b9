"""State of one request's attempts: what is proven not run, and when another attempt may start."""

from enum import StrEnum

from anviltray.decisions.attempts._types import Outcome
from anviltray.declarations import RetryRule

# Attempts of an unrepeatable request, each after proof that the earlier ones did not run.
UNREPEATABLE_ATTEMPTS = 3


class AttemptState(StrEnum):
    """What is known about one attempt."""

    CONNECTING = "connecting"  # No byte of the request was written.
    SENT = "sent"  # At least one byte was written; the upstream may have started it.
    ANSWERING = "answering"  # A response other than a refusal has begun.
    NOT_RUN = "not-run"  # Proven not to have been started.
    UNKNOWN = "unknown"  # Ended without a whole response and without proof.
    ERRORED = "errored"  # A whole server error was received; the upstream may have run it.
    DONE = "done"  # Any other whole response was received.


class AttemptEvent(StrEnum):
    """What happens to one attempt."""

    WRITE = "write"  # A byte of the request is about to be written.
    REFUSED = "refused"  # The upstream shed or drained the request before it started.
    RESPONSE = "response"  # The head of a response other than a refusal arrived.
    COMPLETE = "complete"  # The response arrived whole.
    ERROR = "error"  # A response with a 5xx status other than a refusal arrived whole.
    FAILED = "failed"  # Connection lost, time-out, or the exchange was abandoned.
    CANCELLED = "cancelled"  # The upstream confirmed a cancellation before start.


class InvalidTransition(Exception):
    """The event cannot follow in this state."""


_State = AttemptState
_Event = AttemptEvent
_TRANSITIONS: dict[tuple[AttemptState, AttemptEvent], AttemptState] = {
    (_State.CONNECTING, _Event.WRITE): _State.SENT,
    (_State.CONNECTING, _Event.REFUSED): _State.NOT_RUN,
    (_State.CONNECTING, _Event.FAILED): _State.NOT_RUN,
    (_State.CONNECTING, _Event.CANCELLED): _State.NOT_RUN,
    (_State.SENT, _Event.WRITE): _State.SENT,
    (_State.SENT, _Event.REFUSED): _State.NOT_RUN,
    (_State.SENT, _Event.RESPONSE): _State.ANSWERING,
    (_State.SENT, _Event.FAILED): _State.UNKNOWN,
    (_State.SENT, _Event.CANCELLED): _State.NOT_RUN,
    # The response may begin while the request body is still being written.
    (_State.ANSWERING, _Event.WRITE): _State.ANSWERING,
    (_State.ANSWERING, _Event.COMPLETE): _State.DONE,
    (_State.ANSWERING, _Event.ERROR): _State.ERRORED,
    (_State.ANSWERING, _Event.FAILED): _State.UNKNOWN,
    # A confirmation that contradicts a response proves nothing.
    (_State.ANSWERING, _Event.CANCELLED): _State.ANSWERING,
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
    the request says that another layer already retries; then a repeatable request gets one attempt
    unless the earlier one is proven not to have run.
    """

    def __init__(self, rule: RetryRule | None, retries_elsewhere: bool = False) -> None:
        self._rule = rule
        self._retries_elsewhere = retries_elsewhere
        self._states: list[AttemptState] = []
        self._answered: set[int] = set()
        self._delivering = False

    @property
    def states(self) -> tuple[AttemptState, ...]:
        """States of all attempts in the order of their start."""
        return tuple(self._states)

    def can_start(self, now_s: float, deadline_s: float, replaced: int | None = None) -> bool:
        """Tells whether another attempt is allowed; the retry budget is asked separately.

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
            state in (AttemptState.CONNECTING, AttemptState.SENT, AttemptState.ANSWERING)
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
            # Proof after the exchange was abandoned counts unless a response had begun.
            proven = attempt not in self._answered
            new = AttemptState.NOT_RUN if proven else AttemptState.UNKNOWN
        else:
            try:
                new = _TRANSITIONS[state, event]
            except KeyError:
                raise InvalidTransition(f"{event} in state {state}") from None
        if new is AttemptState.ANSWERING:
            self._answered.add(attempt)
        self._states[attempt] = new
        return new

    @property
    def may_have_run(self) -> bool:
        """Whether a byte of any attempt was written without proof that it was not started."""
        return any(
            state not in (AttemptState.CONNECTING, AttemptState.NOT_RUN) for state in self._states
        )

    def mark_delivering(self) -> None:
        """Records that a byte of a response went to the caller; no other attempt may follow."""
        self._delivering = True

    @property
    def outcome(self) -> Outcome:
        """What the caller may be told now about the request as a whole."""
        if AttemptState.DONE in self._states or AttemptState.ERRORED in self._states:
            return "done"
        if all(state is AttemptState.NOT_RUN for state in self._states):
            return "not-run"
        return "unknown"
