"""What the request path of an edge host uses."""

import asyncio
from random import Random

from anviltray.decisions.instances import InstanceDirectory
from anviltray.decisions.placement import (
    HealthTracker,
    Locality,
    Placement,
    UnservedShare,
    WeightedChoice,
)
from anviltray.decisions.retries import RetryBudget
from anviltray.declarations import PrefixIndex, PrefixRoute, RoutingConfiguration
from anviltray.settings import HostSettings
from anviltray.upstreams import UpstreamClient

# Part of the fleet's retry share that a host uses of what its own requests earn. The rest covers
# requests that are counted in another window than their retry.
_SHARE_USED = 0.8
# The budget forgets in steps of a tenth of its window, so that its window has to be longer than the
# one in which the fleet is judged.
_WINDOW_FACTOR = 1.12
# Part of the fleet's retry slack that is given out; the rest is for hosts that are not known yet.
_SLACK_USED = 0.6
# Extra sends that a host may use in a window whatever its traffic; many hosts add up.
_LEAST_RETRIES = 0
# Extra sends that stay reserved for requests that an instance has refused.
_EXPLORE_RESERVE = 2.0


class EdgeState:
    """Decision objects and configuration of one host."""

    def __init__(self, settings: HostSettings, upstreams: UpstreamClient, rng: Random) -> None:
        self.settings = settings
        self.upstreams = upstreams
        self.directory = InstanceDirectory()
        self.board = HealthTracker()
        self.placement = Placement(
            Locality(settings.region, settings.zone),
            dict(settings.zone_regions),
            self.board,
            self.directory,
            rng,
        )
        self.unserved = UnservedShare()
        self.configuration: RoutingConfiguration | None = None
        self.shutting_down = False
        self.urgent = asyncio.Event()  # News against an instance waits to be sent to the zone.
        self._routes = PrefixIndex()
        self._rng = rng
        self.fleet_size = 1  # Known hosts of the fleet with this one.
        self._slack = 0.0  # This host's part of the fleet's slack.
        self._slack_granted = False
        self._explored_services: set[str] = set()
        self._shares: dict[str, WeightedChoice] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Puts a configuration in force."""
        self.configuration = configuration
        self._share_connections()
        self._routes = PrefixIndex(configuration.routes)
        known = self._shares
        self._shares = {}
        self._explored_services = {
            destination.service
            for route in configuration.routes
            if route.idempotent
            for destination in route.destinations
        }
        for route in configuration.routes:
            choice = known.get(route.name)
            if choice is None or choice.destinations != route.destinations:
                choice = WeightedChoice(route.destinations, self._rng.random())
            self._shares[route.name] = choice

    def _share_connections(self) -> None:
        """Divides the connections that an instance accepts among the hosts.

        The smallest limit of all services holds for each, since an address may be reused by
        another service.
        """
        if self.configuration is not None and self.configuration.services:
            limit = min(
                service.connection_limit for service in self.configuration.services.values()
            )
            self.upstreams.set_nodes(self.fleet_size, limit)

    def find_route(self, host: str, path: str) -> PrefixRoute | None:
        """Returns the route of a request."""
        return self._routes.find(host, path)

    def choose_service(self, route: PrefixRoute) -> str:
        """Returns the service for the next request of a route."""
        return self._shares[route.name].choose()

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns this host's part of the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            guarantees = self.settings.guarantees
            budget = self._budgets[service] = RetryBudget(
                share=guarantees.retry_share * _SHARE_USED,
                window_s=guarantees.retry_window_s * _WINDOW_FACTOR,
                minimum=_LEAST_RETRIES,
            )
            budget.slack = self._usable_slack
        return budget

    @property
    def slack_delay_s(self) -> float:
        """Time after a start within which an earlier process of this host may count as well."""
        if self.settings.first_start:
            return 0.0
        return self.settings.guarantees.retry_window_s * _WINDOW_FACTOR

    def grant_slack(self) -> None:
        """Lets this host use its part of the fleet's slack, once `slack_delay_s` has passed."""
        self._slack_granted = True
        self._set_slack()

    def set_fleet_size(self, hosts: int) -> None:
        """Divides among all hosts what the fleet shares."""
        self.fleet_size = hosts
        self._slack = self.settings.guarantees.retry_slack * _SLACK_USED / hosts
        self._set_slack()
        self._share_connections()

    @property
    def _usable_slack(self) -> float:
        return self._slack if self._slack_granted else 0.0

    def _set_slack(self) -> None:
        for budget in self._budgets.values():
            budget.slack = self._usable_slack

    def has_explorers(self, service: str) -> bool:
        """Tells whether idempotent requests go to a service."""
        return service in self._explored_services

    def may_explore(self, now_s: float, service: str) -> bool:
        """Tells whether a request may go to a doubtful instance and then be sent once more."""
        return self.retry_budget(service).left(now_s) >= _EXPLORE_RESERVE
