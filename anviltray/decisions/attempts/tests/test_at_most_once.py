"""Guards against a second run, a false not-run and a foreign replay under any order of faults.

Two nodes with real tables and attempt states send requests of three bytes to upstreams. Every byte,
refusal, confirmation and failure is an event of its own that may come late, early or never.
"""

import os
from collections import Counter
from contextlib import suppress

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule, run_state_machine_as_test

from anviltray.decisions.attempts import (
    AttemptEvent,
    AttemptState,
    AttemptTable,
    Expired,
    Forward,
    InProgress,
    Known,
    NotInFlight,
    Refuse,
    Replay,
    RequestAttempts,
    Start,
    StoredResponse,
)
from anviltray.settings import AttemptSettings

TABLE = AttemptSettings(
    epoch_s=10.0, epochs_kept=2, entry_limit=2, replay_limit_bytes=40, replay_total_bytes=60
)
LENGTH = 3  # bytes of a request and of a response.
EVENT = AttemptEvent
RUNNING = (AttemptState.CONNECTING, AttemptState.SENT, AttemptState.ANSWERING)
# Integers would also be drawn from constants of imported modules, so that runs would differ.
PICK = st.sampled_from(range(16))


class Request:
    """A started request at its node."""

    def __init__(self, table, request_id, attempts):
        self.table, self.request_id, self.attempts = table, request_id, attempts
        self.finished = False


class Exchange:
    """One attempt: what the node has written and what the upstream has seen and done."""

    def __init__(self, request):
        self.request, self.number = request, request.attempts.start()
        self.written = self.received = self.answered = 0
        self.ran = self.refused = self.cancelled = False

    def state(self):
        return self.request.attempts.states[self.number]

    def record(self, event):
        self.request.attempts.record(self.number, event)


