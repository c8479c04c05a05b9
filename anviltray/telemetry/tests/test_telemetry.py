"""Guards against lost or duplicate counts and against log lines that are not JSON."""

import json
import socket

import logbook
import pytest

from anviltray.telemetry import Metrics, set_up_logs


@pytest.fixture
def receiver():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.bind(("127.0.0.1", 0))
        udp.settimeout(10)
        yield udp


def test_flush_sends_each_difference_once(receiver):
    metrics = Metrics(f"127.0.0.1:{receiver.getsockname()[1]}", "p")
    metrics.increment("requests.served", 2)
    metrics.flush()
    assert receiver.recv(512) == b"p.requests.served:2|c"
    metrics.increment("requests.served")
    metrics.gauge("nodes", 3)
    metrics.flush()
    assert receiver.recv(512) == b"p.requests.served:1|c\np.nodes:3|g"


def test_attached_counters_are_sent_under_their_prefix(receiver):
    metrics = Metrics(f"127.0.0.1:{receiver.getsockname()[1]}", "p")
    reads = {"reads": 2}
    metrics.attach("log", reads)
    metrics.flush()
    reads["reads"] = 5
    metrics.flush()
    assert [receiver.recv(512), receiver.recv(512)] == [b"p.log.reads:2|c", b"p.log.reads:3|c"]


def test_without_address_counts_are_kept():
    metrics = Metrics()
    metrics.increment("a")
    metrics.flush()
    assert metrics.counts["a"] == 1


def test_json_lines(capsys):
    handler = set_up_logs("info", as_json=True)
    try:
        logbook.Logger("node").info('state "{}"', "ready", extra={"version": 3})
        logbook.Logger("node").debug("hidden")
    finally:
        handler.pop_application()
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    fields = json.loads(lines[0])
    assert fields["message"] == 'state "ready"' and fields["version"] == "3"
