"""HTTP resources beside the proxied requests: directory, readiness, snapshot and metrics."""

from collections.abc import Callable, Sequence
from typing import Any

import falcon
import falcon.asgi

from anviltray.edge._metrics import EdgeMetrics
from anviltray.messages import StoreSnapshot
from anviltray.platform import encode_addresses, names
from anviltray.zone import SNAPSHOT_CODING, SNAPSHOT_PATH, encode_snapshot

METRICS_PATH = "/metrics"


class DirectoryPage:
    """Tells a caller where to connect."""

    def __init__(self, addresses: Callable[[], Sequence[str]], lifetime_s: float) -> None:
        self._addresses = addresses
        self._lifetime_s = lifetime_s

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answers with the hosts of the own zone, which callers ask first."""
        addresses = self._addresses()
        if not addresses:
            raise falcon.HTTPServiceUnavailable(title="no host is ready")
        response.content_type = falcon.MEDIA_JSON
        response.data = encode_addresses(addresses, self._lifetime_s)


class ReadyPage:
    """Tells whether this host takes requests."""

    def __init__(self, reasons: Callable[[], Sequence[str]]) -> None:
        self._reasons = reasons

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answers with 200 or 503."""
        reasons = list(self._reasons())
        if reasons:
            response.status = falcon.HTTP_503
        response.media = {"ready": not reasons, "reasons": reasons}


class SnapshotPage:
    """Gives a neighbour what this host knows of the store."""

    def __init__(self, snapshot: Callable[[], StoreSnapshot]) -> None:
        self._snapshot = snapshot

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answers with an encoded StoreSnapshot."""
        response.content_type = "application/cbor"
        response.set_header("Content-Encoding", SNAPSHOT_CODING)
        response.data = encode_snapshot(self._snapshot())


class MetricsPage:
    """Counters and histograms."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        self._metrics = metrics

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Answers with the text format of Prometheus."""
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._metrics.text()


def create_pages(
    directory: DirectoryPage, ready: ReadyPage, snapshot: SnapshotPage, metrics: MetricsPage
) -> falcon.asgi.App[Any, Any]:
    """Returns the application with all resources."""
    application = falcon.asgi.App()
    application.add_route(names.RESOLVE_PATH, directory)
    application.add_route(names.READY_PATH, ready)
    application.add_route(SNAPSHOT_PATH, snapshot)
    application.add_route(METRICS_PATH, metrics)
    return application
