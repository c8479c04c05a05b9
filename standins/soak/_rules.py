"""Rules on what callers and instances have seen during a soak."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus
from typing import NamedTuple


class SentRequest(NamedTuple):
    """An attempt of a caller and its result; times are in seconds since the start of the run.

    A caller that comes back after a refusal may send the same identifier again.
    """

    request_id: str
    service: str
    host: str  # IP address of the edge host.
    sent_s: float
    ended_s: float  # Time of the response head.
    status: int  # 0 if there was no response, `UNFINISHED` if the run ended first.
    leaving: str  # Instance whose response said that it is leaving; empty if none.
    deadline_s: float  # Time that the caller allowed.
    idempotent: bool  # May run more than once.
    key: str = ""  # Key of a client account; empty if it has none.


class Arrival(NamedTuple):
    """A request that an instance received."""

    at_s: float
    request_id: str
    service: str
    instance: str
    host: str  # IP address of the edge host that sent it.
    deadline_s: float | None  # Time that the host allowed.
    executed: bool  # False if the instance rejected it.
    misdirected: bool = False  # Rejected because it was meant for another instance.
    account: str = ""  # Name of the client account that the host has set.
    has_key: bool = False  # The host has passed on what may be a key.


class KeyPeriod(NamedTuple):
    """Time in which the newest configuration had a key."""

    account: str
    from_s: float
    until_s: float


class Rejection(NamedTuple):
    """A 503 response with Retry-After."""

    at_s: float
    instance: str
    host: str  # IP address of the edge host that got it.
    retry_after_s: float


STORE = "store"  # Subject of the disturbances of the store.


class Disturbance(NamedTuple):
    """Time in which a host did not run, links to an instance were cut, or the store was away."""

    subject: str  # IP address of the host, key of the instance, or `STORE`.
    from_s: float
    until_s: float


class Departure(NamedTuple):
    """An instance that the store has as draining or removed."""

    instance: str
    at_s: float


class InstanceFault(NamedTuple):
    """Time in which an instance reset connections, refused them or was cut off."""

    instance: str
    service: str
    from_s: float
    until_s: float


class Observations:
    """Everything that callers and instances have seen in one run."""

    def __init__(self) -> None:
        self.sent: list[SentRequest] = []
        self.arrivals: list[Arrival] = []
        self.rejections: list[Rejection] = []
        self.disturbances: list[Disturbance] = []
        self.keys: dict[str, KeyPeriod] = {}  # Empty if the deployment has no accounts.
        self.departures: list[Departure] = []
        # Not among the disturbances, which excuse hosts also for other rules.
        self.instance_faults: list[InstanceFault] = []

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
    apply_s: float = 2.0  # Time after which a configuration is in force.


class Violation(NamedTuple):
    """A broken rule."""

    rule: str  # Name of the check.
    at_s: float
    detail: str


UNFINISHED = -1  # Status of a request that had no result when the run ended.

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
# Requests that may fail without need, as many as the platform allows for requests that are denied.
_EXCESS_FAILURES = 5
_EXCESS_FAILURE_SHARE = 1 / 500


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


class _Attempts:
    """Finds the attempt of a caller to which an arrival belongs.

    A caller sends an identifier again only after a response to the attempt before, so an arrival
    belongs to the last attempt at its host that was sent before it.
    """

    def __init__(self, sent: Sequence[SentRequest]) -> None:
        self._by_id: dict[str, list[SentRequest]] = defaultdict(list)
        for request in sorted(sent, key=lambda each: each.sent_s):
            self._by_id[request.request_id].append(request)

    def find(self, arrival: Arrival) -> SentRequest | None:
        """Returns the attempt, or None if no caller has sent the identifier."""
        attempts = self._by_id.get(arrival.request_id)
        if not attempts:
            return None
        earlier = [each for each in attempts if each.sent_s <= arrival.at_s]
        at_host = [each for each in earlier if each.host == arrival.host]
        return (at_host or earlier or attempts[:1])[-1]

    def executed(self, arrivals: Sequence[Arrival]) -> Iterator[tuple[SentRequest, Arrival]]:
        """Yields each attempt that an instance executed, with its last execution."""
        found: dict[SentRequest, Arrival] = {}
        for arrival in sorted(arrivals):
            request = self.find(arrival) if arrival.executed else None
            if request is not None:
                found[request] = arrival
        yield from found.items()


@rule("retry-budget")
def _check_retry_budget(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Repeats of a service in any window, over all hosts."""
    requests: dict[str, list[float]] = defaultdict(list)
    for sent in seen.sent:
        requests[sent.service].append(sent.sent_s)
    for service, repeats in _repeats(seen).items():
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