class AtMostOnce(RuleBasedStateMachine):
    """The oracle is `executions` and `told_not_run`; everything else drives the real objects."""

    table_class, attempts_class = AttemptTable, RequestAttempts

    def __init__(self):
        super().__init__()
        self.now_s, self.incarnation = 100.0, 1
        self.tables = {name: self.new_table(name) for name in ("n1", "n2")}
        self.identifiers, self.requests, self.exchanges = [], [], []
        self.executions, self.told_not_run = Counter(), set()

    def new_table(self, name):
        self.incarnation += 1
        return self.table_class(name, self.incarnation, TABLE)

    def tell(self, request_id, outcome):
        if outcome == "not-run":
            self.told_not_run.add(request_id)
        assert not self.told_not_run & self.executions.keys(), "told not-run, but it ran"

    def some(self, items, pick):
        return items[-1 - pick % len(items)] if items else None

    def some_exchange(self, pick, *states):
        return self.some([item for item in self.exchanges if item.state() in states], pick)

    @rule(
        pick=PICK,
        ahead=st.sampled_from([0, 0, 0, 0, 1]),
        count=st.sampled_from([1, 2, 3]),
        served=st.booleans(),
    )
    def issue(self, pick, ahead, count, served):
        """New requests arrive; served ones meet no fault."""
        name = ("n1", "n1", "n1", "n2")[pick % 4]
        node, incarnation, epoch, _ = self.tables[name].prefix(self.now_s).split(".")
        for _ in range(count):
            suffix = f"s{len(self.identifiers)}"
            self.identifiers.append(f"{node}.{incarnation}.{int(epoch, 16) + ahead:x}.{suffix}")
            before = len(self.exchanges)
            self.arrive(0, pick)
            if served and len(self.exchanges) > before:
                self.write_and_run()
                self.receive(0, LENGTH)
                self.decide(0, False)

    @rule(pick=PICK, via=PICK)
    def arrive(self, pick, via):
        if self.identifiers:
            self.arrive_one(self.some(self.identifiers, pick), via)

    def arrive_one(self, request_id, via):
        table = self.tables[("n1", "n2")[via % 2]]
        result = table.arrive(self.now_s, request_id)
        if isinstance(result, Forward):
            table = self.tables[result.node]
            result = table.arrive(self.now_s, request_id)
        match result:
            case Start(started):
                assert started == request_id
                request = Request(table, request_id, self.attempts_class(None))
                self.requests.append(request)
                self.exchanges.append(Exchange(request))
            case Replay(response):
                assert response.body == request_id.encode(), "response of another request"
                assert self.executions[request_id] == 1
            case Known(outcome):
                self.tell(request_id, outcome)
            case Refuse():
                self.tell(request_id, "not-run")
            case _:
                assert isinstance(result, (InProgress, Expired))

    @rule(pick=PICK, count=st.sampled_from(range(1, LENGTH + 1)))
    def write(self, pick, count):
        exchange = self.some_exchange(pick, AttemptState.CONNECTING, AttemptState.SENT)
        if exchange and exchange.written < LENGTH:
            exchange.record(EVENT.WRITE)
            exchange.written = min(LENGTH, exchange.written + count)

    @rule()
    def write_and_run(self):
        self.write(0, LENGTH)
        self.upstream_acts(0, "run")

    @precondition(lambda self: self.told_not_run)
    @rule(pick=PICK)
    def copy_arrives_late(self, pick):
        """The dangerous copies are those of requests that the caller believes not to have run."""
        self.arrive_one(self.some(sorted(self.told_not_run), pick), pick)

    @rule(pick=PICK, action=st.sampled_from(["run", "run", "refuse", "cancel"]))
    def upstream_acts(self, pick, action):
        """The upstream sees what was written, however late, even after the node has given up."""
        exchange = self.some([item for item in self.exchanges if item.written], pick)
        if exchange is None or exchange.ran or exchange.refused or exchange.cancelled:
            return
        if action == "run" and exchange.written == LENGTH:
            exchange.ran = True
            self.executions[exchange.request.request_id] += 1
            assert max(self.executions.values()) == 1, "ran twice"
            self.tell(exchange.request.request_id, None)
        exchange.refused = action == "refuse"
        exchange.cancelled = action == "cancel"

    @rule(pick=PICK, count=st.sampled_from(range(1, LENGTH + 1)))
    def receive(self, pick, count):
        exchange = self.some_exchange(pick, AttemptState.SENT, AttemptState.ANSWERING)
        if exchange and exchange.refused:
            exchange.record(EVENT.REFUSED)
        elif exchange and exchange.ran:
            exchange.answered += count
            if exchange.state() is AttemptState.SENT:
                exchange.record(EVENT.RESPONSE)
            if exchange.answered >= LENGTH:
                exchange.record(EVENT.COMPLETE)

    @rule(pick=PICK)
    def confirm_cancellation(self, pick):
        exchange = self.some([item for item in self.exchanges if item.cancelled], pick)
        if exchange:
            exchange.record(EVENT.CANCELLED)
            request = exchange.request
            if request.finished and request.attempts.outcome == "not-run":
                with suppress(NotInFlight):  # Recorded already, or its epoch has ended.
                    request.table.finish(self.now_s, request.request_id, "not-run", None)

    @rule(pick=PICK)
    def fail(self, pick):
        exchange = self.some_exchange(pick, *RUNNING)
        if exchange:
            exchange.record(EVENT.FAILED)

    @precondition(lambda self: self.requests)
    @rule(pick=PICK, again=st.booleans())
    def decide(self, pick, again):
        """The node tries again if it may, or gives up: at its deadline or when it has a result."""
        request = self.some([item for item in self.requests if not item.finished], pick)
        if request is None:
            return
        if again and request.attempts.may_start(self.now_s, self.now_s + 1):
            self.exchanges.append(Exchange(request))
            return
        for exchange in self.exchanges:
            if exchange.request is request and exchange.state() in RUNNING:
                exchange.record(EVENT.FAILED)
        outcome, request.finished = request.attempts.outcome, True
        response = StoredResponse(200, (), request.request_id.encode())
        kept = response if outcome == "done" else None
        request.table.finish(self.now_s, request.request_id, outcome, kept)
        self.tell(request.request_id, outcome)

    @rule(pick=PICK)
    def restart(self, pick):
        if pick >= 4:
            return
        name = ("n1", "n2")[pick % 2]
        lost, self.tables[name] = self.tables[name], self.new_table(name)
        self.requests = [item for item in self.requests if item.table is not lost]

    @rule(passed_s=st.sampled_from([3.0, 10.0, 10.0, 30.0]))
    def wait(self, passed_s):
        self.now_s += passed_s


