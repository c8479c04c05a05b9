"""Baseline: outlier ejection after consecutive errors."""

from collections.abc import Collection

from anviltray.decisions._types import ExchangeOutcome
from anviltray.decisions.detection._types import Reading, Sensitivity, detectors

_ERRORS = 5
_SWEEP_S = 10.0
_EJECTION_S = 30.0
_SHARE = 0.1
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
    """Takes out an upstream for 30 s if it had 5 errors in a row since the last sweep (10 s).

    At most 10 % of the upstreams, but always one, are out at a time. An upstream that is out has
    an infinite ratio; nothing is exchanged with other nodes.
    """

    def __init__(self, sensitivity: Sensitivity) -> None:
        self._errors: dict[str, int] = {}
        self._until_s: dict[str, float] = {}
        self._due: set[str] = set()
        self._exchanges: dict[int, str] = {}
        self._swept_s: float | None = None

    def watch(self, addresses: Collection[str]) -> None:
        self._errors = {address: self._errors.get(address, 0) for address in addresses}
        self._until_s = {a: until_s for a, until_s in self._until_s.items() if a in self._errors}

    def tune(self, sensitivity: Sensitivity) -> None:
        """The baseline has no sensitivity."""

    def started(self, now_s: float, address: str, number: int, fresh_connection: bool) -> None:
        self._exchanges[number] = address

    def first_byte(self, now_s: float, number: int) -> None:
        """The baseline looks at outcomes only."""

    def ended(self, now_s: float, number: int, outcome: ExchangeOutcome) -> None:
        address = self._exchanges.pop(number, "")
        if address in self._errors:
            if outcome in _FAILURES:
                self._errors[address] += 1
                if self._errors[address] >= _ERRORS:
                    self._due.add(address)
            elif outcome is ExchangeOutcome.OK:
                self._errors[address] = 0

    def warming(self, now_s: float, address: str, until_s: float) -> None:
        """The baseline knows no cold starts."""

    def reset(self, now_s: float, address: str) -> None:
        if address in self._errors:
            self._errors[address] = 0
            self._due.discard(address)

    def discard(self, now_s: float) -> None:
        self._due.clear()
        self._errors = dict.fromkeys(self._errors, 0)

    def survey(self, now_s: float) -> dict[str, Reading]:
        for address, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                del self._until_s[address]
        if self._swept_s is None:
            self._swept_s = now_s
        if now_s - self._swept_s >= _SWEEP_S:
            self._swept_s = now_s
            limit = max(1, int(len(self._errors) * _SHARE))
            for address in sorted(self._due & self._errors.keys()):
                if len(self._until_s) < limit:
                    self._until_s[address] = now_s + _EJECTION_S
                    self._errors[address] = 0
            self._due.clear()
        return {a: Reading(float("inf"), _ERRORS, True, 0, 0.0) for a in self._until_s}

    def describe(self, now_s: float, address: str) -> dict[str, object]:
        return {"consecutive_errors": self._errors.get(address, 0)}
