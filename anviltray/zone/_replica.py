"""This host's replica of the store state: the configuration and the registrations."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import logbook

from anviltray.decisions.following import UNKNOWN_POSITION, RegistrationDigest, StorePosition
from anviltray.decisions.instances import Departure, InstanceDirectory
from anviltray.declarations import Instance, RoutingConfiguration
from anviltray.messages import InstanceDeparture, KeyedChange, StoreSnapshot
from anviltray.platform import (
    DocumentInvalid,
    KeyedRecord,
    PlatformError,
    decode_configuration,
    decode_instance,
)

_log = logbook.Logger("anviltray.store")

_NO_VERSION = -1


class StaleResponse(PlatformError):
    """The store returned an older state than before."""


class StoreReplica:
    """The newest state of the store that this host knows.

    The configuration never returns to an older version, also if the store goes back to a copy that
    holds one. `changed` is called when a configuration has been applied.
    """

    def __init__(
        self, directory: InstanceDirectory, counters: Counter[str], changed: Callable[[], None]
    ) -> None:
        self._directory = directory
        self._counters = counters
        self._changed = changed
        self._loop = asyncio.get_running_loop()
        self._configuration_record = b""  # Record of the active configuration.
        self._registrations: dict[str, bytes] = {}  # Records by instance id.
        self._digest = RegistrationDigest()
        self._configuration_handlers: list[Callable[[RoutingConfiguration], None]] = []
        self.configuration: RoutingConfiguration | None = None
        self._generation_handlers: list[Callable[[], None]] = []
        self._went_back_s = float("-inf")  # Time when the store last went back to a copy.
        self.generation = 0  # Newest generation of the store that this host knows; 0 if none.
        self.position = UNKNOWN_POSITION  # Up to here, the registrations are included.
        # Time of the zone's newest read of the store whose result this host has.
        self.last_read_s = float("-inf")
        # Time when a peer announced a newer state than this one; None if no peer has.
        self.announced_at_s: float | None = None

    @property
    def version(self) -> int:
        """Version of the current configuration, or -1 if there is none."""
        return _NO_VERSION if self.configuration is None else self.configuration.version

    @property
    def digest(self) -> int:
        """Digest of the registrations, without what differs in every renewal."""
        return self._digest.value

    @property
    def loaded(self) -> bool:
        """Whether the configuration and the registrations have been loaded."""
        return self.configuration is not None and self.position != UNKNOWN_POSITION

    def read_age_s(self) -> float:
        """Returns the age in seconds of the newest read whose result this host has."""
        return self._loop.time() - self.last_read_s

    def record_read(self, age_s: float = 0.0) -> None:
        """Records that this host has the result of a read of that age."""
        # A read in the future would keep the zone from reading.
        self.last_read_s = max(self.last_read_s, self._loop.time() - max(0.0, age_s))

    def subscribe_to_configurations(self, handler: Callable[[RoutingConfiguration], None]) -> None:
        """Registers a handler of new configurations."""
        self._configuration_handlers.append(handler)

    def subscribe_to_generations(self, handler: Callable[[], None]) -> None:
        """Registers a handler that is called when the store has gone back to a copy."""
        self._generation_handlers.append(handler)

    def check_generation(self, stated: int | None, since_s: float = 0.0) -> None:
        """Compares the generation of a response of the store, or that of a peer's snapshot.

        `since_s` is the time since it began, as far as the peer knows. Raises StaleResponse if the
        generation has passed.
        """
        if stated is None or stated == self.generation:
            return
        if stated < self.generation:
            self._counters["passed_generations"] += 1
            raise StaleResponse(
                f"stale: generation {stated} of the store is before {self.generation}"
            )
        previous, self.generation = self.generation, stated
        if previous == 0 and not self.loaded:
            return  # The first response that this host sees.
        self._on_went_back(previous, since_s)

    def _on_went_back(self, previous: int, since_s: float) -> None:
        # Without a known time, the instances get the whole time to write again.
        self._went_back_s = self._loop.time() - (max(0.0, since_s) if since_s < math.inf else 0.0)
        self._counters["generations"] += 1
        _log.warning(
            "the store has gone back to a copy: generation {} follows {}; configuration {} and {} "
            "registrations are kept until they are written again",
            self.generation,
            previous,
            self.version,
            len(self._registrations),
        )
        self._directory.on_store_went_back(self._went_back_s)
        for handler in self._generation_handlers:
            handler()

    def snapshot(self) -> StoreSnapshot:
        """Returns a snapshot of the replica for a peer."""
        now_s = self._loop.time()
        departures = self._directory.departures(now_s) if self.position.generation else {}
        return StoreSnapshot(
            self.version,
            self._configuration_record,
            self.position.offset,
            tuple(KeyedChange(key, payload) for key, payload in self._registrations.items()),
            self.read_age_s(),
            self.position.generation,
            now_s - self._went_back_s,
            tuple(
                InstanceDeparture(key, each.started_unix_ms, now_s - each.left_s, each.draining)
                for key, each in departures.items()
            ),
        )

    def is_newer(self, position: StorePosition) -> bool:
        """Returns whether registrations up to `position` are newer than those of this host.

        A host that has none also takes those from before the store went back, to compare its copy.
        """
        return position > self.position and (
            position.generation >= self.generation or self.position == UNKNOWN_POSITION
        )

    def apply_snapshot(self, snapshot: StoreSnapshot, source: str) -> None:
        """Takes what is newer in the snapshot of a peer."""
        if snapshot.configuration:
            self.apply_configuration(snapshot.configuration, source)
        position = StorePosition(snapshot.instances_generation, snapshot.instances_offset)
        if not self.is_newer(position):
            return
        if position.generation > self.generation:
            self.check_generation(position.generation, snapshot.since_gone_back_s)
        if position.generation > self.position.generation:
            now_s = self._loop.time()
            self._directory.add_departures(
                now_s,
                {
                    each.key: Departure(
                        each.started_unix_ms, now_s - max(0.0, each.age_s), each.draining
                    )
                    for each in snapshot.departures
                },
            )
        records = {change.key: change.payload for change in snapshot.instances}
        self.replace_all(records, position)
        if position.generation < self.generation:
            self._on_went_back(position.generation, 0.0)
        self.record_read(snapshot.read_age_s)

    def apply_configuration(self, payload: bytes, source: str) -> None:
        """Applies a configuration if it is newer; an invalid one is counted and ignored."""
        try:
            configuration = decode_configuration(payload)
        except DocumentInvalid as error:
            self._counters["invalid_records"] += 1
            _log.error("the configuration from {} is invalid: {}", source, error)
            return
        if (
            configuration.version == self.version
            and payload != self._configuration_record
            and configuration != self.configuration
        ):
            self._counters["conflicting_configurations"] += 1
            _log.error("kept configuration {}, which {} has otherwise", self.version, source)
        if configuration.version <= self.version:
            return
        _log.info(
            "configuration {} replaces {}, from {}",
            configuration.version,
            self.version,
            source,
            extra=self._announcement_age(),
        )
        self.configuration = configuration
        self._configuration_record = payload
        for handler in self._configuration_handlers:
            handler(configuration)
        self._changed()

    def _announcement_age(self) -> dict[str, float]:
        """Returns, for the log, how long ago a peer announced the state; empty if none did."""
        if self.announced_at_s is None:
            return {}
        return {"announced_s": round(self._loop.time() - self.announced_at_s, 2)}

    def find_changes(self, records: Iterable[KeyedRecord]) -> list[KeyedChange]:
        """Returns the newest record of each key that changes a registration, from this position on.

        Empty payloads remove one. A key also counts if it ends as it began, as that of an instance
        that came and left: other hosts may stand anywhere within `records`, so they get every key
        that may differ between any two places there.
        """
        newest: dict[str, bytes] = {}
        changed: set[str] = set()
        for record in records:
            key, payload = record.key, record.payload or b""
            previous = newest.get(key, self._registrations.get(key, b""))
            # The renewal of a copied record shows that the instance lives.
            if key not in changed and (
                self._directory.awaits_renewal(key) or _is_changed(previous, key, payload)
            ):
                changed.add(key)
            newest[key] = payload
        return [KeyedChange(key, payload) for key, payload in newest.items() if key in changed]

    def replace_all(self, records: Mapping[str, bytes], position: StorePosition) -> None:
        """Replaces the registrations by the complete list of the store at `position`.

        The list of a later generation than before may contain copied records that are older.
        """
        copied = position.generation > self.position.generation
        is_first = self.position == UNKNOWN_POSITION
        removed = [KeyedChange(key, b"") for key in self._registrations if key not in records]
        changes = [
            KeyedChange(key, payload)
            for key, payload in records.items()
            if payload != self._registrations.get(key, b"")
        ]
        self.apply_changes([*removed, *changes], position, copied=copied)
        if copied and not is_first:
            self._directory.expect_renewals(self._loop.time(), records)

    def apply_changes(
        self, changes: Iterable[KeyedChange], position: StorePosition, *, copied: bool = False
    ) -> None:
        """Applies changes of registrations up to `position`."""
        now_s = self._loop.time()
        self.position = position
        instances: list[Instance] = []
        for change in changes:
            if not change.payload:
                self._digest.discard(change.key)
                if self._registrations.pop(change.key, None) is not None:
                    self._directory.deregister(now_s, change.key)
                    _log.info("instance {} is no longer registered, {}", change.key, position)
                continue
            self._registrations[change.key] = change.payload
            instance = self._decode_instance(change.key, change.payload)
            if instance is None:
                self._digest.set(change.key, change.payload)
                continue
            self._digest.set(change.key, repr(instance._replace(warmup_s=0.0)).encode())
            instances.append(instance)
        held = self._directory.hold_copies(now_s, instances) if copied else ()
        for instance in instances:
            if instance.id in held:
                self._counters["held_copies"] += 1
                _log.info("instance {} is held back: it had left already", instance.id)
            else:
                self._register_instance(now_s, instance)

    def _decode_instance(self, key: str, payload: bytes) -> Instance | None:
        try:
            return decode_instance(key, payload)
        except DocumentInvalid as error:
            self._counters["invalid_records"] += 1
            _log.warning("the registration {} is invalid: {}", key, error)
            return None

    def _register_instance(self, now_s: float, instance: Instance) -> None:
        key = instance.id
        previous: Instance | None = self._directory.instances.get(key)
        self._directory.register(now_s, instance)
        current = self._directory.instances.get(key)
        if current is None:
            return  # A stale record of an instance that has left.
        if previous is None or previous.draining != current.draining:
            state = "draining" if current.draining else "ready"
            _log.info("instance {} of {} is {}", key, instance.service, state)


def _is_changed(previous: bytes, key: str, payload: bytes) -> bool:
    """Returns whether a registration has changed, apart from its sequence and its warm-up time.

    Those two differ in every renewal.
    """
    if not previous or not payload:
        return previous != payload
    try:
        before, after = decode_instance(key, previous), decode_instance(key, payload)
    except DocumentInvalid:
        return previous != payload
    return before != after._replace(warmup_s=before.warmup_s)
