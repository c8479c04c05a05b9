"""Guards against uneven distribution, dead or single-zone results and unnecessary changes."""

from collections import Counter

import pytest

from anviltray.decisions.entry import entry_addresses
from anviltray.messages import Member

ZONES = [("viti", "viti-a"), ("viti", "viti-b"), ("vanua", "vanua-a"), ("vanua", "vanua-b")]


def member(number, status="alive", locality=None):
    region, zone = locality or ZONES[number % 4]
    address = f"10.0.0.{number}:80"
    return Member(f"n{number}", number, 0, status, region, zone, address, address)


MEMBERS = [member(number) for number in range(48)]
ZONE_OF = {item.caller_address: item.zone for item in MEMBERS}
REGION_OF = {item.caller_address: item.region for item in MEMBERS}


def addresses_by_caller(members, callers=2000, count=4):
    return [entry_addresses(members, "s", "viti", f"c{number}", count) for number in range(callers)]


def test_prefers_the_region_and_covers_two_zones():
    for addresses in addresses_by_caller(MEMBERS):
        assert len(set(addresses)) == 4
        assert {REGION_OF[address] for address in addresses} == {"viti"}
        assert len({ZONE_OF[address] for address in addresses}) == 2


@pytest.mark.parametrize(
    ("members", "count", "numbers", "zones"),
    [
        ([], 4, 0, 0),
        ([member(1, status) for status in ("suspect", "leaving", "dead")], 4, 0, 0),
        ([member(1), member(2, "leaving")], 4, 1, 1),
        ([member(0), member(4), member(8), member(2)], 2, 2, 2),
        ([member(0), member(4), member(8)], 2, 2, 1),
        ([member(0), member(4), member(2)], 1, 1, 1),
        ([member(0), member(0)._replace(incarnation=9)], 4, 1, 1),
    ],
)
def test_few_members(members, count, numbers, zones):
    addresses = entry_addresses(members, "s", "viti", "c", count)
    assert len(addresses) == len(set(addresses)) == numbers
    assert len({ZONE_OF[address] for address in addresses}) == zones


def test_other_regions_are_used_if_the_own_one_has_no_nodes():
    addresses = entry_addresses(MEMBERS, "s", "nowhere", "c", 4)
    assert len(addresses) == 4


def test_callers_are_distributed_evenly():
    first = Counter(addresses[0] for addresses in addresses_by_caller(MEMBERS, 24000))
    assert len(first) == 24 and max(first.values()) < 1.15 * 1000


def test_removed_node_changes_only_the_results_that_included_it():
    removed = MEMBERS[0].caller_address
    for before, after in zip(
        addresses_by_caller(MEMBERS), addresses_by_caller(MEMBERS[1:]), strict=True
    ):
        assert len(set(before) - set(after)) <= 1 if removed in before else before == after
