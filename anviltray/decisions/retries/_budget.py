"""Retry budget: bounds the extra attempts of one service."""

from collections import deque
from typing import NamedTuple

_BUCKETS = 10  # The window slides in steps of one bucket, a tenth of its length.


class _Loan(NamedTuple):
    expires_s: float  # Time from which it no longer counts.
    attempts: int  # Extra attempts.


class BudgetUsage(NamedTuple):
    """State of a budget, for logs."""

    requests: int  # Requests in the window.
    used: int  # Extra attempts in the window.
    lent: int  # Extra attempts that other hosts have got and may use.
    allowed: float  # Limit for those that are used and lent.


class RetryBudget:
    """Allows extra attempts up to a share of the requests in a sliding window.

    Example: with `share` 0.1, `try_acquire` succeeds 10 times in a window with 100 requests.
    `minimum` allows retries for services with little traffic. One per window of 10 s adds at most
    4.8 attempts/s over 48 nodes. `slack` is allowed in addition to the share.

    Several hosts that divide a budget can lend each other attempts: `lend` takes them out of one
    budget and `add_loan` adds them to another one.
    """

    def __init__(self, share: float = 0.1, window_s: float = 10.0, minimum: int = 1) -> None:
        self.slack = 0.0
        self._share = share
        self._minimum = minimum
        self._window_s = window_s
        self._step_s = window_s / _BUCKETS
        self._step = 0
        self._requests = [0] * _BUCKETS
        self._used = [0] * _BUCKETS
        self._request_total = 0
        self._used_total = 0
        self._lent: deque[_Loan] = deque()
        self._lent_total = 0
        self._borrowed: deque[_Loan] = deque()

    def record_request(self, now_s: float) -> None:
        """Counts a request once, without its extra attempts."""
        self._advance(now_s)
        self._requests[self._step % _BUCKETS] += 1
        self._request_total += 1

    def try_acquire(self, now_s: float, retries_elsewhere: bool = False) -> bool:
        """Takes one extra attempt from the budget; returns False if none is left.

        `retries_elsewhere` is true if the request states that another layer already retries. The
        result is then always False, because retries of stacked layers multiply.
        """
        if retries_elsewhere:
            return False
        self._advance(now_s)
        if self._borrowed:
            # The lender counts a borrowed attempt, so it is not counted here as well.
            loan = self._borrowed.popleft()
            if loan.attempts > 1:
                self._borrowed.appendleft(loan._replace(attempts=loan.attempts - 1))
            return True
        if self._own_remaining() < 1:
            return False
        self._used[self._step % _BUCKETS] += 1
        self._used_total += 1
        return True

    def remaining(self, now_s: float) -> float:
        """Returns how many extra attempts are allowed now."""
        self._advance(now_s)
        return self._own_remaining() + sum(loan.attempts for loan in self._borrowed)

    def usage(self, now_s: float) -> BudgetUsage:
        """Returns what the budget consists of and what is used."""
        self._advance(now_s)
        return BudgetUsage(
            self._request_total, self._used_total, self._lent_total, round(self._allowed, 2)
        )

    def lend(self, now_s: float, attempts: int, lifetime_s: float) -> int:
        """Takes up to `attempts` out of the budget for another host; returns how many.

        The other host may use them for `lifetime_s` seconds. They count here for that time and for
        the window after it, whether they are used or not.
        """
        self._advance(now_s)
        lent = max(0, min(attempts, int(self._own_remaining())))
        if lent:
            self._lent.append(_Loan(now_s + lifetime_s + self._window_s, lent))
            self._lent_total += lent
        return lent

    def add_loan(self, expires_s: float, attempts: int) -> None:
        """Adds attempts of another host, which must be used before `expires_s`."""
        self._borrowed.append(_Loan(expires_s, attempts))

    @property
    def _allowed(self) -> float:
        return max(self._minimum, self._share * self._request_total + self.slack)

    def _own_remaining(self) -> float:
        return self._allowed - self._used_total - self._lent_total

    def _advance(self, now_s: float) -> None:
        while self._lent and self._lent[0].expires_s <= now_s:
            self._lent_total -= self._lent.popleft().attempts
        while self._borrowed and self._borrowed[0].expires_s <= now_s:
            self._borrowed.popleft()
        step = int(now_s // self._step_s)
        for expired in range(self._step + 1, min(step, self._step + _BUCKETS) + 1):
            # After a gap of several windows each bucket is cleared once.
            index = expired % _BUCKETS
            self._request_total -= self._requests[index]
            self._used_total -= self._used[index]
            self._requests[index] = 0
            self._used[index] = 0
        self._step = max(self._step, step)