class RetriesAfterFirstByte(RequestAttempts):
    """Takes a closed connection for proof that the request did not run."""

    def record(self, attempt, event):
        if event is EVENT.FAILED and self._states[attempt] is AttemptState.SENT:
            self._states[attempt] = AttemptState.NOT_RUN
            return AttemptState.NOT_RUN
        return super().record(attempt, event)


class ForgetsInsideEpoch(AttemptTable):
    """Drops finished entries before their epoch ends."""

    def finish(self, now_s, request_id, outcome, response):
        super().finish(now_s, request_id, outcome, response)
        if self._by_epoch.get(self._epoch, []) == [request_id]:
            self._drop_response(self._entries.pop(request_id))
            del self._by_epoch[self._epoch]


class EvictsWhenFull(AttemptTable):
    """Makes room for a new identifier by dropping the oldest one."""

    def _first_arrival(self, now_s, request_id, parts):
        if len(self._entries) >= TABLE.entry_limit:
            for oldest in [key for key, entry in self._entries.items() if entry.outcome][:1]:
                entry = self._entries.pop(oldest)
                self._by_epoch[entry.epoch].remove(oldest)
                self._drop_response(entry)
        return super()._first_arrival(now_s, request_id, parts)


class ForgetsRefusals(AttemptTable):
    """Lets a refused identifier start once there is room."""

    def _first_arrival(self, now_s, request_id, parts):
        self._closed_through = -1
        return super()._first_arrival(now_s, request_id, parts)


class ForgetsInvented(AttemptTable):
    """Lets an identifier that was refused as invented start when its epoch comes."""

    def _advance(self, now_s):
        super()._advance(now_s)
        self._invented.clear()


class StartsForOthers(AttemptTable):
    """Starts identifiers that another node or an earlier incarnation issued."""

    def arrive(self, now_s, request_id):
        suffix = request_id.rsplit(".", 1)[1]
        result = super().arrive(now_s, f"{self._node}.{self._incarnation:x}.0.{suffix}")
        return Start(request_id) if isinstance(result, Start) else result

    def finish(self, now_s, request_id, outcome, response):
        suffix = request_id.rsplit(".", 1)[1]
        own = f"{self._node}.{self._incarnation:x}.0.{suffix}"
        super().finish(now_s, own, outcome, response)

    def _advance(self, now_s):
        pass


def run(examples, table_class=AttemptTable, attempts_class=RequestAttempts, **changes):
    machine = type(
        "Machine", (AtMostOnce,), {"table_class": table_class, "attempts_class": attempts_class}
    )
    chosen = {"derandomize": True, "stateful_step_count": 100} | changes
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
            **chosen,
        ),
    )


@pytest.mark.fuzz
def test_at_most_once_and_truthful_not_run():
    seconds = int(os.environ.get("FUZZ_SECONDS", "0"))
    # About 15 examples per second; without FUZZ_SECONDS they are drawn from a fixed seed.
    run(15 * seconds or 120, derandomize=not seconds)


@pytest.mark.parametrize(
    "fault",
    [
        {"attempts_class": RetriesAfterFirstByte},
        {"table_class": ForgetsInsideEpoch},
        {"table_class": EvictsWhenFull},
        {"table_class": ForgetsRefusals},
        {"table_class": ForgetsInvented},
        {"table_class": StartsForOthers},
    ],
    ids=lambda fault: next(iter(fault.values())).__name__,
)
def test_machine_finds_seeded_faults(fault):
    """Guards against a machine that passes because it never reaches the dangerous orders."""
    with pytest.raises(AssertionError):
        run(3000, phases=[Phase.generate], **fault)
