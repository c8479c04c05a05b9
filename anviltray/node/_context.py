"""What a node gives to its caller application: the decision objects and its state."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from random import Random

from anviltray.callers import Outcome
from anviltray.decisions.attempts import AttemptTable, StoredResponse
from anviltray.decisions.draining import DrainingSet
from anviltray.decisions.ejection import OutlierEjector
from anviltray.decisions.entry import entry_addresses
from anviltray.decisions.limits import Admission, LinkBudget
from anviltray.decisions.retries import RetryBudget, rule_for
from anviltray.decisions.routing import LoadTracker, NodeLocality, Router, routers
from anviltray.declarations import RetryRule, Service
from anviltray.messages import Member
from anviltray.reports import BurnCounters
from anviltray.settings import Settings
from anviltray.state.configuration import ConfigurationStore
from anviltray.state.exchange import Exchange
from anviltray.telemetry import Metrics
from anviltray.upstreams import UpstreamClient

ROUTER = "two_choices"


class _ServiceState:
    """Decision objects of one service."""

    __slots__ = ("admission", "retry_budget", "router")

    def __init__(self, router: Router) -> None:
        self.admission = Admission()
        self.retry_budget = RetryBudget()
        self.router = router


class NodeContext:
    """Implements `anviltray.callers.CallerContext`; must be created in the event loop."""

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        exchange: Exchange,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        own = exchange.membership.own
        self.settings = settings
        self.metrics = metrics
        self.exchange = exchange
        self.store = store
        self.upstreams = UpstreamClient(
            settings.upstreams, settings.caller_address.rpartition(":")[0]
        )
        self.ejector = OutlierEjector(
            settings.node,
            settings.region,
            settings.zone,
            rng,
            incarnation=own.incarnation,
            flush_interval_s=settings.exchange.flush_interval_s,
        )
        self.load_tracker = LoadTracker(settings.node, own.incarnation)
        self.draining_upstreams = DrainingSet()
        self.attempts = AttemptTable(settings.node, own.incarnation, settings.attempts)
        self.link = LinkBudget(settings.link.budget_bytes_s)
        self.burn = BurnCounters(settings.node, own.incarnation)
        self.shutting_down = False
        self.listening = False
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._states: dict[str, _ServiceState] = {}
        self._places: tuple[NodeLocality, ...] = (
            NodeLocality(settings.node, settings.region, settings.zone),
        )
        self._blocked: str | None = "starting"

    # Changes from configuration and membership

    def configure(self, changed: Iterable[str]) -> None:
        """Takes over the services in force, of which `changed` may differ."""
        services = self.store.fold.services
        for name in changed:
            if name not in services:
                self._states.pop(name, None)
            elif name not in self._states:
                self._states[name] = self._new_state()
        now_s = self._loop.time()
        self.ejector.configure(services, now_s)
        draining = (
            upstream.address
            for service in services.values()
            for upstream in service.upstreams
            if upstream.state == "draining"
        )
        self.draining_upstreams.set_operator_draining(now_s, draining)
        self.apply_draining(now_s)
        self.set_capacities(now_s)
        self.refresh_readiness()

    def apply_draining(self, now_s: float) -> None:
        """Passes the leaving upstreams on to the board."""
        self.ejector.set_draining(now_s, self.draining_upstreams.addresses)

    def set_capacities(self, now_s: float) -> None:
        """Sets the usable slots of each service for its admission."""
        nodes = len(self._places)
        for name, state in self._states.items():
            routable = self.ejector.routable(name)
            slots = sum(upstream.slots * upstream.weight for upstream in routable.upstreams)
            state.admission.set_capacity(now_s, slots, nodes)

    def set_members(self, members: Sequence[Member]) -> None:
        """Takes the nodes that share upstreams and link with this one."""
        places = {
            member.node: NodeLocality(member.node, member.region, member.zone) for member in members
        }
        own = self.settings
        places[own.node] = NodeLocality(own.node, own.region, own.zone)
        self._places = tuple(places[name] for name in sorted(places))
        now_s = self._loop.time()
        self.upstreams.set_nodes(len(self._places))
        self.link.set_nodes(now_s, len(self._places))
        for state in self._states.values():
            state.router.set_nodes(self._places)
        self.set_capacities(now_s)

    def refresh_readiness(self) -> None:
        """Recomputes whether the configuration lets this node serve."""
        self._blocked = self.store.not_ready_reason()

    def _new_state(self) -> _ServiceState:
        own = self.settings
        router = routers[ROUTER](
            own.region, own.zone, self.load_tracker, self._rng, node=own.node, link=self.link
        )
        router.set_nodes(self._places)
        return _ServiceState(router)

    # Requests

    def route(self, host: str, path: str) -> Service | None:
        """Returns the service of a request, None also while the configuration may be stale."""
        if self._blocked is not None:
            return None
        return self.store.fold.routes.route(host, path)

    def rule_for(self, service: Service, method: str, path: str) -> RetryRule | None:
        """Returns the rule that makes a request repeatable."""
        return rule_for(service, method, path)

    def router(self, service: str) -> Router:
        """Returns the router of a declared service."""
        return self._states[service].router

    def admission(self, service: str) -> Admission:
        """Returns the admission of a declared service."""
        return self._states[service].admission

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a declared service."""
        return self._states[service].retry_budget

    def stored_response(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> StoredResponse:
        """Returns the record of a response for replay."""
        return StoredResponse(status, tuple(headers), body)

    def record_completion(
        self, service: str, status: int, latency_s: float, outcome: Outcome
    ) -> None:
        """Counts an answered request; a status below 500 within the objective is good."""
        declared = self.services.get(service)
        if declared is None:
            return
        good = status < 500 and latency_s * 1000.0 <= declared.objective_latency_ms
        self.burn.record(service, good=good)
        self.metrics.increment(f"requests.{outcome}")

    def count(self, event: str) -> None:
        """Counts an event."""
        self.metrics.increment(event)

    # Nodes

    def members(self) -> Iterable[Member]:
        """Returns the nodes that may be named to callers."""
        members = self.exchange.membership.serving()
        own = self.settings.node
        usable = self.listening and not self.shutting_down and self._blocked is None
        return members if usable else [member for member in members if member.node != own]

    def entry_addresses(
        self, members: Iterable[Member], service: str, region: str, caller: str, count: int
    ) -> tuple[str, ...]:
        """Returns the entry addresses for a caller."""
        return entry_addresses(members, service, region, caller, count)

    def has_service(self, service: str) -> bool:
        """Tells whether the service is declared."""
        return service in self.services

    def node_address(self, node: str, incarnation: int) -> str | None:
        """Returns the caller address of exactly that incarnation, None if it is not known."""
        member: Member | None = self.exchange.membership.members.get(node)
        if member is None or member.incarnation != incarnation or member.status == "dead":
            return None
        return member.caller_address

    def not_ready(self) -> tuple[str, ...]:
        """Returns why the node is not ready."""
        reasons = [] if self._blocked is None else [self._blocked]
        if self.exchange.isolated:
            reasons.append("no connection to any other node")
        return tuple(reasons)

    @property
    def services(self) -> Mapping[str, Service]:
        """The services in force."""
        return self.store.fold.services
