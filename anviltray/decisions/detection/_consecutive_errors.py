"""Baseline detector: ejects an upstream after consecutive errors."""

from collections.abc import Collection

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.detection._types import Reading, Sensitivity, detectors

_ERROR_THRESHOLD = 5
_SWEEP_INTERVAL_S = 10.0
_EJECTION_S = 30.0
_MAX_EJECTED_SHARE = 0.1
_FAILURES = frozenset(
    {
        ExchangeOutcome.SERVER_ERROR,
        ExchangeOutcome.CONNECT_FAILED,
        ExchangeOutcome.BROKEN,
        ExchangeOutcome.TIMED_OUT,
    }
)


@detectors.register("consecutive_errors")
class ConsecutiveErrorsDetector:
    """Ejects an upstream for 30 s if it had 5 consecutive errors since the last sweep (every 10 s).

    At most 10 % of the upstreams, but always at least one, can be ejected at a time. An ejected
    upstream has an infinite ratio; evidence is not shared with other nodes.
    """

    def __init__(self, sensitivity: Sensitivity) -> None:
        self._errors: dict[str, int] = {}
        self._ejected_until_s: dict[str, float] = {}
        self._due_for_ejection: set[str] = set()
        self._exchanges: dict[int, str] = {}
        self._swept_s: float | None = None

    def set_upstreams(self, addresses: Collection[str]) -> None:
        self._errors = {address: self._errors.get(address, 0) for address in addresses}
        self._ejected_until_s = {
            a: until_s for a, until_s in self._ejected_until_s.items() if a in self._errors
        }

    def set_sensitivity(self, sensitivity: Sensitivity) -> None:
        """Does nothing: the baseline has no sensitivity."""

    def on_exchange_started(
        self, now_s: float, address: str, number: int, fresh_connection: bool
    ) -> None:
        self._exchanges[number] = address

    def on_first_byte(self, now_s: float, number: int) -> None:
        """Does nothing: the baseline uses outcomes only."""

    def on_exchange_ended(self, now_s: float, number: int, outcome: ExchangeOutcome) -> None:
        address = self._exchanges.pop(number, "")
        if address in self._errors:
            if outcome in _FAILURES:
                self._errors[address] += 1
                if self._errors[address] >= _ERROR_THRESHOLD:
                    self._due_for_ejection.add(address)
            elif outcome is ExchangeOutcome.OK:
                self._errors[address] = 0

    def set_warming(self, now_s: float, address: str, until_s: float) -> None:
        """Does nothing: the baseline does not handle cold starts."""

    def reset(self, now_s: float, address: str) -> None:
        if address in self._errors:
            self._errors[address] = 0
            self._due_for_ejection.discard(address)

    def reset_all(self, now_s: float) -> None:
        self._due_for_ejection.clear()
        self._errors = dict.fromkeys(self._errors, 0)

    def evaluate(self, now_s: float) -> dict[str, Reading]:
        for address, until_s in list(self._ejected_until_s.items()):
            if until_s <= now_s:
                del self._ejected_until_s[address]
        if self._swept_s is None:
            self._swept_s = now_s
        if now_s - self._swept_s >= _SWEEP_INTERVAL_S:
            self._swept_s = now_s
            limit = max(1, int(len(self._errors) * _MAX_EJECTED_SHARE))
            for address in sorted(self._due_for_ejection & self._errors.keys()):
                if len(self._ejected_until_s) < limit:
                    self._ejected_until_s[address] = now_s + _EJECTION_S
                    self._errors[address] = 0
            self._due_for_ejection.clear()
        return {
            a: Reading(float("inf"), _ERROR_THRESHOLD, True, 0, 0.0) for a in self._ejected_until_s
        }

    def describe(self, now_s: float, address: str) -> dict[str, object]:
        return {"consecutive_errors": self._errors.get(address, 0)}
