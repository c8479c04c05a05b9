"""Whether a request waits at its host for an instance, and when a rejected one may return.

Load pattern: instances with two or three slots are full for moments while others free up. A request
in the queue of one instance cannot move to another, and a full instance rejects what its queue does
not hold. A burst that lasts for seconds brings more requests than can be served in time.
"""

from typing import NamedTuple

# Share of its target latency that a request may spend in the queue of an instance, by priority.
# What is left is for the time at the host and for service. A request of lower priority waits at the
# host while more urgent ones may still use the queues.
_INSTANCE_QUEUE_SHARES = (0.5, 0.5, 0.4)
# A request that has missed its target may wait for this share of the time that is left.
_LATE_WAIT_SHARE = 0.125
# A host holds no more requests of a service than this, whatever its estimate says.
_MAX_WAITING = 400
# The load may have ended by then, so that a longer time would keep callers away without need.
_MAX_RETURN_DELAY_S = 5.0
_MIN_RETURN_DELAY_S = 0.2


class ServiceRoom(NamedTuple):
    """What a host knows of the room that its requests to a service will get."""

    in_flight: int  # Requests that this host has at the instances.
    mean_s: float  # Mean time of the service's responses.


class Waits(NamedTuple):
    """The request waits at the host."""

    expected_s: float  # Expected time until it starts.


class Refused(NamedTuple):
    """The request is rejected at once, since it could not start in time."""

    retry_after_s: float  # Time after which there will be room for it.
    expected_s: float  # Expected time until it would start.


def start_limit(priority: int, target_s: float, mean_s: float, entitled: bool = True) -> float:
    """Returns the requests per slot above which an instance gets no further request.

    It is the load at which a request spends its share of the target latency in the queue of the
    instance. Requests that are not entitled to the queues use free slots only (see
    `ShortageShares`).

    Example: 2.0 for priority 1, a target of 0.5 s and responses that take 0.2 s.
    """
    share = _INSTANCE_QUEUE_SHARES[min(max(priority, 0), 2)]
    if not entitled:
        return 1.0
    return 1.0 + share * target_s / max(mean_s, 1e-3)


def latest_wait_s(
    target_left_s: float, target_s: float, deadline_left_s: float, mean_s: float
) -> float:
    """Returns how long a request may wait so that its start is useful; zero if it may not wait.

    It may still spend its share of the target at an instance, and then needs one service time to
    meet its target. A request that cannot meet it waits only briefly, since its caller has waited
    long enough.

    Example: 0.2 s for a new request with a target of 0.8 s and responses that take 0.2 s.
    """
    in_target_s = target_left_s - _INSTANCE_QUEUE_SHARES[0] * target_s - mean_s
    if target_left_s >= mean_s:
        return max(0.0, min(in_target_s, deadline_left_s - mean_s))
    return max(0.0, _LATE_WAIT_SHARE * (deadline_left_s - mean_s))


class WaitingAdmission:
    """Decides for one service of one host which requests wait.

    A response to one of the host's requests makes room for the next one, so the host starts waiting
    requests as often as it gets responses: by Little's law its requests in flight divided by their
    mean time.
    """

    def __init__(self) -> None:
        self._next_return_s = float("-inf")  # Time at which the next rejected request may return.

    def admit(
        self, now_s: float, room: ServiceRoom, ahead: float, waiting: int, latest_wait_s: float
    ) -> Waits | Refused:
        """Returns whether a request waits that may start within `latest_wait_s`.

        `ahead` of the `waiting` requests would start before it.
        """
        interval_s = room.mean_s / max(1, room.in_flight)
        expected_s = (ahead + 1) * interval_s
        if expected_s <= latest_wait_s and waiting < _MAX_WAITING:
            return Waits(expected_s)
        return Refused(self.return_delay_s(now_s, room, waiting), expected_s)

    def return_delay_s(self, now_s: float, room: ServiceRoom, waiting: int) -> float:
        """Returns when the caller of a rejected request should return, in seconds from now.

        Each gets a time of its own, so that callers return in the order in which they were rejected
        and not all at once.
        """
        interval_s = room.mean_s / max(1, room.in_flight)
        delay_s = max(_MIN_RETURN_DELAY_S, waiting * interval_s, self._next_return_s - now_s)
        delay_s = min(delay_s, _MAX_RETURN_DELAY_S)
        self._next_return_s = now_s + delay_s + interval_s
        return delay_s
