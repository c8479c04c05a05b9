"""Detects faults on the side of this node, which must not be attributed to upstreams."""

from collections.abc import Mapping

from anviltray.decisions.detection import Reading

# Ratio from which an upstream counts as failing. It is far below the ejection thresholds, because
# a local fault must be detected before the first upstream reaches one.
_FAILING_RATIO = 1.5

# Upstreams with traffic within this time are active and are compared with each other.
_ACTIVE_S = 2.0

# A suspension ends this long after the last sign of a local fault.
_SUSPENSION_S = 0.5

# A local fault is assumed if no healthy upstream responds for this many mean gaps between
# responses, within the two limits below.
_NO_RESPONSE_GAPS = 6.0
_MIN_NO_RESPONSE_S = 0.15
_MAX_NO_RESPONSE_S = 2.0


class LocalFaultDetector:
    """Compares the upstreams of each service, and of all services, with each other.

    A service is suspended while more than half of its active upstreams fail at once. All services
    are suspended while that holds for the upstreams of the whole node, or while no upstream that
    is not failing has responded for much longer than usual. In these cases the node cannot
    determine which side is at fault, and the floor would hardly allow an ejection.
    """

    def __init__(self) -> None:
        self._active: dict[str, dict[str, tuple[float, float]]] = {}
        self._suspended_until_s: dict[str, float] = {}
        self._newest_response_s = float("-inf")
        self._mean_gap_s = 0.1

    def observe(
        self, now_s: float, readings_by_service: Mapping[str, Mapping[str, Reading]]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Returns the suspended services and those whose suspension has just ended."""
        failing: dict[str, list[str]] = {}
        for service, readings in readings_by_service.items():
            active = self._active.setdefault(service, {})
            for address, reading in readings.items():
                active[address] = (now_s, reading.last_response_s)
                if reading.log_likelihood_ratio >= _FAILING_RATIO:
                    failing.setdefault(service, []).append(address)
        self._update_response_gap(readings_by_service)
        if failing:
            for service in self._find_suspended(now_s, failing):
                self._suspended_until_s[service] = now_s + _SUSPENSION_S
        if not self._suspended_until_s:
            return frozenset(), frozenset()
        ended = frozenset(s for s, until_s in self._suspended_until_s.items() if until_s <= now_s)
        for service in ended:
            del self._suspended_until_s[service]
        return frozenset(self._suspended_until_s), ended

    def _update_response_gap(
        self, readings_by_service: Mapping[str, Mapping[str, Reading]]
    ) -> None:
        newest_s = self._newest_response_s
        for readings in readings_by_service.values():
            for reading in readings.values():
                newest_s = max(newest_s, reading.last_response_s)
        gap_s = newest_s - self._newest_response_s
        if 0.0 < gap_s < _MAX_NO_RESPONSE_S:
            self._mean_gap_s += (gap_s - self._mean_gap_s) * 0.1
        self._newest_response_s = newest_s

    def _find_suspended(self, now_s: float, failing: Mapping[str, list[str]]) -> list[str]:
        total = total_failing = 0
        last_response_s = float("-inf")
        suspended = []
        for service, active in list(self._active.items()):
            for address, (seen_s, _) in list(active.items()):
                if now_s - seen_s > _ACTIVE_S:
                    del active[address]
            if not active:
                del self._active[service]
                continue
            failing_addresses = failing.get(service, [])
            total += len(active)
            total_failing += len(failing_addresses)
            if len(active) >= 2 and 2 * len(failing_addresses) > len(active):
                suspended.append(service)
            healthy = active.keys() - failing_addresses
            last_response_s = max([last_response_s, *(active[address][1] for address in healthy)])
        no_response_s = min(
            max(self._mean_gap_s * _NO_RESPONSE_GAPS, _MIN_NO_RESPONSE_S), _MAX_NO_RESPONSE_S
        )
        if total >= 2 and (2 * total_failing > total or now_s - last_response_s > no_response_s):
            return list(self._active)
        return suspended
