"""HTTP resources of the host itself: directory, readiness, snapshot and metrics."""

from collections.abc import Callable, Sequence
from typing import Any

import falcon
import falcon.asgi
import logbook

from anviltray.edge._metrics import EdgeMetrics
from anviltray.messages import StoreSnapshot
from anviltray.platform import encode_addresses, names
from anviltray.zone import SNAPSHOT_CODING, SNAPSHOT_PATH, encode_snapshot

METRICS_PATH = "/metrics"

_log = logbook.Logger("anviltray.edge")


class DirectoryResource:
    """Lists the addresses that callers connect to.

    `reasons` returns why this host itself accepts no requests, for the log. Only the first of
    several lookups without an address is logged; the metrics count all of them.
    """

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        reasons: Callable[[], Sequence[str]],
        lifetime_s: float,
        metrics: EdgeMetrics,
    ) -> None:
        self._addresses = addresses
        self._reasons = reasons
        self._lifetime_s = lifetime_s
        self._metrics = metrics
        self._available = True  # Whether the latest lookup got an address.

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Responds with the ready hosts of this zone; callers query their own zone first."""
        addresses = self._addresses()
        self._record_lookup(bool(addresses))
        if not addresses:
            raise falcon.HTTPServiceUnavailable(title="no host is ready")
        response.content_type = falcon.MEDIA_JSON
        response.data = encode_addresses(addresses, self._lifetime_s)

    def _record_lookup(self, available: bool) -> None:
        self._metrics.count("lookups")
        if not available:
            self._metrics.count("lookups_unavailable")
        if available != self._available:
            self._available = available
            if available:
                _log.info("directory lookups get addresses again")
            else:
                reasons = list(self._reasons())
                _log.warning("directory lookup without a ready host", extra={"reasons": reasons})


class ReadinessResource:
    """Reports whether this host accepts requests."""

    def __init__(self, reasons: Callable[[], Sequence[str]]) -> None:
        self._reasons = reasons

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Responds with status 200 if the host is ready, else 503 with the reasons."""
        reasons = list(self._reasons())
        if reasons:
            response.status = falcon.HTTP_503
        response.media = {"ready": not reasons, "reasons": reasons}


class SnapshotResource:
    """Serves a snapshot of the store state to other hosts of the zone.

    It contains the keys of client accounts, so it is not available at the addresses for callers.
    """

    def __init__(self, snapshot: Callable[[], StoreSnapshot], port: int) -> None:
        """`port` is the port for traffic between hosts."""
        self._snapshot = snapshot
        self._port = port

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Responds with an encoded StoreSnapshot, at other ports with status 404."""
        if request.scope["server"][1] != self._port:
            raise falcon.HTTPNotFound
        response.content_type = "application/cbor"
        response.set_header("Content-Encoding", SNAPSHOT_CODING)
        response.data = encode_snapshot(self._snapshot())


class MetricsResource:
    """Serves the metrics of the host."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        self._metrics = metrics

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Responds with the Prometheus text format."""
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._metrics.text()


def create_application(
    directory: DirectoryResource,
    ready: ReadinessResource,
    snapshot: SnapshotResource,
    metrics: MetricsResource,
) -> falcon.asgi.App[Any, Any]:
    """Returns the Falcon application with all resources."""
    application = falcon.asgi.App()
    application.add_route(names.RESOLVE_PATH, directory)
    application.add_route(names.READY_PATH, ready)
    application.add_route(SNAPSHOT_PATH, snapshot)
    application.add_route(METRICS_PATH, metrics)
    return application
