"""Order in which the waiting requests of one service start.

Load pattern: a service is short of room for seconds. Requests of several priorities and of many
client accounts compete; one account sends many times its usual, and some callers repeat at once
what was rejected. Whoever sends most must not get most, and nobody may get nothing.
"""

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count
from typing import NamedTuple

# Every fourth start goes to the priority whose latest start is the longest ago. Kinds of requests
# must be served at least a quarter as often as all.
_ANY_PRIORITY_INTERVAL = 4
_MIN_WEIGHT = 1e-6
# Accounts without waiting requests whose last turns are remembered, beyond those that have some.
_MAX_REMEMBERED = 256


class WaitingRequest(NamedTuple):
    """One request that waits for an instance."""

    ticket: int  # Identifier chosen by the user of the queue.
    account: str  # Client account that sent it; may be empty.
    priority: int  # 0 is the most urgent.
    in_target_until_s: float  # A later start misses the target latency.
    latest_start_s: float  # A later start is of no use to the caller.


class _Flow:
    """Waiting requests of one account and priority, in the order of their arrival."""

    __slots__ = ("requests", "turn", "weight")

    def __init__(self, turn: float, weight: float) -> None:
        self.requests: deque[WaitingRequest] = deque()
        self.weight = weight  # What the account is owed, relative to the others.
        self.turn = turn  # Requests started so far, divided by the weight of the account.


class _Level:
    """Waiting requests of one priority."""

    __slots__ = ("flows", "late", "order", "started", "turn", "turns", "weight")

    def __init__(self) -> None:
        self.flows: dict[str, _Flow] = {}
        # Heap of the turns of the flows; the number decides between equal turns.
        self.order: list[tuple[float, int, str]] = []
        self.late: deque[WaitingRequest] = deque()  # Those that miss their target anyway.
        self.started = 0  # Number of the latest start.
        self.turn = 0.0  # Turn of the flow that started last.
        self.turns: dict[str, float] = {}  # Turns of flows without waiting requests.
        self.weight = 0.0  # Sum of the weights of the flows.


class WaitingQueue:
    """Waiting requests of one service.

    Requests of a higher priority come first. Within a priority the accounts take turns in
    proportion to their weights, so additional requests of an account do not change when the others
    start; requests that can still meet their target latency precede those that cannot. The cost of
    an operation grows with the logarithm of the accounts that wait, and with the number of
    priorities.

    Example: with two requests of account "a" and one of "b", all of one priority, `start` returns
    the first one of "a", that of "b" and the second one of "a".
    """

    def __init__(self, weight: Callable[[str], float] = lambda account: 1.0) -> None:
        """`weight` returns what an account is owed, relative to the other accounts."""
        self._weight = weight
        self._levels: dict[int, _Level] = {}
        self._live: dict[int, WaitingRequest] = {}
        self._counts: dict[tuple[int, str], int] = {}  # By priority and account.
        self._level_counts: dict[int, int] = {}
        self._started = 0
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._live)

    def add(self, request: WaitingRequest) -> None:
        """Adds a request behind those of its account."""
        level = self._levels.setdefault(request.priority, _Level())
        flow = level.flows.get(request.account)
        if flow is None:
            # An account that had nothing to send has not saved up turns.
            turn = max(level.turn, level.turns.pop(request.account, 0.0))
            flow = level.flows[request.account] = _Flow(turn, self._weight_of(request.account))
            level.weight += flow.weight
            heapq.heappush(level.order, (turn, next(self._numbers), request.account))
        flow.requests.append(request)
        self._live[request.ticket] = request
        key = (request.priority, request.account)
        self._counts[key] = self._counts.get(key, 0) + 1
        self._level_counts[request.priority] = self._level_counts.get(request.priority, 0) + 1

    def remove(self, ticket: int) -> bool:
        """Removes a request; returns False if it is not waiting."""
        request = self._live.pop(ticket, None)
        if request is None:
            return False
        key = (request.priority, request.account)
        self._counts[key] -= 1
        if not self._counts[key]:
            del self._counts[key]
        self._level_counts[request.priority] -= 1
        if not self._level_counts[request.priority]:
            # Nothing of this level waits any more; entries that are left are of removed requests.
            del self._level_counts[request.priority]
            self._clear(self._levels[request.priority])
        return True

    def head(self, now_s: float) -> WaitingRequest | None:
        """Returns the request that is next to start, or None if none waits."""
        if not self._live:
            return None
        priorities = sorted(self._level_counts)
        if (self._started + 1) % _ANY_PRIORITY_INTERVAL == 0:
            priorities.sort(key=lambda each: self._levels[each].started)
        for priority in priorities:
            head = self._level_head(now_s, self._levels[priority])
            if head is not None:
                return head
        return None

    def start(self, request: WaitingRequest) -> None:
        """Removes a request that starts, and counts it for its account."""
        level = self._levels[request.priority]
        flow = level.flows.get(request.account)
        if flow is None:
            # The last one of its account, and late.
            turn = max(level.turn, level.turns.get(request.account, 0.0))
            self._remember(level, request.account, turn + 1 / self._weight_of(request.account))
        else:
            level.turn = max(level.turn, flow.turn)
            flow.turn += 1 / flow.weight
        self._started += 1
        level.started = self._started
        self.remove(request.ticket)

    def ahead_of(self, priority: int, account: str) -> float:
        """Returns how many of the waiting requests would start before a new one, about."""
        higher = sum(found for each, found in self._level_counts.items() if each < priority)
        lower = sum(found for each, found in self._level_counts.items() if each > priority)
        same: float = self._level_counts.get(priority, 0)
        if same:
            own = self._counts.get((priority, account), 0)
            level, weight = self._levels[priority], self._weight_of(account)
            total = level.weight + (0.0 if account in level.flows else weight)
            same = min(same, (own + 1) * total / weight - 1)
        ahead = higher + same
        return ahead + min(lower, ahead / (_ANY_PRIORITY_INTERVAL - 1))

    def _weight_of(self, account: str) -> float:
        return max(_MIN_WEIGHT, self._weight(account))

    def _level_head(self, now_s: float, level: _Level) -> WaitingRequest | None:
        while level.order:
            turn, _, account = level.order[0]
            flow = level.flows[account]
            while flow.requests:
                request = flow.requests[0]
                if request.ticket not in self._live:
                    flow.requests.popleft()
                elif request.in_target_until_s < now_s:
                    level.late.append(flow.requests.popleft())
                elif turn < flow.turn:
                    heapq.heapreplace(level.order, (flow.turn, next(self._numbers), account))
                    break
                else:
                    return request
            else:
                heapq.heappop(level.order)
                self._drop_flow(level, account, flow)
        while level.late and level.late[0].ticket not in self._live:
            level.late.popleft()
        return level.late[0] if level.late else None

    def _drop_flow(self, level: _Level, account: str, flow: _Flow) -> None:
        del level.flows[account]
        level.weight -= flow.weight
        self._remember(level, account, flow.turn)

    def _remember(self, level: _Level, account: str, turn: float) -> None:
        if len(level.turns) >= _MAX_REMEMBERED:
            level.turns = {key: each for key, each in level.turns.items() if each > level.turn}
        if turn > level.turn and len(level.turns) < _MAX_REMEMBERED:
            level.turns[account] = turn

    def _clear(self, level: _Level) -> None:
        for account, flow in level.flows.items():
            self._remember(level, account, flow.turn)
        level.flows.clear()
        level.order.clear()
        level.late.clear()
        level.weight = 0.0
