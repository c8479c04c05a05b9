"""Guards against traffic shares of a route that deviate from their weights."""

import pytest

from anviltray.decisions.placement import WeightedChoice
from anviltray.declarations import Destination


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 1, 1), (5,), (99, 1)])
@pytest.mark.parametrize("start", [0.0, 0.3, 0.999])
def test_shares_stay_close_to_the_weights(weights, start):
    destinations = [Destination(f"s{index}", weight) for index, weight in enumerate(weights)]
    choice = WeightedChoice(destinations, start)
    drawn = [choice.choose() for _ in range(200)]
    for destination in destinations:
        share = drawn.count(destination.service) / len(drawn)
        assert share == pytest.approx(destination.weight / sum(weights), abs=0.03)
