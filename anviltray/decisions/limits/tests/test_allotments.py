"""Guards against hosts that together exceed an allotted rate which they grant each other.

The state machine delays, drops and duplicates datagrams, and suspends and restarts hosts. A
suspended host is one that does nothing while time passes.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from anviltray.decisions.entry import ServingHosts
from anviltray.decisions.limits import (
    ALL_GROUPS,
    HOST_GRANT_S,
    VOTE_LIFETIME_S,
    ZONE_LOAN_S,
    AllotmentBounds,
    AllotmentLedger,
    VoteBook,
    choose_leaders,
    fleet_part,
    granted_share,
    group_of,
)
from anviltray.declarations import ClientAccount
from anviltray.testing import fuzz_settings

ACCOUNT = ClientAccount("hotel", (), None, 10.0, 4.0)
BOUNDS = AllotmentBounds(5.0, 0.1, 4.0)
BOUND = (10.0 * 5.0 + 4.0) * 1.1 + 4.0
ZONES = (0, 0, 0, 1, 1)  # Zone of each host.
HOSTS = st.integers(0, len(ZONES) - 1)
TIMES = st.integers(0, 2)  # How often a datagram arrives.


class Host:
    """Decisions of one process; the beacons are those of `number`, by sequence."""

    def __init__(self, machine, number, *, restarted=False):
        self.machine, self.number, self.incarnation = machine, number, machine.starts
        self.book = machine.book_type(machine.now_s, first_start=not restarted)
        self.ledger = machine.ledger_type(machine.now_s, BOUNDS, 2)
        self.beacons = {}

    def on_beacon(self, heard_s, leader, incarnation, sequence, leaving):
        now_s = self.machine.now_s
        if leaving:
            self.book.release(now_s, leader, incarnation, sequence)
            return 0
        return self.book.pledge(now_s, heard_s, leader, incarnation, sequence, ALL_GROUPS)

    def on_vote(self, voter, incarnation, sequence, groups):
        if incarnation == self.incarnation and sequence in self.beacons:
            expires_s = self.beacons[sequence] + VOTE_LIFETIME_S
            for group, votes in enumerate(self.ledger.votes):
                if groups >> group & 1:
                    votes.add(self.machine.now_s, str(voter), expires_s, ZONES.count(ZONES[voter]))


class AllotmentMachine(RuleBasedStateMachine):
    book_type, ledger_type = VoteBook, AllotmentLedger

    def __init__(self):
        super().__init__()
        self.now_s, self.starts = 0.0, 0
        self.hosts = [Host(self, number) for number in range(len(ZONES))]
        self.acquired, self.times_s = [], []
        self.datagrams = []  # Functions, called in any order.

    @rule(leader=HOSTS, leaving=st.booleans(), now=st.lists(HOSTS, max_size=4))
    def beacon(self, leader, leaving, now):
        """Sends a beacon; the responses of the hosts in `now` arrive at once."""
        host = self.hosts[leader]
        sequence = len(host.beacons) + 1
        host.beacons[sequence] = self.now_s
        if leaving:
            for votes in host.ledger.votes:
                votes.resign(self.now_s)
        for voter, zone in enumerate(ZONES):
            if zone == ZONES[leader]:
                arguments = (voter, leader, host.incarnation, sequence, leaving)
                if (voter == leader and not leaving) or voter in now:
                    self.deliver_beacon(*arguments, at_once=True)
                else:
                    self.datagrams.append(
                        lambda arguments=arguments: self.deliver_beacon(*arguments)
                    )

    def deliver_beacon(
        self, voter, leader, incarnation, sequence, leaving, at_once=False, heard_s=None
    ):
        process = self.hosts[voter]
        if heard_s is None:
            heard_s = self.now_s
            # A vote that is not free yet may be given later.
            again = (voter, leader, incarnation, sequence, leaving, False, heard_s)
            self.datagrams.append(
                lambda: self.hosts[voter] is process and self.deliver_beacon(*again)
            )
        groups = process.on_beacon(heard_s, f"h{leader}", incarnation, sequence, leaving)

        def deliver():
            self.hosts[leader].on_vote(voter, incarnation, sequence, groups)

        if at_once or voter == leader:
            deliver()
        else:
            self.datagrams.append(deliver)

    @rule(
        leaders=st.lists(HOSTS, min_size=1, max_size=3),
        voters=st.lists(HOSTS, min_size=2, max_size=6),
        steps=st.integers(1, 14),
        restarts=st.lists(HOSTS, max_size=3),
    )
    def lead(self, leaders, voters, steps, restarts):
        """Lets hosts try to grant to as many as they can for some time."""
        for _ in range(steps):
            for host in restarts:
                self.restart(host)
            for leader in leaders:
                self.beacon(leader, False, voters)
            self.advance(0.5)
            for host in range(len(ZONES)):
                for leader in leaders:
                    self.ask(host, leader, 3.0, True)
                self.take(host, 100)
            self.stays_within_the_bound()

    @rule(borrower=HOSTS, lender=HOSTS, tokens=st.sampled_from([1.0, 3.0]), at_once=st.booleans())
    def ask(self, borrower, lender, tokens, at_once):
        if borrower == lender:
            return
        same_zone = ZONES[borrower] == ZONES[lender]
        asker, asked_s, replies = self.hosts[borrower], self.now_s, []
        lifetime_s = HOST_GRANT_S if same_zone else ZONE_LOAN_S

        def request():
            ledger = self.hosts[lender].ledger
            take = ledger.grant if same_zone else ledger.lend
            granted = take(self.now_s, ACCOUNT, tokens)
            if at_once:
                reply(granted)
            else:
                self.datagrams.append(lambda: reply(granted))

        def reply(granted):
            # A process that was started again knows no requests of its predecessor.
            if not replies and asker is self.hosts[borrower]:
                replies.append(granted)
                expires_s = asked_s + lifetime_s
                asker.ledger.add_loan(self.now_s, ACCOUNT, granted, expires_s, not same_zone)

        if at_once:
            request()
        else:
            self.datagrams.append(request)

    @rule(host=HOSTS, most=st.sampled_from([1, 100]))
    def take(self, host, most):
        for _ in range(most):
            self.hosts[host].ledger.record_request(self.now_s, ACCOUNT)
            request = self.hosts[host].ledger.take(self.now_s, ACCOUNT)
            if request is None:
                return
            self.acquired.append((host, self.hosts[host], request))
            self.times_s.append(self.now_s)

    @rule(index=st.integers(0, 5))
    def refund(self, index):
        """Refunds one of the latest requests; it then counts no longer."""
        if index < len(self.acquired):
            number, process, request = self.acquired.pop(-1 - index)
            del self.times_s[-1 - index]
            if process is self.hosts[number]:
                process.ledger.refund(self.now_s, request)

    @rule(index=st.integers(0, 8), times=TIMES)
    def deliver(self, index, times):
        if index < len(self.datagrams):
            function = self.datagrams.pop(index)
            for _ in range(times):
                function()

    @rule()
    def deliver_all(self):
        datagrams, self.datagrams = self.datagrams, []
        for function in datagrams:
            function()

    @rule(duration_s=st.sampled_from([0.05, 0.2, 0.45, 0.9, 2.0, 5.0]))
    def advance(self, duration_s):
        self.now_s += duration_s
        for host in self.hosts:
            host.ledger.drop_idle(self.now_s)

    @rule(host=HOSTS)
    def restart(self, host):
        self.starts += 1
        self.hosts[host] = Host(self, host, restarted=True)

    @invariant()
    def stays_within_the_bound(self):
        # A window that ends now; earlier ones were checked when they ended.
        start_s = self.now_s - BOUNDS.window_s
        assert sum(time_s >= start_s for time_s in self.times_s) <= BOUND


@pytest.mark.fuzz
def test_hosts_together_stay_within_the_bound():
    run_machine(AllotmentMachine, settings=fuzz_settings(examples=60, steps=60))


class VotesTwice(VoteBook):
    """Seeded fault: a host votes for another one while its vote still counts."""

    def pledge(self, now_s, heard_s, leader, incarnation, sequence, groups):
        super().pledge(now_s, heard_s, leader, incarnation, sequence, groups)
        return groups


class LenderForgets(AllotmentLedger):
    """Seeded fault: what is granted to other hosts is not taken out."""

    def grant(self, now_s, account, tokens):
        entry = self._entry(now_s, account)
        level = entry.level
        granted = super().grant(now_s, account, tokens)
        entry.level = level
        return granted


@pytest.mark.fuzz
@pytest.mark.parametrize("changes", [{"book_type": VotesTwice}, {"ledger_type": LenderForgets}])
def test_the_machine_finds_a_seeded_fault(changes):
    machine = type("Seeded", (AllotmentMachine,), changes)
    with pytest.raises(AssertionError):
        run_machine(machine, settings=fuzz_settings(examples=500, steps=60, seeded_fault=True))


def test_votes_count_for_one_host_at_a_time():
    book = VoteBook(5.0, first_start=False)
    # The vote of the previous process may still count.
    assert book.pledge(5.0 + VOTE_LIFETIME_S / 2, 5.5, "h1", 7, 1, ALL_GROUPS) == 0
    assert book.pledge(5.0 + VOTE_LIFETIME_S, 6.0, "h1", 7, 2, 0b11) == 0b11
    assert book.pledge(6.5, 6.5, "h2", 8, 1, ALL_GROUPS) == ALL_GROUPS & ~0b11
    assert (book.holder(6.5, 1), book.holder(6.5, 2)) == ("h1", "h2")
    # Only a later beacon of the same process gives a vote back.
    for incarnation, sequence, holder in ((6, 9, "h1"), (7, 2, "h1"), (7, 3, "")):
        book.release(6.6, "h1", incarnation, sequence)
        assert book.holder(6.6, 1) == holder


@pytest.mark.parametrize("parts", [(1, 29), (5, 25), (15, 15), (10, 10, 10), (1,) * 30, (13, 17)])
def test_disjoint_votes_grant_no_more_than_the_whole(parts):
    assert sum(granted_share(votes, 30) for votes in parts) <= 1.0 + 1e-9
    assert granted_share(25, 30) > 0.95


def test_share_falls_when_votes_expire_and_what_had_accrued_falls_with_it():
    ledger = AllotmentLedger(0.0, BOUNDS, 1)
    votes = ledger.votes[group_of(ACCOUNT.name)]
    part = fleet_part(ACCOUNT, BOUNDS)
    for second in range(5):
        for voter in ("h1", "h2"):
            votes.add(second, voter, second + (1.01 if second < 4 or voter == "h1" else 0.5), 2)
    assert ledger.lend(4.0, ACCOUNT, 64.0) == pytest.approx(part.capacity)
    votes.add(4.9, "h1", 6.0, 2)
    # Counted from 4.0 on: half of the votes had expired at some time since then.
    assert ledger.lend(4.9, ACCOUNT, 64.0) < part.rate_per_s
    assert ledger.lend(6.5, ACCOUNT, 64.0) == 0.0


@pytest.mark.parametrize(
    ("rate_per_s", "burst", "bounds"),
    [
        (40.0, 40.0, AllotmentBounds(5.0, 0.1, 20.0)),
        (1.0, 0.0, AllotmentBounds(5.0, 0.0, 0.0)),
        (0.01, 0.0, AllotmentBounds(5.0, 0.1, 0.0)),
        (300.0, 1e6, AllotmentBounds(1.0, 0.5, 0.0)),
    ],
)
def test_part_of_the_fleet_stays_within_the_bound(rate_per_s, burst, bounds):
    account = ClientAccount("hotel", (), None, rate_per_s, burst)
    part = fleet_part(account, bounds)
    most = part.capacity + part.rate_per_s * (bounds.window_s + ZONE_LOAN_S + HOST_GRANT_S)
    assert most <= (rate_per_s * bounds.window_s + burst) * (1 + bounds.overshoot) + bounds.slack
    assert 0 <= part.rate_per_s <= rate_per_s


def filled(now_s=10.0, rate_per_s=10.0):
    """Returns the ledger of the only host of the only zone, after a time without requests."""
    ledger = AllotmentLedger(0.0, BOUNDS, 1)
    for votes in ledger.votes:
        votes.add(0.0, "h1", 1000.0, 1)
    return ledger, ACCOUNT._replace(rate_per_s=rate_per_s)


def test_a_lower_limit_takes_effect_at_once():
    ledger, account = filled()
    lower = account._replace(rate_per_s=1.0, burst=0.0)
    assert ledger.lend(10.0, account, 2.0) == 2.0
    assert ledger.lend(10.0, lower, 64.0) <= fleet_part(lower, BOUNDS).capacity
    assert ledger.lend(11.0, lower, 64.0) <= 1.0


def test_a_refused_request_may_return_after_the_time_it_was_told():
    ledger, account = filled()
    while ledger.take(10.0, account):
        pass
    waits_s = [ledger.retry_after_s(10.0, account) for _ in range(5)]
    assert waits_s == sorted(waits_s)
    for wait_s in waits_s:
        assert ledger.take(10.0 + wait_s + 1e-6, account)


def test_a_request_is_refunded_until_what_it_was_taken_from_expires():
    ledger, account = filled()
    request = ledger.take(10.0, account)
    assert ledger.refund(10.2, request)
    assert ledger.take(10.2, account).expires_s == request.expires_s
    assert not ledger.refund(10.0 + HOST_GRANT_S, request)


def test_idle_accounts_are_forgotten_once_their_part_has_filled_up():
    ledger, account = filled()
    ledger.record_request(10.0, account)
    assert ledger.take(10.0, account)
    ledger.drop_idle(19.9)
    assert len(ledger) == 1
    ledger.drop_idle(20.1)
    assert len(ledger) == 0
    assert ledger.lend(20.1, account, 64.0) == pytest.approx(fleet_part(account, BOUNDS).capacity)


def test_a_large_zone_has_several_granting_hosts():
    hosts = [f"10.0.0.{number}" for number in range(200)]
    leaders = choose_leaders(hosts, 200)
    assert 4 <= len(set(leaders)) <= 7
    assert choose_leaders(hosts[::-1], 200) == leaders
    assert choose_leaders([], 30) == ()


@pytest.mark.parametrize("request_rate_s", [0.0, 40.0, 200.0])
def test_hosts_that_serve_as_traffic_rises_do_not_change_the_granting_host(request_rate_s):
    hosts = [f"10.0.0.{number}" for number in range(30)]
    serving = ServingHosts().choose(0.0, hosts, request_rate_s)
    assert set(choose_leaders(serving, 30)) == set(choose_leaders(hosts, 30))
