"""This host's replica of the store state: the configuration and the registrations."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import logbook

from anviltray.decisions.instances import InstanceDirectory
from anviltray.declarations import Instance, RoutingConfiguration
from anviltray.messages import KeyedChange, StoreSnapshot
from anviltray.platform import DocumentInvalid, decode_configuration, decode_instance

_log = logbook.Logger("anviltray.store")

UNKNOWN = -1  # Version or offset of a host that has loaded nothing.


class StoreReplica:
    """The newest state of the store that this host knows.

    The configuration never returns to an older version. `changed` is called when a configuration
    has been applied.
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
        self._configuration_handlers: list[Callable[[RoutingConfiguration], None]] = []
        self.configuration: RoutingConfiguration | None = None
        self.instances_offset = UNKNOWN
        # Time of the zone's newest read of the store whose result this host has.
        self.last_read_s = float("-inf")
        # Time when a peer announced a newer state than this one; None if no peer has.
        self.announced_at_s: float | None = None

    @property
    def version(self) -> int:
        """Version of the current configuration, or -1 if there is none."""
        return UNKNOWN if self.configuration is None else self.configuration.version

    @property
    def loaded(self) -> bool:
        """Whether the configuration and the registrations have been loaded."""
        return self.configuration is not None and self.instances_offset != UNKNOWN

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

    def snapshot(self) -> StoreSnapshot:
        """Returns a snapshot of the replica for a peer."""
        changes = tuple(KeyedChange(key, payload) for key, payload in self._registrations.items())
        return StoreSnapshot(
            self.version,
            self._configuration_record,
            self.instances_offset,
            changes,
            self.read_age_s(),
        )

    def apply_snapshot(self, snapshot: StoreSnapshot, source: str) -> None:
        """Takes what is newer in the snapshot of a peer."""
        if snapshot.configuration:
            self.apply_configuration(snapshot.configuration, source)
        if snapshot.instances_offset > self.instances_offset:
            records = {change.key: change.payload for change in snapshot.instances}
            self.replace_all(records, snapshot.instances_offset)
            self.record_read(snapshot.read_age_s)

    def apply_configuration(self, payload: bytes, source: str) -> None:
        """Applies a configuration if it is newer; an invalid one is counted and ignored."""
        try:
            configuration = decode_configuration(payload)
        except DocumentInvalid as error:
            self._counters["invalid_records"] += 1
            _log.error("the configuration from {} is invalid: {}", source, error)
            return
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

    def find_changes(self, records: Mapping[str, bytes]) -> list[KeyedChange]:
        """Returns the records that change a registration; empty payloads remove one."""
        return [
            KeyedChange(key, payload)
            for key, payload in records.items()
            if _is_changed(self._registrations.get(key, b""), key, payload)
        ]

    def replace_all(self, records: Mapping[str, bytes], offset: int) -> None:
        """Replaces the registrations by the complete list of the store at `offset`."""
        removed = [KeyedChange(key, b"") for key in self._registrations if key not in records]
        changes = [
            KeyedChange(key, payload)
            for key, payload in records.items()
            if payload != self._registrations.get(key, b"")
        ]
        self.apply_changes([*removed, *changes], offset)

    def apply_changes(self, changes: Iterable[KeyedChange], offset: int) -> None:
        """Applies changes of registrations up to `offset`."""
        now_s = self._loop.time()
        self.instances_offset = offset
        for change in changes:
            if change.payload:
                self._registrations[change.key] = change.payload
                self._register_instance(now_s, change.key, change.payload)
            elif self._registrations.pop(change.key, None) is not None:
                self._directory.deregister(now_s, change.key)
                _log.info("instance {} is no longer registered, offset {}", change.key, offset)

    def _register_instance(self, now_s: float, key: str, payload: bytes) -> None:
        try:
            instance = decode_instance(key, payload)
        except DocumentInvalid as error:
            self._counters["invalid_records"] += 1
            _log.warning("the registration {} is invalid: {}", key, error)
            return
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
