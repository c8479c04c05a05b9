"""Rules on what callers and instances have seen during a soak."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple


class SentRequest(NamedTuple):
    """A request of a caller and its result; times are in seconds since the start of the run."""

    request_id: str
    service: str
    host: str  # IP address of the edge host.
    sent_s: float
    ended_s: float  # Time of the response head.
    status: int  # 0 if there was no response.
    leaving: str  # Instance whose response said that it is leaving; empty if none.
    deadline_s: float  # Time that the caller allowed.
    idempotent: bool  # May run more than once.


class Arrival(NamedTuple):
    """A request that an instance received."""

    at_s: float
    request_id: str
    service: str
    instance: str
    host: str  # IP address of the edge host that sent it.
    deadline_s: float | None  # Time that the host allowed.
    executed: bool  # False if the instance rejected it.


class Rejection(NamedTuple):
    """A 503 response with Retry-After."""

    at_s: float
    instance: str
    host: str  # IP address of the edge host that got it.
    retry_after_s: float


class Disturbance(NamedTuple):
    """Time in which a host did not run, or in which links to an instance were cut."""

    subject: str  # IP address of the host, or key of the instance.
    from_s: float
    until_s: float


class Observations:
    """Everything that callers and instances have seen in one run."""

    def __init__(self) -> None:
        self.sent: list[SentRequest] = []
        self.arrivals: list[Arrival] = []
        self.rejections: list[Rejection] = []
        self.disturbances: list[Disturbance] = []

    def is_disturbed(self, subject: str, from_s: float, until_s: float) -> bool:
        """Returns whether a host or instance was disturbed between `from_s` and `until_s`."""
        return any(
            each.subject == subject and each.from_s <= until_s and each.until_s >= from_s
            for each in self.disturbances
        )


class Bounds(NamedTuple):
    """Bounds of the deployment, named as in its settings."""

    retry_ratio: float = 0.2  # Repeats for each request of a service.
    retry_slack: int = 64  # Repeats in addition, in each window.
    retry_window_s: float = 10.0
    instance_limit: int = 2  # Instances that may run one request.
    drain_s: float = 2.0  # Time after which a leaving instance gets no request.
    stable_s: float = 3.0  # Time after a disturbance after which a host is stable.


class Violation(NamedTuple):
    """A broken rule."""

    rule: str  # Name of the check.
    at_s: float
    detail: str


# Statuses with which a host promises that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

Check = Callable[[Observations, Bounds], Iterator[Violation]]
CHECKS: dict[str, Check] = {}

_WINDOW_STEP_S = 0.25
_RETRY_AFTER_MARGIN_S = 0.5  # Requests in flight when the instance rejects one.
_RETRY_AFTER_REQUESTS = 2  # Requests that an instance may still get from a host in that time.
_DEADLINE_MARGIN_S = 0.5
# Requests that may exceed these limits in one run.
_EXCESS_INSTANCES = 3
_EXCESS_LOST = 3
_EXCESS_DEADLINES = 20


def rule(name: str) -> Callable[[Check], Check]:
    """Registers a check."""

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def check(observations: Observations, bounds: Bounds) -> tuple[Violation, ...]:
    """Returns all violations, in the order of the checks."""
    found: list[Violation] = []
    for function in CHECKS.values():
        found += function(observations, bounds)
    return tuple(found)


@rule("retry-budget")
def _check_retry_budget(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Repeats of a service in any window, over all hosts."""
    requests: dict[str, list[float]] = defaultdict(list)
    for sent in seen.sent:
        requests[sent.service].append(sent.sent_s)
    for service, repeats in _repeats(seen.arrivals).items():
        times = sorted(requests[service])
        start_s = 0.0
        while repeats and start_s <= repeats[-1]:
            window_s = bounds.retry_window_s
            counted = max(
                _count(times, start_s - back_s, window_s) for back_s in (0, window_s / 2, window_s)
            )
            allowed = bounds.retry_ratio * counted + bounds.retry_slack
            found = _count(repeats, start_s, window_s)
            if found > allowed:
                detail = f"{service}: {found} repeats, {allowed:.0f} allowed"
                yield Violation("retry-budget", start_s, detail)
                start_s += window_s
            start_s += _WINDOW_STEP_S


def _repeats(arrivals: Sequence[Arrival]) -> dict[str, list[float]]:
    """Returns the times of all arrivals but the first of each request, by service."""
    first: set[str] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(arrivals):
        if arrival.request_id in first:
            repeats[arrival.service].append(arrival.at_s)
        first.add(arrival.request_id)
    return repeats


def _count(times: Sequence[float], start_s: float, window_s: float) -> int:
    return bisect_left(times, start_s + window_s) - bisect_left(times, start_s)


