"""Counters and gauges that are aggregated in memory and periodically sent to statsd."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol

from statsd import StatsClient

_SEND_INTERVAL_S = 1.0


class _Pipeline(Protocol):
    def incr(self, stat: str, count: int) -> None: ...
    def gauge(self, stat: str, value: float) -> None: ...
    def send(self) -> None: ...


class Metrics:
    """Counters and gauges of one node.

    An increment only updates a dictionary, because the request path makes several for each request;
    a task sends the differences once per second. Names are dotted, such as `requests.served`.
    """

    def __init__(self, address: str = "", prefix: str = "anviltray") -> None:
        self._counts: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._attached: dict[str, Mapping[str, int]] = {}
        self._client: StatsClient | None = None
        if address:
            host, _, port = address.rpartition(":")
            hostname = host.removeprefix("[").removesuffix("]")
            self._client = StatsClient(hostname, int(port), prefix=prefix, ipv6=":" in hostname)

    @property
    def counts(self) -> MappingProxyType[str, int]:
        """Values of all counters since the start of the process."""
        return MappingProxyType(self._counts)

    @property
    def gauges(self) -> MappingProxyType[str, float]:
        """Latest value of each gauge."""
        return MappingProxyType(self._gauges)

    def increment(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter."""
        self._counts[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def attach(self, prefix: str, counts: Mapping[str, int]) -> None:
        """Adds the counters of another object, under `prefix`, to every flush."""
        self._attached[prefix] = counts

    def all_counts(self) -> dict[str, int]:
        """Returns the own and all attached counters by full name."""
        names = dict(self._counts)
        for prefix, counts in self._attached.items():
            names.update({f"{prefix}.{name}": count for name, count in counts.items()})
        return names

    def flush(self) -> None:
        """Sends the changes since the last call, so a lost datagram affects only one interval."""
        if self._client is None:
            return
        pipeline: _Pipeline = self._client.pipeline()
        counts = self.all_counts()
        for name, count in counts.items():
            if count != self._sent[name]:
                pipeline.incr(name, count - self._sent[name])
        for name, value in self._gauges.items():
            pipeline.gauge(name, value)
        pipeline.send()
        self._sent = Counter(counts)

    async def run(self) -> None:
        """Flushes once per second until cancelled."""
        while True:
            await asyncio.sleep(_SEND_INTERVAL_S)
            self.flush()
