"""Recognises trouble on the node's own side, which is not attributed to upstreams."""

from collections.abc import Mapping

from anviltray.decisions.detection import Reading

# Ratio from which an upstream counts as failing at the moment. It is far below the thresholds,
# since trouble must be recognised before the first upstream reaches one.
_FAILING = 1.5

# Upstreams with traffic within this time are compared with each other.
_ACTIVE_S = 2.0

# Trouble lasts this long after its last sign.
_LINGER_S = 0.5

# Silence of all other upstreams is suspicious after this many mean gaps between answers.
_SILENCE_GAPS = 6.0
_SILENCE_LEAST_S = 0.15
_SILENCE_LIMIT_S = 2.0


class OwnSide:
    """Compares the upstreams of each service, and of all services, with each other.

    A service is suspended while more than half of its active upstreams fail at once; all are
    while that holds for the whole node, or while no upstream that is not failing has answered for
    much longer than usual. The node cannot tell then who is at fault, and the floor would hardly
    allow to act on it.
    """

    def __init__(self) -> None:
        self._active: dict[str, dict[str, tuple[float, float]]] = {}
        self._until_s: dict[str, float] = {}
        self._newest_answer_s = float("-inf")
        self._mean_gap_s = 0.1

    def observe(
        self, now_s: float, surveys: Mapping[str, Mapping[str, Reading]]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Returns the suspended services and those whose suspension has just ended."""
        failing: dict[str, list[str]] = {}
        for service, readings in surveys.items():
            active = self._active.setdefault(service, {})
            for address, reading in readings.items():
                active[address] = (now_s, reading.answered_s)
                if reading.log_likelihood_ratio >= _FAILING:
                    failing.setdefault(service, []).append(address)
        self._note_answers(surveys)
        if failing:
            for service in self._suspects(now_s, failing):
                self._until_s[service] = now_s + _LINGER_S
        if not self._until_s:
            return frozenset(), frozenset()
        ended = frozenset(s for s, until_s in self._until_s.items() if until_s <= now_s)
        for service in ended:
            del self._until_s[service]
        return frozenset(self._until_s), ended

    def _note_answers(self, surveys: Mapping[str, Mapping[str, Reading]]) -> None:
        newest_s = self._newest_answer_s
        for readings in surveys.values():
            for reading in readings.values():
                newest_s = max(newest_s, reading.answered_s)
        gap_s = newest_s - self._newest_answer_s
        if 0.0 < gap_s < _SILENCE_LIMIT_S:
            self._mean_gap_s += (gap_s - self._mean_gap_s) * 0.1
        self._newest_answer_s = newest_s

    def _suspects(self, now_s: float, failing: Mapping[str, list[str]]) -> list[str]:
        total = total_failing = 0
        answered_s = float("-inf")
        suspended = []
        for service, active in list(self._active.items()):
            for address, (seen_s, _) in list(active.items()):
                if now_s - seen_s > _ACTIVE_S:
                    del active[address]
            if not active:
                del self._active[service]
                continue
            suspects = failing.get(service, [])
            total += len(active)
            total_failing += len(suspects)
            if len(active) >= 2 and 2 * len(suspects) > len(active):
                suspended.append(service)
            healthy = active.keys() - suspects
            answered_s = max([answered_s, *(active[address][1] for address in healthy)])
        silence_s = min(max(self._mean_gap_s * _SILENCE_GAPS, _SILENCE_LEAST_S), _SILENCE_LIMIT_S)
        if total >= 2 and (2 * total_failing > total or now_s - answered_s > silence_s):
            return list(self._active)
        return suspended
