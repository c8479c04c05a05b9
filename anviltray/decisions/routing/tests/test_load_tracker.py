"""Guards against load that is counted twice, kept after a peer has failed or never released."""

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
def test_peer_digests(messages, outstanding):
    tracker = LoadTracker("n1", 1)
    tracker.set_members("s", ["u"])
    for message in messages:
        tracker.on_peer_digest(0.0, message)
    assert tracker.record("u").peer_outstanding == outstanding


def test_digest_of_a_failed_peer_expires():
    tracker = LoadTracker("n1", 1)
    tracker.set_members("s", ["u"])
    tracker.on_peer_digest(0.0, digest(3))
    tracker.on_peer_digest(4.0, digest(2, node="n3"))
    tracker.digest(5.0, "s")
    assert tracker.record("u").peer_outstanding == 2


def test_digest_lists_only_upstreams_in_use_and_increments_its_sequence():
    tracker = LoadTracker("n1", 7)
    tracker.set_members("s", ["u", "v", "w"])
    tracker.on_exchange_started("u")
    tracker.on_exchange_started("v")
    tracker.on_exchange_ended(1.0, "v", 0.02, 0.25)
    message = tracker.digest(1.0, "s")
    assert message.upstreams == (UpstreamLoad("u", 1, 0.0), UpstreamLoad("v", 0, 0.25))
    assert (message.node, message.incarnation, message.service) == ("n1", 7, "s")
    assert tracker.digest(1.0, "s").sequence == message.sequence + 1


def test_removed_upstream_is_dropped_once_idle():
    tracker = LoadTracker("n1", 1)
    tracker.set_members("s", ["u", "v"])
    tracker.on_exchange_started("u")
    record = tracker.record("u")
    tracker.set_members("s", [])
    assert tracker.record("u") is record
    tracker.on_exchange_ended(0.0, "u", 0.02, None)
    tracker.on_peer_digest(0.0, digest(3))
    assert record.outstanding == 0
    assert tracker._records == {}
