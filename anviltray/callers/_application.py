"""ASGI application: Falcon serves the node's own paths, the dispatcher proxies all others."""

import asyncio
import json
from typing import Any

import falcon
import falcon.asgi

from anviltray.callers._context import CallerContext
from anviltray.callers._dispatcher import Dispatcher
from anviltray.callers._exchange import CallerExchange
from anviltray.callers._problems import CONTENT_TYPE

NODE_PATH_PREFIX = "/.anviltray/"
ASK_PATH = "/.anviltray/ask"
HEALTH_PATH = "/.anviltray/health"
READY_PATH = "/.anviltray/ready"


class EntryAddressesResource:
    """Returns the entry addresses that a caller should connect to."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Handles `?service=NAME&region=R`; the region defaults to that of the node."""
        context = self._context
        service = request.get_param("service", required=True)
        region = request.get_param("region", default=context.settings.region)
        if not context.has_service(service):
            raise falcon.HTTPNotFound(
                title="no-service", description=f"no service {service!r} is declared"
            )
        settings = context.settings.callers
        addresses = context.entry_addresses(
            context.members(), service, region, request.remote_addr, settings.answer_addresses
        )
        if not addresses or context.shutting_down:
            # A caller would cache an empty response for its lifetime instead of asking another
            # node, and the outcome of requests with this node's identifier prefix is unknown once
            # the node has stopped.
            raise falcon.HTTPServiceUnavailable(
                title="no-entry-address",
                description="this node is leaving or knows no node that takes requests",
                retry_after=1,
            )
        response.media = {
            "service": service,
            "addresses": list(addresses),
            "lifetime_s": settings.answer_lifetime_s,
            "request_id_prefix": context.attempts.prefix(asyncio.get_running_loop().time()),
        }


class HealthResource:
    """Liveness check."""

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Responds with 200."""
        response.media = {"status": "ok"}


class ReadyResource:
    """Readiness check; the response lists the reasons if the node is not ready."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def on_get(self, request: falcon.asgi.Request, response: falcon.asgi.Response) -> None:
        """Responds with 200, or with 503 if the node is not ready."""
        reasons = list(self._context.not_ready_reasons())
        if self._context.shutting_down:
            reasons.append("the node is shutting down")
        if reasons:
            response.status = falcon.HTTP_503
        response.media = {"ready": not reasons, "reasons": reasons}


class CloseMiddleware:
    """Makes callers close their connections while the node shuts down."""

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        succeeded: bool,
    ) -> None:
        """Adds `Connection: close` during a shutdown."""
        if self._context.shutting_down:
            response.set_header("connection", "close")


def _write_problem(
    request: falcon.Request, response: falcon.Response, error: falcon.HTTPError
) -> None:
    """Serializes an error of Falcon as a problem document.

    The node handles these requests itself, so none of them has run at an upstream.
    """
    title = error.title or "error"
    name = title.lower().replace(" ", "-")
    response.content_type = CONTENT_TYPE.decode()
    response.data = json.dumps(
        {
            "type": f"urn:anviltray:problem:{name}",
            "title": title,
            "status": error.status_code,
            "detail": error.description or title,
            "outcome": "not-run",
        }
    ).encode()
    response.set_header("anviltray-outcome", "not-run")


def create_falcon_application(context: CallerContext) -> falcon.asgi.App[Any, Any]:
    """Returns the Falcon application with the node's own resources."""
    application = falcon.asgi.App(middleware=[CloseMiddleware(context)])
    application.set_error_serializer(_write_problem)
    application.add_route(ASK_PATH, EntryAddressesResource(context))
    application.add_route(HEALTH_PATH, HealthResource())
    application.add_route(READY_PATH, ReadyResource(context))
    return application


class CallerApplication:
    """ASGI application; requires a server with the protocol class of this package."""

    def __init__(self, context: CallerContext) -> None:
        self._node_application = create_falcon_application(context)
        self.dispatcher = Dispatcher(context)

    def expire_queued(self) -> None:
        """Expires queued requests whose deadline has passed."""
        self.dispatcher.expire_queued()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handles one request."""
        exchange: CallerExchange = scope["anviltray.exchange"]
        head = self.dispatcher.read_head(exchange)
        if head is None:
            return
        if head.path.startswith(NODE_PATH_PREFIX):
            await self._node_application(scope, receive, send)
        else:
            await self.dispatcher.handle(exchange, head)


def create_application(context: CallerContext) -> CallerApplication:
    """Returns the ASGI application; must be called from the running event loop."""
    return CallerApplication(context)