def _repeats(seen: Observations) -> dict[str, list[float]]:
    """Returns the times of all arrivals but the first of each attempt of a caller, by service."""
    attempts = _Attempts(seen.sent)
    first: set[tuple[str, SentRequest | None]] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(seen.arrivals):
        key = arrival.request_id, attempts.find(arrival)
        if key in first:
            repeats[arrival.service].append(arrival.at_s)
        first.add(key)
    return repeats


def _count(times: Sequence[float], start_s: float, window_s: float) -> int:
    return bisect_left(times, start_s + window_s) - bisect_left(times, start_s)


@rule("instance-limit")
def _check_instance_limit(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Instances that run one attempt of a caller."""
    attempts = _Attempts(seen.sent)
    ran: dict[tuple[str, SentRequest | None], set[str]] = defaultdict(set)
    for arrival in seen.arrivals:
        if arrival.executed:
            ran[arrival.request_id, attempts.find(arrival)].add(arrival.instance)
    excess = [key for (key, _), names in ran.items() if len(names) > bounds.instance_limit]
    if len(excess) > _EXCESS_INSTANCES:
        yield Violation("instance-limit", 0.0, f"{len(excess)} requests, among them {excess[0]}")


@rule("deadline")
def _check_deadline(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Time that stable hosts hand on, which must not exceed what the caller has left."""
    attempts = _Attempts(seen.sent)
    excess = []
    for arrival in seen.arrivals:
        request = attempts.find(arrival)
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
    """Attempts that were answered as not executed, and that an instance has executed."""
    for request, arrival in _Attempts(seen.sent).executed(seen.arrivals):
        if request.idempotent or request.status not in NOT_EXECUTED_STATUSES:
            continue
        detail = (
            f"{request.request_id} got {request.status} from {request.host} "
            f"and ran on {arrival.instance}"
        )
        yield Violation("not-executed", request.ended_s, detail)


@rule("executed-once")
def _check_executed_once(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that are not idempotent and ran more than once, in all attempts of a caller.

    Callers come back only after a response that promises that the attempt before has not run.
    """
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
    lost = [
        each
        for each, _ in _Attempts(seen.sent).executed(seen.arrivals)
        if each.status == 0
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
    """Returns the times of arrivals; a host cannot know the new id at an address that it uses."""
    times: dict[tuple[str, str], list[float]] = defaultdict(list)
    for arrival in sorted(seen.arrivals):
        if not arrival.misdirected:
            times[arrival.instance, arrival.host].append(arrival.at_s)
    return times


@rule("leaving")
def _check_leaving(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests to instances whose response, passed on by the host, said that they are leaving."""
    attempts = _Attempts(seen.sent)
    told_s: dict[tuple[str, str], float] = {}  # First response by instance and host.
    for request in sorted(seen.sent, key=lambda each: each.ended_s):
        if request.leaving:
            told_s.setdefault((request.leaving, request.host), request.ended_s)
    for arrival in seen.arrivals:
        late = attempts.find(arrival)
        told = told_s.get((arrival.instance, arrival.host))
        if late is None or told is None or late.sent_s <= told + bounds.drain_s:
            continue
        if arrival.misdirected:
            continue
        if not seen.is_disturbed(arrival.host, told, arrival.at_s):
            detail = (
                f"{arrival.instance} got {arrival.request_id} from {arrival.host}, "
                f"sent {late.sent_s - told:.2f} s after its response"
            )
            yield Violation("leaving", arrival.at_s, detail)


@rule("left")
def _check_left(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests to instances that left while the store was stable, whatever it lists afterwards."""
    attempts = _Attempts(seen.sent)
    left_s = {
        each.instance: each.at_s
        for each in seen.departures
        if not seen.is_disturbed(STORE, each.at_s - bounds.stable_s, each.at_s + bounds.drain_s)
    }
    for arrival in seen.arrivals:
        at_s, late = left_s.get(arrival.instance), attempts.find(arrival)
        if at_s is None or late is None or late.sent_s <= at_s + bounds.drain_s:
            continue
        from_s = at_s - bounds.stable_s
        if not arrival.misdirected and not seen.is_disturbed(arrival.host, from_s, arrival.at_s):
            detail = (
                f"{arrival.instance} got {arrival.request_id} from {arrival.host}, "
                f"sent {late.sent_s - at_s:.2f} s after it left"
            )
            yield Violation("left", arrival.at_s, detail)


@rule("needless-failure")
def _check_needless_failure(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that a stable host answered with 502, although no instance has executed them."""
    attempts = _Attempts(seen.sent)
    arrived: dict[SentRequest | None, list[Arrival]] = defaultdict(list)
    for arrival in seen.arrivals:
        arrived[attempts.find(arrival)].append(arrival)
    failed = [
        each
        for each in seen.sent
        if each.status == HTTPStatus.BAD_GATEWAY
        and not each.idempotent
        and not any(arrival.executed for arrival in arrived[each])
        and not seen.is_disturbed(each.host, each.sent_s - bounds.stable_s, each.ended_s)
        and not _has_instance_fault(seen, each, arrived[each])
    ]
    allowed = _EXCESS_FAILURES + _EXCESS_FAILURE_SHARE * len(seen.sent)
    if len(failed) > allowed:
        received = sum(bool(arrived[each]) for each in failed)
        detail = (
            f"{len(failed)} requests, {allowed:.0f} allowed, of which {received} reached an "
            f"instance, among them {failed[0].request_id}"
        )
        yield Violation("needless-failure", failed[0].ended_s, detail)


def _has_instance_fault(
    seen: Observations, request: SentRequest, arrivals: Sequence[Arrival]
) -> bool:
    """Returns whether a fault of an instance may have failed a request that was not executed.

    If no instance has received the request, it may have been on its way to any of its service.
    """
    names = {each.instance for each in arrivals}
    return any(
        fault.from_s <= request.ended_s
        and fault.until_s >= request.sent_s
        and (fault.instance in names if names else fault.service == request.service)
        for fault in seen.instance_faults
    )


@rule("account")
def _check_account(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that reach an instance for another account than that of their key, or with a key."""
    attempts = _Attempts(seen.sent)
    for arrival in seen.arrivals if seen.keys else ():
        request = attempts.find(arrival)
        if arrival.has_key:
            detail = f"{arrival.request_id} reached {arrival.instance} with a key"
            yield Violation("account", arrival.at_s, detail)
        period = None if request is None else seen.keys.get(request.key)
        if request is not None and (period is None or period.account != arrival.account):
            owner = "nobody" if period is None else period.account
            detail = f"{arrival.request_id} of {owner} ran for {arrival.account or 'nobody'}"
            yield Violation("account", arrival.at_s, detail)


@rule("key")
def _check_key(seen: Observations, bounds: Bounds) -> Iterator[Violation]:
    """Requests that a host in touch treats as an older configuration demands.

    They run although their key was withdrawn, or get 401 although it was added.
    """
    ran = {request for request, _ in _Attempts(seen.sent).executed(seen.arrivals)}
    for request in seen.sent:
        period = seen.keys.get(request.key)
        if period is None:
            continue
        withdrawn = request in ran and request.sent_s > period.until_s + bounds.apply_s
        added = (
            request.status == HTTPStatus.UNAUTHORIZED
            and request.sent_s > period.from_s + bounds.apply_s
            and request.ended_s < period.until_s
        )
        since_s = request.sent_s - bounds.apply_s - bounds.stable_s
        if (withdrawn or added) and not (
            seen.is_disturbed(request.host, since_s, request.sent_s)
            or seen.is_disturbed(STORE, since_s, request.sent_s)
        ):
            what = "ran with a withdrawn key" if withdrawn else "got 401 with a key in force"
            detail = f"{request.request_id} {what} at {request.host}"
            yield Violation("key", request.sent_s, detail)
