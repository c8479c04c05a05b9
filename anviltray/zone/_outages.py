"""Detects outages of the store as the hosts of the zone see them together."""

import asyncio

import logbook

from anviltray.decisions.instances import InstanceDirectory
from anviltray.zone._exchange import BEACON_INTERVAL_S, ZoneExchange
from anviltray.zone._replica import StoreReplica

_log = logbook.Logger("anviltray.store")

# The store counts as unavailable if no host of the zone has read it for this long and a call to it
# has failed.
_OUTAGE_DETECTION_S = 2.0
# An outage that a peer reports is believed if this host has heard of no read for this long. It is
# shorter than the time of detection, as hosts learn of the last read before an outage up to one
# beacon apart. A peer that was cut off alone has not seen the reads of the others.
_OUTAGE_CONFIRMATION_S = _OUTAGE_DETECTION_S - BEACON_INTERVAL_S
# If the recovery times that two hosts report differ by less than this, they refer to the same
# recovery of the store.
_RECOVERY_TOLERANCE_S = 0.5


class OutageDetector:
    """Tells the directory of instances when the store is lost and when it is back."""

    def __init__(
        self, directory: InstanceDirectory, exchange: ZoneExchange, replica: StoreReplica
    ) -> None:
        self._directory = directory
        self._exchange = exchange
        self._replica = replica
        self._loop = asyncio.get_running_loop()
        self._recovered_s = float("-inf")  # Time when the last outage of the store ended.
        self._store_lost = False

    def since_return_s(self) -> float:
        """Returns the time since the store recovered from an outage; inf without one."""
        return self._loop.time() - self._recovered_s

    def check(self, *, reaches_store: bool) -> None:
        """Compares the age of the newest read of the zone with the time of detection."""
        read_age_s = self._replica.read_age_s()
        silent = read_age_s > _OUTAGE_DETECTION_S
        if self._store_lost and not silent:
            self._on_store_recovered(read_age_s)
        elif (
            not self._store_lost
            and self._replica.loaded
            and silent
            and self._has_failed_call(reaches_store)
        ):
            self._store_lost = True
            self._directory.on_store_lost()
            _log.warning("store outage: no host of the zone has read for {} s", _OUTAGE_DETECTION_S)

    def on_successful_call(self) -> None:
        """Records that this host has called the store."""
        if self._store_lost:
            self._on_store_recovered(0.0)

    def on_reported_return(self, since_return_s: float) -> None:
        """Records the time since the last recovery that a peer has seen."""
        since_return_s = max(0.0, since_return_s)
        newer = since_return_s < self.since_return_s() - _RECOVERY_TOLERANCE_S
        if self._store_lost or (newer and self._replica.read_age_s() > _OUTAGE_CONFIRMATION_S):
            self._on_store_recovered(since_return_s)

    def _has_failed_call(self, reaches_store: bool) -> bool:
        """Returns whether the last call to the store of any live host of the zone has failed.

        If none has, the zone is silent because the hosts that read have been lost.
        """
        hosts = self._exchange.alive()
        return not reaches_store or any(not host.beacon.reaches_store for host in hosts)

    def _on_store_recovered(self, since_s: float) -> None:
        self._store_lost = False
        self._recovered_s = self._loop.time() - since_s
        self._directory.on_store_recovered(self._recovered_s)
        _log.info("store outage ended: the zone reads the store again")
