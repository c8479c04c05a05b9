"""State machines that check the floor under random events and a healthy service under noise.

In CI the examples are few and derandomised; FUZZ_SECONDS raises their number.
"""

import os
from random import Random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.ejection import OutlierEjector, _service, floor_slots
from anviltray.declarations import Service, Upstream
from anviltray.messages import Ejection, Evidence, UpstreamEvidence

ADDRESSES = tuple(f"10.0.0.{i}:80" for i in range(6))
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=max(40, 2 * int(os.environ.get("FUZZ_SECONDS", "0"))),
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
some = st.sets(st.sampled_from(ADDRESSES)).map(frozenset)
one = st.sampled_from(ADDRESSES)
peers = st.sampled_from(["n1", "n2", "n3"])
small = st.integers(0, 3)


class Fleet(RuleBasedStateMachine):
    """An ejector in virtual time; subclasses add rules and invariants."""

    def __init__(self):
        super().__init__()
        self.ejector = OutlierEjector("n0", "r", "z0", Random(1))
        self.now_s = 0.0
        self.rng = Random(3)
        self.service = None
        self.declare(dict.fromkeys(ADDRESSES, 4), 0, 0.5, "fast", frozenset())
        self.ejector.probe_targets(0.0, ["n0", "n1", "n2", "n3"])

    def declare(self, slots, floor, share, sensitivity, drained):
        upstreams = tuple(
            Upstream(a, "r", "z0", n, "draining" if a in drained else "active")
            for a, n in sorted(slots.items())
        )
        self.service = Service("s", upstreams, (), floor, share, sensitivity, 0.999, 1000.0, ())
        self.ejector.configure({"s": self.service}, self.now_s)

    def routed(self):
        return {item.address: item.slots for item in self.ejector.routable("s").upstreams}

    def step(self, ticks, faults=(), outcome=None):
        """Runs updates with traffic; exchanges with `faults` end as `outcome` or never."""
        for _ in range(ticks):
            self.now_s += 0.05
            self.ejector.update(self.now_s)
            for address in self.routed():
                for _ in range(3):
                    latency_s = 0.02 * self.rng.lognormvariate(0, 0.5)
                    exchange = self.ejector.on_exchange_started(
                        self.now_s - latency_s, "s", address, True
                    )
                    if address not in faults:
                        self.ejector.on_exchange_ended(self.now_s, exchange, ExchangeOutcome.OK)
                    elif outcome is not None:
                        self.ejector.on_exchange_ended(self.now_s, exchange, outcome)


class FloorMachine(Fleet):
    """Any order of events; healthy routed slots never fall below the floor."""

    def __init__(self):
        super().__init__()
        self.draining = frozenset()
        self.warm_s = {}

    @rule(
        slots=st.dictionaries(one, st.integers(1, 8), min_size=1),
        floor=st.integers(0, 30),
        share=st.sampled_from([0.0, 0.3, 0.5, 0.9, 1.0]),
        sensitivity=st.sampled_from(["fast", "balanced", "careful"]),
        drained=some,
    )
    def configure(self, slots, floor, share, sensitivity, drained):
        declared = {upstream.address for upstream in self.service.upstreams}
        self.warm_s.update({a: self.now_s + 5.0 for a in slots if a not in declared})
        self.declare(slots, floor, share, sensitivity, drained)

    @rule(draining=some)
    def leave(self, draining):
        self.draining = draining
        self.ejector.set_draining(self.now_s, draining)

    @rule(address=one)
    def warm(self, address):
        self.warm_s[address] = max(self.now_s + 3.0, self.warm_s.get(address, 0.0))
        self.ejector.on_cold_response(self.now_s, address)

    @rule(
        faults=some,
        outcome=st.sampled_from([None, *ExchangeOutcome]),
        ticks=st.sampled_from([1, 5, 20]),
    )
    def traffic(self, faults, outcome, ticks):
        self.step(ticks, faults, outcome)

    @rule(gap_s=st.sampled_from([0.3, 6.0, 20.0, 400.0]))
    def pause(self, gap_s):
        self.now_s += gap_s
        self.step(1)

    @rule(
        node=peers, incarnation=small, sequence=st.integers(0, 50), addresses=some,
        ratio=st.sampled_from([-2.0, 3.0, 9.0, 60.0, float("inf")]),
        age_s=st.sampled_from([0.0, 1.0, 9.0]),
    )  # fmt: skip
    def evidence(self, node, incarnation, sequence, addresses, ratio, age_s):
        items = tuple(UpstreamEvidence(a, ratio, 5, ratio < 60) for a in sorted(addresses))
        message = Evidence(node, incarnation, sequence, "s", age_s, items)
        self.ejector.on_peer_evidence(self.now_s, message)

    @rule(node=peers, incarnation=small, sequence=st.integers(0, 50), addresses=some)
    def ejection(self, node, incarnation, sequence, addresses):
        message = Ejection(node, incarnation, sequence, "s", tuple(sorted(addresses)), 10.0)
        self.ejector.on_peer_ejection(self.now_s, message)

    @rule(node=peers, address=one)
    def lose(self, node, address):
        self.ejector.remove_peer(self.now_s, node)
        self.ejector.on_probe_result(self.now_s, address, False)

    @invariant()
    def floor_holds(self):
        routed = self.routed()
        unreachable = {
            r["address"] for r in self.ejector.rows("s", self.now_s) if not r["reachable"]
        }
        exists = {
            upstream.address
            for upstream in self.service.upstreams
            if upstream.state == "active" and upstream.address not in self.draining
        }
        healthy = sum(
            slots
            for address, slots in routed.items()
            if self.warm_s.get(address, 0.0) <= self.now_s and address not in unreachable
        )
        assert routed.keys() <= exists
        assert routed or not exists
        assert healthy >= floor_slots(self.service) or routed.keys() == exists


