"""Who may use the queues of the instances while a service is short of room.

Load pattern: a service rejects requests for seconds. Less urgent requests with long targets take
the room of urgent ones, and an account that sends, or repeats, many times its usual takes that of
the others. A host sees only some requests a second, so it weighs the last few seconds.
"""

from collections.abc import Callable

_HALF_LIFE_S = 2.0
_PRUNE_INTERVAL_S = 1.0
_MIN_COUNT = 0.05  # Decayed counts below this are dropped.
# A service is short of room while more than this share of its recent requests was rejected.
_SHORTAGE_SHARE = 0.1
# Less urgent requests are held back then while more than this share of urgent ones was rejected.
_URGENT_SHORTAGE_SHARE = 0.03
# Requests of a kind or an account that are served less often than this, relative to all, are never
# held back. A quarter must be kept over any longer time; hosts see only a sample.
_LEAST_RELATIVE_SHARE = 0.4
# An account is held back above this multiple of what it is owed, since counts are small numbers.
_SHARE_TOLERANCE = 1.2
_MIN_OFFERED = 3.0  # Decayed requests that a priority must have for its share to count.


class _Counts:
    """Decayed numbers of requests."""

    __slots__ = ("offered", "started", "updated_s")

    def __init__(self, now_s: float) -> None:
        self.offered = 0.0
        self.started = 0.0
        self.updated_s = now_s

    def decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self.updated_s) / _HALF_LIFE_S)
        self.offered *= factor
        self.started *= factor
        self.updated_s = now_s

    @property
    def served_share(self) -> float:
        return min(1.0, self.started / self.offered) if self.offered > 0 else 1.0


class ShortageShares:
    """Recent requests of one service at one host, by priority and by account.

    While the service is short of room, a request is entitled to a place in the queue of an instance
    if no more urgent requests are rejected and its account has not had more than it is owed. Others
    may use free slots only. What is owed does not depend on what an account sends.

    Example: after ten requests each of the accounts "a" and "b", with ten and two starts, "a" is
    not entitled and "b" is.
    """

    def __init__(self, weight: Callable[[str], float] = lambda account: 1.0) -> None:
        """`weight` returns what an account is owed, relative to the other accounts."""
        self._weight = weight
        self._priorities: dict[int, _Counts] = {}
        self._accounts: dict[str, _Counts] = {}
        self._pruned_s = float("-inf")
        self._total_weight = 0.0  # Of the accounts that have recent requests.

    def on_request(self, now_s: float, priority: int, account: str, started: bool) -> None:
        """Counts a request that was started or rejected."""
        known = account in self._accounts
        for counts in (
            self._priorities.setdefault(priority, _Counts(now_s)),
            self._accounts.setdefault(account, _Counts(now_s)),
        ):
            counts.decay(now_s)
            counts.offered += 1
            counts.started += started
        if not known:
            self._total_weight += self._weight(account)
        if now_s - self._pruned_s > _PRUNE_INTERVAL_S:
            self._prune(now_s)

    def is_entitled(self, now_s: float, priority: int, account: str) -> bool:
        """Returns whether a request may be queued at an instance."""
        for counts in self._priorities.values():
            counts.decay(now_s)
        offered = sum(counts.offered for counts in self._priorities.values())
        started = sum(counts.started for counts in self._priorities.values())
        if offered < _MIN_OFFERED or started >= offered * (1 - _SHORTAGE_SHARE):
            return True
        least = _LEAST_RELATIVE_SHARE * started / offered
        own = self._priorities.get(priority)
        if own is not None and own.served_share > least:
            for each, counts in self._priorities.items():
                short = counts.served_share < 1 - _URGENT_SHORTAGE_SHARE
                if each < priority and short and counts.offered >= _MIN_OFFERED:
                    return False
        return self._is_owed(now_s, account, started, least)

    def _is_owed(self, now_s: float, account: str, started: float, least: float) -> bool:
        counts = self._accounts.get(account)
        if counts is None or len(self._accounts) < 2:
            return True
        counts.decay(now_s)
        if counts.served_share < least:
            return True
        owed = started * self._weight(account) / max(self._total_weight, 1e-9)
        return counts.started <= _SHARE_TOLERANCE * max(1.0, owed)

    def _prune(self, now_s: float) -> None:
        self._pruned_s = now_s
        for counts in self._accounts.values():
            counts.decay(now_s)
        self._accounts = {
            key: counts for key, counts in self._accounts.items() if counts.offered > _MIN_COUNT
        }
        self._total_weight = sum(map(self._weight, self._accounts))
