"""Guards against evidence without a fault and against faults that produce no evidence."""

from random import Random

import pytest

from anviltray.decisions import ExchangeOutcome, UnknownPolicy
from anviltray.decisions.detection import SENSITIVITIES, LatencyModel, detectors

OK = ExchangeOutcome.OK
GOOD, BAD = "10.0.0.1:80", "10.0.0.2:80"
ADDRESSES = (GOOD, "10.0.0.3:80", "10.0.0.4:80", BAD)


class Bench:
    """A detector in virtual time that has learned latencies around 20 ms."""

    def __init__(self, name="likelihood_ratio", sensitivity="fast"):
        self.detector = detectors[name](SENSITIVITIES[sensitivity])
        self.detector.set_upstreams(ADDRESSES)
        self.now_s = 0.0
        self.number = 0
        self.rng = Random(1)
        for _ in range(1500):
            for address in ADDRESSES:
                self.exchange(address, 0.02 * self.rng.lognormvariate(0, 0.5))
            self.now_s += 0.02
            self.ratio(BAD)
        self.now_s += 1.0

    def start(self, address, fresh=True):
        self.number += 1
        self.detector.on_exchange_started(self.now_s, address, self.number, fresh)
        return self.number

    def exchange(self, address, latency_s, outcome=OK, fresh=True, body_s=0.0):
        number = self.start(address, fresh)
        self.detector.on_first_byte(self.now_s + latency_s, number)
        self.detector.on_exchange_ended(self.now_s + latency_s + body_s, number, outcome)

    def ratio(self, address):
        reading = self.detector.evaluate(self.now_s).get(address)
        return reading.log_likelihood_ratio if reading else 0.0


@pytest.mark.parametrize(
    ("latency_s", "outcome", "low", "high"),
    [
        pytest.param(0.02, OK, 0.0, 0.1, id="good"),
        pytest.param(0.03, OK, 0.0, 0.1, id="within-tolerance"),
        pytest.param(0.2, OK, 16.0, 60.0, id="ten-times-slower"),
        pytest.param(0.02, ExchangeOutcome.SERVER_ERROR, 16.0, 60.0, id="errors"),
        pytest.param(0.02, ExchangeOutcome.BROKEN, 16.0, 60.0, id="broken"),
        pytest.param(0.001, ExchangeOutcome.CONNECT_FAILED, 16.0, 60.0, id="refused-connection"),
        pytest.param(0.02, ExchangeOutcome.TIMED_OUT, 16.0, 60.0, id="timed-out"),
        pytest.param(0.001, ExchangeOutcome.REFUSED, 0.0, 0.1, id="shedding"),
        pytest.param(0.02, ExchangeOutcome.ABANDONED, 0.0, 0.1, id="caller-disconnected"),
    ],
)
def test_ten_exchanges(latency_s, outcome, low, high):
    bench = Bench()
    for _ in range(10):
        bench.exchange(BAD, latency_s, outcome)
    assert low <= bench.ratio(BAD) <= high
    assert bench.ratio(GOOD) < 0.1


@pytest.mark.parametrize(
    ("fresh", "responded", "first_byte", "suspected"),
    [
        pytest.param(True, False, False, True, id="upstream-stalled"),
        pytest.param(False, False, False, True, id="stalled-on-reused-connections"),
        pytest.param(False, True, False, False, id="only-reused-connections-stalled"),
        pytest.param(True, True, False, True, id="some-new-connections-stalled"),
        pytest.param(True, False, True, False, id="slow-caller-during-body"),
    ],
)
def test_age_of_exchanges_in_flight(fresh, responded, first_byte, suspected):
    """Guards against stalls that are detected only when the exchanges end."""
    bench = Bench()
    for _ in range(8):
        number = bench.start(BAD, fresh)
        if first_byte:
            bench.detector.on_first_byte(bench.now_s + 0.02, number)
    bench.now_s += 0.3
    if responded:
        bench.exchange(BAD, 0.02)
    assert (bench.ratio(BAD) >= 16.0) is suspected


