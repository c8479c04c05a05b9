"""Which hosts of the zone serve callers, and which hosts have to know about instances."""

import asyncio

import logbook

from anviltray.decisions.entry import RESERVE_HOSTS, ServingHosts
from anviltray.edge._state import EdgeState
from anviltray.zone import STANDBY, ZoneExchange

_log = logbook.Logger("anviltray.edge")

# A host that has sent observations within this time still serves callers, listed or not: callers
# may use an address list three times as long as its lifetime.
_ACTIVE_S = 6.0


class ServingZone:
    """The serving hosts of the zone of one host (see `decisions.entry`).

    Only they need to know about instances, so observations, beliefs and loads are sent to them and
    to hosts that still have callers. That keeps the datagrams of a host bounded by the traffic of
    its zone, whatever the number of hosts.
    """

    def __init__(self, state: EdgeState, exchange: ZoneExchange) -> None:
        self._state = state
        self._exchange = exchange
        self._hosts = ServingHosts()
        self._loop = asyncio.get_running_loop()
        self._listed: frozenset[str] = frozenset()  # Serving hosts of the latest list, for the log.
        self._observed_s: dict[str, float] = {}  # Time of the latest observations of a host.

    def hosts(self, own_ready: bool, reserve: int = 0) -> dict[str, str]:
        """Returns the caller addresses of the serving hosts by IP address, best first.

        `own_ready` tells whether this host itself may be among them; `reserve` next hosts follow.
        """
        now_s = self._loop.time()
        ready = {
            host.beacon.host: host.beacon.caller_address
            for host in self._exchange.alive()
            if host.beacon.state in ("ready", STANDBY)
        }
        settings = self._state.settings
        if own_ready:
            ready[settings.address] = settings.caller_address
        request_rate_s = self._state.unserved.request_rate_s(now_s)
        chosen = self._hosts.choose(now_s, ready, request_rate_s, reserve)
        return {host: ready[host] for host in chosen}

    def is_standby(self) -> bool:
        """Returns whether this host, if it is ready, is neither serving nor next to serve."""
        return self._state.settings.address not in self.hosts(True, RESERVE_HOSTS)

    def listed(self, own_ready: bool) -> dict[str, str]:
        """Returns `hosts` for a caller, and logs a change of what callers are told."""
        hosts = self.hosts(own_ready)
        listed = frozenset(hosts)
        if listed != self._listed:
            request_rate_s = self._state.unserved.request_rate_s(self._loop.time())
            _log.info(
                "serving hosts changed",
                extra={
                    "count": len(listed),
                    "added": sorted(listed - self._listed),
                    "removed": sorted(self._listed - listed),
                    "request_rate_s": round(request_rate_s, 1),
                },
            )
            self._listed = listed
        return hosts

    def on_observations(self, host: str) -> None:
        """Records that another host has sent observations, so it has callers."""
        self._observed_s[host] = self._loop.time()

    def receivers(self) -> frozenset[str]:
        """Returns the other live hosts that need to know about instances."""
        oldest_s = self._loop.time() - _ACTIVE_S
        self._observed_s = {
            host: at_s for host, at_s in self._observed_s.items() if at_s > oldest_s
        }
        live = {host.beacon.host for host in self._exchange.alive()}
        return frozenset(live & {*self.hosts(own_ready=False), *self._observed_s})
