"""Guards against load that is counted twice, kept from silent peers or never released."""

import pytest

from anviltray.decisions.routing import LoadTracker
from anviltray.messages import LoadDigest, UpstreamLoad


def digest(outstanding, node="n2", incarnation=1, sequence=1, address="u"):
    load = UpstreamLoad(address, outstanding, 0.5)
    return LoadDigest(node, incarnation, sequence, "s", (load,), 0.0)


@pytest.mark.parametrize(
    ("messages", "outstanding"),
    [
        ([digest(3)], 3),
        ([digest(3), digest(5, sequence=2)], 5),
        ([digest(3, sequence=2), digest(5)], 3),
        ([digest(3, sequence=9), digest(5, incarnation=2)], 5),
        ([digest(3), digest(4, node="n3")], 7),
        ([digest(3), digest(1, sequence=2, address="v")], 0),
        ([digest(3, node="n1")], 0),
    ],
)
def test_peer_load(messages, outstanding):
    board = LoadTracker("n1", 1)
    board.set_members("s", ["u"])
    for message in messages:
        board.on_peer_digest(0.0, message)
    assert board.record("u").peer_outstanding == outstanding


def test_silent_peer_is_forgotten():
    board = LoadTracker("n1", 1)
    board.set_members("s", ["u"])
    board.on_peer_digest(0.0, digest(3))
    board.on_peer_digest(4.0, digest(2, node="n3"))
    board.digest(5.0, "s")
    assert board.record("u").peer_outstanding == 2


def test_digest_names_only_upstreams_in_use_and_its_sequence_rises():
    board = LoadTracker("n1", 7)
    board.set_members("s", ["u", "v", "w"])
    board.on_exchange_started("u")
    board.on_exchange_started("v")
    board.on_exchange_ended(1.0, "v", 0.02, 0.25)
    message = board.digest(1.0, "s")
    assert message.upstreams == (UpstreamLoad("u", 1, 0.0), UpstreamLoad("v", 0, 0.25))
    assert (message.node, message.incarnation, message.service) == ("n1", 7, "s")
    assert board.digest(1.0, "s").sequence == message.sequence + 1


def test_upstream_that_left_is_forgotten_once_idle():
    board = LoadTracker("n1", 1)
    board.set_members("s", ["u", "v"])
    board.on_exchange_started("u")
    record = board.record("u")
    board.set_members("s", [])
    assert board.record("u") is record
    board.on_exchange_ended(0.0, "u", 0.02, None)
    board.on_peer_digest(0.0, digest(3))
    assert record.outstanding == 0
    assert board._records == {}
