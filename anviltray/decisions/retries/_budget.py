"""Retry budget: bounds the extra attempts of one service."""

_BUCKETS = 10  # The window slides in steps of one bucket, a tenth of its length.


class RetryBudget:
    """Allows extra attempts up to a share of the requests in a sliding window.

    Example: with `share` 0.1, `try_acquire` succeeds 10 times in a window with 100 requests.
    `minimum` allows retries for services with little traffic. One per window of 10 s adds at most
    4.8 attempts/s over 48 nodes. `slack` is allowed in addition to the share.
    """

    def __init__(self, share: float = 0.1, window_s: float = 10.0, minimum: int = 1) -> None:
        self.slack = 0.0
        self._share = share
        self._minimum = minimum
        self._step_s = window_s / _BUCKETS
        self._step = 0
        self._requests = [0] * _BUCKETS
        self._used = [0] * _BUCKETS
        self._request_total = 0
        self._used_total = 0

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
        if self.remaining(now_s) < 1:
            return False
        self._used[self._step % _BUCKETS] += 1
        self._used_total += 1
        return True

    def remaining(self, now_s: float) -> float:
        """Returns how many extra attempts are allowed now."""
        self._advance(now_s)
        allowed = max(self._minimum, self._share * self._request_total + self.slack)
        return allowed - self._used_total

    def _advance(self, now_s: float) -> None:
        step = int(now_s // self._step_s)
        for expired in range(self._step + 1, min(step, self._step + _BUCKETS) + 1):
            # After a gap of several windows each bucket is cleared once.
            index = expired % _BUCKETS
            self._request_total -= self._requests[index]
            self._used_total -= self._used[index]
            self._requests[index] = 0
            self._used[index] = 0
        self._step = max(self._step, step)
