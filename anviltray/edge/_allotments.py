"""Acquires requests of the allotted rates of client accounts, by datagrams between hosts."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple, Protocol, TypeVar

import logbook

from anviltray.decisions.limits import (
    ALL_GROUPS,
    GROUPS,
    HOST_GRANT_S,
    MAX_TOKENS,
    UNKNOWN_RETRY_AFTER_S,
    VOTE_LIFETIME_S,
    ZONE_LOAN_S,
    AllotmentBounds,
    AllotmentLedger,
    AllottedRequest,
    VoteBook,
    choose_leaders,
    group_of,
)
from anviltray.declarations import ClientAccount
from anviltray.messages import AllotmentGrant, AllotmentRequest, AllotmentVote, HostBeacon
from anviltray.settings import HostSettings
from anviltray.zone import ZoneExchange

_Key = TypeVar("_Key")

_log = logbook.Logger("anviltray.allotments")

_TICK_S = 0.25
_LOG_INTERVAL_S = 10.0
_DROP_INTERVAL_S = 3.0  # Interval at which idle accounts and hosts that are gone are looked for.
# The granting host replies within a millisecond, or after it has asked other zones.
_GRANT_TIMEOUT_S = 0.05
# Replies of other zones, in the region and outside; the longest round trip takes 16 ms.
_NEAR_TIMEOUT_S = 0.01
_FAR_TIMEOUT_S = 0.03
# After this many timeouts in a row, a granting host is not asked for `_SILENCE_S`.
_MAX_TIMEOUTS = 2
_SILENCE_S = 0.3
# After another zone has lent nothing of an account, it is not asked for this long.
_EXHAUSTED_S = 0.2
_PREFETCH_S = 0.1  # Demand for which a host that gets many requests of an account asks at once.
_MAX_WAITING = 1000  # Requests that wait for votes or loans at the same time.
_MAX_BEACONS = 64  # Own beacons that votes may respond to.
_UNKNOWN_ACCOUNT_RETRY_S = 0.3  # Hosts of a zone differ in their configuration for about as long.
_MAX_RETRY_AFTER_S = 3600.0  # Replies that claim more are ignored.
_MAX_KNOWN_HOSTS = 100_000  # Votes of hosts that claim to know more are ignored.


class Clock(Protocol):
    """A clock that counts suspensions."""

    def now_s(self) -> float:
        """Returns the current time in seconds."""


class OverAllotment(NamedTuple):
    """The account of a request has used up its allotted rate."""

    retry_after_s: float  # Time until there may be a request left.


class _Asked(NamedTuple):
    account: ClientAccount
    zone: str  # Zone that was asked.
    tokens: float
    asked_s: float
    lifetime_s: float  # How long the reply can be used, counted from `asked_s`.
    reply: asyncio.Future[AllotmentGrant]


class Allotments:
    """Requests of the allotted rates that this host may send (see `decisions.limits`).

    Example: `await allotments.acquire("hotel-7")` returns an `AllottedRequest`, or `OverAllotment`
    with the time after which to try again; None for accounts without a limit. `refund` gives back
    what no instance has executed.
    """

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        exchange: ZoneExchange,
        accounts: Callable[[], Mapping[str, ClientAccount]],
        is_ready: Callable[[], bool],
        rng: Random,
    ) -> None:
        """`accounts` returns those of the active configuration.

        `is_ready` tells whether this host takes callers and is not on standby.
        """
        guarantees = settings.guarantees
        bounds = AllotmentBounds(
            guarantees.allotment_window_s,
            guarantees.allotment_overshoot,
            guarantees.allotment_slack,
        )
        now_s = clock.now_s()
        self.counters: Counter[str] = Counter()
        self._own, self._zone = settings.address, settings.zone
        self._zone_regions = settings.zone_regions
        self._alone = all(seed == settings.address for seed in settings.seed_addresses)
        self._clock, self._exchange, self._rng = clock, exchange, rng
        self._accounts, self._is_ready = accounts, is_ready
        self._ledger = AllotmentLedger(now_s, bounds, len(settings.zone_regions))
        self._votes_due_s = now_s + (0.0 if settings.first_start else VOTE_LIFETIME_S)
        self._start_waiters = 0
        self._book = VoteBook(now_s, first_start=settings.first_start)
        self._latest_accounts: Mapping[str, ClientAccount] = {}
        self._has_limits = False  # Whether there is an account with a limited rate.
        self._leaders: tuple[str, ...] = ()  # Granting hosts by group.
        # The latest beacon of each granting host, with the time of its arrival.
        self._latest_beacons: dict[str, tuple[float, HostBeacon]] = {}
        self._beacons: dict[int, float] = {}  # Send time of own beacons by sequence.
        self._incarnation = 0  # That of the latest beacon.
        self._number = rng.getrandbits(48)
        self._asked: dict[int, _Asked] = {}
        self._timeouts: dict[str, int] = {}  # Timeouts in a row of a granting host.
        self._silent_s: dict[str, float] = {}  # Until when a granting host is not asked.
        self._exhausted_s: dict[tuple[str, str], float] = {}  # The same by account and zone.
        self._zone_leaders: dict[tuple[str, int], str] = {}  # Host that replied, by zone and group.
        self._other_zones: Mapping[str, tuple[str, ...]] = {}
        self._borrowing: dict[str, asyncio.Task[None]] = {}
        self._waiting: set[asyncio.Task[None]] = set()
        self._grants = False  # Whether this host grants, for the log.
        self._refused: Counter[str] = Counter()  # Since the latest log line, by account.
        exchange.register_handler(AllotmentVote, self._handle_vote)
        exchange.register_handler(AllotmentRequest, self._handle_request)
        exchange.register_handler(AllotmentGrant, self._handle_grant)
        exchange.subscribe_to_beacons(self._handle_beacon)

    # Requests of this host

    async def acquire(
        self, name: str, patience_s: float = 0.0
    ) -> AllottedRequest | OverAllotment | None:
        """Takes one request out of the allotted rate of an account; None if it has no limit.

        Shortly after the start of this host it may wait for up to `patience_s`.
        """
        account = self._find(name)
        if account is None:
            return None
        self._ledger.record_request(self._clock.now_s(), account)
        result = await self._try_acquire(account)
        if (
            isinstance(result, OverAllotment)
            and result.retry_after_s == UNKNOWN_RETRY_AFTER_S
            and await self._wait_for_votes(patience_s)
        ):
            result = await self._try_acquire(account)
        if isinstance(result, OverAllotment):
            self.counters["refused"] += 1
            self._refused[name] += 1
        else:
            self.counters["acquired"] += 1
        return result

    async def _wait_for_votes(self, patience_s: float) -> bool:
        """Waits until hosts that have started together with this one can have voted.

        Returns whether it has waited. Requests that wait go on one after the other, as their rate
        accrues from then on.
        """
        due_s = self._votes_due_s - self._clock.now_s()
        if not 0.0 < due_s < patience_s or self._start_waiters >= _MAX_WAITING:
            return False
        self._start_waiters += 1
        try:
            await asyncio.sleep(due_s + self._rng.random() * (patience_s - due_s))
        finally:
            self._start_waiters -= 1
        return True

    async def _try_acquire(self, account: ClientAccount) -> AllottedRequest | OverAllotment:
        request = self._ledger.take(self._clock.now_s(), account)
        retry_after_s = 0.0
        if request is None:
            retry_after_s = await self._replenish(account)
            request = self._ledger.take(self._clock.now_s(), account)
        if request is not None:
            return request
        if not retry_after_s:
            retry_after_s = self._ledger.retry_after_s(self._clock.now_s(), account)
        return OverAllotment(retry_after_s)

    def refund(self, request: AllottedRequest) -> None:
        """Gives back a request that no instance has executed."""
        refunded = self._ledger.refund(self._clock.now_s(), request)
        self.counters["refunded" if refunded else "refunded_late"] += 1

    def _find(self, name: str) -> ClientAccount | None:
        """Returns an account if its rate is limited."""
        account = self._accounts().get(name)
        return account if account is not None and account.rate_per_s > 0 else None

    async def _replenish(self, account: ClientAccount) -> float:
        """Asks the granting host of the zone, or other zones if it does not reply.

        Returns the time after which to try again if there is nothing, 0 if unknown.
        """
        now_s, leader = self._clock.now_s(), self._leader(group_of(account.name))
        if leader not in ("", self._own) and self._silent_s.get(leader, 0.0) <= now_s:
            ahead = self._ledger.demand_per_s(now_s, account) * _PREFETCH_S
            tokens = min(MAX_TOKENS, 1.0 + int(ahead))
            reply = await self._ask(leader, account, self._zone, tokens, HOST_GRANT_S)
            if reply is not None:
                self._timeouts.pop(leader, None)
                return reply.retry_after_s
            self.counters["unanswered"] += 1
            self._timeouts[leader] = self._timeouts.get(leader, 0) + 1
            if self._timeouts[leader] >= _MAX_TIMEOUTS:
                self._silent_s[leader] = self._clock.now_s() + _SILENCE_S
        await self._borrow(account)
        return 0.0

    def _leader(self, group: int) -> str:
        """Returns the host that holds this host's vote, or else will get it."""
        holder = self._book.holder(self._clock.now_s(), group)
        if holder:
            return holder
        if not self._leaders:
            self._vote()
        return self._leaders[group] if self._leaders else ""

    async def _ask(
        self, host: str, account: ClientAccount, zone: str, tokens: float, lifetime_s: float
    ) -> AllotmentGrant | None:
        """Asks one host; returns its reply, or None if there was none in time."""
        self._number += 1
        number = self._number
        reply: asyncio.Future[AllotmentGrant] = asyncio.get_running_loop().create_future()
        asked_s = self._clock.now_s()
        self._asked[number] = _Asked(account, zone, tokens, asked_s, lifetime_s, reply)
        self._exchange.send(
            host, AllotmentRequest(self._own, self._zone, number, account.name, tokens, False)
        )
        timeout_s = _GRANT_TIMEOUT_S
        if zone != self._zone:
            near = self._zone_regions.get(zone) == self._zone_regions.get(self._zone)
            timeout_s = _NEAR_TIMEOUT_S if near else _FAR_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None

    def _handle_grant(self, message: AllotmentGrant) -> None:
        asked = self._asked.get(message.number)
        if asked is None or self._exchange.hosts.zone_of(message.host) != asked.zone:
            return
        if not (
            0.0 <= message.tokens <= asked.tokens
            and 0.0 <= message.retry_after_s <= _MAX_RETRY_AFTER_S
        ):
            self.counters["invalid"] += 1
            return
        del self._asked[message.number]
        now_s, borrowed = self._clock.now_s(), asked.zone != self._zone
        if borrowed:
            self._zone_leaders[asked.zone, group_of(asked.account.name)] = message.host
        if message.tokens > 0.0:
            self.counters["borrowed" if borrowed else "granted_by_peer"] += 1
            self._ledger.add_loan(
                now_s, asked.account, message.tokens, asked.asked_s + asked.lifetime_s, borrowed
            )
        if not asked.reply.done():
            asked.reply.set_result(message)

    # Loans of other zones

    async def _borrow(self, account: ClientAccount) -> None:
        """Borrows from other zones; requests of one account share one search."""
        task = self._start_borrowing(account)
        if task is not None:
            await asyncio.shield(task)

    def _start_borrowing(self, account: ClientAccount) -> asyncio.Task[None] | None:
        """Starts a search, if some zone may have something; returns the task of the search."""
        task = self._borrowing.get(account.name)
        if task is None:
            now_s = self._clock.now_s()
            zones = [
                zone
                for zone in self._other_zones
                if self._exhausted_s.get((account.name, zone), 0.0) <= now_s
            ]
            if not zones:
                return None
            task = asyncio.create_task(self._search(account, zones))
            self._borrowing[account.name] = task
            task.add_done_callback(lambda _: self._borrowing.pop(account.name, None))
        return task

    async def _search(self, account: ClientAccount, zones: list[str]) -> None:
        """Asks other zones, those of the own region first."""
        region = self._zone_regions.get(self._zone)
        near = [zone for zone in zones if self._zone_regions.get(zone) == region]
        for stage in (near, [zone for zone in zones if zone not in near]):
            missing = self._ledger.missing(self._clock.now_s(), account)
            if missing <= 0.0:
                return
            await asyncio.gather(*(self._ask_zone(account, zone, missing) for zone in stage))

    async def _ask_zone(self, account: ClientAccount, zone: str, tokens: float) -> None:
        key = (zone, group_of(account.name))
        host = self._zone_leaders.get(key)
        if host is None:
            host = self._rng.choice(self._other_zones[zone])
        reply = await self._ask(host, account, zone, tokens, ZONE_LOAN_S)
        if reply is None:
            self._zone_leaders.pop(key, None)
        if reply is None or reply.tokens <= 0.0:
            self._exhausted_s[account.name, zone] = self._clock.now_s() + _EXHAUSTED_S

    # Requests of other hosts

    def _handle_request(self, message: AllotmentRequest) -> None:
        account = self._accounts().get(message.account)
        known = self._exchange.hosts.zone_of(message.host) == message.zone
        if not known or not 0.0 < message.tokens <= MAX_TOKENS:
            self.counters["ignored"] += 1
            return
        now_s = self._clock.now_s()
        if account is None:
            # The account is new, and this host has an older configuration.
            self._reply(message, 0.0, _UNKNOWN_ACCOUNT_RETRY_S)
        elif account.rate_per_s <= 0:
            # The limit is new, and this host has an older configuration.
            self._reply(message, message.tokens, 0.0)
        elif message.zone == self._zone:
            self._ledger.record_request(now_s, account)
            tokens = self._ledger.grant(now_s, account, message.tokens)
            if tokens > 0.0:
                self._reply(message, tokens, 0.0)
                if self._ledger.missing(now_s, account) > 1.0:
                    self._start_borrowing(account)
            elif len(self._waiting) < _MAX_WAITING and self._start_borrowing(account) is not None:
                task = asyncio.create_task(self._grant_borrowed(message, account))
                self._waiting.add(task)
                task.add_done_callback(self._waiting.discard)
            else:
                self._reply(message, 0.0, self._ledger.retry_after_s(now_s, account))
        elif (leader := self._leader(group_of(account.name))) in ("", self._own):
            tokens = self._ledger.lend(now_s, account, message.tokens)
            self.counters["lent"] += tokens > 0.0
            self._reply(message, tokens, 0.0)
        elif not message.forwarded:
            self._exchange.send(leader, message._replace(forwarded=True))

    async def _grant_borrowed(self, message: AllotmentRequest, account: ClientAccount) -> None:
        await self._borrow(account)
        now_s = self._clock.now_s()
        tokens = self._ledger.grant(now_s, account, message.tokens)
        self._reply(message, tokens, 0.0 if tokens else self._ledger.retry_after_s(now_s, account))

    def _reply(self, request: AllotmentRequest, tokens: float, retry_after_s: float) -> None:
        self._exchange.send(
            request.host, AllotmentGrant(self._own, request.number, tokens, retry_after_s)
        )

    # Votes

    def on_beacon_sent(self, beacon: HostBeacon) -> None:
        """Records a beacon of this host, to which other hosts respond with their votes."""
        self._incarnation = beacon.incarnation
        if beacon.state == "leaving":
            for votes in self._ledger.votes:
                votes.resign(self._clock.now_s())
        self._beacons[beacon.sequence] = self._clock.now_s()
        if len(self._beacons) > _MAX_BEACONS:
            del self._beacons[next(iter(self._beacons))]

    def _handle_beacon(self, beacon: HostBeacon) -> None:
        now_s = self._clock.now_s()
        if beacon.state == "leaving":
            self._book.release(now_s, beacon.host, beacon.incarnation, beacon.sequence)
            return
        if beacon.host in self._leaders:
            self._latest_beacons[beacon.host] = (now_s, beacon)
            self._vote_for(now_s, beacon, self._groups_of(beacon.host))

    def _vote_for(self, heard_s: float, beacon: HostBeacon, groups: int) -> None:
        """Responds to a beacon, which came at `heard_s`, with the votes that are free."""
        sequence = beacon.sequence
        groups = self._book.pledge(
            self._clock.now_s(), heard_s, beacon.host, beacon.incarnation, sequence, groups
        )
        if groups:
            hosts = len(self._exchange.hosts.zone_peers()) + 1
            vote = AllotmentVote(self._own, beacon.incarnation, sequence, groups, hosts)
            self._exchange.send(beacon.host, vote)

    def _handle_vote(self, message: AllotmentVote) -> None:
        sent_s = self._beacons.get(message.sequence)
        if (
            sent_s is None
            or message.incarnation != self._incarnation
            or not 0 < message.slots <= ALL_GROUPS
            or not 0 < message.hosts <= _MAX_KNOWN_HOSTS
            or message.host == self._own
            or self._exchange.hosts.zone_of(message.host) != self._zone
        ):
            self.counters["ignored"] += 1
            return
        self._count(message.host, message.slots, sent_s + VOTE_LIFETIME_S, message.hosts)

    def _count(self, voter: str, groups: int, expires_s: float, hosts: int) -> None:
        now_s = self._clock.now_s()
        for group, votes in enumerate(self._ledger.votes):
            if groups >> group & 1:
                votes.add(now_s, voter, expires_s, hosts)

    def _groups_of(self, host: str) -> int:
        """Returns the groups that this host has another one grant, as a bit mask."""
        return sum(1 << group for group, leader in enumerate(self._leaders) if leader == host)

    def _vote(self) -> None:
        """Chooses the granting hosts, and votes for this one if it is among them."""
        accounts = self._accounts()
        if accounts is not self._latest_accounts:
            self._latest_accounts = accounts
            self._has_limits = any(account.rate_per_s > 0 for account in accounts.values())
        if not self._has_limits:
            self._leaders = ()
            return
        alive = [host.beacon for host in self._exchange.alive()]
        ready = {beacon.host for beacon in alive if beacon.state == "ready"}
        peers = self._exchange.hosts.zone_peers()
        if self._is_ready():
            ready.add(self._own)
        # A host that has not yet heard of any other one cannot know how large its part is.
        knows_fleet = self._alone or bool(peers) or bool(self._other_zones)
        self._leaders = choose_leaders(ready, len(alive) + 1) if knows_fleet else ()
        groups = self._groups_of(self._own)
        now_s = self._clock.now_s()
        if groups:
            groups = self._book.pledge(now_s, now_s, self._own, self._incarnation, 0, groups)
            self._count(self._own, groups, now_s + VOTE_LIFETIME_S, len(peers) + 1)
        # Votes that were not free when the latest beacon came.
        for heard_s, beacon in self._latest_beacons.values():
            groups = self._groups_of(beacon.host) & ~self._book.held_by(now_s, beacon.host)
            if groups and now_s < heard_s + VOTE_LIFETIME_S:
                self._vote_for(heard_s, beacon, groups)

    async def run(self) -> None:
        """Votes and drops old state until cancelled."""
        next_log_s = next_drop_s = 0.0
        while True:
            now_s = self._clock.now_s()
            if now_s >= next_log_s:
                next_log_s = now_s + _LOG_INTERVAL_S
                self._log()
            if now_s >= next_drop_s:
                next_drop_s = now_s + _DROP_INTERVAL_S
                self._other_zones = self._exchange.hosts.other_zones()
                self._ledger.drop_idle(now_s)
            self._vote()
            self._drop_old(now_s)
            self._log_granting(now_s)
            due_s = self._votes_due_s - self._clock.now_s()
            await asyncio.sleep(due_s if 0.0 < due_s < _TICK_S else _TICK_S)

    def _drop_old(self, now_s: float) -> None:
        for number in [
            number
            for number, asked in self._asked.items()
            if asked.asked_s + asked.lifetime_s <= now_s
        ]:
            del self._asked[number]
        _drop_past(self._exhausted_s, now_s)
        _drop_past(self._silent_s, now_s)
        for by_host in (self._timeouts, self._latest_beacons):
            for host in by_host.keys() - set(self._leaders):
                by_host.pop(host)

    def _log_granting(self, now_s: float) -> None:
        """Logs when this host starts or ceases to grant most of the part of its zone."""
        shares = []
        for votes in self._ledger.votes:
            votes.advance(now_s)
            shares.append(votes.share)
        grants = max(shares) >= 0.5
        if grants != self._grants:
            self._grants = grants
            _log.info(
                "grants allotted rates" if grants else "grants allotted rates no longer",
                extra={
                    "share": round(sum(shares) / GROUPS, 3),
                    "leaders": sorted(set(self._leaders)),
                },
            )

    def _log(self) -> None:
        if self.counters:
            _log.info(
                "allotments",
                extra={
                    "leaders": sorted(set(self._leaders)),
                    "share": round(sum(votes.share for votes in self._ledger.votes) / GROUPS, 3),
                    "accounts": len(self._ledger),
                    "refused": dict(self._refused.most_common(5)),
                    **self.counters,
                },
            )
        self._refused.clear()


def _drop_past(times_s: dict[_Key, float], now_s: float) -> None:
    for key in [key for key, until_s in times_s.items() if until_s <= now_s]:
        del times_s[key]
