"""Instances as they registered themselves, also while the store that lists them is away."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from anviltray.declarations import Instance

# Instances renew registrations that lapsed during an outage of the store within two seconds of its
# return; the margin covers one reading interval.
RENEWAL_S = 2.7
# Records of an ended instance may still arrive for this long; another start of it has a later time.
_ENDED_KEPT_S = 120.0


class InstanceDirectory:
    """Registered instances by service.

    A registration that disappears while the store is in trouble is kept until it had the time to be
    renewed after the store's return. Draining is final for one start of an instance: a stale record
    does not bring it back, also after its registration has ended.
    """

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._lapsed_until: dict[str, float] = {}  # Lapsed registrations; inf during an outage.
        self._misdirected: dict[str, Instance] = {}  # Registrations whose address was reused.
        self._warming_until: dict[str, float] = {}  # End of the slow phase after the start.
        self._ended: dict[str, tuple[int, float]] = {}  # Start and end of drained instances.
        self._by_service: dict[str, tuple[Instance, ...]] = {}
        self._outage = False
        self._returned_s = float("-inf")  # When the store answered again after an outage.

    @property
    def instances(self) -> Mapping[str, Instance]:
        """All known instances by id, also those that are draining."""
        return MappingProxyType(self._instances)

    def usable(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service that may get new requests, sorted by id."""
        known = self._by_service.get(service)
        if known is None:
            known = self._by_service[service] = tuple(
                instance
                for key, instance in sorted(self._instances.items())
                if instance.service == service
                and not instance.draining
                and key not in self._misdirected
            )
        return known

    def is_warming(self, now_s: float, key: str) -> bool:
        """Tells whether an instance is still slow after its start."""
        return now_s < self._warming_until.get(key, 0.0)

    def register(self, now_s: float, instance: Instance) -> None:
        """Takes a registration."""
        key = instance.id
        known = self._instances.get(key)
        started_unix_ms, _ = self._ended.get(key, (0, 0.0))
        if known is None and 0 < instance.started_unix_ms <= started_unix_ms:
            return
        self._lapsed_until.pop(key, None)
        if known is not None and known.started_unix_ms == instance.started_unix_ms:
            instance = instance._replace(draining=instance.draining or known.draining)
        elif known is not None and known.started_unix_ms > instance.started_unix_ms:
            return  # A record of an earlier start.
        if known is None or known.started_unix_ms != instance.started_unix_ms:
            self._warming_until[key] = now_s + instance.warmup_s
        if self._misdirected.get(key, instance) != instance:
            del self._misdirected[key]
        self._instances[key] = instance
        self._by_service.clear()

    def deregister(self, now_s: float, key: str) -> None:
        """Takes the end of a registration."""
        instance = self._instances.get(key)
        if instance is None:
            return
        if instance.draining:
            self._ended[key] = (instance.started_unix_ms, now_s)
            self._forget(key)
        elif not self._in_trouble(now_s):
            self._forget(key)
        else:
            self._lapsed_until.setdefault(key, self._renewed_by(now_s))

    def replace_all(self, now_s: float, instances: Iterable[Instance]) -> None:
        """Takes the whole list."""
        listed = {instance.id: instance for instance in instances}
        for key in [key for key in self._instances if key not in listed]:
            self.deregister(now_s, key)
        for instance in listed.values():
            self.register(now_s, instance)

    def mark_misdirected(self, instance: Instance) -> None:
        """Takes the proof that another instance has the address of this registration."""
        if self._instances.get(instance.id) == instance:
            self._misdirected[instance.id] = instance
            self._by_service.clear()

    def on_store_lost(self) -> None:
        """The store no longer answers."""
        self._outage = True

    def on_store_recovered(self, now_s: float) -> None:
        """The store answers again; lapsed registrations get the time to be renewed."""
        self._outage = False
        self._returned_s = now_s
        for key in self._lapsed_until:
            self._lapsed_until[key] = now_s + RENEWAL_S

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drops lapsed registrations that were not renewed in time and returns their ids."""
        oldest_s = now_s - _ENDED_KEPT_S
        gone = tuple(key for key, until_s in self._lapsed_until.items() if until_s <= now_s)
        for key in gone:
            self._forget(key)
        for key in [key for key, (_, ended_s) in self._ended.items() if ended_s < oldest_s]:
            del self._ended[key]
        return gone

    def _in_trouble(self, now_s: float) -> bool:
        return self._outage or now_s < self._returned_s + RENEWAL_S

    def _renewed_by(self, now_s: float) -> float:
        return float("inf") if self._outage else max(now_s, self._returned_s + RENEWAL_S)

    def _forget(self, key: str) -> None:
        self._instances.pop(key, None)
        self._lapsed_until.pop(key, None)
        self._misdirected.pop(key, None)
        self._warming_until.pop(key, None)
        self._by_service.clear()
