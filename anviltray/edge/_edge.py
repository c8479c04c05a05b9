"""Assembly of one edge host."""

import asyncio
import contextlib
import random
import secrets
import socket
from typing import Any

import logbook

from anviltray.callers import CallerHeaders, bind, protocol_class, serve, serve_internal
from anviltray.declarations import RoutingConfiguration
from anviltray.edge._dispatcher import EdgeDispatcher
from anviltray.edge._metrics import EdgeMetrics
from anviltray.edge._pages import (
    DirectoryPage,
    MetricsPage,
    ReadyPage,
    SnapshotPage,
    create_pages,
)
from anviltray.edge._state import EdgeState
from anviltray.messages import HostBeacon, HostPlace, ZoneBeliefs, ZoneObservations
from anviltray.platform import KeyedStore, names
from anviltray.settings import HostSettings, build_caller_settings, build_upstream_settings
from anviltray.telemetry import log_failure
from anviltray.upstreams import UpstreamClient
from anviltray.zone import StoreFollower, ZoneExchange, fetch_snapshot

_log = logbook.Logger("anviltray.edge")

# Callers hold a list this long; a host that leaves is out of use after it.
_ANSWER_LIFETIME_S = 2.0
_DIRECTORY_ADDRESSES = 64  # More addresses in one answer are not read.
# News about instances is collected this long before it goes to the zone; failures go at once.
_OBSERVATION_INTERVAL_S = 0.2
# One host of each zone tells the other zones of its region what the zone believes. Bytes between
# zones are paid, and each time two hosts get them, of which one may be gone.
_BELIEF_INTERVAL_S = 0.5
_BELIEF_RECEIVERS = 2
# The number of hosts divides what the fleet shares; it changes when hosts start or are added.
_FLEET_INTERVAL_S = 3.0
_STATISTICS_INTERVAL_S = 10.0
_STORE_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 0.4  # The longest round trip is 16 ms; a dark instance must not cost more.
# Instances close a connection that is idle for 10 s, and the request that crosses is lost.
_IDLE_LIMIT_S = 6.0
_UNREPEATABLE_IDLE_LIMIT_S = 4.0
_IDLE_MARGIN_S = 1.0  # Callers that reuse a connection at the end of its idle time still arrive.
# Callers with an older answer still arrive after the signal to stop; the rest of the grace period
# is for requests in flight, less this margin.
_LINGER_SHARE = 0.4
_STOP_MARGIN_S = 0.4
METRICS_PORT = 9464


