"""State of one upstream on the ejection board."""

from enum import StrEnum

from anviltray.decisions.detection import Sensitivity
from anviltray.declarations import Upstream

# Longest ejection after repeated relapses.
_EJECTION_LIMIT_S = 300.0

# One relapse is forgiven after this long in service.
_FORGIVENESS_S = 60.0

# Share of normal traffic after a number of good answers; past the last one the trial is over.
_TRIAL_STEPS = ((3, 0.05), (6, 0.1), (10, 0.25), (15, 0.5))

_WARMING_WEIGHT = 0.25

# A lagging or misleading probe must not suffice on its own, not even on trial.
_PROBE_SUSPICION = 2.0
PROBE_LIMIT = 4.0
PROBE_MEMORY_S = 10.0


class MemberState(StrEnum):
    """What this node believes of an upstream."""

    HEALTHY = "healthy"  # In normal use.
    AVOIDED = "avoided"  # Unhealthy or unreachable as seen from this node only.
    EJECTED = "ejected"  # Unhealthy for many nodes.
    RETURNING = "returning"  # On trial with few real requests.


class Member:
    """One upstream of one service."""

    __slots__ = (
        "answers",
        "healthy_s",
        "level",
        "probe_s",
        "probe_suspicion",
        "reachable",
        "reason",
        "relapses",
        "removed",
        "removed_s",
        "state",
        "until_s",
        "upstream",
        "warming_until_s",
    )

    def __init__(self, upstream: Upstream, now_s: float) -> None:
        self.upstream = upstream
        self.state = MemberState.HEALTHY
        self.reason = ""
        self.reachable = True
        self.level = 0  # Highest quantised suspicion since the removal was decided.
        self.removed = False  # Not routed to; False for a suspect that the floor keeps.
        self.removed_s = float("-inf")
        self.until_s = float("-inf")
        self.relapses = 0
        self.healthy_s = now_s
        self.answers = 0
        self.warming_until_s = float("-inf")
        self.probe_suspicion = 0.0
        self.probe_s = now_s

    @property
    def suspected(self) -> bool:
        """Whether the upstream is to be removed if the floor allows it."""
        return self.state is MemberState.AVOIDED or self.state is MemberState.EJECTED

    def eject(
        self, now_s: float, state: MemberState, sensitivity: Sensitivity, delay_s: float
    ) -> None:
        """Starts an ejection whose length doubles with each recent relapse."""
        if self.state is MemberState.HEALTHY:
            forgiven = int((now_s - self.healthy_s) / _FORGIVENESS_S)
            self.relapses = max(0, self.relapses - forgiven)
        length_s = min(sensitivity.ejection_s * 2.0**self.relapses, _EJECTION_LIMIT_S)
        self.relapses = min(self.relapses + 1, 10)
        self.state = state
        self.removed_s = now_s
        self.until_s = now_s + length_s + delay_s

    def readmit(self) -> None:
        """Starts the trial after an ejection."""
        self.state = MemberState.RETURNING
        self.answers = 0
        self.level = 0
        self.reachable = True

    def restore(self, now_s: float) -> None:
        """Ends the trial or a suspicion that turned out wrong."""
        self.state = MemberState.HEALTHY
        self.healthy_s = now_s
        self.level = 0
        self.reason = ""
        self.reachable = True

    def trial_over(self) -> bool:
        """Returns whether enough requests have succeeded since the readmission."""
        return self.answers >= _TRIAL_STEPS[-1][0]

    def weight(self, now_s: float) -> float:
        """Returns the share of normal traffic."""
        weight = 1.0
        if self.state is MemberState.RETURNING:
            weight = next((w for answers, w in _TRIAL_STEPS if self.answers < answers), 1.0)
        if now_s < self.warming_until_s:
            weight = min(weight, _WARMING_WEIGHT)
        return weight

    def counted(self, now_s: float) -> bool:
        """Returns whether its slots are healthy capacity if it is routed to."""
        return (
            self.reachable
            and self.state is not MemberState.RETURNING
            and now_s >= self.warming_until_s
        )

    def probe_failed(self, now_s: float) -> None:
        """Adds a failed probe."""
        self.probe_suspicion = min(self.probes(now_s) + _PROBE_SUSPICION, PROBE_LIMIT)
        self.probe_s = now_s

    def probes(self, now_s: float) -> float:
        """Returns the suspicion by failed probes, which decays linearly."""
        if not self.probe_suspicion:
            return 0.0
        left = 1.0 - (now_s - self.probe_s) / PROBE_MEMORY_S
        return max(0.0, self.probe_suspicion * left)
