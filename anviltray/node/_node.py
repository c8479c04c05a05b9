"""One node: creates its parts, connects them and runs its tasks."""

import asyncio
import random
import secrets
from typing import Any

import logbook

from anviltray.callers import (
    CallerPressure,
    bind,
    create_application,
    protocol_class,
    serve,
    serve_internal,
)
from anviltray.decisions.limits import CallerMemory
from anviltray.messages import (
    Counters,
    DrainingUpstreams,
    Ejection,
    Evidence,
    LoadDigest,
    Member,
    Members,
)
from anviltray.node._burn_log import BurnLog
from anviltray.node._context import NodeContext
from anviltray.node._operator_view import OperatorView
from anviltray.node._platforms import platforms
from anviltray.operators import create_operator_application
from anviltray.platform import HostEntry, Platform
from anviltray.reports import BurnCollector
from anviltray.settings import Settings
from anviltray.state import StateTasks, load_key
from anviltray.state.membership import rendezvous_rank
from anviltray.telemetry import Metrics, log_failure

_log = logbook.Logger("anviltray.node")

_COUNTERS_INTERVAL_S = 10.0  # Six messages per slot of the burn report.
_PROBE_TIMEOUT_S = 1.0

# A request that a caller sends at the end of the lifetime of its ask response must still arrive,
# also if another node forwards it.
_ARRIVAL_MARGIN_S = 0.5


