"""HTTP API for operators."""

import asyncio
import hmac
import json
import math
from collections.abc import Mapping
from typing import Any

import falcon
import falcon.asgi

from anviltray.declarations import as_document, parse_declarations
from anviltray.language import (
    LanguageError,
    SetFloor,
    SetUpstreamState,
    UnknownColumnError,
    parse_statement,
)
from anviltray.operators._commands import (
    CommandError,
    Issuer,
    command_for,
    commands_for_apply,
    worst_outcome,
)
from anviltray.operators._context import OperatorContext
from anviltray.operators._queries import LOCAL_QUERIES, answer_query
from anviltray.platform import PlatformUnavailable
from anviltray.reports import SLOT_S
from anviltray.schema import DocumentError

_BODY_LIMIT_BYTES = 16 << 20
_DEADLINE_LIMIT_S = 60.0
# Concurrent appends of one `apply`; the log accepts several hundred a second in total.
_APPLY_CONCURRENCY = 16


class _KeyCheck:
    """Rejects requests without the operators' key.

    Rejections are counted but not logged, since unauthenticated clients could flood the log.
    """

    def __init__(self, key: bytes, context: OperatorContext) -> None:
        self._expected = b"Bearer " + key
        self._key = key
        self._context = context

    async def process_request(self, req: falcon.asgi.Request, _resp: falcon.asgi.Response) -> None:
        found = (req.get_header("Authorization") or "").encode()
        if self._key and not hmac.compare_digest(found, self._expected):
            self._context.count("operators.refused")
            raise falcon.HTTPUnauthorized(description="wrong or missing operator key")


class _Query:
    def __init__(self, context: OperatorContext) -> None:
        self._context = context

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Runs a query at all nodes, or only here if every node would return the same rows."""
        body = await _body(req)
        text = _text(body, "text")
        statement = _parse(text)
        if isinstance(statement, SetFloor | SetUpstreamState):
            raise falcon.HTTPBadRequest(description="a command was sent as a query")
        try:
            own = answer_query(statement, self._context)
        except UnknownColumnError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        if isinstance(statement, LOCAL_QUERIES):
            resp.media = {"rows": own, "missing_nodes": []}
            return
        answer = await self._context.query_fleet(text, _deadline_s(body))
        resp.media = {"rows": list(answer.rows), "missing_nodes": list(answer.missing_nodes)}


class _Command:
    def __init__(self, context: OperatorContext) -> None:
        self._context = context

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Publishes the command that a statement describes."""
        body = await _body(req)
        statement = _parse(_text(body, "text"))
        if not isinstance(statement, SetFloor | SetUpstreamState):
            raise falcon.HTTPBadRequest(description="a query was sent as a command")
        try:
            command = command_for(statement, _issuer(body), self._context)
        except CommandError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        outcome = await self._context.submit(command, _deadline_s(body))
        resp.media = {
            "command_id": command.command_id,
            "outcome": outcome.outcome,
            "version": outcome.version,
            "reason": outcome.reason,
        }


class _Apply:
    def __init__(self, context: OperatorContext) -> None:
        self._context = context

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Publishes one command for each changed service; each command has its own outcome."""
        body = await _body(req)
        based_on, remove = body.get("based_on"), body.get("remove", [])
        if type(based_on) is not int or not isinstance(remove, list):
            raise falcon.HTTPBadRequest(description="based_on and remove are required")
        document = {"services": body.get("services")}
        try:
            services = parse_declarations(document, "declarations").services
        except DocumentError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        issuer, deadline_s = _issuer(body), _deadline_s(body)
        commands = commands_for_apply(services, remove, based_on, issuer, self._context)
        semaphore = asyncio.Semaphore(_APPLY_CONCURRENCY)

        async def submit(number: int) -> Any:
            async with semaphore:
                return await self._context.submit(commands[number], deadline_s)

        outcomes = await asyncio.gather(*(submit(number) for number in range(len(commands))))
        failed = [
            f"{command.service}: {outcome.outcome}: {outcome.reason}"
            for command, outcome in zip(commands, outcomes, strict=True)
            if outcome.outcome != "accepted"
        ]
        resp.media = {
            "command_id": issuer.command_id,
            "outcome": worst_outcome(outcomes),
            "version": max((outcome.version for outcome in outcomes), default=based_on),
            "reason": "; ".join(failed),
        }


class _Declarations:
    def __init__(self, context: OperatorContext) -> None:
        self._context = context

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Returns the active declarations."""
        version, digest, services = self._context.active_configuration()
        documents = [as_document(services[name]) for name in sorted(services)]
        resp.media = {"version": version, "digest": digest, "services": documents}


