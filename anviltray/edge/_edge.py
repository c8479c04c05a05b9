"""Assembles the tasks and the state of one edge host."""

import asyncio
import contextlib
import random
import secrets
import socket
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import logbook

from anviltray.callers import (
    CallerHeaders,
    CallerPressure,
    bind,
    protocol_class,
    serve,
    serve_internal,
)
from anviltray.decisions.limits import CallerMemory, divide_descriptors
from anviltray.decisions.stopping import GracefulStop
from anviltray.declarations import ClientAccount, RoutingConfiguration
from anviltray.edge._activation import ConfigurationActivation
from anviltray.edge._allotments import Allotments
from anviltray.edge._dispatcher import EdgeDispatcher
from anviltray.edge._loans import RetryLoans
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._process_memory import resident_bytes
from anviltray.edge._resources import (
    DirectoryResource,
    MetricsResource,
    ReadinessResource,
    SnapshotResource,
    create_application,
)
from anviltray.edge._serving import ServingZone
from anviltray.edge._state import EdgeState
from anviltray.messages import (
    HostBeacon,
    HostLocality,
    ZoneBeliefs,
    ZoneLoads,
    ZoneObservations,
    ZoneOutcomes,
)
from anviltray.platform import KeyedStore, names
from anviltray.settings import HostSettings, build_caller_settings, build_upstream_settings
from anviltray.telemetry import log_failure
from anviltray.upstreams import UpstreamClient
from anviltray.zone import STANDBY, StoreFollower, ZoneExchange, fetch_snapshot

_log = logbook.Logger("anviltray.edge")

# Callers cache an address list this long; afterwards they do not connect to a stopping host.
_ADDRESS_LIST_LIFETIME_S = 2.0
_MAX_DIRECTORY_ADDRESSES = 64  # Callers ignore further addresses in one response.
# Observations of instances are batched this long; failures are sent to the zone at once.
_OBSERVATION_INTERVAL_S = 0.2
# The unserved share of a service decays within seconds, and each host processes the reports of all
# other hosts of its zone.
_OUTCOMES_INTERVAL_S = 1.0
# One serving host of each zone sends the zone's beliefs about its instances to the other zones of
# the region, and what the zone has in flight at their instances to all zones. Traffic between zones
# is billed, so only two hosts per zone receive beliefs; the second one is there in case the first
# one has failed. Loads go to one host, as a lost report of them is replaced before it matters.
_BELIEF_INTERVAL_S = 0.5
_BELIEF_RECEIVERS = 2
# The fleet size, by which shared limits are divided, changes when hosts start or are added.
_FLEET_SIZE_INTERVAL_S = 3.0
_STATISTICS_INTERVAL_S = 10.0
_STORE_TIMEOUT_S = 1.5
# Round trips take at most 16 ms, and an unreachable instance must not delay a request for longer
# than this timeout.
_CONNECT_TIMEOUT_S = 0.4
# Instances close idle connections, after a timeout that most of them state, and a request sent at
# that moment is lost.
_IDLE_LIMIT_S = 8.0
_UNREPEATABLE_IDLE_LIMIT_S = 5.0
# Added to the configured idle timeout, for callers that reuse a connection just before it expires.
_IDLE_MARGIN_S = 1.0
METRICS_PORT = 9464


