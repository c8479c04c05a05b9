"""Guards against unevenly used upstreams and against unnecessary changes of subsets."""

from collections import Counter

import pytest

from anviltray.decisions.routing import choose_subset, connection_limit, node_rank, subset_size


def names(kind, count):
    return [f"{kind}{number}" for number in range(count)]


def subsets(addresses, nodes, size):
    ranks = {node: node_rank(nodes, node) for node in nodes}
    assert sorted(ranks.values()) == list(range(len(nodes)))
    return {
        node: set(choose_subset(addresses, rank, len(nodes), size, "s"))
        for node, rank in ranks.items()
    }


@pytest.mark.parametrize(
    ("nodes", "upstreams", "size"),
    [(48, 30, 30), (48, 30, 7), (760, 15, 2), (380, 1000, 64), (7, 100, 20), (1, 40, 10)],
)
def test_users_per_upstream_are_even(nodes, upstreams, size):
    chosen = subsets(names("u", upstreams), names("n", nodes), size)
    assert {len(subset) for subset in chosen.values()} == {size}
    users = Counter(address for subset in chosen.values() for address in subset)
    per_upstream = nodes * size / upstreams
    if nodes * size >= upstreams:
        assert len(users) == upstreams
    assert max(users.values()) <= per_upstream + 1.0001 + size / upstreams


@pytest.mark.parametrize("removed", ["u", "n"])
def test_subsets_change_little_when_one_is_removed(removed):
    addresses, nodes = names("u", 100), names("n", 48)
    before = subsets(addresses, nodes, 20)
    after = subsets(addresses[removed == "u" :], nodes[removed == "n" :], 20)
    assert max(len(before[node] - after[node]) for node in after) <= 3


@pytest.mark.parametrize(
    ("nodes", "upstreams", "size", "limit"),
    [(48, 30, 30, 8), (12, 8, 8, 33), (1, 8, 8, 400), (380, 3, 2, 1), (48, 1000, 64, 100)],
)
def test_connections_stay_below_the_limit_of_an_instance(nodes, upstreams, size, limit):
    assert connection_limit(nodes, upstreams, size, 400) == limit


@pytest.mark.parametrize(
    ("nodes", "upstreams", "size"),
    [(48, 30, 30), (12, 8, 8), (380, 3, 2), (48, 1000, 64), (1, 1, 1)],
)
def test_subset_size(nodes, upstreams, size):
    assert subset_size(nodes, upstreams, 400) == size
