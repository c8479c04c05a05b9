"""Weighted distribution of the requests of a route over services."""

from collections.abc import Sequence
from itertools import accumulate

from anviltray.declarations import Destination

_GOLDEN_RATIO = 0.6180339887498949  # Fractional parts of its multiples are evenly distributed.


class WeightedChoice:
    """Chooses a destination for each request of one route.

    A low-discrepancy sequence keeps the shares close to the weights after a few requests;
    independent random draws would need hundreds.

    Example: with the weights 90 and 10, ten consecutive choices include the second service once.
    """

    def __init__(self, destinations: Sequence[Destination], start: float) -> None:
        self._destinations = tuple(destinations)
        self._bounds = tuple(accumulate(item.weight for item in destinations))
        self._point = start % 1.0

    @property
    def destinations(self) -> tuple[Destination, ...]:
        """The services and their weights."""
        return self._destinations

    def choose(self) -> str:
        """Returns the service for the next request."""
        self._point = (self._point + _GOLDEN_RATIO) % 1.0
        point = self._point * self._bounds[-1]
        for destination, bound in zip(self._destinations, self._bounds, strict=True):
            if point < bound:
                return destination.service
        return self._destinations[-1].service
