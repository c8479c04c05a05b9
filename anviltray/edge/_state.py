"""State that the request path of an edge host uses."""

import asyncio
import secrets
from random import Random

from anviltray.decisions.accounts import AccountIndex
from anviltray.decisions.instances import InstanceDirectory
from anviltray.decisions.placement import (
    HealthTracker,
    Locality,
    Placement,
    UnservedShare,
    WeightedChoice,
    limit_share,
)
from anviltray.decisions.retries import ResponseTimes, RetryBudget
from anviltray.decisions.stopping import GracefulStop
from anviltray.declarations import PrefixIndex, PrefixRoute, RoutingConfiguration
from anviltray.edge._clock import ElapsedClock
from anviltray.settings import HostSettings
from anviltray.upstreams import UpstreamClient

# Fraction of the fleet's retry share that a host uses for its own requests. The rest covers
# requests that are counted in a different window than their retry.
_RETRY_SHARE_FRACTION = 0.8
# The budget window slides in steps of a tenth, so it must be longer than the window in which the
# platform checks the fleet's retry share.
_RETRY_WINDOW_FACTOR = 1.12
# Fraction of the fleet's retry slack that is divided among the known hosts; the rest is a reserve
# for hosts that are not known yet.
_RETRY_SLACK_FRACTION = 0.6
# Retries per window that a host may use regardless of its traffic. Zero, as those of many hosts
# would add up.
_MIN_RETRIES = 0
# Retries that exploration leaves in the budget for requests that an instance has refused.
_EXPLORATION_RESERVE = 2.0
_KEY_SECRET_BYTES = 32  # Secret of the digests of keys; new in each process.