class Edge:
    """One edge host: all tasks and the state they own.

    Example: `edge = Edge(load_host_settings(path))`, `await edge.start()`, `await edge.stop()`.
    """

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self._rng = rng = random.Random(secrets.randbits(64))
        self.metrics = EdgeMetrics()
        upstreams = UpstreamClient(_upstream_settings(), settings.address)
        self.state = EdgeState(settings, upstreams, rng)
        place = HostPlace(settings.address, settings.zone)
        self.exchange = ZoneExchange(place, settings.first_internal_port, self._beacon)
        self.store = KeyedStore(settings.store_address, _STORE_TIMEOUT_S)
        self.follower = StoreFollower(
            place, self.store, self.exchange, self.state.directory, self._fetch, rng
        )
        self._protocol = protocol_class(build_caller_settings({}))
        self._dispatcher = EdgeDispatcher(
            self.state,
            self.metrics,
            self._protocol.caller_settings,
            CallerHeaders(names.REQUEST_ID.lower().encode(), names.DEADLINE_MS.lower().encode()),
            names.EXPECTED_INSTANCE,
            names.SEAL,
        )
        self._slack_timer: asyncio.TimerHandle | None = None
        self._incarnation = secrets.randbits(63)
        self._sequence = 0
        self._listening = False
        self.failed = asyncio.Event()  # A task has ended by an error; the host is of no use.
        self._tasks: list[asyncio.Task[Any]] = []
        self._stop_callers = asyncio.Event()
        self._stop_pages = asyncio.Event()
        self._listeners: list[socket.socket] = []
        self._serving: list[asyncio.Task[Any]] = []
        self.metrics.attach("zone", lambda: self.exchange.counters)
        self.metrics.attach("store", lambda: self.follower.counters)
        self.exchange.on(ZoneObservations, self._take_observations)
        self.exchange.on(ZoneBeliefs, self._take_beliefs)
        self.exchange.on_silent(self.state.board.remove_peer)
        self.follower.on_configuration(self._configure)

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
        self._slack_timer = loop.call_later(self.state.slack_delay_s, self.state.grant_slack)
        await self.exchange.start()
        pages = create_pages(
            DirectoryPage(self.entry_addresses, _ANSWER_LIFETIME_S),
            ReadyPage(self.not_ready),
            SnapshotPage(self.follower.snapshot),
            MetricsPage(self.metrics),
        )
        self._serving = [
            asyncio.create_task(
                serve(
                    self._dispatcher,
                    self._protocol.caller_settings,
                    callers,
                    self._stop_callers,
                    self._started,
                    self._protocol,
                )
            ),
            asyncio.create_task(serve_internal(pages, listeners, self._stop_pages)),
        ]
        self.exchange.ask_hosts(settings.seed_addresses)
        for task in (
            self.exchange.run(),
            self.follower.run(),
            self._send_observations(),
            self._send_beliefs(),
            self._count_hosts(),
        ):
            created = asyncio.create_task(log_failure(task, _log))
            created.add_done_callback(self._task_ended)
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
        """Leaves without cutting a request.

        The host is no longer named to callers and not ready. It serves those that still hold its
        address, then closes its listener, finishes what is in flight and ends.
        """
        loop = asyncio.get_running_loop()
        grace_s = self.settings.guarantees.grace_s
        end_s = loop.time() + grace_s - _STOP_MARGIN_S
        self.state.shutting_down = True
        self.exchange.send_beacon()
        _log.info("stopping", extra={"node": self.settings.node, "grace_s": grace_s})
        await asyncio.sleep(grace_s * _LINGER_SHARE)
        self._stop_callers.set()
        await asyncio.wait(self._serving[:1], timeout=max(0.0, end_s - loop.time()))
        await self.close()
        _log.info("stopped", extra={"node": self.settings.node})

    async def close(self) -> None:
        """Ends all tasks at once."""
        if self._slack_timer is not None:
            self._slack_timer.cancel()
        self._stop_callers.set()
        self._stop_pages.set()
        for task in (*self._tasks, *self._serving):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._serving, return_exceptions=True)
        for listener in self._listeners:
            listener.close()
        self.exchange.close()
        await self.state.upstreams.close()
        await self.store.close()

    def reload(self, settings: HostSettings) -> None:
        """Takes changed settings; addresses stay as they are until the next start."""
        changed = [
            name
            for name in HostSettings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.state.settings = settings
        _log.info("settings reloaded", extra={"changed": changed})

    def not_ready(self) -> tuple[str, ...]:
        """Returns why this host takes no requests, nothing if it does."""
        reasons = []
        if self.state.shutting_down:
            reasons.append("the host is stopping")
        if not self._listening:
            reasons.append("the host is starting")
        if not self.follower.loaded:
            reasons.append("the configuration or the instances are unknown")
        return tuple(reasons)

    def entry_addresses(self) -> tuple[str, ...]:
        """Returns the addresses of the ready hosts of this zone."""
        addresses = [
            host.beacon.caller_address
            for host in self.exchange.alive()
            if host.beacon.state == "ready"
        ]
        if not self.not_ready():
            addresses.append(self.settings.caller_address)
        return tuple(addresses[:_DIRECTORY_ADDRESSES])

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.failed.set()

    def _started(self) -> None:
        self._listening = True

    def _configure(self, configuration: RoutingConfiguration) -> None:
        self.state.configure(configuration)
        limits = configuration.limits
        settings = build_caller_settings(
            {
                "header_limit_bytes": limits.header_bytes,
                "body_limit_bytes": limits.body_bytes,
                "head_timeout_s": limits.header_timeout_s,
                # Idle connections are closed after the lifetime of an answer.
                "answer_lifetime_s": limits.idle_timeout_s + _IDLE_MARGIN_S,
            }
        )
        self._protocol.caller_settings = settings
        self._dispatcher.set_limits(settings)
        self.state.set_fleet_size(len(self.exchange.hosts.places()))

    def _beacon(self, answer: bool) -> HostBeacon:
        self._sequence += 1
        settings = self.settings
        reasons = self.not_ready()
        state = "leaving" if self.state.shutting_down else "starting" if reasons else "ready"
        return HostBeacon(
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
        )

    async def _fetch(self, host: str) -> Any:
        return await fetch_snapshot(f"{host}:{self.settings.first_internal_port}")

    def _take_observations(self, message: ZoneObservations) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state.board.on_peer_observations(now_s, message.host, message.observations)

    def _take_beliefs(self, message: ZoneBeliefs) -> None:
        now_s = asyncio.get_running_loop().time()
        self.state.board.on_zone_beliefs(now_s, message.zone, message.beliefs)
        if not message.passed_on:
            self.exchange.send_to_zone(message._replace(passed_on=True))

    async def _count_hosts(self) -> None:
        """Asks a neighbour which hosts there are; one that started later knows more."""
        while True:
            await asyncio.sleep(_FLEET_INTERVAL_S)
            neighbours = [host.beacon.host for host in self.exchange.alive()]
            # Without neighbours the seeds may know some; the first question may have been lost.
            asked = (self._rng.choice(neighbours),) if neighbours else self.settings.seed_addresses
            self.exchange.ask_hosts(asked)
            self.state.set_fleet_size(len(self.exchange.hosts.places()))

    async def _send_beliefs(self) -> None:
        settings = self.settings
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_BELIEF_INTERVAL_S)
            if not self.follower.reads_for_zone:
                continue
            own = [
                key
                for key, instance in self.state.directory.instances.items()
                if instance.zone == settings.zone
            ]
            message = ZoneBeliefs(settings.zone, False, self.state.board.beliefs(loop.time(), own))
            for zone, hosts in self.exchange.hosts.other_zones().items():
                if settings.zone_regions.get(zone) == settings.region and message.beliefs:
                    count = min(len(hosts), _BELIEF_RECEIVERS)
                    for host in self._rng.sample(hosts, count):
                        self.exchange.send(host, message)

    async def _send_observations(self) -> None:
        board = self.state.board
        loop = asyncio.get_running_loop()
        cleaned_s = loop.time()
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.state.urgent.wait(), _OBSERVATION_INTERVAL_S)
            self.state.urgent.clear()
            now_s = loop.time()
            observations = board.pop_observations()
            if observations:
                message = ZoneObservations(self.settings.address, observations)
                self.exchange.send_to_zone(message)
            if now_s - cleaned_s > _STATISTICS_INTERVAL_S:
                cleaned_s = now_s
                board.keep_only(self.state.directory.instances)
                _log.info(
                    "statistics",
                    extra={
                        "zone": dict(self.exchange.counters),
                        "store": dict(self.follower.counters),
                        "hosts": len(self.exchange.alive()),
                        "read_age_s": round(self.follower.read_age_s(), 2),
                    },
                )


def _upstream_settings() -> Any:
    return build_upstream_settings(
        {
            "connect_timeout_s": _CONNECT_TIMEOUT_S,
            "idle_limit_s": _IDLE_LIMIT_S,
            "unrepeatable_idle_limit_s": _UNREPEATABLE_IDLE_LIMIT_S,
            "deadline_header": names.DEADLINE_MS,
            "request_id_header": names.REQUEST_ID,
            "shed_header": names.NOT_RUN,
            "refusal_statuses": names.REFUSAL_STATUSES,
            "accept_unframed": True,
            "drain_header": "",
            "load_header": "",
            "cold_header": "",
        }
    )
