"""State and policies of a node, as the application for callers uses them."""

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
    """Policies of one service."""

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
        self._service_states: dict[str, _ServiceState] = {}
        self._localities: tuple[NodeLocality, ...] = (
            NodeLocality(settings.node, settings.region, settings.zone),
        )
        self._not_ready_reason: str | None = "starting"

    # Changes from configuration and membership

    def configure(self, changed: Iterable[str]) -> None:
        """Applies the active configuration, in which the services `changed` may differ."""
        services = self.store.fold.services
        for name in changed:
            if name not in services:
                self._service_states.pop(name, None)
            elif name not in self._service_states:
                self._service_states[name] = self._new_state()
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
        """Passes the draining upstreams to the outlier ejector."""
        self.ejector.set_draining(now_s, self.draining_upstreams.addresses)

    def set_capacities(self, now_s: float) -> None:
        """Sets the routable slots of each service for its admission control."""
        nodes = len(self._localities)
        for name, state in self._service_states.items():
            routable = self.ejector.routable(name)
            slots = sum(upstream.slots * upstream.weight for upstream in routable.upstreams)
            state.admission.set_capacity(now_s, slots, nodes)

    def set_members(self, members: Sequence[Member]) -> None:
        """Sets the nodes that share the upstreams and the link with this node."""
        localities = {
            member.node: NodeLocality(member.node, member.region, member.zone) for member in members
        }
        own = self.settings
        localities[own.node] = NodeLocality(own.node, own.region, own.zone)
        self._localities = tuple(localities[name] for name in sorted(localities))
        now_s = self._loop.time()
        self.upstreams.set_node_count(len(self._localities))
        self.link.set_nodes(now_s, len(self._localities))
        for state in self._service_states.values():
            state.router.set_nodes(self._localities)
        self.set_capacities(now_s)

    def refresh_readiness(self) -> None:
        """Updates the reason why the configuration store is not ready, if any."""
        self._not_ready_reason = self.store.not_ready_reason()

    def _new_state(self) -> _ServiceState:
        own = self.settings
        router = routers[ROUTER](
            own.region, own.zone, self.load_tracker, self._rng, node=own.node, link=self.link
        )
        router.set_nodes(self._localities)
        return _ServiceState(router)

    # Requests

    def route(self, host: str, path: str) -> Service | None:
        """Returns the service of a request; None also while the configuration may be stale."""
        if self._not_ready_reason is not None:
            return None
        return self.store.fold.routes.route(host, path)

    def rule_for(self, service: Service, method: str, path: str) -> RetryRule | None:
        """Returns the rule that allows retries of a request, or None."""
        return rule_for(service, method, path)

    def router(self, service: str) -> Router:
        """Returns the router of a declared service."""
        return self._service_states[service].router

    def admission(self, service: str) -> Admission:
        """Returns the admission control of a declared service."""
        return self._service_states[service].admission

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a declared service."""
        return self._service_states[service].retry_budget

    def stored_response(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> StoredResponse:
        """Returns the record of a response for replay."""
        return StoredResponse(status, tuple(headers), body)

    def record_completion(
        self, service: str, status: int, latency_s: float, outcome: Outcome
    ) -> None:
        """Counts a completed request; good is a status below 500 within the latency objective."""
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
        """Returns the nodes whose addresses may be offered to callers."""
        members = self.exchange.membership.serving()
        own = self.settings.node
        usable = self.listening and not self.shutting_down and self._not_ready_reason is None
        return members if usable else [member for member in members if member.node != own]

    def entry_addresses(
        self, members: Iterable[Member], service: str, region: str, caller: str, count: int
    ) -> tuple[str, ...]:
        """Returns the entry addresses for a caller."""
        return entry_addresses(members, service, region, caller, count)

    def has_service(self, service: str) -> bool:
        """Returns whether the service is declared."""
        return service in self.services

    def node_address(self, node: str, incarnation: int) -> str | None:
        """Returns the caller address of that incarnation, or None if it is unknown or dead."""
        member: Member | None = self.exchange.membership.members.get(node)
        if member is None or member.incarnation != incarnation or member.status == "dead":
            return None
        return member.caller_address

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Returns the reasons why the node is not ready; empty if it is ready."""
        reasons = [] if self._not_ready_reason is None else [self._not_ready_reason]
        if self.exchange.isolated:
            reasons.append("no connection to any other node")
        return tuple(reasons)

    @property
    def services(self) -> Mapping[str, Service]:
        """Services of the active configuration by name."""
        return self.store.fold.services
