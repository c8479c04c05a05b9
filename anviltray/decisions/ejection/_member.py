"""Ejection state of one upstream."""

from enum import StrEnum

from anviltray.decisions.detection import Sensitivity
from anviltray.declarations import Upstream

# Maximum length of an ejection after repeated relapses.
_MAX_EJECTION_S = 300.0

# The relapse count decreases by one for each period of this length in service.
_RELAPSE_DECAY_S = 60.0

# Share of normal traffic up to a number of good responses; after the last step the half-open state
# ends.
_HALF_OPEN_STEPS = ((3, 0.05), (6, 0.1), (10, 0.25), (15, 0.5))

_WARMING_WEIGHT = 0.25

# Suspicion by failed probes. Late or misleading probes must not suffice for an ejection on their
# own, not even in the half-open state.
_PROBE_SUSPICION_STEP = 2.0
PROBE_MAX_SUSPICION = 4.0
PROBE_DECAY_S = 10.0


class MemberState(StrEnum):
    """Ejection state of an upstream at this node."""

    HEALTHY = "healthy"  # In normal use.
    AVOIDED = "avoided"  # Found unhealthy or unreachable by this node only.
    EJECTED = "ejected"  # Found unhealthy by several nodes, or by the only node.
    HALF_OPEN = "returning"  # Readmitted: receives a small share of real requests.


class Member:
    """One upstream of one service."""

    __slots__ = (
        "good_responses",
        "healthy_since_s",
        "probe_failed_s",
        "probe_suspicion",
        "reachable",
        "reason",
        "relapses",
        "removed",
        "removed_s",
        "removed_until_s",
        "state",
        "suspicion_level",
        "upstream",
        "warming_until_s",
    )

    def __init__(self, upstream: Upstream, now_s: float) -> None:
        self.upstream = upstream
        self.state = MemberState.HEALTHY
        self.reason = ""
        self.reachable = True
        self.suspicion_level = 0  # Highest suspicion level since the removal was decided.
        self.removed = False  # Not routed to; False if the floor keeps a suspected upstream.
        self.removed_s = float("-inf")  # When the removal was decided.
        self.removed_until_s = float("-inf")  # When the upstream is readmitted.
        self.relapses = 0
        self.healthy_since_s = now_s
        self.good_responses = 0
        self.warming_until_s = float("-inf")
        self.probe_suspicion = 0.0
        self.probe_failed_s = now_s

    @property
    def suspected(self) -> bool:
        """Whether the upstream is to be removed if the floor allows it."""
        return self.state is MemberState.AVOIDED or self.state is MemberState.EJECTED

    def eject(
        self, now_s: float, state: MemberState, sensitivity: Sensitivity, delay_s: float
    ) -> None:
        """Starts an ejection; its length doubles with each recent relapse."""
        if self.state is MemberState.HEALTHY:
            decayed = int((now_s - self.healthy_since_s) / _RELAPSE_DECAY_S)
            self.relapses = max(0, self.relapses - decayed)
        length_s = min(sensitivity.ejection_s * 2.0**self.relapses, _MAX_EJECTION_S)
        self.relapses = min(self.relapses + 1, 10)
        self.state = state
        self.removed_s = now_s
        self.removed_until_s = now_s + length_s + delay_s

    def readmit(self) -> None:
        """Moves to the half-open state after an ejection."""
        self.state = MemberState.HALF_OPEN
        self.good_responses = 0
        self.suspicion_level = 0
        self.reachable = True

    def restore(self, now_s: float) -> None:
        """Returns to normal use after the half-open state or an unconfirmed suspicion."""
        self.state = MemberState.HEALTHY
        self.healthy_since_s = now_s
        self.suspicion_level = 0
        self.reason = ""
        self.reachable = True

    def has_recovered(self) -> bool:
        """Returns whether enough requests have succeeded since readmission."""
        return self.good_responses >= _HALF_OPEN_STEPS[-1][0]

    def weight(self, now_s: float) -> float:
        """Returns the share of normal traffic that the upstream receives."""
        weight = 1.0
        if self.state is MemberState.HALF_OPEN:
            weight = next(
                (w for responses, w in _HALF_OPEN_STEPS if self.good_responses < responses), 1.0
            )
        if now_s < self.warming_until_s:
            weight = min(weight, _WARMING_WEIGHT)
        return weight

    def is_healthy_capacity(self, now_s: float) -> bool:
        """Returns whether the slots of this upstream count as healthy capacity."""
        return (
            self.reachable
            and self.state is not MemberState.HALF_OPEN
            and now_s >= self.warming_until_s
        )

    def on_probe_failed(self, now_s: float) -> None:
        """Records a failed probe."""
        self.probe_suspicion = min(
            self.current_probe_suspicion(now_s) + _PROBE_SUSPICION_STEP, PROBE_MAX_SUSPICION
        )
        self.probe_failed_s = now_s

    def current_probe_suspicion(self, now_s: float) -> float:
        """Returns the suspicion by failed probes, which decays linearly with time."""
        if not self.probe_suspicion:
            return 0.0
        remaining = 1.0 - (now_s - self.probe_failed_s) / PROBE_DECAY_S
        return max(0.0, self.probe_suspicion * remaining)