class NoiseMachine(Fleet):
    """Noise that is not a fault of an upstream; a healthy service keeps all members."""

    def __init__(self):
        super().__init__()
        self.step(60)

    @rule(address=one, count=st.integers(1, 40))
    def shed(self, address, count):
        for _ in range(count):
            exchange = self.ejector.on_exchange_started(self.now_s, "s", address, False)
            self.ejector.on_exchange_ended(self.now_s, exchange, ExchangeOutcome.REFUSED)

    @rule(address=one, count=st.integers(1, 20))
    def slow_callers(self, address, count):
        for _ in range(count):
            exchange = self.ejector.on_exchange_started(self.now_s, "s", address, False)
            self.ejector.on_first_byte(self.now_s + 0.02, exchange)
            if count % 2:
                self.ejector.on_exchange_ended(
                    self.now_s + 0.02, exchange, ExchangeOutcome.ABANDONED
                )

    @rule(address=one, outcome=st.sampled_from([None, *ExchangeOutcome]))
    def single_failure(self, address, outcome):
        exchange = self.ejector.on_exchange_started(self.now_s, "s", address, True)
        if outcome is not None:
            self.ejector.on_exchange_ended(self.now_s + 0.3, exchange, outcome)
        self.step(10)

    @rule(address=one, count=st.integers(1, 10))
    def lagging_probes(self, address, count):
        for _ in range(count):
            self.ejector.on_probe_result(self.now_s, address, False)
        self.step(5)

    @rule(addresses=some, ratio=st.sampled_from([5.0, 60.0]), sequence=st.integers(0, 50))
    def one_wrong_peer(self, addresses, ratio, sequence):
        items = tuple(UpstreamEvidence(a, ratio, 9, True) for a in sorted(addresses))
        self.ejector.on_peer_evidence(self.now_s, Evidence("n1", 1, sequence, "s", 0.0, items))
        self.ejector.on_peer_ejection(
            self.now_s, Ejection("n1", 1, sequence, "s", tuple(sorted(addresses)), 10.0)
        )
        self.step(5)

    @rule(gap_s=st.sampled_from([0.25, 2.0, 100.0]))
    def pause(self, gap_s):
        self.now_s += gap_s
        self.step(5)

    @rule(outcome=st.sampled_from([None, ExchangeOutcome.CONNECT_FAILED]), ticks=st.integers(5, 40))
    def own_trouble(self, outcome, ticks):
        self.step(ticks, ADDRESSES, outcome)
        self.step(20)

    @invariant()
    def all_members_stay(self):
        assert self.routed().keys() == set(ADDRESSES)


@pytest.mark.fuzz
@pytest.mark.parametrize("machine", [FloorMachine, NoiseMachine])
def test_random_events(machine):
    run_state_machine_as_test(machine, settings=SETTINGS)


def remove_all_suspects(candidates, floor, ejected_by_peers=()):
    """Stands in for `select_removals` without the floor check; keeps one upstream."""
    suspects = [c.address for c in candidates if c.suspicion]
    return frozenset(suspects[1:] if len(suspects) == len(candidates) else suspects)


def test_machine_finds_a_missing_floor_check(monkeypatch):
    """Guards against a state machine that passes because it never reaches the floor."""
    monkeypatch.setattr(_service, "select_removals", remove_all_suspects)
    # Shrinking the expected failure would take minutes.
    quick = settings(
        SETTINGS, max_examples=300, phases=[Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(FloorMachine, settings=quick)
