"""Guards against a second run, a false not-run and a wrong replay under any order of faults.

Two nodes with real tables and attempt states send requests of three bytes to upstreams. Each byte,
refusal, confirmation and failure is a separate event that may arrive late, early or never.
"""

import os
from collections import Counter
from contextlib import suppress
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from anviltray.decisions import attempts as module
from anviltray.decisions.attempts import AttemptEvent, AttemptState, AttemptTable, RequestAttempts
from anviltray.settings import AttemptSettings

TABLE = AttemptSettings(10.0, 2, entry_limit=2, replay_limit_bytes=40, replay_total_bytes=60)
LENGTH = 3  # Bytes of a request and of a response.
RUNNING = (AttemptState.CONNECTING, AttemptState.SENT, AttemptState.RESPONDING)
# st.integers would also draw constants of imported modules, so that runs would differ.
PICK = st.sampled_from(range(16))
COUNT = st.sampled_from(range(1, LENGTH + 1))


def some(items, pick):
    """Returns the item that `pick` selects, the newest for 0, or None if there are none."""
    return items[-1 - pick % len(items)] if items else None


class AtMostOnce(RuleBasedStateMachine):
    """`executions` and `reported_not_run` are the oracle; the rest drives the real objects."""

    table_class, attempts_class = AttemptTable, RequestAttempts

    def __init__(self):
        super().__init__()
        self.now_s, self.incarnation = 100.0, 1
        self.tables = {}
        self.identifiers, self.requests, self.exchanges = [], [], []
        self.executions, self.reported_not_run = Counter(), set()
        for name in ("n1", "n2"):
            self.start_node(name)

    def start_node(self, name):
        self.incarnation += 1
        self.tables[name] = self.table_class(name, self.incarnation, TABLE)

    def start_attempt(self, request):
        number = request.attempts.start()
        exchange = SimpleNamespace(request=request, written=0, received=0, upstream=None)
        exchange.state = lambda: request.attempts.states[number]
        exchange.record = lambda event: request.attempts.record(number, AttemptEvent(event))
        self.exchanges.append(exchange)

    def check(self, request_id, outcome=None):
        if outcome == "not-run":
            self.reported_not_run.add(request_id)
        assert self.executions[request_id] <= 1, "ran twice"
        assert not (request_id in self.reported_not_run and self.executions[request_id]), "it ran"

    def some_exchange(self, pick, *states):
        return some([item for item in self.exchanges if item.state() in states], pick)

    @rule(pick=PICK, ahead=st.sampled_from([0, 0, 0, 1]), count=COUNT, served=st.booleans())
    def issue(self, pick, ahead, count, served):
        """New requests arrive, some with a future epoch; served ones encounter no fault."""
        name = ("n1", "n1", "n1", "n2")[pick % 4]
        node, incarnation, epoch, _ = self.tables[name].prefix(self.now_s).split(".")
        for _ in range(count):
            suffix = f"s{len(self.identifiers)}"
            self.identifiers.append(f"{node}.{incarnation}.{int(epoch, 16) + ahead:x}.{suffix}")
            self.arrive(self.identifiers[-1], pick, served)

    @rule(pick=PICK, via=PICK, rejected=st.booleans(), late_s=st.sampled_from([0.0, 0.0, 10.0]))
    def copy_arrives(self, pick, via, rejected, late_s):
        """Late copies, above all of requests that were reported as not run, arrive."""
        self.now_s += late_s
        request_id = some(sorted(self.reported_not_run) if rejected else self.identifiers, pick)
        if request_id is not None:
            self.arrive(request_id, via, served=True)

    def arrive(self, request_id, via, served):
        before = len(self.exchanges)
        self.deliver(request_id, via)
        if served and len(self.exchanges) > before:
            self.write_and_run()
            self.receive(0, LENGTH)
            self.decide(0, False)

    def deliver(self, request_id, via):
        table = self.tables[("n1", "n2")[via % 2]]
        result = table.on_arrival(self.now_s, request_id)
        if isinstance(result, module.Forward):
            table = self.tables[result.node]
            result = table.on_arrival(self.now_s, request_id)
        match result:
            case module.Start(started):
                assert started == request_id
                attempts = self.attempts_class(None)
                self.requests.append(
                    SimpleNamespace(table=table, id=request_id, attempts=attempts, finished=False)
                )
                self.start_attempt(self.requests[-1])
            case module.Replay(response):
                assert response.body == request_id.encode(), "response of another request"
                assert self.executions[request_id] == 1
            case module.RecordedOutcome(outcome):
                self.check(request_id, outcome)
            case module.Reject():
                self.check(request_id, "not-run")
            case _:
                assert isinstance(result, module.InProgress | module.Expired)

    @rule(pick=PICK, count=COUNT)
    def write(self, pick, count):
        exchange = self.some_exchange(pick, AttemptState.CONNECTING, AttemptState.SENT)
        if exchange and exchange.written < LENGTH:
            exchange.record("write")
            exchange.written = min(LENGTH, exchange.written + count)

    @rule()
    def write_and_run(self):
        self.write(0, LENGTH)
        self.upstream_acts(0, "run")

    @rule(pick=PICK, action=st.sampled_from(["run", "run", "refuse", "cancel"]))
    def upstream_acts(self, pick, action):
        """The upstream handles the written bytes, possibly after the node has given up."""
        exchange = some([item for item in self.exchanges if item.written], pick)
        if exchange is None or exchange.upstream:
            return
        if action != "run":
            exchange.upstream = action
        elif exchange.written == LENGTH:
            exchange.upstream = action
            self.executions[exchange.request.id] += 1
            self.check(exchange.request.id)

    @rule(pick=PICK, count=COUNT)
    def receive(self, pick, count):
        exchange = self.some_exchange(pick, AttemptState.SENT, AttemptState.RESPONDING)
        if exchange and exchange.upstream == "refuse":
            exchange.record("refused")
        elif exchange and exchange.upstream == "run":
            exchange.received += count
            if exchange.state() is AttemptState.SENT:
                exchange.record("response")
            if exchange.received >= LENGTH:
                exchange.record("complete")

    @rule(pick=PICK)
    def confirm_cancellation(self, pick):
        exchange = some([item for item in self.exchanges if item.upstream == "cancel"], pick)
        if exchange:
            exchange.record("cancelled")
            request = exchange.request
            if request.finished and request.attempts.outcome == "not-run":
                with suppress(module.NotInFlight):  # Recorded already, or its epoch has ended.
                    request.table.finish(self.now_s, request.id, "not-run", None)

    @rule(pick=PICK)
    def fail(self, pick):
        exchange = self.some_exchange(pick, *RUNNING)
        if exchange:
            exchange.record("failed")

    @rule(pick=PICK, again=st.booleans())
    def decide(self, pick, again):
        """The node retries if allowed, or finishes at its deadline or with a result."""
        request = some([item for item in self.requests if not item.finished], pick)
        if request is None:
            return
        if again and request.attempts.can_start(self.now_s, self.now_s + 1):
            self.start_attempt(request)
            return
        for exchange in self.exchanges:
            if exchange.request is request and exchange.state() in RUNNING:
                exchange.record("failed")
        outcome, request.finished = request.attempts.outcome, True
        response = module.StoredResponse(200, (), request.id.encode())
        kept = response if outcome == "done" else None
        request.table.finish(self.now_s, request.id, outcome, kept)
        self.check(request.id, outcome)

    @rule(pick=PICK)
    def restart(self, pick):
        if pick < 4:
            name = ("n1", "n2")[pick % 2]
            lost = self.tables[name]
            self.start_node(name)
            self.requests = [item for item in self.requests if item.table is not lost]

    @rule(passed_s=st.sampled_from([3.0, 10.0, 10.0, 30.0]))
    def wait(self, passed_s):
        self.now_s += passed_s


