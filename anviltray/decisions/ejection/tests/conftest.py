"""Test bench: an ejector with traffic in virtual time."""

from random import Random

import pytest

from anviltray.decisions import ExchangeOutcome
from anviltray.decisions.ejection import OutlierEjector
from anviltray.declarations import Service, Upstream
from anviltray.messages import Evidence, UpstreamEvidence

TICK_S = 0.05


def declare(count=8, slots=4, sensitivity="fast", floor_share=0.5, floor_slots=0):
    """Returns the service `s` with upstreams from 10.0.0.0 onwards."""
    upstreams = tuple(
        Upstream(f"10.0.0.{i}:80", "r", f"z{i % 2}", slots, "active") for i in range(count)
    )
    return Service("s", upstreams, (), floor_slots, floor_share, sensitivity, 0.999, 1000.0, ())


class Bench:
    """One ejector, its traffic and the messages that it has sent."""

    def __init__(self, service=None, node="n0", nodes=("n0", "n1", "n2", "n3"), learn=True):
        self.service = service or declare()
        self.addresses = [upstream.address for upstream in self.service.upstreams]
        self.ejector = OutlierEjector(node, "r", "z0", Random(1))
        self.ejector.configure({"s": self.service}, 0.0)
        self.ejector.probe_targets(0.0, nodes)
        self.now_s = 0.0
        self.rng = Random(2)
        self.messages = []
        self.changes = []
        self.sequence = 0
        if learn:
            self.traffic(10.0)

    def update(self, step_s=TICK_S):
        self.now_s += step_s
        update = self.ejector.update(self.now_s)
        self.messages += update.messages
        self.changes += update.changes

    def exchange(self, address, latency_s=0.02, outcome=ExchangeOutcome.OK, fresh=False):
        exchange = self.ejector.on_exchange_started(self.now_s - latency_s, "s", address, fresh)
        self.ejector.on_first_byte(self.now_s - latency_s * 0.1, exchange)
        self.ejector.on_exchange_ended(self.now_s, exchange, outcome)

    def traffic(self, duration_s, faults=None, each=2):
        """Sends `each` requests per tick to every upstream.

        `faults` maps addresses to functions that are called instead of a successful exchange.
        """
        end_s = self.now_s + duration_s
        while self.now_s < end_s - 1e-9:
            self.update()
            for address in self.routed():
                for _ in range(each):
                    if faults and address in faults:
                        faults[address](address)
                    else:
                        self.exchange(address, 0.02 * self.rng.lognormvariate(0, 0.5))

    def stall(self, address):
        return self.ejector.on_exchange_started(self.now_s, "s", address, True)

    def fail(self, address):
        self.exchange(address, 0.01, ExchangeOutcome.SERVER_ERROR)

    def refuse_connection(self, address):
        exchange = self.ejector.on_exchange_started(self.now_s, "s", address, True)
        self.ejector.on_exchange_ended(self.now_s, exchange, ExchangeOutcome.CONNECT_FAILED)

    def slow(self, address):
        self.exchange(address, 0.2)

    def routed(self):
        return [item.address for item in self.ejector.routable("s").upstreams]

    def state(self, address):
        return {r["address"]: r["state"] for r in self.ejector.rows("s", self.now_s)}[address]

    def peer(self, node, ratios, incarnation=1, sequence=None, age_s=0.0):
        """Delivers a peer's evidence."""
        self.sequence += 1
        upstreams = tuple(UpstreamEvidence(a, ratio, 5, True) for a, ratio in ratios.items())
        number = self.sequence if sequence is None else sequence
        self.ejector.on_peer_evidence(
            self.now_s, Evidence(node, incarnation, number, "s", age_s, upstreams)
        )


@pytest.fixture
def bench():
    """Returns a bench whose ejector has learned 10 s of ordinary traffic."""
    return Bench()


@pytest.fixture
def make_bench():
    """Returns the bench factory."""
    return Bench


@pytest.fixture
def make_service():
    """Returns the service declaration factory."""
    return declare
