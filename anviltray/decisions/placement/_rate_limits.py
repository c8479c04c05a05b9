"""Keeps the requests of all hosts to an instance within the limit that the instance names.

Load pattern: an instance is short of capacity and names the requests per second that it takes from
the whole fleet. Many hosts send it a few requests per second each, and none of them sees how many
the others send until they report it.
"""

# Share of the limit that the instance's own availability zone uses, and what the other zones use
# together. The rest covers requests of hosts that have not heard of each other's requests yet.
OWN_ZONE_SHARE = 0.9
OTHER_ZONES_SHARE = 0.15
# A limit of zero still allows a request now and then, whose response tells when it is lifted.
_MIN_RATE_S = 0.1
_BURST_S = 0.5  # Requests that may be sent at once, as time at the allowed rate.
_MAX_DEBT_S = 2.0  # Requests in excess that are made up for, as time at the allowed rate.


def limit_share(own_zone: bool, zone_count: int) -> float:
    """Returns the share of an instance's limit that one availability zone may use.

    Example: with four zones, 0.9 for the zone of the instance and 0.05 for each other one.
    """
    if own_zone:
        return OWN_ZONE_SHARE
    return OTHER_ZONES_SHARE / max(1, zone_count - 1)


class RequestRateLimit:
    """Token bucket for the requests of one availability zone to one instance.

    Each host of the zone has a replica, from which the reported requests of the other hosts are
    taken too. Requests in excess, sent before the reports arrive, leave a debt.

    Example: `RequestRateLimit(now_s, 8.0).is_exhausted(now_s)` is true after four requests at the
    same time, until an eighth of a second later.
    """

    __slots__ = ("_rate_s", "_tokens", "_updated_s")

    def __init__(self, now_s: float, rate_s: float) -> None:
        """`rate_s` is the number of requests per second that the zone may send."""
        self._rate_s = max(_MIN_RATE_S, rate_s)
        self._tokens = self._burst
        self._updated_s = now_s

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_s * _BURST_S)

    def set_rate(self, now_s: float, rate_s: float) -> None:
        """Changes the allowed requests per second."""
        self._refill(now_s)
        self._rate_s = max(_MIN_RATE_S, rate_s)
        self._tokens = min(self._tokens, self._burst)

    def on_requests(self, now_s: float, count: int) -> None:
        """Takes `count` requests that were sent."""
        self._refill(now_s)
        self._tokens = max(self._tokens - count, -self._rate_s * _MAX_DEBT_S)

    def is_exhausted(self, now_s: float) -> bool:
        """Returns whether the instance should get no request now."""
        self._refill(now_s)
        return self._tokens < 1.0

    def _refill(self, now_s: float) -> None:
        earned = max(0.0, now_s - self._updated_s) * self._rate_s
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated_s = now_s
