"""Bounds the extra attempts of one service."""

_BUCKETS = 10  # per window; the window slides in steps of a tenth.


class RetryBudget:
    """Allows extra attempts up to a share of the requests of a sliding window.

    Example: with `share` 0.1, `try_acquire` succeeds 10 times in a window with 100 requests.
    `minimum` lets rare traffic retry at all. One per window of 10 s adds at most 4.8 attempts/s
    over 48 nodes. `slack` is allowed on top of the share.
    """

    def __init__(self, share: float = 0.1, window_s: float = 10.0, minimum: int = 1) -> None:
        self.slack = 0.0
        self._share = share
        self._minimum = minimum
        self._step_s = window_s / _BUCKETS
        self._step = 0
        self._requests = [0] * _BUCKETS
        self._taken = [0] * _BUCKETS
        self._request_total = 0
        self._taken_total = 0

    def record_request(self, now_s: float) -> None:
        """Counts the first arrival of a request."""
        self._advance(now_s)
        self._requests[self._step % _BUCKETS] += 1
        self._request_total += 1

    def try_acquire(self, now_s: float, retries_elsewhere: bool = False) -> bool:
        """Takes one extra attempt from the budget; False if there is none.

        `retries_elsewhere` is true if the request says that another layer already retries; then
        the answer is always False, since retries of stacked layers multiply.
        """
        if retries_elsewhere:
            return False
        if self.remaining(now_s) < 1:
            return False
        self._taken[self._step % _BUCKETS] += 1
        self._taken_total += 1
        return True

    def remaining(self, now_s: float) -> float:
        """Returns how many extra attempts are allowed now."""
        self._advance(now_s)
        allowed = max(self._minimum, self._share * self._request_total + self.slack)
        return allowed - self._taken_total

    def _advance(self, now_s: float) -> None:
        step = int(now_s // self._step_s)
        for passed in range(self._step + 1, min(step, self._step + _BUCKETS) + 1):
            # A jump of several windows clears each bucket once.
            index = passed % _BUCKETS
            self._request_total -= self._requests[index]
            self._taken_total -= self._taken[index]
            self._requests[index] = 0
            self._taken[index] = 0
        self._step = max(self._step, step)