class _CommandStatus:
    def __init__(self, context: OperatorContext) -> None:
        self._context = context

    async def on_get(
        self, _req: falcon.asgi.Request, resp: falcon.asgi.Response, command_id: str
    ) -> None:
        """Returns the outcome of a command, or of all commands of one `apply`."""
        found = [
            entry
            for entry in self._context.history()
            if entry.command_id == command_id or entry.command_id.startswith(f"{command_id}-")
        ]
        rejected = [f"{entry.service}: {entry.rejection}" for entry in found if entry.rejection]
        outcome = "unknown"
        if found:
            outcome = "rejected" if rejected else "accepted"
        reason = "; ".join(rejected) if found else "not in the history of this node"
        version = max((entry.version for entry in found), default=-1)
        resp.media = {
            "command_id": command_id,
            "outcome": outcome,
            "version": version,
            "reason": reason,
        }


class _Burn:
    def __init__(self, context: OperatorContext) -> None:
        self._context = context

    async def on_get(self, _req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Returns the burn records and the active objectives."""
        try:
            summaries = await self._context.burn_summaries()
        except PlatformUnavailable as error:
            raise falcon.HTTPServiceUnavailable(description=f"the log: {error}") from error
        services = self._context.active_configuration().services
        resp.media = {
            "now_s": self._context.wall_time_s(),
            "slot_s": SLOT_S,
            "zones": sorted({member.zone for member in self._context.members()}),
            "objectives": {name: item.objective_share for name, item in services.items()},
            "summaries": [
                {**summary._asdict(), "services": [list(row) for row in summary.services]}
                for summary in summaries
            ],
        }


def create_operator_application(context: OperatorContext, key: bytes) -> falcon.asgi.App[Any, Any]:
    """Returns the ASGI application; an empty `key` disables authentication.

    Errors are JSON objects with `title` and `detail`: status 400 for an invalid statement or
    document, 401 for a wrong key, 503 if the log is unavailable.
    """
    app: falcon.asgi.App[Any, Any] = falcon.asgi.App(middleware=[_KeyCheck(key, context)])
    app.set_error_serializer(_serialize)
    app.add_route("/v1/query", _Query(context))
    app.add_route("/v1/command", _Command(context))
    app.add_route("/v1/apply", _Apply(context))
    app.add_route("/v1/declarations", _Declarations(context))
    app.add_route("/v1/commands/{command_id}", _CommandStatus(context))
    app.add_route("/v1/burn", _Burn(context))
    return app


def _serialize(
    _req: falcon.asgi.Request, resp: falcon.asgi.Response, error: falcon.HTTPError
) -> None:
    resp.content_type = "application/problem+json"
    problem = {"title": error.title, "detail": error.description or error.title}
    resp.data = json.dumps(problem).encode()


async def _body(req: falcon.asgi.Request) -> Mapping[str, Any]:
    if (req.content_length or 0) > _BODY_LIMIT_BYTES:
        raise falcon.HTTPContentTooLarge(description=f"at most {_BODY_LIMIT_BYTES} bytes")
    body = await req.get_media()
    if not isinstance(body, dict):
        raise falcon.HTTPBadRequest(description="a JSON object is required")
    return body


def _text(body: Mapping[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not value:
        raise falcon.HTTPBadRequest(description=f"{name} is required")
    return value


def _deadline_s(body: Mapping[str, Any]) -> float:
    value = body.get("deadline_s", 5.0)
    if type(value) not in (int, float) or not math.isfinite(value) or value <= 0:
        raise falcon.HTTPBadRequest(description="deadline_s must be a number above 0")
    return min(float(value), _DEADLINE_LIMIT_S)


def _issuer(body: Mapping[str, Any]) -> Issuer:
    reason = body.get("reason", "")
    if not isinstance(reason, str):
        raise falcon.HTTPBadRequest(description="reason must be a text")
    return Issuer(_text(body, "command_id"), _text(body, "operator"), reason)


def _parse(text: str) -> Any:
    try:
        return parse_statement(text)
    except LanguageError as error:
        raise falcon.HTTPBadRequest(description=str(error)) from error
