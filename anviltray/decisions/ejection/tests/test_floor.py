"""Guards against ejections that leave a service less capacity than its operator allows."""

import pytest

from anviltray.decisions.ejection import Candidate, floor_slots, select_removals


def candidates(text):
    """Parses `name:slots:suspicion`, with a trailing `-` for capacity that is not counted."""
    result = []
    for word in text.split():
        name, slots, suspicion = word.rstrip("-").split(":")
        result.append(Candidate(name, int(slots), not word.endswith("-"), int(suspicion)))
    return result


@pytest.mark.parametrize(
    ("members", "floor", "ejected_by_peers", "removed"),
    [
        pytest.param("a:4:0 b:4:0", 4, "", "", id="nothing-suspected"),
        pytest.param("a:4:1 b:4:0", 4, "", "a", id="one"),
        pytest.param("a:4:1 b:4:0", 5, "", "", id="floor-forbids"),
        pytest.param("a:4:1 b:4:2 c:4:0", 8, "", "b", id="most-suspect-first"),
        pytest.param("a:6:2 b:2:1 c:4:0", 8, "", "b", id="smaller-one-fits"),
        pytest.param("a:4:1 b:4:0-", 4, "", "", id="uncounted-is-no-replacement"),
        pytest.param("a:4:1- b:4:0 c:4:0", 8, "", "a", id="uncounted-costs-nothing"),
        pytest.param("a:4:1- b:4:0", 8, "", "", id="all-that-exists"),
        pytest.param("a:4:1 b:4:0 c:4:0", 8, "b", "", id="peers-ejected-another"),
        pytest.param("a:4:1 b:4:0 c:4:0", 8, "a", "a", id="peers-ejected-the-same"),
        pytest.param("a:4:1", 0, "", "", id="last-one-stays"),
        pytest.param("", 4, "", "", id="no-upstreams"),
        pytest.param("", 0, "", "", id="no-upstreams-and-no-floor"),
    ],
)
def test_select(members, floor, ejected_by_peers, removed):
    assert select_removals(candidates(members), floor, ejected_by_peers.split()) == frozenset(
        removed.split()
    )


def test_one_of_several_unreachable_upstreams_stays():
    """Guards against an empty set when no upstream is reachable and the floor is 0."""
    assert len(select_removals(candidates("a:4:1- b:4:1-"), 0)) == 1


def test_ties_are_broken_independently_of_order():
    """Guards against nodes that each eject a different upstream."""
    members = candidates(" ".join(f"u{i}:4:1" for i in range(8)))
    expected = select_removals(members, 16)
    assert len(expected) == 4
    for shift in range(8):
        assert select_removals(members[shift:] + members[:shift], 16) == expected


@pytest.mark.parametrize(
    ("slots", "share", "expected"),
    [(0, 0.5, 16), (20, 0.5, 20), (4, 0.1, 4), (0, 0.1, 4), (0, 0.125, 4), (0, 0, 0), (99, 1, 99)],
)
def test_floor_is_the_larger_of_both(make_service, slots, share, expected):
    assert floor_slots(make_service(floor_slots=slots, floor_share=share)) == expected
