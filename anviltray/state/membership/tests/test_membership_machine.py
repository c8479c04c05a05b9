"""Guards against wrong removals under combined partitions, pauses, restarts and departures."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from anviltray.state.membership import Membership
from anviltray.state.membership._membership import StepResult
from anviltray.state.membership.tests.test_membership import SETTINGS, member
from anviltray.testing import fuzz_settings

COUNT = 5
NODES = st.integers(0, COUNT - 1)
TICK_S = 0.5
# Two probe periods, a direct and an indirect probe, the suspicion timeout and one digest.
SETTLE_S = 20.0


class Network:
    """Delivers messages between memberships immediately, or drops them."""

    def __init__(self, membership_type):
        self.membership_type = membership_type
        self.now_s = 0.0
        self.nodes = {}
        self.running = set()
        self.blocked_pairs = set()
        self.incarnations = 0

    def start(self, name):
        self.incarnations += 1
        own = member(name, incarnation=self.incarnations * 7919 % 101)
        self.nodes[name] = self.membership_type(own, SETTINGS, random.Random(self.incarnations))
        self.running.add(name)
        for other in list(self.nodes):
            if self.connected(name, other):
                self.send_updates(name, other, [self.nodes[name].own])
                self.send_updates(other, name, self.nodes[other].usable())

    def delivers(self, source, target):
        return {source, target} <= self.running and (source, target) not in self.blocked_pairs

    def connected(self, first, second):
        both = self.delivers(first, second) and self.delivers(second, first)
        return first != second and both

    def send_updates(self, source, target, updates):
        """Sends updates, and then the changes and corrections that result."""
        if not updates or not self.connected(source, target):
            return
        merge = self.nodes[target].merge(self.now_s, updates)
        self.flood(target, merge.changed, source)
        self.send_updates(target, source, merge.corrections)

    def flood(self, source, updates, skip=None):
        for target in self.nodes:
            if target not in (source, skip):
                self.send_updates(source, target, updates)

    def advance(self, duration_s):
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            tick = round(self.now_s / TICK_S)
            for name in sorted(self.running):
                self.tick(name, tick)

    def tick(self, name, tick):
        view = self.nodes[name]
        others = [other for other in sorted(self.nodes) if other != name]
        known = [other for other in others if other in view.members]
        if tick % 2 == 0 and known:
            target = known[tick // 2 % len(known)]
            ping = view.probe(self.now_s, target).ping
            if self.delivers(name, target) and self.delivers(target, name):
                view.on_probe_answer(ping.sequence, True)
        connected = [other for other in others if self.connected(name, other)]
        step = view.step(self.now_s, connected)
        for probe in step.probes:
            if self.connected(name, probe.to):
                reached = self.connected(probe.to, probe.ping.target)
                view.on_probe_answer(probe.ping.sequence, reached)
        self.flood(name, step.changed)
        if tick % 4 == 0 and connected:
            other = connected[tick // 4 % len(connected)]
            if view.digest() != self.nodes[other].digest():
                self.send_updates(name, other, view.differing_members(self.nodes[other].digest()))
                self.send_updates(other, name, self.nodes[other].differing_members(view.digest()))


class MembershipMachine(RuleBasedStateMachine):
    """Five nodes; the test oracle is the set of running processes and of those that left."""

    membership_type = Membership

    @initialize()
    def start(self):
        self.network = Network(self.membership_type)
        self.left = set()
        for index in range(COUNT):
            self.network.start(f"n{index}")
        self.network.advance(2.0)

    @rule(first=NODES, second=NODES)
    def cut_one_way_and_wait(self, first, second):
        """A connection that fails in one direction removes neither node, however long it lasts."""
        if first == second or len(self.network.running) < 3:
            return
        self.settle()
        self.network.blocked_pairs = {(f"n{first}", f"n{second}")}
        revisions = self.revisions()
        self.network.advance(SETTLE_S)
        self.check_views()
        assert self.revisions() == revisions, "a suspicion had to be refuted"
        self.network.blocked_pairs = set()

    @rule(node=NODES)
    def isolate(self, node):
        """Drops all messages from and to a node."""
        name = f"n{node}"
        self.network.blocked_pairs |= {(name, other) for other in self.network.nodes}
        self.network.blocked_pairs |= {(other, name) for other in self.network.nodes}

    @rule(node=NODES)
    def kill(self, node):
        """Kills or pauses a process."""
        self.network.running.discard(f"n{node}")

    @rule(node=NODES)
    def resume(self, node):
        """Resumes a paused process with its old state."""
        if f"n{node}" not in self.network.running:
            self.network.running.add(f"n{node}")

    @rule(node=NODES)
    def restart(self, node):
        """Starts a new process with the same name."""
        name = f"n{node}"
        self.left.discard(name)
        self.network.running.discard(name)
        self.network.start(name)

    @rule(node=NODES)
    def leave(self, node):
        name = f"n{node}"
        if name in self.network.running:
            self.left.add(name)
            self.network.flood(name, [self.network.nodes[name].leave()])

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 70.0]))
    def wait(self, seconds):
        self.network.advance(seconds)

    @rule()
    def settle(self):
        """Heals the network; afterwards every view must be correct."""
        self.network.blocked_pairs = set()
        self.network.advance(SETTLE_S)
        self.check_views()

    def revisions(self):
        return [self.network.nodes[name].own.revision for name in sorted(self.network.running)]

    def check_views(self):
        network = self.network
        if len(network.running) < 2:
            # The last node has no connection, so it cannot distinguish the death of the others from
            # a fault of its own, and suspects no other node.
            return
        for name in network.running:
            view = network.nodes[name]
            for other, its_view in network.nodes.items():
                seen = view.members.get(other)
                if other not in network.running:
                    assert seen is None or seen.status == "dead", f"{name} keeps dead {other}"
                    continue
                assert seen is not None, f"{name} does not know {other}"
                assert seen.incarnation == its_view.own.incarnation
                expected = {"leaving"} if other in self.left else {"alive"}
                assert seen.status in expected, f"{name} sees {other} as {seen.status}"


@pytest.mark.fuzz
def test_membership():
    run_machine(MembershipMachine, settings=fuzz_settings(examples=25, steps=25))


class WithoutRelays(Membership):
    """Seeded fault: relays are not asked before a suspicion."""

    def step(self, now_s, connected):
        connected = list(connected)
        changed = []
        for sequence, item in list(self._pending.items()):
            if item.deadline_s <= now_s:
                del self._pending[sequence]
                changed.extend(self._suspect(now_s, item.target))
        rest = super().step(now_s, connected)
        return StepResult(rest.probes, (*changed, *rest.changed))


class NeverRefuting(Membership):
    """Seeded fault: a node does not refute what others report about it."""

    def _refute(self, update):
        return False


@pytest.mark.fuzz
@pytest.mark.parametrize("membership_type", [WithoutRelays, NeverRefuting])
def test_the_machine_finds_a_seeded_fault(membership_type):
    # Examples depend on the modules that are loaded; 60 of them did not always find the fault.
    machine = type("Seeded", (MembershipMachine,), {"membership_type": membership_type})
    # Without refutation, a node and its peers correct each other endlessly.
    with pytest.raises((AssertionError, RecursionError)):
        run_machine(machine, settings=fuzz_settings(examples=1000, steps=25, seeded_fault=True))