class EdgeState:
    """Configuration, instance selection and retry budgets of one host."""

    def __init__(self, settings: HostSettings, upstreams: UpstreamClient, rng: Random) -> None:
        self.settings = settings
        self.upstreams = upstreams
        self.directory = InstanceDirectory()
        self.health_tracker = HealthTracker(self._limit_share)
        self.placement = Placement(
            Locality(settings.region, settings.zone),
            dict(settings.zone_regions),
            self.health_tracker,
            self.directory,
            upstreams,
            rng,
            settings.guarantees.floor_share,
        )
        self.response_times = ResponseTimes()
        self.unserved = UnservedShare()
        self.configuration: RoutingConfiguration | None = None
        self.accounts: AccountIndex | None = None  # None if the configuration has no accounts.
        # The last index of accounts, also when the configuration in force has none.
        self.account_index = AccountIndex(secrets.token_bytes(_KEY_SECRET_BYTES))
        self.loaded = asyncio.Event()  # The configuration and the instances are known.
        self.stopping: GracefulStop | None = None  # None unless the host stops.
        self.closed = False  # Whether the host ends the requests that are still in flight.
        self.clock = ElapsedClock()
        self.urgent = asyncio.Event()  # Failure evidence must be sent to the zone at once.
        self._routes = PrefixIndex()
        self._rng = rng
        self.fleet_size = 1  # Known hosts of the fleet, including this one.
        self._mean_rate_s = 1.0  # Mean of the allotted rates of the accounts that have one.
        self.serving_hosts = 1  # Hosts of the zone that have callers, including this one.
        self._slack = 0.0  # This host's part of the fleet's retry slack.
        self._slack_enabled = False
        self._service_choices: dict[str, WeightedChoice] = {}
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def shutting_down(self) -> bool:
        """Whether the host stops."""
        return self.stopping is not None

    def passes_on(self, expires_s: float, complete: bool) -> bool:
        """Returns whether a request may be sent to an instance for the first time.

        See `GracefulStop.passes_on`; a host that does not stop passes on all requests.
        """
        if self.closed or self.stopping is None:
            return not self.closed
        return self.stopping.passes_on(self.clock.now_s(), expires_s, complete)

    def can_repeat(self, expected_s: float) -> bool:
        """Returns whether the host runs long enough for another attempt of this duration."""
        return self.stopping is None or self.stopping.can_repeat(self.clock.now_s(), expected_s)

    def configure(
        self, configuration: RoutingConfiguration, accounts: AccountIndex | None = None
    ) -> None:
        """Applies a configuration; `accounts` is the index of its accounts, if it has any."""
        self.configuration = configuration
        self.accounts = accounts
        if accounts is not None:
            self.account_index = accounts
        rates_s = [each.rate_per_s for each in (configuration.accounts or {}).values()]
        limited = [rate_s for rate_s in rates_s if rate_s > 0]
        self._mean_rate_s = sum(limited) / len(limited) if limited else 1.0
        self._divide_connections()
        self._routes = PrefixIndex(configuration.routes)
        previous = self._service_choices
        self._service_choices = {}
        for route in configuration.routes:
            choice = previous.get(route.name)
            if choice is None or choice.destinations != route.destinations:
                choice = WeightedChoice(route.destinations, self._rng.random())
            self._service_choices[route.name] = choice
        self.response_times.keep_only(frozenset(self._service_choices))
        self.unserved.keep_only(configuration.services)

    def account_weight(self, account: str) -> float:
        """Returns what an account is owed of a service that is short of room, in requests/s.

        Only the ratio between accounts matters. Those without an allotted rate, and requests
        without an account, count like an average account.
        """
        accounts = None if self.configuration is None else self.configuration.accounts
        found = None if accounts is None else accounts.get(account)
        return self._mean_rate_s if found is None else found.rate_per_s or self._mean_rate_s

    def _divide_connections(self) -> None:
        """Divides the connections that an instance accepts among the hosts.

        The smallest limit of any service applies to all instances, since an address may be reused
        by another service.
        """
        if self.configuration is not None and self.configuration.services:
            limit = min(
                service.connection_limit for service in self.configuration.services.values()
            )
            self.upstreams.set_node_count(self.fleet_size, limit)

    def _limit_share(self, key: str) -> float:
        instance = self.directory.instances.get(key)
        own_zone = instance is None or instance.zone == self.settings.zone
        return limit_share(own_zone, len(self.settings.zone_regions))

    def find_route(self, host: str, path: str) -> PrefixRoute | None:
        """Returns the route of a request, or None if none matches."""
        return self._routes.find(host, path)

    def choose_service(self, route: PrefixRoute) -> str:
        """Returns the service for the next request of a route, by the weights of the route."""
        return self._service_choices[route.name].choose()

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns this host's part of the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            guarantees = self.settings.guarantees
            budget = self._budgets[service] = RetryBudget(
                share=guarantees.retry_share * _RETRY_SHARE_FRACTION,
                window_s=guarantees.retry_window_s * _RETRY_WINDOW_FACTOR,
                minimum=_MIN_RETRIES,
            )
            budget.slack = self._usable_slack
        return budget

    def retry_usage(self) -> dict[str, dict[str, float]]:
        """Returns the usage of this host's retry budgets by service, for logs."""
        now_s = self.clock.now_s()
        return {
            service: budget.usage(now_s)._asdict()
            for service, budget in sorted(self._budgets.items())
        }

    @property
    def slack_delay_s(self) -> float:
        """Seconds after a start in which the slack spent by a previous process still counts.

        Zero at the first start of the fleet, when there is no previous process.
        """
        if self.settings.first_start:
            return 0.0
        return self.settings.guarantees.retry_window_s * _RETRY_WINDOW_FACTOR

    def enable_slack(self) -> None:
        """Lets this host use its part of the fleet's retry slack; due after `slack_delay_s`."""
        self._slack_enabled = True
        self._set_slack()

    def set_fleet_size(self, hosts: int) -> None:
        """Divides the fleet's retry slack and the instances' connections among `hosts` hosts."""
        self.fleet_size = hosts
        self._slack = self.settings.guarantees.retry_slack * _RETRY_SLACK_FRACTION / hosts
        self._set_slack()
        self._divide_connections()

    @property
    def _usable_slack(self) -> float:
        return self._slack if self._slack_enabled else 0.0

    def _set_slack(self) -> None:
        for budget in self._budgets.values():
            budget.slack = self._usable_slack

    def can_explore(self, service: str) -> bool:
        """Returns whether this host's budget allows exploring and a retry if that fails."""
        return self.retry_budget(service).remaining(self.clock.now_s()) >= _EXPLORATION_RESERVE
