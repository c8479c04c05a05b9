"""Guards against a caller that records wrong outcomes or resends requests unnoticed."""

import asyncio
import random

import falcon
import falcon.asgi
import pytest
import xxhash

from standins._serving import HttpServer, abort_connection
from standins.caller import Caller, LoadKind, LoadPlan, NoAnswer, run_load


async def truncated_body():
    yield b"{"
    raise ConnectionAbortedError


class FakeNode:
    """Answers ask requests, and handles other requests according to `behaviour`."""

    def __init__(self, behaviour="echo", lifetime_s=30.0):
        self.behaviour = behaviour
        self.lifetime_s = lifetime_s
        self.addresses = []
        self.received_ids = []
        self.ask_count = 0
        self.prefix_end = ""
        application = falcon.asgi.App()
        application.add_route("/.anviltray/ask", self)
        application.add_sink(self.handle, "/")
        self.server = HttpServer(application, "127.0.0.1:0")

    async def on_get(self, request, response):
        self.ask_count += 1
        response.media = {
            "service": request.get_param("service"),
            "addresses": self.addresses,
            "lifetime_s": self.lifetime_s,
            "request_id_prefix": f"n.1.{self.ask_count}{self.prefix_end}",
        }

    async def handle(self, req, resp, **_):
        request_id = req.get_header("Anviltray-Request-Id") or ""
        self.received_ids.append(request_id)
        body = await req.stream.read()
        resp.set_header("Anviltray-Outcome", "done")
        echo = {
            "digest": xxhash.xxh3_128_hexdigest(body),
            "id": request_id,
            "method": req.method,
            "path": req.path,
            "upstream": "u1",
        }
        if self.behaviour == "reset":
            abort_connection(req)
        elif self.behaviour == "not-run":
            resp.status = falcon.HTTP_503
            resp.set_header("Anviltray-Outcome", "not-run")
        elif self.behaviour == "foreign":
            resp.media = echo | {"digest": xxhash.xxh3_128_hexdigest(b"other")}
        elif self.behaviour == "truncated":
            resp.content_length = 100
            resp.stream = truncated_body()
        elif self.behaviour == "slow":
            await asyncio.sleep(0.2)
            resp.media = echo
        else:
            resp.media = echo


def run(scenario, *behaviours, lifetime_s=30.0):
    """Runs `scenario(caller, nodes)` against one fake node per behaviour."""

    async def wrapped():
        nodes = [FakeNode(behaviour, lifetime_s) for behaviour in behaviours]
        addresses = [await node.server.start() for node in nodes]
        for node in nodes:
            node.addresses = addresses
        try:
            async with Caller(addresses) as caller:
                await asyncio.wait_for(scenario(caller, nodes), 20)
        finally:
            for node in nodes:
                await node.server.close()

    asyncio.run(wrapped())


@pytest.mark.parametrize(
    ("behaviours", "outcome", "status", "matches", "errors"),
    [
        (["echo"], "done", 200, True, [""]),
        (["not-run", "echo"], "not-run", 503, None, [""]),
        (["foreign"], "done", 200, False, [""]),
        (["reset", "echo"], "done", 200, True, ["ServerDisconnectedError", ""]),
        (["truncated", "echo"], "done", 200, True, ["ClientPayloadError", ""]),
        (["reset"], "nothing", None, None, ["ServerDisconnectedError"]),
    ],
)
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_outcomes_are_recorded(method, behaviours, outcome, status, matches, errors):
    async def scenario(caller, nodes):
        record = await caller.send("order-desk", method, "/orders/1")
        assert (record.outcome, record.status) == (outcome, status)
        assert record.attempts[-1].echo_matches is matches
        assert [attempt.error for attempt in record.attempts] == errors
        # Also guards against retries inside the client library, which would not be recorded.
        assert [len(node.received_ids) for node in nodes] == [
            int(position < len(errors)) for position in range(len(nodes))
        ]
        assert {request_id for node in nodes for request_id in node.received_ids} == {
            record.request_id
        }
        assert record.request_id.startswith("n.1.")

    run(scenario, *behaviours)


