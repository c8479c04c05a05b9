"""Guards against hosts that together exceed the budget they share by lending retries.

The state machine delays, drops and duplicates the datagrams and restarts hosts.
"""

import random
from collections import defaultdict

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from anviltray.decisions.retries import LOAN_LIFETIME_S, RetryBudget, RetryPool
from anviltray.testing import fuzz_settings

COUNT, SERVICE = 3, "level"
WINDOW_S, SHARE, SLACK = 10.0, 0.2, 6.0
HOSTS = st.integers(0, COUNT - 1)


class Host:
    """The budget of one host, with the window and the slack that `EdgeState` gives it."""

    def __init__(self, pool_type, number, *, restarted=False):
        self.budget = RetryBudget(0.8 * SHARE, 1.12 * WINDOW_S, 0)
        self.budget.slack = 0.0 if restarted else SLACK / COUNT
        self.pool = pool_type(lambda service: self.budget, random.Random(number))


class PoolMachine(RuleBasedStateMachine):
    pool_type = RetryPool

    def __init__(self):
        super().__init__()
        self.now_s, self.starts = 0.0, 0
        self.hosts = [Host(self.pool_type, number) for number in range(COUNT)]
        self.enable_slack_s = defaultdict(lambda: float("inf"))
        self.requests, self.retries = [], []
        self.datagrams = []  # (function, arguments), delivered in any order.

    @rule(host=HOSTS, count=st.integers(1, 10))
    def receive_requests(self, host, count):
        for _ in range(count):
            self.hosts[host].budget.record_request(self.now_s)
            self.requests.append(self.now_s)

    @rule(host=HOSTS)
    def retry(self, host):
        while self.hosts[host].budget.try_acquire(self.now_s):
            self.retries.append(self.now_s)

    @rule()
    def retry_at_all_hosts(self):
        for host in range(COUNT):
            self.retry(host)

    @rule(borrower=HOSTS, lender=HOSTS)
    def ask(self, borrower, lender):
        if borrower != lender:
            request = self.hosts[borrower].pool.request(self.now_s, SERVICE, f"h{lender}")
            self.datagrams.append((self.lend, (borrower, lender, request.number)))

    @rule(borrower=HOSTS, lender=HOSTS, requests=st.integers(0, 2), replies=st.integers(0, 2))
    def ask_and_deliver(self, borrower, lender, requests, replies):
        """Delivers at once, with lost and duplicated datagrams."""
        if borrower == lender:
            return
        number = self.hosts[borrower].pool.request(self.now_s, SERVICE, f"h{lender}").number
        for _ in range(requests):
            lent = self.hosts[lender].pool.lend(self.now_s, SERVICE)
            for _ in range(replies):
                self.reply(borrower, lender, number, lent)

    def lend(self, borrower, lender, number):
        lent = self.hosts[lender].pool.lend(self.now_s, SERVICE)
        self.datagrams.append((self.reply, (borrower, lender, number, lent)))

    def reply(self, borrower, lender, number, lent):
        self.hosts[borrower].pool.receive(self.now_s, number, f"h{lender}", lent)

    @rule(index=st.integers(0, 5), times=st.integers(0, 2))
    def deliver(self, index, times):
        if index < len(self.datagrams):
            function, arguments = self.datagrams.pop(index)
            for _ in range(times):
                function(*arguments)

    @rule()
    def deliver_all(self):
        while self.datagrams:
            function, arguments = self.datagrams.pop(0)
            function(*arguments)

    @rule(duration_s=st.sampled_from([0.1, 0.9, 1.2, 5.0, 9.9, 11.3]))
    def advance(self, duration_s):
        self.now_s += duration_s
        for number, due_s in list(self.enable_slack_s.items()):
            if due_s <= self.now_s:
                self.hosts[number].budget.slack = SLACK / COUNT
                del self.enable_slack_s[number]

    @rule(host=HOSTS)
    def restart(self, host):
        self.starts += 1
        self.hosts[host] = Host(self.pool_type, COUNT + self.starts, restarted=True)
        self.enable_slack_s[host] = self.now_s + 1.12 * WINDOW_S

    @invariant()
    def stays_within_the_budget(self):
        if not self.retries:
            return
        # A window that ends now; earlier ones were checked when they ended.
        start_s = self.now_s - WINDOW_S
        used = sum(start_s < time_s for time_s in self.retries)
        counted = max(
            sum(start_s - back_s < time_s <= self.now_s - back_s for time_s in self.requests)
            for back_s in (0.0, 5.0, 10.0)
        )
        assert used <= SHARE * counted + SLACK


