"""Guards against decisions whose cost grows with the instances of a service."""

import random
from collections import Counter

import pytest

from anviltray.decisions.placement import Placed, Shed
from anviltray.decisions.placement.tests.test_placement import Host, instance, request


class CountingRandom(random.Random):
    """Counts the draws; a choice draws one number for each instance that it looks at."""

    draws = 0

    def random(self):
        self.draws += 1
        return super().random()


@pytest.mark.parametrize("count", [500, 2000])
@pytest.mark.parametrize("zones", [("suva",), ("suva", "lautoka", "labasa")])
def test_choice_looks_at_few_of_many_instances(count, zones):
    host = Host()
    host.placement._rng = rng = CountingRandom(1)
    instances = tuple(instance(number, zones[number % len(zones)]) for number in range(count))
    for item in instances:
        host.load(item.id, 4)
    for _ in range(20):
        assert isinstance(host.choose(1.0, request(), instances), Placed)
    assert rng.draws <= 20 * 3 * 65


def test_all_of_many_instances_get_requests():
    host = Host()
    instances = tuple(instance(number) for number in range(300))
    for item in instances:
        host.observe(1.0, item.id, False)
    chosen = Counter()
    for _ in range(3000):
        key = host.choose(1.0, request(), instances).instance.id
        host.load(key, 1)
        chosen[key] += 1
    assert len(chosen) == 300
    # Close to the ten of an exact choice.
    assert max(chosen.values()) <= 14


def test_only_instance_that_takes_requests_is_found_among_many():
    host = Host()
    instances = tuple(instance(number) for number in range(300))
    for item in instances[1:]:
        host.directory.set_backoff(0.0, item, 20.0)
    assert host.choose(1.0, request(), instances).instance.id == "i-0"
    host.directory.set_backoff(0.0, instances[0], 5.0)
    assert isinstance(host.choose(1.0, request(), instances), Shed)