def test_a_dropped_persistent_connection_is_recorded():
    async def scenario(caller, nodes):
        assert (await caller.send("order-desk", "GET", "/a")).succeeded
        nodes[0].behaviour = "reset"
        record = await caller.send("order-desk", "GET", "/a")
        assert record.outcome == "nothing" and len(nodes[0].received_ids) == 2

    run(scenario, "echo")


def test_refused_connections_fall_back_and_no_reachable_node_is_an_error():
    async def scenario(caller, nodes):
        await caller.ask("order-desk", nodes[0].addresses[0])
        await caller.current_answer("order-desk")
        await nodes[0].server.close()
        record = await caller.send("order-desk")  # May use the pooled connection first.
        assert record.succeeded
        assert record.attempts[0].error in ("ClientOSError", "ClientConnectorError")
        record = await caller.send("order-desk")
        assert record.succeeded and record.attempts[0].error == "ClientConnectorError"
        await nodes[1].server.close()
        caller.clear_answers()
        with pytest.raises(NoAnswer):
            await caller.ask("order-desk")
        assert (await caller.send("order-desk")).outcome == "nothing"

    run(scenario, "echo", "echo")


def test_answers_are_used_for_their_lifetime():
    async def scenario(caller, nodes):
        for _ in range(3):
            await caller.send("order-desk")
        assert nodes[0].ask_count == 1
        await asyncio.sleep(0.4)
        await caller.send("order-desk")
        assert nodes[0].ask_count == 2

    run(scenario, "echo", lifetime_s=0.3)


def test_repeating_a_request_keeps_its_identifier():
    async def scenario(caller, nodes):
        first = await caller.send("order-desk")
        repeated = await caller.send("order-desk", request_id=first.request_id)
        unidentified = await caller.send("order-desk", identify=False)
        assert nodes[0].received_ids == [first.request_id, first.request_id, ""]
        assert repeated.succeeded and unidentified.succeeded and unidentified.request_id == ""

    run(scenario, "echo")


def test_load_is_open_loop_and_deterministic_for_a_seed():
    kinds = (LoadKind("order-desk", "POST", "/a"), LoadKind("order-desk", "GET", "/b", weight=3))
    plan = LoadPlan(kinds, rate_per_s=100, duration_s=1.0, seed=7)

    async def scenario(caller, _nodes):
        results = [await run_load(caller, plan) for _ in range(2)]
        sent = [sorted(record.path for record in result.records) for result in results]
        assert sent[0] == sent[1]
        assert 60 < len(sent[0]) < 150
        assert results[0].counts() == {"200 done": len(sent[0])}
        assert results[0].latency_ms(50) >= 200, "each response takes 0.2 s"
        assert results[0].elapsed_s < 3, "arrivals do not wait for responses"

    run(scenario, "slow")


def test_load_in_flight_is_bounded():
    plan = LoadPlan((LoadKind("order-desk", "POST", "/a"),), 200, 0.5, in_flight_limit=3)

    async def scenario(caller, _nodes):
        await caller.current_answer("order-desk")
        result = await run_load(caller, plan)
        assert 3 <= len(result.records) <= 12
        planned = random.Random(plan.seed)
        arrivals, at_s = 0, planned.expovariate(200)
        while at_s <= plan.duration_s:
            arrivals += 1
            planned.choices(plan.kinds, [1.0])
            at_s += planned.expovariate(200)
        assert len(result.records) + result.skipped == arrivals

    run(scenario, "slow")


@pytest.mark.parametrize("prefix_end", ["", "."])
def test_identifiers_have_exactly_one_dot_before_the_suffix(prefix_end):
    """Guards against identifiers that a node rejects because no node has issued them."""

    async def scenario(caller, nodes):
        nodes[0].prefix_end = prefix_end
        await caller.send("order-desk")
        assert nodes[0].received_ids == ["n.1.1.c1"]

    run(scenario, "echo")
