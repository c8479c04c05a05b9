"""Guards against hosts that cannot tell that their registrations differ, or all read at once."""

import pytest

from anviltray.decisions.following import PeerDigests, RegistrationDigest


def digest_of(*steps):
    digest = RegistrationDigest()
    for key, content in steps:
        if content is None:
            digest.discard(key)
        else:
            digest.set(key, content)
    return digest.value


@pytest.mark.parametrize(
    ("first", "second", "equal"),
    [
        ([], [("i-1", b"a"), ("i-1", None)], True),
        ([("i-1", b"a"), ("i-2", b"b")], [("i-2", b"b"), ("i-1", b"a")], True),
        ([("i-1", b"b")], [("i-1", b"a"), ("i-1", b"b")], True),
        ([("i-1", b"b")], [("i-1", b"b"), ("i-1", b"b")], True),
        ([("i-1", b"a")], [("i-1", b"b")], False),
        ([("i-1", b"a"), ("i-2", b"b")], [("i-1", b"b"), ("i-2", b"a")], False),
        ([("i-1", b"a")], [("i-1", b"a"), ("i-2", b"a")], False),
        ([], [("i-1", None)], True),
    ],
)
def test_digests_are_equal_for_equal_registrations(first, second, equal):
    assert (digest_of(*first) == digest_of(*second)) is equal
    assert 0 <= digest_of(*first) < 2**63


@pytest.mark.parametrize("random", [0.0, 0.5, 0.99])
def test_hosts_with_rare_registrations_read_first(random):
    rare, common = PeerDigests(0, 19), PeerDigests(18, 1)
    assert rare.differ and common.differ and not PeerDigests(19, 0).differ
    assert rare.reload_delay_s(random) < 0.5
    assert 2.0 <= common.reload_delay_s(random) < 3.5