@pytest.mark.fuzz
def test_hosts_together_stay_within_the_budget():
    run_machine(PoolMachine, settings=fuzz_settings(examples=60, steps=40))


class LenderForgets(RetryPool):
    """Seeded fault: the lender does not count what it has lent."""

    def lend(self, now_s, service):
        return int(self._budget(service).remaining(now_s) >= 1)


class AcceptsDuplicates(RetryPool):
    """Seeded fault: the borrower accepts a reply again."""

    def receive(self, now_s, number, lender, retries):
        pending = self._pending.get(number)
        received = super().receive(now_s, number, lender, retries)
        if pending is not None:
            self._pending[number] = pending
        return received


@pytest.mark.fuzz
@pytest.mark.parametrize("pool_type", [LenderForgets, AcceptsDuplicates])
def test_the_machine_finds_a_seeded_fault(pool_type):
    machine = type("Seeded", (PoolMachine,), {"pool_type": pool_type})
    with pytest.raises(AssertionError):
        run_machine(machine, settings=fuzz_settings(examples=2000, steps=40, seeded_fault=True))


def pools(slack=3.0):
    hosts = [Host(RetryPool, number) for number in range(2)]
    hosts[0].budget.slack = 0.0
    hosts[1].budget.slack = slack
    return hosts


@pytest.mark.parametrize(
    ("sender", "retries", "delay_s", "accepted"),
    [
        ("h1", 1, 0.0, True),
        ("h1", 0, 0.0, False),
        ("h1", 7, 0.0, False),  # More than was asked for.
        ("h2", 1, 0.0, False),  # Not the host that was asked.
        ("h1", 1, LOAN_LIFETIME_S, False),
    ],
)
def test_only_the_requested_loan_is_accepted(sender, retries, delay_s, accepted):
    borrower = pools()[0]
    request = borrower.pool.request(5.0, SERVICE, "h1")
    assert borrower.pool.receive(5.0 + delay_s, request.number, sender, retries) is accepted
    assert not borrower.pool.receive(5.0 + delay_s, request.number + 1, sender, 1)
    assert borrower.budget.remaining(5.0 + delay_s) == int(accepted)


def test_loan_expires_and_counts_at_the_lender_for_another_window():
    borrower, lender = pools(slack=1.0)
    request = borrower.pool.request(5.0, SERVICE, "h1")
    assert [lender.pool.lend(5.0, SERVICE) for _ in range(2)] == [1, 0]
    assert borrower.pool.receive(5.01, request.number, "h1", 1)
    assert borrower.budget.remaining(5.99) == 1
    assert not borrower.budget.try_acquire(6.0)
    assert not lender.budget.try_acquire(5.0 + LOAN_LIFETIME_S + WINDOW_S)
    assert lender.budget.try_acquire(5.0 + LOAN_LIFETIME_S + 1.12 * WINDOW_S)


def test_search_without_result_pauses():
    borrower = pools()[0]
    assert len(borrower.pool.choose_lenders([f"h{number}" for number in range(30)])) == 4
    assert borrower.pool.has_prospect(5.0, SERVICE)
    borrower.pool.on_exhausted(5.0, SERVICE)
    assert not borrower.pool.has_prospect(5.4, SERVICE)
    assert borrower.pool.has_prospect(5.4, "other")
    assert borrower.pool.has_prospect(5.5, SERVICE)


def failed_share(seed, *, lending):
    """Replays a small service of which a tenth of the instances fail; returns the failed share."""
    rng = random.Random(seed)
    hosts = [Host(RetryPool, number) for number in range(11)]
    for host in hosts:
        host.budget.slack = 0.85
    now_s, failed, count = 0.0, 0, 600
    for _ in range(count):
        now_s += rng.expovariate(4.0)
        host = rng.choice(hosts)
        host.budget.record_request(now_s)
        if rng.random() < 0.15 and not host.budget.try_acquire(now_s):
            lenders = host.pool.choose_lenders(range(11)) if lending else ()
            failed += not any(hosts[lender].pool.lend(now_s, SERVICE) for lender in lenders)
    return failed / count


@pytest.mark.parametrize("seed", range(3))
def test_lending_serves_failed_requests_of_a_small_service(seed):
    alone, together = failed_share(seed, lending=False), failed_share(seed, lending=True)
    assert alone > 0.02
    assert together < alone / 3
