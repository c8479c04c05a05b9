"""Bounds what a process holds for callers, and chooses whose connections are closed to keep it.

The load: crowds of callers that stop just short of the end of a body, send heads of very many
fields, send requests ahead without reading, or hold connections. Memory is one budget for all of
it; a caller that is waited for pays before one whose request is being served.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

# Share of the memory above what the process needs for itself. The rest is for what is not counted
# exactly: the allocator, the garbage collector and copies of short duration.
_BUDGET_SHARE = 1 / 3
_MIN_BUDGET_SHARE = 1 / 16  # Of the whole memory, if the process itself has grown into the rest.
# Above this share of the budget, connections that are waited for are closed, down to the second
# share. The rest remains for the responses of requests that are being served.
_SHORT_SHARE = 0.75
_RELIEVED_SHARE = 0.65
# New connections and requests are accepted up to this share: they are small, and what is being
# served must not shut them out.
_FULL_SHARE = 1.25
# Further connections that are closed with the one that exceeds the limit, so that a crowd of new
# ones does not cause a choice for each.
_CONNECTION_RELIEF_SHARE = 0.02
# A connection that has been served may be about to carry the next request, so it is not closed in
# favour of a new one before this time without progress.
_MIN_STALL_SERVED_S = 1.0
# For memory, one that holds less than these bytes beyond itself is not closed before this time:
# closing it frees next to nothing, and its request may be about to arrive.
_MIN_EXCESS_BYTES = 4096
_MIN_STALL_SMALL_S = 0.05
# Added to the time without progress, so that a large claim counts from its beginning.
_MIN_STALL_S = 0.1

# Parts of the limit of descriptors.
_FILES = 200  # Not available for sockets.
_OWN_SOCKETS = 40  # Listeners, datagram sockets, the store and other hosts.
_INTERNAL_SHARE = 1 / 8
_MAX_INTERNAL_CONNECTIONS = 256
_CALLER_SHARE = 0.6  # Of the rest; a request also takes a connection to an instance.


class ConnectionLoad(NamedTuple):
    """What one connection of a caller holds, and whether it moves."""

    address: str  # IP address of the caller.
    held_bytes: int  # Memory of the connection, its requests and its responses that can be freed.
    excess_bytes: int  # Part of it above that of an idle connection.
    stalled_s: float  # Time since the caller has sent or read enough to count as progress.
    served: bool  # Whether the connection is kept for another request after one was answered.
    closable: bool  # Whether the process waits for the caller; else it serves a request.


class DescriptorPlan(NamedTuple):
    """Division of the descriptors of a process."""

    callers: int  # Connections of callers.
    internal: int  # Connections to the addresses for the platform and other hosts.
    upstreams: int  # Connections to instances.


def divide_descriptors(limit: int) -> DescriptorPlan:
    """Returns the division of `limit` descriptors, so that each kind always finds its own.

    Example: of 4,100 descriptors, callers get 2,162, and connections to instances get 1,442.
    """
    sockets = max(limit - _FILES - _OWN_SOCKETS, 16)
    internal = max(4, min(_MAX_INTERNAL_CONNECTIONS, int(sockets * _INTERNAL_SHARE)))
    callers = max(4, int((sockets - internal) * _CALLER_SHARE))
    return DescriptorPlan(callers, internal, max(4, sockets - internal - callers))


def choose_to_close(
    loads: Iterable[ConnectionLoad], free_bytes: int, free_connections: int
) -> list[int]:
    """Returns the indices of the connections to close, in order.

    At least `free_bytes` and `free_connections` become free if there are enough closable ones. The
    address that holds most pays first: for memory, with the connections that make the least
    progress for what they hold; for connections, with those that have waited longest.
    """
    by_address: dict[str, list[tuple[float, bool, float, int]]] = defaultdict(list)
    totals: Counter[str] = Counter()
    held = []
    for_memory = free_bytes > 0
    for index, load in enumerate(loads):
        held.append(load.held_bytes)
        totals[load.address] += load.held_bytes
        if load.closable and load.stalled_s >= _min_stall_s(load, for_memory):
            cost = load.excess_bytes * (load.stalled_s + _MIN_STALL_S) if for_memory else 0.0
            by_address[load.address].append((cost, not load.served, load.stalled_s, index))
    for connections in by_address.values():
        connections.sort()
    heap = [(-totals[address], address) for address in by_address]
    heapq.heapify(heap)
    chosen: list[int] = []
    while heap and (free_bytes > 0 or len(chosen) < free_connections):
        total, address = heap[0]
        index = by_address[address].pop()[-1]
        chosen.append(index)
        free_bytes -= held[index]
        if by_address[address]:
            heapq.heapreplace(heap, (total + held[index], address))
        else:
            heapq.heappop(heap)
    return chosen


def _min_stall_s(load: ConnectionLoad, for_memory: bool) -> float:
    if for_memory and load.excess_bytes >= _MIN_EXCESS_BYTES:
        return 0.0
    if load.served:
        return _MIN_STALL_SERVED_S
    return _MIN_STALL_SMALL_S if for_memory else 0.0


class CallerMemory:
    """The one budget of bytes for all that a process holds for callers.

    Example: `memory.used_bytes += 4096`, then `memory.relief_bytes` is what has to become free.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.used_bytes = 0
        self.counters: Counter[str] = Counter()  # Connections and requests by what ended them.

    def set_process(self, limit_bytes: int, process_bytes: int) -> None:
        """Sets the budget from the memory limit and from what the process needs for itself."""
        rest = (limit_bytes - process_bytes) * _BUDGET_SHARE
        self.budget_bytes = int(max(rest, limit_bytes * _MIN_BUDGET_SHARE))

    @property
    def is_short(self) -> bool:
        """Whether connections have to be closed, and responses are not collected further."""
        return self.used_bytes > self.budget_bytes * _SHORT_SHARE

    @property
    def is_full(self) -> bool:
        """Whether nothing new may be accepted, not even a small request."""
        return self.used_bytes > self.budget_bytes * _FULL_SHARE

    def has_room(self, size_bytes: int) -> bool:
        """Returns whether `size_bytes` more fit into the budget."""
        return self.used_bytes + size_bytes <= self.budget_bytes

    @property
    def relief_bytes(self) -> int:
        """Bytes that have to become free while the memory is short; else 0."""
        if not self.is_short:
            return 0
        return int(self.used_bytes - self.budget_bytes * _RELIEVED_SHARE)

    def relief_connections(self, count: int, limit: int) -> int:
        """Returns how many of `count` connections have to be closed under a limit."""
        if count <= limit:
            return 0
        return count - limit + int(limit * _CONNECTION_RELIEF_SHARE)
