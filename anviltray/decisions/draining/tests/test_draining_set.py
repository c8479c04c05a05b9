"""Guards against requests to draining upstreams and upstreams that stay excluded for ever."""

import pytest

from anviltray.decisions.draining import DrainingSet
from anviltray.messages import DrainingUpstreams

A, B = "10.0.0.1:80", "10.0.0.2:80"


def apply(steps):
    draining_set = DrainingSet()
    for now_s, method, argument in steps:
        getattr(draining_set, method)(now_s, argument)
    return draining_set


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param(
            [(0, "on_drain_response", A), (500, "on_host_list", [])], {A}, id="response-is-sticky"
        ),
        pytest.param(
            [(0, "on_drain_response", A), (601, "on_host_list", [])], set(), id="response-expires"
        ),
        pytest.param([(0, "on_host_list", [A]), (1, "on_host_list", [])], {A}, id="list-reverts"),
        pytest.param(
            [(0, "on_drain_response", A), (1, "on_host_list", [A]), (12, "on_host_list", [])],
            set(),
            id="list-ends-hold",
        ),
        pytest.param(
            [(0, "set_operator_draining", [A, B]), (1, "set_operator_draining", [B])],
            {B},
            id="operator-restores",
        ),
        pytest.param(
            [(0, "on_peer_report", DrainingUpstreams((A,), "operator")), (11, "on_host_list", [])],
            set(),
            id="peer-report-expires-after-restore",
        ),
        pytest.param(
            [(0, "on_peer_report", DrainingUpstreams((A,), "answer")), (11, "on_host_list", [])],
            {A},
            id="peer",
        ),
        pytest.param(
            [(0, "on_peer_report", DrainingUpstreams((A,), "unknown")), (11, "on_host_list", [])],
            {A},
            id="unknown-source",
        ),
        pytest.param(
            [(0, "on_host_list", [A]), (0, "set_operator_draining", [B])],
            {A, B},
            id="sources-add-up",
        ),
    ],
)
def test_addresses(steps, expected):
    assert apply(steps).addresses == expected


@pytest.mark.parametrize(
    ("steps", "messages"),
    [
        pytest.param(
            [(0, "on_drain_response", A), (1, "on_drain_response", A)],
            [DrainingUpstreams((A,), "answer")],
            id="once",
        ),
        pytest.param(
            [(0, "on_peer_report", DrainingUpstreams((A,), "list"))],
            [DrainingUpstreams((A,), "list")],
            id="forwarded",
        ),
        pytest.param(
            [(0, "on_drain_response", A), (61, "on_drain_response", A)],
            [DrainingUpstreams((A,), "answer")],
            id="renewal-in-one-message",
        ),
        pytest.param(
            [(0, "set_operator_draining", [A]), (0, "set_operator_draining", [])],
            [],
            id="restored-before-sending",
        ),
        pytest.param(
            [(0, "on_host_list", [A]), (0, "set_operator_draining", [B])],
            [DrainingUpstreams((A,), "list"), DrainingUpstreams((B,), "operator")],
            id="one-message-per-source",
        ),
    ],
)
def test_messages(steps, messages):
    draining_set = apply(steps)
    sent = []
    while (message := draining_set.next_message()) is not None:
        sent.append(message)
    assert sent == messages


def test_reports_do_not_circulate_between_two_nodes():
    """Guards against nodes that extend each other's hold indefinitely."""
    nodes = DrainingSet(), DrainingSet()
    nodes[0].on_drain_response(0, A)
    sent = 0
    for step in range(100):
        for index in (0, 1):
            while (message := nodes[index].next_message()) is not None:
                nodes[1 - index].on_peer_report(step * 10, message)
                sent += 1
    assert sent <= 2
    for node in nodes:
        node.on_host_list(1000, [])
        assert not node.addresses


def test_large_reports_are_split():
    draining_set = DrainingSet()
    draining_set.on_host_list(0, [f"10.0.1.{i}:80" for i in range(200)])
    sizes = []
    while (message := draining_set.next_message()) is not None:
        sizes.append(len(message.addresses))
    assert sizes == [64, 64, 64, 8]
