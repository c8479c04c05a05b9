"""Guards against lost or altered requests and responses in normal operation."""

import asyncio
import json

import pytest

from anviltray.callers.tests.support import Node, Upstream, ok


def run(coroutine):
    return asyncio.run(coroutine)


@pytest.mark.parametrize(
    ("head", "body", "status"),
    [
        ("GET /levels/1?a=b%20c", b"", 200),
        ("HEAD /levels/1", b"", 200),
        ("POST /crews", b"crew", 200),
        ("PUT /levels/1", b"x" * 300_000, 200),
        ("DELETE /crews/1", b"", 200),
        ("OPTIONS /crews", b"", 200),
        ("PROPFIND /crews", b"", 200),
        ("PATCH /crews", b"p" * 70_000, 200),
    ],
)
def test_methods_and_bodies_arrive_unchanged(head, body, status):
    async def main():
        async with Upstream(ok(b"answer")) as upstream, Node() as node:
            node.context.ejector.addresses = (upstream.address,)
            spoofed = {"X_Request_Id": "n1.1.0.other", "X_Deadline_Ms": "999999"}
            response = await node.call(
                head, body, X_Own="ü", Connection="X-Hop", X_Hop="1", **spoofed
            )
            request = upstream.requests[0]
            assert response.status == status
            assert response.headers["anviltray-outcome"] == "done"
            assert response.body == (b"" if head.startswith("HEAD") else b"answer")
            assert request.line == f"{head} HTTP/1.1"
            assert request.body == body
            assert request.headers["host"] == "keeper.example"
            assert "x-hop" not in request.headers and "connection" not in request.headers
            assert request.headers["x-own"] == "ü".encode().decode("latin-1")
            assert 0 < int(request.headers["x-deadline-ms"]) <= 30_000
            assert ("x-request-id" in request.headers) == (not node.context.rule_for_head(head))
            assert request.headers.get("x-request-id") != "n1.1.0.other"
            assert "user-agent" not in request.headers
            assert node.context.ejector.outcomes == ["ok"]
            assert (
                node.context.load_tracker.outstanding == node.context.admission_control.running == 0
            )

    run(main())


@pytest.mark.parametrize(("body", "status"), [(b"", 200), (b"u" * 10, 501), (b"u" * 99999, 501)])
def test_an_upgrade_is_not_followed(body, status):
    """httptools drops the body of an upgrade request, which must not run without its body."""

    async def main():
        async with Upstream(ok(b"answer")) as upstream, Node() as node:
            node.context.ejector.addresses = (upstream.address,)
            for upgrade in ("websocket", "h2c"):
                response = await node.call(
                    "POST /crews", body, Connection="Upgrade", Upgrade=upgrade
                )
                assert response.status == status
                assert response.headers["connection"] == "close"
            assert len(upstream.requests) == (2 if status == 200 else 0)

    run(main())


def test_paths_of_the_node():
    async def main():
        async with Node() as node:
            ask = await node.call("GET /.anviltray/ask?service=keeper-desk&region=viti")
            assert json.loads(ask.body) == {
                "service": "keeper-desk",
                "addresses": ["127.0.0.1:1"],
                "lifetime_s": 30.0,
                "request_id_prefix": "n1.1.0.",
            }
            assert (await node.call("GET /.anviltray/ask?service=other")).status == 404
            assert (await node.call("GET /.anviltray/ask")).status == 400
            assert (await node.call("GET /.anviltray/health")).status == 200
            assert (await node.call("GET /.anviltray/ready")).status == 200
            node.context.reasons = ("no configuration",)
            ready = await node.call("GET /.anviltray/ready")
            assert ready.status == 503
            assert json.loads(ready.body)["reasons"] == ["no configuration"]
            assert (await node.call("GET /levels")).status == 503
            unknown = await node.call("GET /.anviltray/none")
            assert json.loads(unknown.body)["outcome"] == "not-run"

    run(main())


def test_entry_addresses_are_refused_during_shutdown_or_without_nodes():
    """Callers would cache an empty response or the identifier prefix of a node that is gone."""

    async def main():
        async with Node() as node:
            node.context.shutting_down = True
            leaving = await node.call("GET /.anviltray/ask?service=keeper-desk")
            assert leaving.status == 503 and leaving.headers["retry-after"] == "1"
            node.context.shutting_down = False
            node.context.entry_addresses = lambda *_: ()
            assert (await node.call("GET /.anviltray/ask?service=keeper-desk")).status == 503

    run(main())
