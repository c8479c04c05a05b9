"""Guards against an unserved share that one failure raises too much or that does not decay."""

import pytest

from anviltray.decisions.placement import UnservedShare
from anviltray.messages import ServiceOutcomes


@pytest.mark.parametrize(
    ("requests", "now_s", "low", "high"),
    [
        ([], 0.0, 0.0, 0.0),
        ([(0.0, False)], 0.0, 0.0, 0.12),
        ([(0.0, True)] * 4 + [(0.0, False)] * 4, 0.0, 0.25, 0.25),
        ([(0.0, False)] * 100, 0.0, 0.9, 1.0),
        ([(0.0, False)] * 100, 30.0, 0.0, 0.01),
        # Recent requests count more than older ones.
        ([(0.0, False)] * 20 + [(10.0, True)] * 20, 10.0, 0.0, 0.06),
    ],
)
def test_share(requests, now_s, low, high):
    unserved = UnservedShare()
    for at_s, served in requests:
        unserved.on_request_ended(at_s, "keeper", served)
    assert low <= unserved.share(now_s, "keeper") <= high
    assert unserved.share(now_s, "supply") == 0.0


def test_hosts_add_up_their_requests():
    hosts = [UnservedShare() for _ in range(10)]
    for host in hosts:
        host.on_request_ended(0.0, "keeper", served=True)
        host.on_request_ended(0.0, "keeper", served=False)
    reports = [host.pop_outcomes() for host in hosts]
    for number, host in enumerate(hosts):
        for sender, report in enumerate(reports):
            if sender != number:
                host.on_peer_outcomes(0.0, report)
        assert host.share(0.0, "keeper") == pytest.approx(10 / 28)
        assert host.pop_outcomes() == ()  # Requests are reported once, and only by their own host.


@pytest.mark.parametrize(("requests", "unserved"), [(-1, 0), (1, 2), (3, -1)])
def test_contradictory_reports_are_ignored(requests, unserved):
    host = UnservedShare()
    host.on_request_ended(0.0, "keeper", served=False)
    host.on_peer_outcomes(0.0, [ServiceOutcomes("keeper", requests, unserved)])
    assert host.share(0.0, "keeper") == pytest.approx(1 / 9)


def test_counts_of_removed_services_are_dropped():
    host = UnservedShare()
    host.on_peer_outcomes(0.0, [ServiceOutcomes("keeper", 8, 8)])
    host.keep_only(["supply"])
    assert host.share(0.0, "keeper") == 0.0


@pytest.mark.parametrize(("rate_s", "idle_s", "low", "high"), [(10, 0, 9, 12), (10, 30, 0, 0.1)])
def test_request_rate_counts_the_requests_of_all_hosts_and_services(rate_s, idle_s, low, high):
    hosts = [UnservedShare(), UnservedShare()]
    seconds = 30
    for number in range(rate_s * seconds):
        now_s = number / rate_s
        host = hosts[number % 2]
        host.on_request_ended(now_s, f"service-{number % 3}", served=number % 5 > 0)
        hosts[1 - number % 2].on_peer_outcomes(now_s, host.pop_outcomes())
    for host in hosts:
        assert low <= host.request_rate_s(seconds + idle_s) <= high
