"""Times of a graceful stop, and what the host may still begin at each of them.

Load pattern: the hosts of a fleet are stopped one after the other under full load. Callers that
have a cached address list send requests until its lifetime has passed, some of them long ones, and
bodies and pipelined requests from before the stop are still arriving.
"""

from typing import NamedTuple

# Callers are told to use other hosts at once. A request that reaches a stopping host later than
# this, by the clock of the platform, must not be broken off.
_LATEST_RISK_S = 3.0
# Time by which the host may learn of its stop later than the platform counts it.
_SIGNAL_DELAY_S = 0.25
_RISK_SHARE = 0.5  # The same bound for short grace periods.
# Fraction of the grace period in which the host accepts connections of callers that have a cached
# address list.
_LISTEN_SHARE = 0.4
# Time before the end of the grace period in which the host writes its last responses and exits. A
# request may be broken off only in the last sixth of the grace period.
_EXIT_S = 0.4
_EXIT_SHARE = 1 / 8


class GracefulStop(NamedTuple):
    """A stop that began at `started_s` and ends after `grace_s`.

    Until `all_until_s`, every complete request is passed on, although one that takes long may be
    broken off at `interrupts_s`. From then on, only requests that have ended by `interrupts_s` in
    any case are passed on: their own time limit ends them before. All others are rejected, as
    another host can still serve them. Times are in seconds of one clock.

    Example: `GracefulStop(100.0, 6.0)` passes on everything until 102.75, later only what expires
    by 105.6.
    """

    started_s: float
    grace_s: float

    @property
    def closes_listener_s(self) -> float:
        """Time from which the host accepts no new connections."""
        return self.started_s + self.grace_s * _LISTEN_SHARE

    @property
    def all_until_s(self) -> float:
        """Time until which complete requests are passed on whatever their time limit."""
        risk_s = min(_LATEST_RISK_S - _SIGNAL_DELAY_S, self.grace_s * _RISK_SHARE)
        return self.started_s + risk_s

    @property
    def interrupts_s(self) -> float:
        """Time at which the host ends the requests that are still in flight."""
        return self.started_s + self.grace_s - min(_EXIT_S, self.grace_s * _EXIT_SHARE)

    def passes_on(self, now_s: float, expires_s: float, complete: bool) -> bool:
        """Returns whether a request may be sent to an instance for the first time.

        `expires_s` is the time at which the request ends in any case. Of a request that is not
        `complete`, a part of the body has yet to arrive, perhaps too late for a response.
        """
        if expires_s <= self.interrupts_s:
            return True
        return complete and now_s < self.all_until_s

    def can_repeat(self, now_s: float, expected_s: float) -> bool:
        """Returns whether a request that was passed on may be sent again, for `expected_s`.

        Its caller waits in any case, so this attempt need only have a prospect of ending in time.
        """
        return now_s + expected_s <= self.interrupts_s
