"""Divides the allotted rate of a client account among the hosts of the fleet.

Load pattern: an account whose requests come at random hosts, below one request a second and host,
and which at times sends many times its rate. All hosts together must stay within the rate and the
burst, in touch or not, and no request within them should be refused because another host has what
is left.

Each availability zone has an equal part of the rate and the burst. The hosts that hold the zone's
votes grant from it (see `_allotment_votes`) and lend what they do not need to other zones. What is
granted or lent is taken out at once and must be used within a fraction of a second, counted from
the request for it, so it is never granted twice: not if datagrams are lost, late or duplicated, nor
if a host is suspended or restarted. A host that starts to grant begins without a burst.
"""

import math
from typing import NamedTuple

from anviltray.decisions.limits._allotment_votes import GROUPS, VoteCount, group_of
from anviltray.declarations import ClientAccount

# Time for which a zone can use what another one has lent it, counted from the request for the loan.
ZONE_LOAN_S = 0.2
# The same for a host and what has been granted to it inside its zone.
HOST_GRANT_S = 0.25
# Limit for one request of a host, for several requests of an account.
MAX_TOKENS = 64.0
# A window may contain what was taken out of the parts this long before it began.
_DELAY_S = ZONE_LOAN_S + HOST_GRANT_S
# Share of the slack that is used as burst. The rest is for hosts that have joined the fleet and are
# not yet known to all, so that hosts which are cut off take their part for larger than it is.
_SLACK_SHARE = 0.75
# Without slack, the burst of an account that has none. Requests come one by one, not continuously.
_MIN_CAPACITY = 2.0
# Demand that a zone keeps for itself when it lends to another one, and that it borrows in advance.
_RESERVE_S = 0.2
_PREFETCH_S = 0.1
_DEMAND_TIME_S = 0.5  # Time constant of the average of the demand.
_MIN_LOAN = 0.05  # Smaller amounts are not worth a datagram.
_ROUNDING = 1e-9
UNKNOWN_RETRY_AFTER_S = 1.0  # Retry-After while no host grants; about the time of a handover.
_MIN_RETRY_AFTER_S = 0.05
# An account without requests for this many windows is forgotten once its part has filled up.
_IDLE_WINDOWS = 2


class AllotmentBounds(NamedTuple):
    """What the fleet may send of an account in addition to its allotted rate."""

    window_s: float  # Time window in which the requests are counted.
    overshoot: float  # Share of the allotted requests.
    slack: float  # Requests per window.


class FleetPart(NamedTuple):
    """Rate and burst of an account that the whole fleet grants."""

    rate_per_s: float
    capacity: float


def fleet_part(account: ClientAccount, bounds: AllotmentBounds) -> FleetPart:
    """Returns what the fleet grants of an account, so that any window stays within the bounds.

    A window of `w` seconds contains at most `capacity + rate_per_s * (w + _DELAY_S)`.
    """
    allowed = (account.rate_per_s * bounds.window_s + account.burst) * (1.0 + bounds.overshoot)
    allowed += bounds.slack
    capacity = account.burst * (1.0 + bounds.overshoot) + bounds.slack * _SLACK_SHARE
    capacity = min(max(capacity, _MIN_CAPACITY), allowed)
    rate_per_s = (allowed - capacity) / (bounds.window_s + _DELAY_S)
    return FleetPart(min(account.rate_per_s, rate_per_s), capacity)


class AllottedRequest(NamedTuple):
    """A request within the allotted rate of its account."""

    account: ClientAccount
    expires_s: float  # Until then it can be given back, if no instance has executed it.


class _Loan(NamedTuple):
    expires_s: float  # Time from which it cannot be used.
    tokens: float
    grantable: bool  # Whether other hosts of the zone may use it.


