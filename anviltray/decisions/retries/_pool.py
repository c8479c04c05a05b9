"""Pools the retry budgets of the hosts of an availability zone by lending.

Load pattern: many hosts in front of a small service. Each host earns a fraction of a retry per
window, and the requests that fail meet hosts which have used up theirs while others have some left.

A lender counts a loan as used at once, and a borrower accepts it only as the reply to a request of
its own and only for a short time. So the sum over all hosts stays within the budget if datagrams
are lost, delayed or duplicated, if hosts cannot reach each other, and after a restart of either.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from anviltray.decisions.retries._budget import RetryBudget

# A loan can be used for this long, counted from the request for it.
LOAN_LIFETIME_S = 1.0
# Maximum number of hosts that are asked for one retry.
_MAX_LENDERS = 4
# After a search without a result, no host is asked about the service for this long.
_EXHAUSTED_S = 0.5


class LoanRequest(NamedTuple):
    """A request to one host for one retry."""

    number: int  # Identifies the reply.
    service: str  # Service name.
    lender: str  # IP address of the host.


class _Pending(NamedTuple):
    request: LoanRequest
    sent_s: float  # Time of the request.


class RetryPool:
    """Borrows retries for one host from the other hosts of its zone, and lends them its own.

    `budget` returns the budget of a service of this host. Example: the `LoanRequest` that
    `request(now_s, "level", peers)` returns is sent to its `lender`, which calls `lend` and replies
    with the result; `receive` adds that to the budget of the borrower.
    """

    def __init__(self, budget: Callable[[str], RetryBudget], rng: Random) -> None:
        self._budget = budget
        self._rng = rng
        # A process that was started again must not accept replies to its predecessor.
        self._number = rng.getrandbits(48)
        self._pending: dict[int, _Pending] = {}
        self._exhausted_s: dict[str, float] = {}  # Time of the latest search without a result.

    def has_prospect(self, now_s: float, service: str) -> bool:
        """Returns whether another host may have a retry to lend."""
        return now_s - self._exhausted_s.get(service, float("-inf")) >= _EXHAUSTED_S

    def choose_lenders(self, peers: Sequence[str]) -> tuple[str, ...]:
        """Returns the hosts to ask for a retry one after the other."""
        return tuple(self._rng.sample(peers, min(len(peers), _MAX_LENDERS)))

    def request(self, now_s: float, service: str, lender: str) -> LoanRequest:
        """Returns the request for one retry to one host."""
        for number in [
            number
            for number, pending in self._pending.items()
            if now_s - pending.sent_s >= LOAN_LIFETIME_S
        ]:
            del self._pending[number]
        self._number += 1
        request = LoanRequest(self._number, service, lender)
        self._pending[request.number] = _Pending(request, now_s)
        return request

    def lend(self, now_s: float, service: str) -> int:
        """Returns the number of retries for another host, 0 or 1, and takes it from the budget."""
        return self._budget(service).lend(now_s, 1, LOAN_LIFETIME_S)

    def receive(self, now_s: float, number: int, lender: str, retries: int) -> bool:
        """Adds the reply to a request to the budget; returns whether it brought a retry.

        Ignores replies that were not requested from this lender, are late, or came before.
        """
        pending = self._pending.get(number)
        if pending is None or pending.request.lender != lender:
            return False
        del self._pending[number]
        expires_s = pending.sent_s + LOAN_LIFETIME_S
        if retries != 1 or now_s >= expires_s:
            return False
        self._budget(pending.request.service).add_loan(expires_s, retries)
        return True

    def on_exhausted(self, now_s: float, service: str) -> None:
        """Records that a search brought no retry."""
        self._exhausted_s[service] = now_s
