"""Keeps this host in the store's list of hosts, from which later hosts learn of the fleet."""

import asyncio
from collections import Counter
from random import Random

import logbook

from anviltray.messages import HostLocality
from anviltray.platform import PlatformError, names
from anviltray.zone._exchange import ZoneExchange
from anviltray.zone._peers import RETRY_BACKOFF_S
from anviltray.zone._replica import StoreReplica
from anviltray.zone._store_reader import StoreReader

_log = logbook.Logger("anviltray.store")

# All hosts together write their records again at this rate, a quarter of the store's write limit.
# Only hosts that start later need the records, and seeds and peers know the fleet as well.
_FLEET_WRITES_PER_S = 100.0


class HostRegistration:
    """Writes the record of this host, and again when the store went back to a copy without it."""

    def __init__(
        self,
        own: HostLocality,
        exchange: ZoneExchange,
        replica: StoreReplica,
        reader: StoreReader,
        rng: Random,
        counters: Counter[str],
    ) -> None:
        self._own = own
        self._exchange = exchange
        self._replica = replica
        self._reader = reader
        self._rng = rng
        self._counters = counters
        self._written_in = -1  # Generation of the store that has the record.
        self._went_back = asyncio.Event()
        replica.subscribe_to_generations(self._went_back.set)

    async def join(self) -> None:
        """Registers this host in the store and reads the other hosts of the fleet.

        The write comes before the read: of two hosts that start at the same time, at least the one
        that writes last finds the other one, which then learns of it from its beacon.
        """
        pause_s = RETRY_BACKOFF_S[0]
        while True:
            try:
                if self._written_in < 0:
                    await self._write()
                newest = await self._reader.call(self._reader.store.read_newest(names.HOST_TOPIC))
                break
            except PlatformError as error:
                # An append with an unknown result is retried; a duplicate record is harmless.
                _log.warning("joining the fleet failed: {}", error)
            await asyncio.sleep(pause_s * (1 + self._rng.random()))
            pause_s = min(2 * pause_s, RETRY_BACKOFF_S[1])
        self._exchange.hosts.add(
            HostLocality(record.key, record.payload.decode("utf-8", "replace"))
            for record in newest.records
            if record.payload
        )
        self._exchange.send_beacon()

    async def run(self) -> None:
        """Writes the record again whenever the store has gone back, until cancelled."""
        while True:
            await self._went_back.wait()
            self._went_back.clear()
            fleet_size = len(self._exchange.hosts.localities())
            await asyncio.sleep(self._rng.random() * fleet_size / _FLEET_WRITES_PER_S)
            pause_s = RETRY_BACKOFF_S[0]
            while self._written_in < self._replica.generation:
                try:
                    await self._write()
                    self._counters["host_records"] += 1
                    _log.info("wrote the record of this host again")
                except PlatformError as error:
                    _log.warning("writing the record of this host again failed: {}", error)
                    await asyncio.sleep(pause_s * (1 + self._rng.random()))
                    pause_s = min(2 * pause_s, RETRY_BACKOFF_S[1])

    async def _write(self) -> None:
        zone = self._own.zone.encode()
        append = self._reader.store.append(names.HOST_TOPIC, self._own.address, zone)
        appended = await self._reader.call(append)
        generation = appended.generation
        self._written_in = self._replica.generation if generation is None else generation
