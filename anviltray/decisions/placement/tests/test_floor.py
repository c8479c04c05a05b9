"""Guards against sound instances that get no requests while others of their service are refused.

Replays a zone above its capacity: instances fall sick in phases, and requests must not be repeated.
"""

import pytest

from anviltray.decisions.placement.tests.replay import Replay, sound_since
from anviltray.decisions.placement.tests.test_placement import DURATION_S

# A service must spread its requests over this share of its sound instances in every window, if the
# share of requests that are not served lies between the bounds.
FLOOR_SHARE = 0.7
WINDOW_S = 2.0
UNSERVED_BOUNDS = (0.1, 0.5)


def broken_windows(replay):
    """Returns the starts of the windows in which too few sound instances get requests."""
    found = []
    for step in range(10, int(DURATION_S - WINDOW_S) * 10):
        start_s = step / 10
        inside = [served for at_s, served in replay.arrivals if 0 <= at_s - start_s < WINDOW_S]
        unserved = inside.count(False) / max(1, len(inside))
        sound = {key for key, phases in replay.phases.items() if sound_since(phases, start_s - 2.0)}
        sound = {key for key in sound if sound_since(replay.phases[key], start_s + WINDOW_S)}
        used = {key for at_s, key, _ in replay.sends if 0 <= at_s - start_s < WINDOW_S} & sound
        low, high = UNSERVED_BOUNDS
        if low < unserved < high and 0 < len(used) < FLOOR_SHARE * len(sound):
            found.append(start_s)
    return found


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("rate_s", "count", "lost_share"),
    [
        (150.0, 8, 0.0),  # Above the capacity of the sound instances.
        (220.0, 8, 0.0),  # A burst.
        (40.0, 8, 0.15),  # Sound instances lose some answers.
    ],
)
def test_sound_instances_keep_getting_requests(seed, rate_s, count, lost_share):
    assert broken_windows(Replay(seed, rate_s, count, lost_share)) == []