@rule("instance-limit")
def _check_instance_limit(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Instances that run one request."""
    ran: dict[str, set[str]] = defaultdict(set)
    for arrival in seen.arrivals:
        if arrival.executed:
            ran[arrival.request_id].add(arrival.instance)
    excess = [key for key, instances in ran.items() if len(instances) > bounds.instance_limit]
    if len(excess) > _EXCESS_INSTANCES:
        yield Violation("instance-limit", 0.0, f"{len(excess)} requests, among them {excess[0]}")


@rule("deadline")
def _check_deadline(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Time that stable hosts hand on, which must not exceed what the caller has left."""
    sent = {each.request_id: each for each in seen.sent}
    excess = []
    for arrival in seen.arrivals:
        request = sent.get(arrival.request_id)
        from_s = arrival.at_s - bounds.stable_s
        if request is not None and not (
            seen.is_disturbed(arrival.host, from_s, arrival.at_s)
            or seen.is_disturbed(arrival.instance, from_s, arrival.at_s)
        ):
            left_s = request.sent_s + request.deadline_s - arrival.at_s
            if arrival.deadline_s is None or arrival.deadline_s > left_s + _DEADLINE_MARGIN_S:
                excess.append(arrival)
    if len(excess) > _EXCESS_DEADLINES:
        detail = f"{len(excess)} requests, among them {excess[0].request_id}"
        yield Violation("deadline", excess[0].at_s, detail)


@rule("not-executed")
def _check_not_executed(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that were answered as not executed, and that an instance has executed."""
    executed = {each.request_id: each for each in seen.arrivals if each.executed}
    for request in seen.sent:
        arrival = executed.get(request.request_id)
        if arrival is None or request.idempotent or request.status not in NOT_EXECUTED_STATUSES:
            continue
        detail = (
            f"{request.request_id} got {request.status} from {request.host} "
            f"and ran on {arrival.instance}"
        )
        yield Violation("not-executed", request.ended_s, detail)


@rule("executed-once")
def _check_executed_once(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that are not idempotent and ran more than once."""
    unrepeatable = {each.request_id for each in seen.sent if not each.idempotent}
    ran: set[str] = set()
    for arrival in sorted(seen.arrivals):
        if not arrival.executed or arrival.request_id not in unrepeatable:
            continue
        if arrival.request_id in ran:
            detail = f"{arrival.request_id} ran once more on {arrival.instance}"
            yield Violation("executed-once", arrival.at_s, detail)
        ran.add(arrival.request_id)


@rule("lost")
def _check_lost(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that a stable host sent to an instance and then ended without a response."""
    executed = {each.request_id for each in seen.arrivals if each.executed}
    lost = [
        each
        for each in seen.sent
        if each.status == 0
        and each.request_id in executed
        and each.ended_s < each.sent_s + each.deadline_s
        and not seen.is_disturbed(each.host, each.sent_s - bounds.stable_s, each.ended_s)
    ]
    if len(lost) > _EXCESS_LOST:
        detail = f"{len(lost)} requests, among them {lost[0].request_id}"
        yield Violation("lost", lost[0].ended_s, detail)


@rule("retry-after")
def _check_retry_after(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that reach an instance before the time that it asked the host to wait is over."""
    times = _arrivals_by_host(seen)
    for rejection in seen.rejections:
        start_s = rejection.at_s + _RETRY_AFTER_MARGIN_S
        end_s = rejection.at_s + rejection.retry_after_s
        if seen.is_disturbed(rejection.host, rejection.at_s, end_s):
            continue
        found = _count(times[rejection.instance, rejection.host], start_s, end_s - start_s)
        if found > _RETRY_AFTER_REQUESTS:
            detail = (
                f"{rejection.instance} got {found} requests from {rejection.host} "
                f"within {rejection.retry_after_s:g} s"
            )
            yield Violation("retry-after", rejection.at_s, detail)


def _arrivals_by_host(seen: Observations) -> dict[tuple[str, str], list[float]]:
    times: dict[tuple[str, str], list[float]] = defaultdict(list)
    for arrival in sorted(seen.arrivals):
        times[arrival.instance, arrival.host].append(arrival.at_s)
    return times


@rule("leaving")
def _check_leaving(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests to instances whose response, passed on by the host, said that they are leaving."""
    sent = {each.request_id: each for each in seen.sent}
    told_s: dict[tuple[str, str], float] = {}  # First response by instance and host.
    for request in sorted(seen.sent, key=lambda each: each.ended_s):
        if request.leaving:
            told_s.setdefault((request.leaving, request.host), request.ended_s)
    for arrival in seen.arrivals:
        late = sent.get(arrival.request_id)
        told = told_s.get((arrival.instance, arrival.host))
        if late is None or told is None or late.sent_s <= told + bounds.drain_s:
            continue
        if not seen.is_disturbed(arrival.host, told, arrival.at_s):
            detail = (
                f"{arrival.instance} got {arrival.request_id} from {arrival.host}, "
                f"sent {late.sent_s - told:.2f} s after its response"
            )
            yield Violation("leaving", arrival.at_s, detail)
