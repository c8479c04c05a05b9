"""Merges the sources that report draining upstreams."""

from collections.abc import Iterable

from anviltray.messages import DrainingUpstreams

# An upstream that responded that it is draining is held for this long if there is no host list.
_HOLD_S = 600.0

# A report of an operator command from a peer only covers the time until the configuration arrives.
# A longer hold would outlast a `restore` command.
_OPERATOR_HOLD_S = 10.0

# The host list lags and may briefly revert to an older state, so an address counts as removed only
# after it was absent for this long.
_LIST_ABSENCE_S = 10.0

# A report that extends the hold by less is not forwarded, which terminates the flooding of reports.
_MIN_EXTENSION_S = 60.0

_MAX_ADDRESSES = 16384
_MAX_MESSAGE_ADDRESSES = 64


class DrainingSet:
    """Upstreams that get no new requests, from the host list, responses, operators and peers.

    Draining is sticky: an address from a response or a peer is held for 10 min, or until the host
    list has included it and then omitted it for 10 s. The addresses from operators are exactly
    those of the last call. A change from any source is forwarded once, so it also reaches nodes
    that are not connected to the node that detected it.
    """

    def __init__(self) -> None:
        self._listed: dict[str, float] = {}  # Time of the last host list with the address.
        self._held: dict[str, float] = {}  # End of the hold by a response or a peer.
        self._operator: frozenset[str] = frozenset()
        self._unsent: dict[str, dict[str, None]] = {}
        self._addresses: frozenset[str] = frozenset()

    @property
    def addresses(self) -> frozenset[str]:
        """All draining upstreams; expired holds are dropped by each method that takes the time."""
        return self._addresses

    def on_host_list(self, now_s: float, addresses: Iterable[str]) -> None:
        """Merges all addresses that the current host list marks as draining."""
        for address in addresses:
            self._enqueue(address, "list", address not in self._addresses)
            self._listed[address] = now_s
        for address, listed_s in list(self._listed.items()):
            if now_s - listed_s >= _LIST_ABSENCE_S:
                del self._listed[address]
                self._held.pop(address, None)
        self._merge(now_s)

    def on_drain_response(self, now_s: float, address: str) -> None:
        """Holds an upstream whose response signals that it is draining."""
        self._hold(address, now_s + _HOLD_S, "answer")
        self._merge(now_s)

    def set_operator_draining(self, now_s: float, addresses: Iterable[str]) -> None:
        """Replaces the addresses that the active configuration declares as draining."""
        draining = frozenset(addresses)
        for address in sorted(draining - self._operator):
            self._enqueue(address, "operator", True)
        for address in self._operator - draining:
            self._unsent.get("operator", {}).pop(address, None)
        if not self._unsent.get("operator", True):
            del self._unsent["operator"]
        self._operator = draining
        self._merge(now_s)

    def on_peer_report(self, now_s: float, message: DrainingUpstreams) -> None:
        """Merges a report of a peer."""
        operator = message.source == "operator"
        source = message.source if message.source in ("list", "answer", "operator") else "answer"
        until_s = now_s + (_OPERATOR_HOLD_S if operator else _HOLD_S)
        for address in message.addresses[:_MAX_MESSAGE_ADDRESSES]:
            if address not in self._operator:
                self._hold(address, until_s, source)
        self._merge(now_s)

    def next_message(self) -> DrainingUpstreams | None:
        """Removes and returns the next message for the peers, or None if there is none left."""
        for source, addresses in self._unsent.items():
            batch = tuple(addresses)[:_MAX_MESSAGE_ADDRESSES]
            for address in batch:
                del addresses[address]
            if not addresses:
                del self._unsent[source]
            return DrainingUpstreams(batch, source)
        return None

    def _hold(self, address: str, until_s: float, source: str) -> None:
        held_until_s = self._held.get(address)
        if held_until_s is None and len(self._held) >= _MAX_ADDRESSES:
            del self._held[min(self._held, key=self._held.__getitem__)]
        self._enqueue(
            address, source, held_until_s is None or until_s - held_until_s >= _MIN_EXTENSION_S
        )
        self._held[address] = max(until_s, held_until_s if held_until_s is not None else until_s)

    def _enqueue(self, address: str, source: str, new: bool) -> None:
        if new:
            self._unsent.setdefault(source, {})[address] = None

    def _merge(self, now_s: float) -> None:
        self._held = {a: until_s for a, until_s in self._held.items() if until_s > now_s}
        merged = self._operator.union(self._listed, self._held)
        if merged != self._addresses:
            self._addresses = merged