class RetriesAfterFirstByte(RequestAttempts):
    """Treats a closed connection as proof that the request did not run."""

    def record(self, attempt, event):
        if event is AttemptEvent.FAILED and self._states[attempt] is AttemptState.SENT:
            event = AttemptEvent.REFUSED
        return super().record(attempt, event)


class ForgetsInsideEpoch(AttemptTable):
    """Removes finished entries before their epoch ends."""

    def finish(self, now_s, request_id, outcome, response):
        super().finish(now_s, request_id, outcome, response)
        if self._by_epoch.get(self._epoch, []) == [request_id]:
            self._drop_response(self._entries.pop(request_id))
            del self._by_epoch[self._epoch]


class EvictsWhenFull(AttemptTable):
    """Evicts the oldest finished entry for a new identifier."""

    def _first_arrival(self, now_s, request_id, parts):
        if len(self._entries) >= TABLE.entry_limit:
            for oldest in [key for key, entry in self._entries.items() if entry.outcome][:1]:
                entry = self._entries.pop(oldest)
                self._by_epoch[entry.epoch].remove(oldest)
                self._drop_response(entry)
        return super()._first_arrival(now_s, request_id, parts)


class ForgetsRejections(AttemptTable):
    """Lets a rejected identifier start once the table has space."""

    def _advance(self, now_s):
        super()._advance(now_s)
        self._last_full_epoch = -1


class ForgetsFutureIdentifiers(AttemptTable):
    """Lets an identifier that was rejected for a future epoch start when that epoch begins."""

    def _advance(self, now_s):
        super()._advance(now_s)
        self._rejected_future_ids.clear()


class StartsForOthers(AttemptTable):
    """Starts identifiers that another node or an earlier incarnation issued."""

    def on_arrival(self, now_s, request_id):
        result = super().on_arrival(now_s, self._own(request_id))
        return module.Start(request_id) if isinstance(result, module.Start) else result

    def finish(self, now_s, request_id, outcome, response):
        super().finish(now_s, self._own(request_id), outcome, response)

    def _own(self, request_id):
        return f"{self._node}.{self._incarnation:x}.{request_id.split('.', 2)[2]}"


def run(examples, table_class=AttemptTable, attempts_class=RequestAttempts, **changes):
    names = {"table_class": table_class, "attempts_class": attempts_class}
    chosen = {"derandomize": True, "stateful_step_count": 100, "deadline": None, "database": None}
    run_state_machine_as_test(
        type("Machine", (AtMostOnce,), names),
        settings=settings(
            max_examples=examples, suppress_health_check=list(HealthCheck), **(chosen | changes)
        ),
    )


@pytest.mark.fuzz
def test_at_most_once_and_truthful_not_run():
    seconds = int(os.environ.get("FUZZ_SECONDS", "0"))
    # About 15 examples run per second; without FUZZ_SECONDS they use a fixed seed.
    run(15 * seconds or 120, derandomize=not seconds)


FAULTS = [RetriesAfterFirstByte, ForgetsInsideEpoch, EvictsWhenFull]
FAULTS += [ForgetsRejections, ForgetsFutureIdentifiers, StartsForOthers]


@pytest.mark.parametrize("fault", FAULTS)
def test_machine_finds_seeded_faults(fault):
    """Guards against a state machine that passes because it never reaches the critical orders."""
    kind = "table_class" if issubclass(fault, AttemptTable) else "attempts_class"
    with pytest.raises(AssertionError):
        run(3000, phases=[Phase.generate], **{kind: fault})
