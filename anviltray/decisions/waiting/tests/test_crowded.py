"""Replays services that are short of room, as served with and without requests that wait at hosts.

Guards against hosts that send to full instances, serve requests too late to be of use, serve less
urgent kinds more often than urgent ones, or one account in place of the others.
"""

import pytest

from anviltray.decisions.waiting.tests.replay import (
    CrowdedZone,
    Kind,
    held_in_vain,
    in_target,
    served,
)

AUCTION = (Kind("bid", 0.72, 1, 0.110, 0.5), Kind("view", 0.28, 2, 0.085, 0.5))
ORDERS = (Kind("order", 1.0, 1, 0.222, 0.8),)
# Short requests with a short target beside long ones with long targets.
MIXED = (
    Kind("order", 0.7, 0, 0.222, 0.8),
    Kind("stock", 0.2, 1, 0.575, 1.5),
    Kind("invoice", 0.1, 2, 0.91, 6.0),
)
SMALL = tuple(Kind(f"small-{number}", 0.05, 1, 0.222, 0.8, f"a-{number}") for number in range(10))


def accounts(repeats):
    """Returns requests of ten small accounts and of one that sends as much as all of them."""
    return (Kind("large", 0.5, 1, 0.222, 0.8, "large", repeats), *SMALL)


def both(seed, rates, count, kinds, slots, queue):
    """Returns the replay without and with requests that wait."""
    return [
        CrowdedZone(seed, rates, count, kinds, waiting, slots, queue) for waiting in (False, True)
    ]


@pytest.mark.parametrize("seed", range(3))
def test_full_instances_reject_less(seed):
    """Requests above the capacity of 11 instances with two slots and eight places."""
    direct, waiting = both(seed, [(40.0, 270.0)], 11, AUCTION, 2, 8)
    assert waiting.instance_rejections < 0.6 * direct.instance_rejections
    assert waiting.share(in_target) > direct.share(in_target) - 0.03
    assert waiting.share(served, "bid") > direct.share(served, "bid")
    assert waiting.share(served, "view") > 0.25 * waiting.share(served)
    assert waiting.share(held_in_vain) < 0.01


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("rates", "gain"),
    [
        (((40.0, 220.0),), 0.0),
        (((10.0, 80.0), (14.0, 160.0), (24.0, 80.0), (28.0, 250.0), (40.0, 80.0)), -0.01),
    ],
)
def test_more_requests_meet_their_target(rates, gain, seed):
    """Sustained overload and bursts at 13 instances with three slots."""
    direct, waiting = both(seed, rates, 13, ORDERS, 3, 12)
    assert waiting.share(in_target) > direct.share(in_target) + gain
    assert waiting.share(served) > direct.share(served) - 0.02
    assert waiting.share(held_in_vain) < 0.01


@pytest.mark.parametrize("seed", range(3))
def test_urgent_requests_are_served_more_often_than_others(seed):
    direct, waiting = both(seed, [(40.0, 140.0)], 13, MIXED, 3, 12)
    assert waiting.share(in_target) > direct.share(in_target) + 0.2
    shares = [waiting.share(served, kind.name) for kind in MIXED]
    assert shares == sorted(shares, reverse=True)
    assert shares[-1] > 0.25 * waiting.share(served)


@pytest.mark.parametrize("seed", range(3))
def test_account_that_repeats_at_once_does_not_displace_the_others(seed):
    small = [kind.name for kind in SMALL]
    results = []
    for repeats in (0, 3):
        direct, waiting = both(seed, [(40.0, 220.0)], 13, accounts(repeats), 3, 12)
        results.append(waiting)
        assert waiting.share(served, *small) > direct.share(served, *small) + 0.05
        # Nobody is starved, neither a small account nor the one that sends most.
        for name in ("large", *small):
            assert waiting.share(served, name) > 0.25 * waiting.share(served)
    patient, repeating = results
    assert repeating.share(served, *small) > patient.share(served, *small) - 0.05