def test_warming_latencies_are_no_evidence_but_errors_are():
    bench = Bench()
    bench.detector.set_warming(bench.now_s, BAD, bench.now_s + 3)
    for _ in range(20):
        bench.exchange(BAD, 0.3)
    bench.start(BAD)
    bench.now_s += 1
    assert bench.ratio(BAD) < 0.1
    for _ in range(10):
        bench.exchange(BAD, 0.3, ExchangeOutcome.SERVER_ERROR)
    assert bench.ratio(BAD) > 16


@pytest.mark.parametrize("method", ["reset", "reset_all"])
def test_dropped_evidence_does_not_return_with_its_exchanges(method):
    """Guards against evidence from before a pause or readmission that takes effect after it."""
    bench = Bench()
    numbers = [bench.start(BAD) for _ in range(10)]
    bench.now_s += 5
    assert bench.ratio(BAD) > 16
    arguments = (bench.now_s, BAD) if method == "reset" else (bench.now_s,)
    getattr(bench.detector, method)(*arguments)
    bench.now_s += 5
    assert bench.ratio(BAD) < 0.1
    for number in numbers:
        bench.detector.on_exchange_ended(bench.now_s, number, ExchangeOutcome.TIMED_OUT)
    assert bench.ratio(BAD) < 0.1


def test_unknown_exchanges_and_removed_upstreams_are_ignored():
    bench = Bench()
    number = bench.start(BAD)
    bench.detector.set_upstreams(ADDRESSES[:-1])
    bench.detector.on_first_byte(bench.now_s, number)
    bench.detector.on_exchange_ended(bench.now_s, number, OK)
    bench.detector.on_exchange_ended(bench.now_s, number, OK)
    assert BAD not in bench.detector.evaluate(bench.now_s)


def test_long_polls_do_not_look_stalled():
    """Guards against the many old exchanges that a service with long polls always has."""
    bench = Bench("likelihood_ratio_whole")
    pending = []
    for step in range(6000):
        address = ADDRESSES[step % 4]
        if step % 10 == 0:
            pending.append((bench.now_s + 5.0, bench.start(address)))
        else:
            bench.exchange(address, 0.02 * bench.rng.lognormvariate(0, 0.5))
        while pending and pending[0][0] <= bench.now_s:
            bench.detector.on_exchange_ended(bench.now_s, pending.pop(0)[1], OK)
        bench.now_s += 0.01
        ratios = [bench.ratio(address) for address in ADDRESSES]
    assert max(ratios) < 16


def test_expected_ratio_of_a_healthy_upstream_is_at_most_one():
    """Guards against scores whose sums exceed the threshold by chance."""
    model = LatencyModel(1e-3, 1.0)
    rng = Random(2)
    for second in range(20):
        for _ in range(400):
            model.add_sample(model.bin_index(0.02 * rng.lognormvariate(0, 0.8)))
        model.refresh(float(second), 4)
    samples = [0.02 * rng.lognormvariate(0, 0.8) for _ in range(20000)]
    mean = sum(2.718281828 ** model.finished_scores[model.bin_index(s)] for s in samples) / 20000
    assert mean < 1.1


@pytest.mark.parametrize(
    ("errors", "then_ok", "sweep_s", "removed"),
    [
        pytest.param(5, 0, 10.0, True, id="five"),
        pytest.param(4, 0, 10.0, False, id="four"),
        pytest.param(5, 1, 10.0, True, id="five-then-ok"),
        pytest.param(5, 0, 9.0, False, id="before-the-sweep"),
        pytest.param(5, 0, 41.0, True, id="late-sweep"),
    ],
)
def test_baseline(errors, then_ok, sweep_s, removed):
    detector = detectors["consecutive_errors"](SENSITIVITIES["fast"])
    detector.set_upstreams(ADDRESSES)
    detector.evaluate(0.0)
    for number in range(errors + then_ok):
        detector.on_exchange_started(0.0, BAD, number, True)
        detector.on_exchange_ended(
            0.0, number, ExchangeOutcome.SERVER_ERROR if number < errors else OK
        )
    assert (BAD in detector.evaluate(sweep_s)) is removed
    if removed:
        assert BAD not in detector.evaluate(sweep_s + 30.0)


def test_unknown_detector_is_named():
    with pytest.raises(UnknownPolicy, match="likelihood_ratio"):
        detectors["no-such"]