class Edge:
    """One edge host, with all its tasks and their state.

    Example: `edge = Edge(load_host_settings(path))`, `await edge.start()`, `await edge.stop()`.
    """

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self._rng = rng = random.Random(secrets.randbits(64))
        self.metrics = EdgeMetrics()
        self._descriptors = divide_descriptors(settings.descriptor_limit)
        upstreams = UpstreamClient(
            _build_upstream_settings(), settings.address, self._descriptors.upstreams
        )
        self.state = EdgeState(settings, upstreams, rng)
        locality = HostLocality(settings.address, settings.zone)
        self.exchange = ZoneExchange(locality, settings.first_internal_port, self._create_beacon)
        self.store = KeyedStore(settings.store_address, _STORE_TIMEOUT_S)
        self.follower = StoreFollower(
            locality, self.store, self.exchange, self.state.directory, self._fetch_snapshot, rng
        )
        self._caller_memory = CallerMemory(settings.memory_limit_bytes)
        self._pressure = CallerPressure(self._caller_memory)
        self._set_caller_memory()
        self._protocol = protocol_class(
            build_caller_settings({"connection_limit": self._descriptors.callers}), self._pressure
        )
        self._serving_zone = ServingZone(self.state, self.exchange)
        self._allotments = Allotments(
            settings, self.state.clock, self.exchange, self._accounts, self._grants_allotments, rng
        )
        self._dispatcher = EdgeDispatcher(
            self.state,
            RetryLoans(settings.address, self.state, self.exchange, rng),
            self._allotments,
            self.metrics,
            self._protocol.caller_settings,
            CallerHeaders(
                names.REQUEST_ID_HEADER.lower().encode(),
                names.DEADLINE_HEADER.lower().encode(),
                names.ACCOUNT_HEADER.lower().encode(),
            ),
            names.EXPECTED_INSTANCE_HEADER,
            names.ACCOUNT_HEADER,
        )
        self._slack_timer: asyncio.TimerHandle | None = None
        self._incarnation = secrets.randbits(63)
        self._sequence = 0
        self._listening = False
        self.failed = asyncio.Event()  # A background task has failed; the host must be restarted.
        self._tasks: list[asyncio.Task[Any]] = []
        self._stop_callers = asyncio.Event()
        self._stop_internal = asyncio.Event()
        self._listeners: list[socket.socket] = []
        self._serving: list[asyncio.Task[Any]] = []
        self.metrics.attach_counters("zone", lambda: self.exchange.counters)
        self.metrics.attach_counters("store", lambda: self.follower.counters)
        self.metrics.attach_counters("allotments", lambda: self._allotments.counters)
        self.metrics.attach_counters("callers", lambda: self._caller_memory.counters)
        self.exchange.register_handler(ZoneObservations, self._handle_observations)
        self.exchange.register_handler(ZoneOutcomes, self._handle_outcomes)
        self.exchange.register_handler(ZoneBeliefs, self._handle_beliefs)
        self.exchange.register_handler(ZoneLoads, self._handle_loads)
        self.exchange.subscribe_to_lost_hosts(self.state.health_tracker.remove_peer)
        self._activation = ConfigurationActivation(self.state, self._on_configuration)
        self.follower.subscribe_to_configurations(self._activation.start)
        self.follower.subscribe_to_load(self._set_loaded)

    async def start(self) -> None:
        """Binds all addresses and starts the tasks; raises OSError if an address is in use."""
        settings = self.settings
        callers = bind(settings.caller_address)
        addresses = {
            settings.readiness_address,
            settings.directory_address,
            f"{settings.address}:{settings.first_internal_port}",
            f"{settings.address}:{METRICS_PORT}",
        }
        listeners = [bind(address) for address in sorted(addresses)]
        self._listeners = [callers, *listeners]
        loop = asyncio.get_running_loop()
        self._slack_timer = loop.call_later(self.state.slack_delay_s, self.state.enable_slack)
        await self.exchange.start()
        internal_application = create_application(
            DirectoryResource(
                self.entry_addresses, self.not_ready_reasons, _ADDRESS_LIST_LIFETIME_S, self.metrics
            ),
            ReadinessResource(self.not_ready_reasons),
            SnapshotResource(self.follower.snapshot, settings.first_internal_port),
            MetricsResource(self.metrics),
        )
        self._serving = [
            asyncio.create_task(
                serve(
                    self._dispatcher,
                    self._protocol.caller_settings,
                    callers,
                    self._stop_callers,
                    self._on_listening,
                    self._protocol,
                )
            ),
            asyncio.create_task(
                serve_internal(
                    internal_application,
                    listeners,
                    self._stop_internal,
                    self._pressure,
                    self._descriptors.internal,
                )
            ),
        ]
        self.exchange.request_hosts(settings.seed_addresses)
        for task in (
            self.exchange.run(),
            self.follower.run(),
            self._send_observations(),
            self._send_outcomes(),
            self._send_zone_reports(),
            self._refresh_fleet_size(),
            self._allotments.run(),
        ):
            created = asyncio.create_task(log_failure(task, _log))
            created.add_done_callback(self._on_task_done)
            self._tasks.append(created)
        _log.info(
            "started",
            extra={
                "node": settings.node,
                "zone": settings.zone,
                "callers": settings.caller_address,
            },
        )

    async def stop(self) -> None:
        """Stops gracefully, within the grace period of the settings.

        The host becomes not ready and leaves the directory. It serves callers that have cached its
        address, then closes its listener and completes the requests in flight. Requests that come
        too late to end in time are rejected (see `GracefulStop`), and those that are still in
        flight at the end are interrupted.
        """
        loop, state = asyncio.get_running_loop(), self.state
        grace_s = self.settings.guarantees.grace_s
        state.stopping = stop = GracefulStop(state.clock.now_s(), grace_s)
        started_s = loop.time()
        self.exchange.send_beacon()
        _log.info("stopping", extra={"node": self.settings.node, "grace_s": grace_s})
        rejecting = loop.call_at(
            started_s + stop.all_until_s - stop.started_s, self._dispatcher.reject_late_requests
        )
        await asyncio.sleep(stop.closes_listener_s - stop.started_s)
        self._stop_callers.set()
        interrupts_s = started_s + stop.interrupts_s - stop.started_s
        await asyncio.wait(self._serving[:1], timeout=max(0.0, interrupts_s - loop.time()))
        rejecting.cancel()
        await self.close()
        _log.info("stopped", extra={"node": self.settings.node})

    async def close(self) -> None:
        """Ends the requests in flight, cancels all tasks and closes all sockets."""
        self.state.closed = True
        # Before the connections to instances are closed: these requests must not be retried.
        interrupted = await self._dispatcher.interrupt_requests()
        if interrupted:
            _log.warning("requests interrupted", extra={"requests": interrupted})
        if self._slack_timer is not None:
            self._slack_timer.cancel()
        self._stop_callers.set()
        self._stop_internal.set()
        self._activation.cancel()
        for task in (*self._tasks, *self._serving):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._serving, return_exceptions=True)
        for listener in self._listeners:
            listener.close()
        self.exchange.close()
        await self.state.upstreams.close()
        await self.store.close()

    def reload(self, settings: HostSettings) -> None:
        """Applies changed settings; changed addresses take effect at the next start."""
        changed = [
            name
            for name in HostSettings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.state.settings = settings
        self._set_caller_memory()
        _log.info("settings reloaded", extra={"changed": changed})

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Returns why this host accepts no requests; empty if it is ready."""
        reasons = []
        if self.state.shutting_down:
            reasons.append("the host is stopping")
        if not self._listening:
            reasons.append("the host is starting")
        if not self.follower.loaded or self.state.configuration is None:
            reasons.append("the configuration or the instances are unknown")
        return tuple(reasons)

    def entry_addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the serving hosts of this zone."""
        serving = self._serving_zone.listed(own_ready=not self.not_ready_reasons())
        return tuple(serving.values())[:_MAX_DIRECTORY_ADDRESSES]

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.failed.set()

    def _on_listening(self) -> None:
        self._listening = True

    def _set_caller_memory(self) -> None:
        """Sets the memory for callers to a share of what the process does not need for itself."""
        memory = self._caller_memory
        # While callers press, the process also keeps memory that they have given back.
        if not memory.is_short:
            process_bytes = resident_bytes() - memory.used_bytes
            memory.set_process(self.settings.memory_limit_bytes, process_bytes)

    def _set_loaded(self) -> None:
        if self.follower.loaded and self.state.configuration is not None:
            self.state.loaded.set()

    def _on_configuration(self, configuration: RoutingConfiguration) -> None:
        self._dispatcher.keep_services(frozenset(configuration.services))
        self._set_caller_memory()
        limits = configuration.limits
        settings = build_caller_settings(
            {
                "header_limit_bytes": limits.header_bytes,
                "body_limit_bytes": limits.body_bytes,
                "head_timeout_s": limits.header_timeout_s,
                # This setting is also the time after which idle connections are closed.
                "answer_lifetime_s": limits.idle_timeout_s + _IDLE_MARGIN_S,
                "connection_limit": self._descriptors.callers,
            }
        )
        self._protocol.caller_settings = settings
        self._dispatcher.set_limits(settings)
        self.state.set_fleet_size(len(self.exchange.hosts.localities()))
        self._set_loaded()

    def _create_beacon(self, answer: bool) -> HostBeacon:
        self._sequence += 1
        settings = self.settings
        reasons = self.not_ready_reasons()
        if self.state.shutting_down:
            state = "leaving"
        elif reasons:
            state = "starting"
        else:
            state = STANDBY if self._serving_zone.is_standby() else "ready"
        beacon = HostBeacon(
            host=settings.address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            zone=settings.zone,
            caller_address=settings.caller_address,
            state=state,
            reaches_store=self.follower.reaches_store,
            configuration_version=self.follower.version,
            instances_offset=self.follower.instances_offset,
            read_age_s=self.follower.read_age_s(),
            answer=answer,
            instances_generation=self.follower.instances_generation,
            instances_digest=self.follower.instances_digest,
        )
        self._allotments.on_beacon_sent(beacon)
        return beacon

    def _accounts(self) -> Mapping[str, ClientAccount]:
        configuration = self.state.configuration
        return (configuration and configuration.accounts) or {}

    def _grants_allotments(self) -> bool:
        """Returns whether this host may grant allotted rates to the hosts of its zone."""
        return not self.not_ready_reasons() and not self._serving_zone.is_standby()

    async def _fetch_snapshot(self, host: str) -> Any:
        return await fetch_snapshot(f"{host}:{self.settings.first_internal_port}")

    def _handle_observations(self, message: ZoneObservations) -> None:
        now_s = asyncio.get_running_loop().time()
        self._serving_zone.on_observations(message.host)
        self.state.health_tracker.on_peer_observations(now_s, message.host, message.observations)

    def _handle_outcomes(self, message: ZoneOutcomes) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state.unserved.on_peer_outcomes(now_s, message.services)

    def _handle_beliefs(self, message: ZoneBeliefs) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state.health_tracker.on_zone_beliefs(now_s, message.zone, message.beliefs)
        if not message.passed_on:
            receivers = self._serving_zone.receivers()
            self.exchange.send_to_hosts(receivers, message._replace(passed_on=True))

    def _handle_loads(self, message: ZoneLoads) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state.health_tracker.on_zone_loads(now_s, message.zone, message.loads)
        if not message.passed_on:
            receivers = self._serving_zone.receivers()
            self.exchange.send_to_hosts(receivers, message._replace(passed_on=True))

    async def _refresh_fleet_size(self) -> None:
        """Keeps the fleet size current by requesting the host list of a random peer.

        A peer that started later knows hosts that this one has not learned of.
        """
        while True:
            await asyncio.sleep(_FLEET_SIZE_INTERVAL_S)
            peers = [host.beacon.host for host in self.exchange.alive()]
            # Without live peers, the seeds get the request again; the first one may have been lost.
            targets = (self._rng.choice(peers),) if peers else self.settings.seed_addresses
            self.exchange.request_hosts(targets)
            self.state.set_fleet_size(len(self.exchange.hosts.localities()))
            self.state.serving_hosts = 1 + len(self._serving_zone.receivers())

    async def _send_zone_reports(self) -> None:
        health_tracker = self.state.health_tracker
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_BELIEF_INTERVAL_S)
            health_tracker.expire_zone_reports(loop.time())
            serving = self._serving_zone.hosts(own_ready=not self.not_ready_reasons())
            if next(iter(serving), None) == self.settings.address:
                instances = defaultdict(list)
                for key, instance in self.state.directory.instances.items():
                    instances[instance.zone].append(key)
                for zone, hosts in self.exchange.hosts.other_zones().items():
                    self._send_zone_report(loop.time(), zone, hosts, instances)

    def _send_zone_report(
        self, now_s: float, zone: str, hosts: Sequence[str], instances: Mapping[str, Sequence[str]]
    ) -> None:
        """Sends beliefs and loads to some `hosts` of another zone; `instances` is by zone."""
        settings, health_tracker = self.settings, self.state.health_tracker
        receivers = self._rng.sample(hosts, min(len(hosts), _BELIEF_RECEIVERS))
        loads = health_tracker.loads(instances.get(zone, ()))
        if loads and receivers:
            self.exchange.send(receivers[0], ZoneLoads(settings.zone, False, loads))
        keys: Iterable[str] = instances.get(settings.zone, ())
        if settings.zone_regions.get(zone) != settings.region:
            # Traffic between regions is expensive, so a zone of another region is only told about
            # those instances to which it sends requests.
            keys = health_tracker.instances_used_by(zone)
        beliefs = health_tracker.beliefs(now_s, keys, zone)
        if beliefs:
            for host in receivers:
                self.exchange.send(host, ZoneBeliefs(settings.zone, False, beliefs))

    async def _send_outcomes(self) -> None:
        while True:
            await asyncio.sleep(_OUTCOMES_INTERVAL_S)
            services = self.state.unserved.pop_outcomes()
            if services:
                self.exchange.send_to_zone(ZoneOutcomes(self.settings.address, services))

    async def _send_observations(self) -> None:
        health_tracker = self.state.health_tracker
        loop = asyncio.get_running_loop()
        last_statistics_s = loop.time()
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.state.urgent.wait(), _OBSERVATION_INTERVAL_S)
            self.state.urgent.clear()
            now_s = loop.time()
            observations = health_tracker.pop_observations()
            if observations:
                message = ZoneObservations(self.settings.address, observations)
                self.exchange.send_to_hosts(self._serving_zone.receivers(), message)
            if now_s - last_statistics_s > _STATISTICS_INTERVAL_S:
                last_statistics_s = now_s
                health_tracker.keep_only(self.state.directory.instances)
                _log.info(
                    "statistics",
                    extra={
                        "zone": dict(self.exchange.counters),
                        "store": dict(self.follower.counters),
                        "hosts": len(self.exchange.alive()),
                        "fleet_size": self.state.fleet_size,
                        "retries": self.state.retry_usage(),
                        "read_age_s": round(self.follower.read_age_s(), 2),
                    },
                )


def _build_upstream_settings() -> Any:
    return build_upstream_settings(
        {
            "connect_timeout_s": _CONNECT_TIMEOUT_S,
            "idle_limit_s": _IDLE_LIMIT_S,
            "unrepeatable_idle_limit_s": _UNREPEATABLE_IDLE_LIMIT_S,
            "deadline_header": names.DEADLINE_HEADER,
            "request_id_header": names.REQUEST_ID_HEADER,
            "shed_header": names.NOT_EXECUTED_HEADER,
            "refusal_statuses": names.REFUSAL_STATUSES,
            "require_request_id": True,
            "accept_unframed": True,
            "drain_header": "",
            "load_header": "",
            "cold_header": "",
        }
    )