class _Account:
    """What one host may use and grant of one account."""

    __slots__ = (
        "backlog",
        "backlog_s",
        "demand_per_s",
        "demand_s",
        "integral_s",
        "level",
        "loans",
        "part",
        "terms",
    )

    def __init__(self, now_s: float, account: ClientAccount, part: FleetPart) -> None:
        self.terms = (account.rate_per_s, account.burst)
        self.part = part  # The zone's part.
        self.level = 0.0  # What has accrued of it and was not taken out.
        self.integral_s = 0.0  # Integral of the share up to which it has accrued.
        self.loans: list[_Loan] = []  # By time of expiry.
        self.demand_per_s = 0.0  # Average rate of requests.
        self.demand_s = now_s  # Time of the latest request.
        self.backlog = 0.0  # Requests that were refused and have been told to come back.
        self.backlog_s = now_s


class AllotmentLedger:
    """Rates of the accounts at one host: what it may grant by its votes, and what it has borrowed.

    `votes` has the votes of each group of accounts. Example: with all votes of one of four zones, a
    rate of 40 requests/s and a burst of 40, `take` succeeds up to 10 times at once.
    """

    def __init__(self, now_s: float, bounds: AllotmentBounds, zones: int) -> None:
        self.votes = tuple(VoteCount(now_s) for _ in range(GROUPS))
        self._bounds = bounds
        self._zones = max(1, zones)
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def record_request(self, now_s: float, account: ClientAccount) -> None:
        """Counts a request for the demand of an account, whether it is granted or not."""
        entry = self._entry(now_s, account)
        decay = math.exp(-max(0.0, now_s - entry.demand_s) / _DEMAND_TIME_S)
        entry.demand_per_s = entry.demand_per_s * decay + 1.0 / _DEMAND_TIME_S
        entry.demand_s = now_s

    def demand_per_s(self, now_s: float, account: ClientAccount) -> float:
        """Returns the recent average rate of requests of an account."""
        entry = self._entry(now_s, account)
        return entry.demand_per_s * math.exp(-max(0.0, now_s - entry.demand_s) / _DEMAND_TIME_S)

    def take(self, now_s: float, account: ClientAccount) -> AllottedRequest | None:
        """Takes one request of this host out; returns None if there is none left."""
        entry = self._entry(now_s, account)
        if entry.level + sum(loan.tokens for loan in entry.loans) < 1.0 - _ROUNDING:
            return None
        missing, expires_s = 1.0, now_s + HOST_GRANT_S
        while entry.loans and missing > 0.0:
            loan = entry.loans[0]
            expires_s = min(expires_s, loan.expires_s)
            used = min(missing, loan.tokens)
            missing -= used
            if loan.tokens - used > _ROUNDING:
                entry.loans[0] = loan._replace(tokens=loan.tokens - used)
            else:
                entry.loans.pop(0)
        entry.level = max(0.0, entry.level - missing)
        return AllottedRequest(account, expires_s)

    def grant(self, now_s: float, account: ClientAccount, tokens: float) -> float:
        """Takes up to `tokens` out for another host of the zone, one at least; else returns 0.

        What other hosts of this zone have granted is not granted again, as its time would add up.
        """
        entry = self._entry(now_s, account)
        loans = [loan for loan in entry.loans if loan.grantable]
        available = entry.level + sum(loan.tokens for loan in loans)
        if available < 1.0 - _ROUNDING:
            return 0.0
        # More than one only as long as there is enough for the requests of other hosts.
        granted = missing = max(1.0, min(tokens, math.floor(available / 2)))
        for loan in loans:
            entry.loans.remove(loan)
            used = min(missing, loan.tokens)
            missing -= used
            if loan.tokens > used:
                self._insert(entry, loan._replace(tokens=loan.tokens - used))
                break
        entry.level = max(0.0, entry.level - missing)
        return granted

    def lend(self, now_s: float, account: ClientAccount, tokens: float) -> float:
        """Takes up to `tokens` out for another zone; returns 0 if this zone needs what it has.

        Only the zone's own part is lent, not what it has borrowed, as its time would add up.
        """
        entry = self._entry(now_s, account)
        spare = entry.level - self.demand_per_s(now_s, account) * _RESERVE_S
        lent = min(tokens, spare)
        if lent < _MIN_LOAN:
            return 0.0
        entry.level -= lent
        return lent

    def missing(self, now_s: float, account: ClientAccount) -> float:
        """Returns how much to borrow from other zones; 0 if there is enough for now."""
        entry = self._entry(now_s, account)
        available = entry.level + sum(loan.tokens for loan in entry.loans)
        ahead = self.demand_per_s(now_s, account) * _PREFETCH_S
        if available >= max(1.0, ahead):
            return 0.0
        return min(MAX_TOKENS, max(1.0, 2.0 * ahead) - available)

    def add_loan(
        self, now_s: float, account: ClientAccount, tokens: float, expires_s: float, grantable: bool
    ) -> None:
        """Adds what another host has granted to this one, or has lent to its zone (`grantable`)."""
        if tokens > 0.0 and expires_s > now_s:
            self._insert(self._entry(now_s, account), _Loan(expires_s, tokens, grantable))

    def refund(self, now_s: float, request: AllottedRequest) -> bool:
        """Adds back a request that was not executed; returns False if it was taken too long ago."""
        if request.expires_s <= now_s:
            return False
        self.add_loan(now_s, request.account, 1.0, request.expires_s, grantable=False)
        return True

    def retry_after_s(self, now_s: float, account: ClientAccount) -> float:
        """Returns when a refused request can be granted, after those refused before it."""
        entry = self._entry(now_s, account)
        rate_per_s = entry.part.rate_per_s * self.votes[group_of(account.name)].share
        if rate_per_s <= 0.0:
            return UNKNOWN_RETRY_AFTER_S
        limit = rate_per_s * self._bounds.window_s
        drained = rate_per_s * max(0.0, now_s - entry.backlog_s)
        entry.backlog = min(limit, max(0.0, entry.backlog - drained) + 1.0)
        entry.backlog_s = now_s
        wait_s = (entry.backlog - min(1.0, entry.level)) / rate_per_s
        return min(max(wait_s, _MIN_RETRY_AFTER_S), self._bounds.window_s)

    def drop_idle(self, now_s: float) -> None:
        """Forgets accounts whose state is what it would be without any requests."""
        limit_s = _IDLE_WINDOWS * self._bounds.window_s
        for name in [
            name for name, entry in self._accounts.items() if now_s - entry.demand_s > limit_s
        ]:
            entry = self._accounts[name]
            self._accrue(now_s, name, entry)
            unused = _Account(now_s, ClientAccount(name, (), None, *entry.terms), entry.part)
            self._accrue(now_s, name, unused)
            if not entry.loans and entry.level >= unused.level - _ROUNDING:
                del self._accounts[name]

    def _entry(self, now_s: float, account: ClientAccount) -> _Account:
        entry = self._accounts.get(account.name)
        if entry is None:
            entry = _Account(now_s, account, self._zone_part(account))
            self._accounts[account.name] = entry
        elif entry.terms != (account.rate_per_s, account.burst):
            # What has accrued up to now is limited by the new terms as well.
            new = self._zone_part(account)
            entry.part = FleetPart(
                min(entry.part.rate_per_s, new.rate_per_s), min(entry.part.capacity, new.capacity)
            )
            self._accrue(now_s, account.name, entry)
            entry.part, entry.terms = new, (account.rate_per_s, account.burst)
        self._accrue(now_s, account.name, entry)
        return entry

    def _zone_part(self, account: ClientAccount) -> FleetPart:
        part = fleet_part(account, self._bounds)
        return FleetPart(part.rate_per_s / self._zones, part.capacity / self._zones)

    def _accrue(self, now_s: float, name: str, entry: _Account) -> None:
        votes, part = self.votes[group_of(name)], entry.part
        votes.advance(now_s)
        for drop in votes.drops:
            if drop.integral_s >= entry.integral_s:
                accrued = entry.level + part.rate_per_s * (drop.integral_s - entry.integral_s)
                entry.level = min(accrued, part.capacity * drop.share)
                entry.integral_s = drop.integral_s
        entry.level += part.rate_per_s * (votes.integral_s - entry.integral_s)
        entry.level = min(entry.level, part.capacity * votes.share)
        entry.integral_s = votes.integral_s
        while entry.loans and entry.loans[0].expires_s <= now_s:
            entry.loans.pop(0)

    def _insert(self, entry: _Account, loan: _Loan) -> None:
        entry.loans.append(loan)
        entry.loans.sort()
