"""Directory of registered instances that tolerates outages of the store with the registrations.

Load pattern: the store is away or comes back from an older copy. Registrations of live instances
are missing then, and the copy lists instances that have left.
"""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from anviltray.declarations import Instance

# After an outage of the store, instances renew expired registrations within two seconds. The margin
# covers one read interval.
_READ_MARGIN_S = 0.7
RENEWAL_GRACE_S = 2.0 + _READ_MARGIN_S
# Stale records of an instance that has left may still arrive for this long. A restarted instance is
# recognized by its later start time.
_DEPARTURE_RETENTION_S = 120.0
# The store removes an instance after three heartbeats of 1.5 s without a renewal. The margin covers
# an outage that is too short to be noticed, and two read intervals.
COPIED_HOLD_S = 8.0


class Departure(NamedTuple):
    """An instance that has left, or that is draining and will leave."""

    started_unix_ms: int  # Its start; a later one is another instance.
    left_s: float  # Time when this host learned of it.
    draining: bool  # It said so itself, so only a later start brings it back.


class _Backoff(NamedTuple):
    started_unix_ms: int  # Start of the instance that asked for it.
    until_s: float  # Time from which the instance may get requests again.


class InstanceDirectory:
    """Registered instances by service.

    A registration that expires during an outage of the store is kept until the instance had time to
    renew it after the recovery. Draining is final until an instance restarts: a stale record does
    not reactivate it, not even after its registration was removed. An instance that has asked to
    wait stays usable; `backoff_until_s` tells when it may get requests again.

    Records of a store that has gone back may be older than what this host has seen. A copied record
    of an instance that has left is held back until the instance renews it, or until the store would
    have removed it. Other hosts may hold back what this one does not, so it tells for which copied
    records a renewal means something to anyone.
    """

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._renewable_until: dict[str, float] = {}  # inf during an outage.
        self._misdirected: dict[str, Instance] = {}  # Registrations whose address was reused.
        self._warming_until: dict[str, float] = {}  # End of the warm-up after the start.
        self._departed: dict[str, Departure] = {}  # Of instances that are not registered.
        self._held: dict[str, tuple[Instance, float]] = {}  # Copied records, and until when.
        # Copied records without a renewal, held back or not, and until when hosts may hold them.
        self._unrenewed: dict[str, float] = {}
        # Kept independently of the registration, which may lapse and return.
        self._backoffs: dict[str, _Backoff] = {}
        self._by_service: dict[str, tuple[Instance, ...]] = {}
        self._outage = False
        self._recovered_s = float("-inf")  # Time of the last recovery of the store.

    @property
    def instances(self) -> Mapping[str, Instance]:
        """All registered instances by id, including draining ones."""
        return MappingProxyType(self._instances)

    def usable(self, service: str) -> tuple[Instance, ...]:
        """Returns the instances of a service that may get new requests, sorted by id."""
        cached = self._by_service.get(service)
        if cached is None:
            cached = self._by_service[service] = tuple(
                instance
                for key, instance in sorted(self._instances.items())
                if instance.service == service
                and not instance.draining
                and key not in self._misdirected
            )
        return cached

    def is_warming(self, now_s: float, key: str) -> bool:
        """Returns whether an instance is still warming up after its start."""
        return now_s < self._warming_until.get(key, 0.0)

    def register(self, now_s: float, instance: Instance) -> None:
        """Adds or updates a registration; ignores stale records."""
        key = instance.id
        current = self._instances.get(key)
        departure = self._departed.get(key)
        self._held.pop(key, None)
        self._unrenewed.pop(key, None)
        if (
            current is None
            and departure is not None
            and departure.draining
            and 0 < instance.started_unix_ms <= departure.started_unix_ms
        ):
            return
        self._renewable_until.pop(key, None)
        if current is not None and current.started_unix_ms == instance.started_unix_ms:
            instance = instance._replace(draining=instance.draining or current.draining)
        elif current is not None and current.started_unix_ms > instance.started_unix_ms:
            return  # A record of an earlier start.
        if current is None or current.started_unix_ms != instance.started_unix_ms:
            self._warming_until[key] = now_s + instance.warmup_s
        if self._misdirected.get(key, instance) != instance:
            del self._misdirected[key]
        if departure is not None and not departure.draining:
            del self._departed[key]
        self._instances[key] = instance
        self._by_service.clear()

    def hold_copies(self, now_s: float, instances: Iterable[Instance]) -> frozenset[str]:
        """Holds back what a store that went back lists of instances that had left before.

        Returns the ids of these instances: this host has seen them leave, or knows a later start of
        another one at their address. The others are to be registered.
        """
        starts: dict[str, int] = {}  # Newest start by address.
        for each in self._instances.values():
            starts[each.address] = max(starts.get(each.address, 0), each.started_unix_ms)
        held = []
        for instance in instances:
            departure = self._departed.get(instance.id)
            if instance.id not in self._instances and (
                (departure is not None and instance.started_unix_ms <= departure.started_unix_ms)
                or instance.started_unix_ms < starts.get(instance.address, 0)
            ):
                self._held[instance.id] = (instance, now_s + COPIED_HOLD_S)
                held.append(instance.id)
        return frozenset(held)

    def expect_renewals(self, now_s: float, keys: Iterable[str]) -> None:
        """Records which records are copies, after a store that went back has been loaded."""
        self._unrenewed = dict.fromkeys(keys, now_s + COPIED_HOLD_S)

    def awaits_renewal(self, key: str) -> bool:
        """Returns whether hosts may hold back the record of an instance until its renewal."""
        return key in self._held or key in self._unrenewed

    def departures(self, now_s: float) -> dict[str, Departure]:
        """Returns what a host needs to know that loads from a store which has gone back, by id."""
        draining = {
            key: Departure(instance.started_unix_ms, now_s, True)
            for key, instance in self._instances.items()
            if instance.draining
        }
        return {**self._departed, **draining}

    def add_departures(self, now_s: float, departures: Mapping[str, Departure]) -> None:
        """Adds what a host has seen that knows a newer state of the store."""
        for key, departure in departures.items():
            current, known = self._instances.get(key), self._departed.get(key)
            if current is not None and current.started_unix_ms > departure.started_unix_ms:
                continue
            if current is not None and departure.draining:
                self._instances[key] = current._replace(draining=True)
                self._by_service.clear()
            elif known is None or _rank(known) < _rank(departure):
                self._departed[key] = departure
                if current is not None:
                    self._delete(key)
                    self._held[key] = (current, now_s + COPIED_HOLD_S)

    def deregister(self, now_s: float, key: str) -> None:
        """Removes a registration, or keeps it for renewal if the store has or had an outage."""
        instance = self._instances.get(key)
        self._held.pop(key, None)
        self._unrenewed.pop(key, None)
        if instance is None:
            return
        if instance.draining or not self._can_be_renewed(now_s):
            self._remove(now_s, instance)
        else:
            self._renewable_until.setdefault(key, self._renewal_deadline_s(now_s))

    def replace_all(self, now_s: float, instances: Iterable[Instance]) -> None:
        """Replaces all registrations by the complete list of the store."""
        listed = {instance.id: instance for instance in instances}
        for key in [key for key in self._instances if key not in listed]:
            self.deregister(now_s, key)
        for instance in listed.values():
            self.register(now_s, instance)

    def mark_misdirected(self, instance: Instance) -> None:
        """Excludes a registration because another instance responded at its address."""
        if self._instances.get(instance.id) == instance:
            self._misdirected[instance.id] = instance
            self._by_service.clear()

    def mark_leaving(self, now_s: float, instance: Instance) -> bool:
        """Drains an instance that has stated in a response that it is about to end.

        It remains drained until it starts again, whatever records of this start arrive later, also
        if it is not registered at the moment. Returns whether this was not known yet.
        """
        key, started_unix_ms = instance.id, instance.started_unix_ms
        current = self._instances.get(key)
        if current is None:
            known = self._departed.get(key)
            known_unix_ms = known.started_unix_ms if known is not None and known.draining else 0
            started_ms = max(known_unix_ms, started_unix_ms)
            self._departed[key] = Departure(started_ms, now_s, True)
            return known_unix_ms < started_unix_ms
        if current.draining or current.started_unix_ms != started_unix_ms:
            return False
        self._instances[key] = current._replace(draining=True)
        self._by_service.clear()
        return True

    def set_backoff(self, now_s: float, instance: Instance, duration_s: float) -> bool:
        """Keeps requests from an instance that has asked this host to wait.

        A later, shorter wait does not replace a longer one, and a new start of the instance ends
        it. Returns whether the instance could get requests before.

        Example: after `set_backoff(5.0, instance, 2.0)`, `backoff_until_s(instance)` is 7.0.
        """
        current = self._backoffs.get(instance.id)
        if current is not None and current.started_unix_ms > instance.started_unix_ms:
            return False
        previous_s = self.backoff_until_s(instance)
        until_s = max(previous_s, now_s + duration_s)
        self._backoffs[instance.id] = _Backoff(instance.started_unix_ms, until_s)
        return previous_s <= now_s

    def backoff_until_s(self, instance: Instance) -> float:
        """Returns the time from which an instance may get requests, as far as it has asked."""
        backoff = self._backoffs.get(instance.id)
        if backoff is None or backoff.started_unix_ms != instance.started_unix_ms:
            return float("-inf")
        return backoff.until_s

    def on_store_lost(self) -> None:
        """Records that the store is unreachable."""
        self._outage = True

    def on_store_recovered(self, now_s: float) -> None:
        """Records that the store is reachable again and starts the grace period for renewals."""
        self._outage = False
        self._recovered_s = now_s
        for key in self._renewable_until:
            self._renewable_until[key] = now_s + RENEWAL_GRACE_S
        self._extend_holds(now_s)

    def on_store_went_back(self, now_s: float) -> None:
        """Records when the store came back from an older copy; grants the time for renewals."""
        self._recovered_s = max(self._recovered_s, now_s)
        for key, until_s in self._renewable_until.items():
            self._renewable_until[key] = max(until_s, now_s + RENEWAL_GRACE_S)
        self._extend_holds(now_s)

    def expire(self, now_s: float, last_read_s: float = math.inf) -> tuple[str, ...]:
        """Removes expired registrations that were not renewed in time and returns their ids.

        A registration counts as not renewed only if the newest read of the store, at `last_read_s`,
        would have shown it. Also drops state that no longer has an effect.
        """
        oldest_s = now_s - _DEPARTURE_RETENTION_S
        decided_s = min(now_s, last_read_s + _READ_MARGIN_S)
        expired = tuple(
            key for key, until_s in self._renewable_until.items() if until_s <= decided_s
        )
        for key in expired:
            self._remove(now_s, self._instances[key])
        for instance, until_s in tuple(self._held.values()):
            if until_s <= decided_s:
                self.register(now_s, instance)
        for key in [key for key, until_s in self._unrenewed.items() if until_s <= decided_s]:
            del self._unrenewed[key]
        for key in [key for key, each in self._departed.items() if each.left_s < oldest_s]:
            del self._departed[key]
        for key in [key for key, backoff in self._backoffs.items() if backoff.until_s <= now_s]:
            del self._backoffs[key]
        return expired

    def _extend_holds(self, now_s: float) -> None:
        """Restarts the time that the store needs to remove instances that are silent."""
        for key, (instance, until_s) in self._held.items():
            self._held[key] = (instance, max(until_s, now_s + COPIED_HOLD_S))
        for key, until_s in self._unrenewed.items():
            self._unrenewed[key] = max(until_s, now_s + COPIED_HOLD_S)

    def _can_be_renewed(self, now_s: float) -> bool:
        return self._outage or now_s < self._recovered_s + RENEWAL_GRACE_S

    def _renewal_deadline_s(self, now_s: float) -> float:
        return float("inf") if self._outage else max(now_s, self._recovered_s + RENEWAL_GRACE_S)

    def _remove(self, now_s: float, instance: Instance) -> None:
        self._departed[instance.id] = Departure(instance.started_unix_ms, now_s, instance.draining)
        self._delete(instance.id)

    def _delete(self, key: str) -> None:
        self._instances.pop(key, None)
        self._renewable_until.pop(key, None)
        self._misdirected.pop(key, None)
        self._warming_until.pop(key, None)
        self._by_service.clear()


def _rank(departure: Departure) -> tuple[int, bool]:
    """Returns the key by which the departure that says more is the greater one."""
    return departure.started_unix_ms, departure.draining
