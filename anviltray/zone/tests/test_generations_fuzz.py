"""Guards against beliefs that a store which goes back turns back, in any order of events.

Hosts restart, are cut off or get late responses, while the store is away or goes back, also twice.
The oracle is what the operator and the instances have done.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anviltray.decisions.instances import InstanceDirectory
from anviltray.testing import fuzz_settings, run_with_virtual_clock
from anviltray.zone._replica import StoreReplica
from anviltray.zone.tests.virtual_zone import VirtualZone

HOSTS = 3
COPIES, COPY_INTERVAL_S = 20, 0.5
# The store removes silent instances after 4.5 s, and held copies of live ones are believed by then.
SETTLE_S = 12.0


class Play:
    """Three hosts of a zone, and what each of them must not forget."""

    def __init__(self):
        self.zone = VirtualZone(HOSTS, seed=1)
        self.started = 0
        self.copies = []  # Of the store, with the time at which they were made.
        self.used = set()  # Starts of instances that a host has used.
        self.left = set()  # Those of them that the host has seen leave.
        self.broken = []
        self.start_instance()
        self.start_instance()
        self.zone.background += [
            asyncio.ensure_future(self.watch()),
            asyncio.ensure_future(self.keep_copies()),
        ]

    async def watch(self):
        while True:
            for host in self.zone.hosts.values():
                self.check(host)
            await asyncio.sleep(0.05)

    async def keep_copies(self):
        while True:
            if self.zone.store_is_up:
                self.copies.append((self.zone.now_s(), self.zone.store.copy_topics()))
                del self.copies[:-COPIES]
            await asyncio.sleep(COPY_INTERVAL_S)

    def check(self, host):
        at = (round(self.zone.now_s(), 2), host.address)
        if host.versions != sorted(set(host.versions)):
            self.broken.append((at, "older configuration", host.versions))
        usable = {each.id: each.started_unix_ms for each in host.directory.usable("keeper")}
        for key, instance in self.zone.instances.items():
            subject = (host, key, instance.born)
            if usable.get(key) == instance.born:
                self.used.add(subject)
                if subject in self.left:
                    self.broken.append((at, "used again", key))
            elif subject in self.used:
                self.left.add(subject)
                if instance.state == "ready":
                    self.broken.append((at, "dropped", key))

    def start_instance(self):
        self.started += 1
        self.zone.start_instance(f"i-{self.started}", f"10.0.0.{self.started}:80")

    def leave(self, how):
        present = [each for each in self.zone.instances.values() if each.state != "gone"]
        if len(present) < 2:
            return
        instance = self.zone.rng.choice(present)
        if how == "drain" and instance.state == "ready":
            instance.state = "draining"
            instance.write()
        else:
            instance.leave(removed=how != "lapse")

    async def write(self, change, read_s):
        """Changes something in the store and lets hosts read it, or not."""
        if not self.zone.store_is_up:
            return
        if change == "start":
            self.start_instance()
        elif change == "configuration":
            self.zone.write_configuration(self.zone.version + 2)
        else:
            self.leave(change)
        await asyncio.sleep(read_s)

    async def go_back(self, age_s, away_s):
        made_s = self.zone.now_s() - age_s
        copy = next((copy for at_s, copy in reversed(self.copies) if at_s <= made_s), None)
        if copy is not None and self.zone.store_is_up:
            self.zone.background.append(asyncio.ensure_future(self.zone.go_back(copy, away_s)))

    async def lose_store(self, duration_s):
        if self.zone.store_is_up:
            self.zone.background.append(asyncio.ensure_future(self.zone.outage(duration_s)))

    async def restart(self, number):
        await self.zone.restart_host(f"127.0.0.{number}")

    async def cut_off(self, number, cut):
        host = self.zone.hosts[f"127.0.0.{number}"]
        host.linked = cut not in ("peers", "both")
        host.store.reachable = cut not in ("store", "both")
        host.store.response_delay_s = 1.2 if cut == "late" else 0.0

    async def join(self):
        for host in self.zone.hosts.values():
            host.linked = host.store.reachable = True
            host.store.response_delay_s = 0.0

    async def wait(self, duration_s):
        await asyncio.sleep(duration_s)

    async def settle(self):
        """Without disturbance, all hosts follow the store and do not keep fetching."""
        zone = self.zone
        await self.join()
        await asyncio.sleep(SETTLE_S)
        calls = zone.calls
        await asyncio.sleep(4.0)
        assert zone.calls - calls <= 12  # One host reads every 0.8 s, two wait for 2.4 s.
        ready = sorted(key for key, each in zone.instances.items() if each.state == "ready")
        for host in zone.hosts.values():
            assert sorted(host.usable()) == ready, host.address
            assert host.follower.version == zone.version
            assert host.follower.instances_generation == zone.store.era
        assert set(zone.store.topic("keyed.anviltray-hosts").newest) == set(zone.hosts)


NUMBER = st.integers(1, HOSTS)
CHANGE = st.sampled_from(["start", "drain", "remove", "lapse", "configuration"])
WRITE = st.tuples(st.just("write"), CHANGE, st.sampled_from([0.1, 1.0, 2.5]))
GO_BACK = st.tuples(
    st.just("go_back"), st.sampled_from([1.0, 3.0, 5.0, 8.0]), st.sampled_from([0.0, 0.3, 3.0])
)
CUT_OFF = st.tuples(st.just("cut_off"), NUMBER, st.sampled_from(["peers", "store", "both", "late"]))
EVENTS = st.one_of(
    WRITE,
    WRITE,
    GO_BACK,
    GO_BACK,
    st.tuples(st.just("lose_store"), st.sampled_from([0.3, 1.5, 4.0])),
    st.tuples(st.just("restart"), NUMBER),
    CUT_OFF,
    st.tuples(st.just("join")),
    st.tuples(st.just("wait"), st.sampled_from([0.4, 1.0, 2.5, 5.0])),
)


def play(events):
    async def main():
        play = Play()
        try:
            await asyncio.sleep(COPIES * COPY_INTERVAL_S)
            for name, *arguments in events:
                await getattr(play, name)(*arguments)
                assert not play.broken, play.broken[:3]
            await play.settle()
            assert not play.broken, play.broken[:3]
        finally:
            await play.zone.close()

    run_with_virtual_clock(main())


@pytest.mark.fuzz
@fuzz_settings(80, 1)
@given(events=st.lists(EVENTS, min_size=4, max_size=16))
def test_beliefs_outlive_the_generations_of_the_store(events):
    play(events)


def believe_all_responses(monkeypatch):
    monkeypatch.setattr(StoreReplica, "check_generation", lambda *arguments: None)


def believe_copies(monkeypatch):
    monkeypatch.setattr(InstanceDirectory, "hold_copies", lambda *arguments: frozenset())


def grant_no_renewal(monkeypatch):
    monkeypatch.setattr(InstanceDirectory, "on_store_went_back", lambda *arguments: None)


@pytest.mark.parametrize(
    ("fault", "change"),
    [
        (believe_all_responses, "configuration"),
        (believe_copies, "remove"),
        (grant_no_renewal, "start"),
    ],
)
def test_oracle_finds_a_missing_guard(fault, change, monkeypatch):
    events = [("write", change, 2.5), ("go_back", 3.0, 0.0), ("wait", 2.5)]
    play(events)
    fault(monkeypatch)
    with pytest.raises(AssertionError):
        play(events)