class Node:
    """All tasks of one node and their state.

    Example: `node = Node(load_settings(path))`, `await node.start()`, later `await node.stop()`.
    `platform` replaces the one in the settings, for example by a fake that several nodes of one
    process share.
    """

    def __init__(self, settings: Settings, platform: Platform | None = None) -> None:
        self.settings = settings
        self.metrics = Metrics(settings.telemetry.statsd_address, settings.telemetry.statsd_prefix)
        rng = random.Random(secrets.randbits(64))
        kind = settings.platform.kind
        self.platform = platform if platform is not None else platforms[kind](settings.platform)
        key = load_key(settings.peer_key_file)
        self.state = StateTasks(settings, self.platform, key, rng)
        self.exchange = self.state.exchange
        self.context = NodeContext(settings, self.state.store, self.exchange, self.metrics, rng)
        self._collector = BurnCollector(settings.zone)
        self._burn_log = BurnLog(self.platform, self._collector, settings.zone, self._zone_rank)
        self._operator_view = OperatorView(self.context, self.state.publisher, self._burn_log)
        self._pressure = CallerPressure(CallerMemory(settings.callers.memory_limit_bytes))
        self._tasks: list[asyncio.Task[Any]] = []
        self._server_tasks: list[asyncio.Task[Any]] = []
        self._stop_callers = asyncio.Event()
        self._stop_operators = asyncio.Event()
        self._attach_counters()
        self._subscribe()

    def _attach_counters(self) -> None:
        state = self.state
        self.metrics.attach("callers", self._pressure.memory.counters)
        for prefix, owner in (
            ("exchange", state.exchange),
            ("configuration", state.store),
            ("log", state.follower),
            ("snapshots", state.snapshot_writer),
            ("hosts", state.host_poller),
            ("commands", state.publisher),
        ):
            self.metrics.attach(prefix, owner.counters)

    def _subscribe(self) -> None:
        exchange, context = self.exchange, self.context
        self.state.store.subscribe(context.configure)
        self.state.host_poller.subscribe(self._on_hosts)
        exchange.add_handler(Evidence, context.ejector.on_peer_evidence)
        exchange.add_handler(Ejection, context.ejector.on_peer_ejection)
        exchange.add_handler(LoadDigest, context.load_tracker.on_peer_digest)
        exchange.add_handler(Counters, lambda _, message: self._collector.receive(message))
        exchange.add_handler(DrainingUpstreams, self._on_draining_message)
        exchange.subscribe_to_members(self._on_member)
        exchange.set_query_handler(self._operator_view.handle_query)

    async def start(self) -> None:
        """Binds all addresses and starts the tasks; raises OSError if a bind fails."""
        loop = asyncio.get_running_loop()
        if not type(loop).__module__.startswith("asyncio."):
            raise RuntimeError(
                f"expected an event loop of asyncio, found one of {type(loop).__module__}"
            )
        callers = bind(self.settings.caller_address)
        operators = bind(self.settings.operator_address)
        await self.state.start()
        key = load_key(self.settings.operator_key_file)
        operator_application = create_operator_application(self._operator_view, key)
        self._server_tasks = [
            asyncio.create_task(
                serve(
                    create_application(self.context),
                    self.settings.callers,
                    callers,
                    self._stop_callers,
                    self._on_listening,
                    protocol_class(self.settings.callers, self._pressure),
                )
            ),
            asyncio.create_task(
                serve_internal(
                    operator_application, [operators], self._stop_operators, self._pressure
                )
            ),
        ]
        for task in (
            self._burn_log.run(),
            self.metrics.run(),
            self._update_ejector(),
            self._send_load_digests(),
            self._send_counters(),
            self._probe(),
        ):
            self._tasks.append(asyncio.create_task(log_failure(task, _log)))
        self.context.set_members(self.exchange.membership.serving())

    async def stop(self) -> None:
        """Shuts down gracefully, without aborting a request.

        The node is left out of new ask responses, serves until those that contain it have expired,
        completes the requests in flight and then ends its tasks.
        """
        self.context.shutting_down = True
        _log.info("graceful shutdown started")
        self.exchange.send(Members((self.exchange.membership.leave(),)))
        await asyncio.sleep(self.settings.callers.answer_lifetime_s + _ARRIVAL_MARGIN_S)
        self._stop_callers.set()
        await self._server_tasks[0]
        await self.close()
        _log.info("graceful shutdown complete")

    async def close(self) -> None:
        """Cancels all tasks without waiting for requests in flight."""
        self._stop_callers.set()
        self._stop_operators.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server_tasks:
            await self.state.stop()
        await asyncio.gather(*self._server_tasks, return_exceptions=True)
        await self.context.upstreams.close()
        await self.platform.close()
        self.metrics.flush()

    def _on_listening(self) -> None:
        self.context.listening = True

    # Membership and host list

    def _on_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        now_s = asyncio.get_running_loop().time()
        draining = (
            host.address for host in hosts if host.role == "upstream" and host.state == "leaving"
        )
        self.context.draining_upstreams.on_host_list(now_s, draining)
        self._distribute_draining(now_s)

    def _on_draining_message(self, now_s: float, message: DrainingUpstreams) -> None:
        self.context.draining_upstreams.on_peer_report(now_s, message)
        self._distribute_draining(now_s)

    def _distribute_draining(self, now_s: float) -> None:
        self.context.apply_draining(now_s)
        while (message := self.context.draining_upstreams.next_message()) is not None:
            self.exchange.send(message)

    def _on_member(self, member: Member) -> None:
        if member.status == "dead":
            self.context.ejector.remove_peer(asyncio.get_running_loop().time(), member.node)
            self._collector.remove_node(member.node)
        self.context.set_members(self.exchange.membership.serving())

    def _zone_rank(self) -> int:
        zone = self.settings.zone
        serving = self.exchange.membership.serving()
        nodes = [member.node for member in serving if member.zone == zone]
        return rendezvous_rank(f"burn|{zone}", self.settings.node, nodes)

    # Periodic tasks

    async def _update_ejector(self) -> None:
        loop = asyncio.get_running_loop()
        ejector = self.context.ejector
        while True:
            await asyncio.sleep(self.settings.exchange.flush_interval_s)
            now_s = loop.time()
            self._distribute_draining(now_s)
            update = ejector.update(now_s)
            for message in update.messages:
                self.exchange.send(message)
            for change in update.changes:
                self.metrics.increment(f"upstreams.{change.after}")
                _log.info(
                    "{} of {}: {} -> {}: {}",
                    change.address,
                    change.service,
                    change.before,
                    change.after,
                    change.reason,
                )
            if update.changes:
                self.context.set_capacities(now_s)
            self.context.refresh_readiness()

    async def _send_load_digests(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.settings.exchange.load_interval_s)
            for name in tuple(self.context.services):
                digest = self.context.load_tracker.digest(loop.time(), name)
                if digest.upstreams:
                    self.exchange.send(digest)

    async def _send_counters(self) -> None:
        while True:
            await asyncio.sleep(_COUNTERS_INTERVAL_S)
            message = self.context.burn.to_message()
            self._collector.receive(message)
            if message.services:
                self.exchange.send(message)

    async def _probe(self) -> None:
        """Probes the upstreams assigned to this node, spread over the probe interval."""
        loop = asyncio.get_running_loop()
        interval_s = self.settings.upstreams.probe_interval_s
        while True:
            nodes = [member.node for member in self.exchange.membership.serving()]
            targets = self.context.ejector.probe_targets(loop.time(), nodes)
            if not targets:
                await asyncio.sleep(interval_s)
            for address in targets:
                await asyncio.sleep(interval_s / len(targets))
                healthy = await self.context.upstreams.probe(address, _PROBE_TIMEOUT_S)
                self.context.ejector.on_probe_result(loop.time(), address, healthy)
