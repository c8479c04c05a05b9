"""Merges the sources that tell which upstreams are leaving."""

from collections.abc import Iterable

from anviltray.messages import Leaving

# An upstream that answered that it is draining stays out this long if no host list is available.
_HOLD_S = 600.0

# A peer's report of an operator's command only bridges the distribution of the configuration;
# held longer, it would outlive a `restore`.
_OPERATOR_HOLD_S = 10.0

# The lagging list may briefly return an older state, so one list without an address is no proof.
_LIST_ABSENCE_S = 10.0

# A report that extends the hold by less is not passed on, which ends the flooding of reports.
_RENEWAL_S = 60.0

_ADDRESS_LIMIT = 16384
_MESSAGE_ADDRESSES = 64


class DrainingSet:
    """Upstreams that get no new requests, from the host list, answers, operators and peers.

    Leaving is sticky: an address from an answer or a peer stays for 10 min, or until the host
    list, having named it since, has not named it for 10 s. Operators' addresses are exactly those
    of the last call. News from any source is passed on once, so it also reaches nodes that are
    not connected to the one that learned of it.
    """

    def __init__(self) -> None:
        self._listed: dict[str, float] = {}  # Time when the list named the address last.
        self._held: dict[str, float] = {}  # End of the hold by an answer or a peer.
        self._operator: frozenset[str] = frozenset()
        self._news: dict[str, dict[str, None]] = {}
        self._addresses: frozenset[str] = frozenset()

    @property
    def addresses(self) -> frozenset[str]:
        """All leaving upstreams as of the last call with a time."""
        return self._addresses

    def on_host_list(self, now_s: float, addresses: Iterable[str]) -> None:
        """Takes all addresses that the current host list shows as leaving."""
        for address in addresses:
            self._announce(address, "list", address not in self._addresses)
            self._listed[address] = now_s
        for address, named_s in list(self._listed.items()):
            if now_s - named_s >= _LIST_ABSENCE_S:
                del self._listed[address]
                self._held.pop(address, None)
        self._merge(now_s)

    def on_drain_response(self, now_s: float, address: str) -> None:
        """Takes an upstream's own answer that it is draining."""
        self._hold(address, now_s + _HOLD_S, "answer")
        self._merge(now_s)

    def set_operator_draining(self, now_s: float, addresses: Iterable[str]) -> None:
        """Takes all addresses that the configuration in force declares as draining."""
        wanted = frozenset(addresses)
        for address in sorted(wanted - self._operator):
            self._announce(address, "operator", True)
        for address in self._operator - wanted:
            self._news.get("operator", {}).pop(address, None)
        if not self._news.get("operator", True):
            del self._news["operator"]
        self._operator = wanted
        self._merge(now_s)

    def on_peer_report(self, now_s: float, message: Leaving) -> None:
        """Takes a peer's report."""
        operator = message.source == "operator"
        source = message.source if message.source in ("list", "answer", "operator") else "answer"
        until_s = now_s + (_OPERATOR_HOLD_S if operator else _HOLD_S)
        for address in message.addresses[:_MESSAGE_ADDRESSES]:
            if address not in self._operator:
                self._hold(address, until_s, source)
        self._merge(now_s)

    def next_message(self) -> Leaving | None:
        """Returns news for the peers; call it until it returns None."""
        for source, addresses in self._news.items():
            batch = tuple(addresses)[:_MESSAGE_ADDRESSES]
            for address in batch:
                del addresses[address]
            if not addresses:
                del self._news[source]
            return Leaving(batch, source)
        return None

    def _hold(self, address: str, until_s: float, source: str) -> None:
        held_s = self._held.get(address)
        if held_s is None and len(self._held) >= _ADDRESS_LIMIT:
            del self._held[min(self._held, key=self._held.__getitem__)]
        self._announce(address, source, held_s is None or until_s - held_s >= _RENEWAL_S)
        self._held[address] = max(until_s, held_s if held_s is not None else until_s)

    def _announce(self, address: str, source: str, new: bool) -> None:
        if new:
            self._news.setdefault(source, {})[address] = None

    def _merge(self, now_s: float) -> None:
        self._held = {a: until_s for a, until_s in self._held.items() if until_s > now_s}
        merged = self._operator.union(self._listed, self._held)
        if merged != self._addresses:
            self._addresses = merged
