"""Prometheus counters and latency histograms of one edge host."""

from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

# Histogram bucket bounds, densest around the target latencies of 0.6 to 1.5 s.
_LATENCY_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 1.6, 2.4, 4.0, 8.0)


class _AttachedCounters(Collector):
    """Collector for counters that are kept by other objects."""

    def __init__(self) -> None:
        self.sources: dict[str, Callable[[], Mapping[str, int]]] = {}

    def collect(self) -> list[CounterMetricFamily]:
        """Returns one metric family per source."""
        families = []
        for name, source in self.sources.items():
            family = CounterMetricFamily(f"anviltray_{name}", f"Events of {name}", labels=["event"])
            for event, count in source().items():
                family.add_metric([event], count)
            families.append(family)
        return families


class EdgeMetrics:
    """The metric registry of one host."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "anviltray_requests",
            "Answered requests by service and status; status 0 means that the caller left",
            ["service", "status"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "anviltray_request_seconds",
            "Time from the head of a request to its answer",
            ["service"],
            buckets=_LATENCY_BOUNDS_S,
            registry=self._registry,
        )
        self._attempts = Counter(
            "anviltray_attempts",
            "Requests sent to instances by service; repeats are all but the first of a request",
            ["service", "repeat"],
            registry=self._registry,
        )
        self._events = Counter(
            "anviltray_events", "Other events by name", ["event"], registry=self._registry
        )
        self._attached = _AttachedCounters()
        self._registry.register(self._attached)

    def record_response(self, service: str, status: int, latency_s: float) -> None:
        """Records the status and the latency of a finished request."""
        self._requests.labels(service, str(status)).inc()
        self._latency.labels(service).observe(latency_s)

    def record_attempt(self, service: str, *, repeat: bool) -> None:
        """Records that a request was sent to an instance, or may have been."""
        self._attempts.labels(service, str(repeat).lower()).inc()

    def count(self, event: str) -> None:
        """Increments the counter of an event."""
        self._events.labels(event).inc()

    def attach_counters(self, name: str, source: Callable[[], Mapping[str, int]]) -> None:
        """Exposes the counters returned by `source` as `anviltray_<name>`."""
        self._attached.sources[name] = source

    def text(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        return generate_latest(self._registry)
