"""Guards against unauthenticated access to operator functions and wrong command outcomes."""

import asyncio
from typing import NamedTuple

import falcon.testing
import pytest

from anviltray.declarations import as_document, parse_declarations
from anviltray.messages import BurnSummary, CommandEntry, ServiceCounters
from anviltray.operators import ActiveConfiguration, FleetQueryResult, create_operator_application
from anviltray.platform import PlatformUnavailable
from anviltray.state.configuration import put_service, remove_service, set_floor, set_upstream_state

KEY = b"operator-key"
AUTH = {"Authorization": "Bearer operator-key"}
SERVICE = parse_declarations(
    {
        "services": [
            {
                "name": "s",
                "upstreams": [{"address": "10.0.0.1:80", "region": "r", "zone": "a", "slots": 4}],
                "routes": [{"prefix": "/s"}],
            }
        ]
    },
    "test",
).services[0]
ISSUER = {"command_id": "c1", "operator": "ana", "deadline_s": 1.0}


class Outcome(NamedTuple):
    outcome: str
    version: int = 3
    reason: str = ""


class Context:
    """Fake node with one service; submitted commands get the `outcomes` in order."""

    def __init__(self):
        self.commands = []
        self.outcomes = []
        self.counts = []
        self.missing = ()
        self.entries = []
        self.log_available = True

    def upstream_rows(self, service):
        return [{"node": "n1", "address": "10.0.0.1:80", "state": "ejected"}]

    def service_rows(self):
        return [{"node": "n1", "service": "s"}]

    def node_row(self):
        return {"node": "n1"}

    def explain_rows(self, address):
        return [{"node": "n1", "address": address}]

    def attempt_rows(self, request_id):
        return []

    def active_configuration(self):
        return ActiveConfiguration(3, "digest", {"s": SERVICE})

    def history(self):
        return self.entries

    def members(self):
        return ()

    async def query_fleet(self, text, deadline_s):
        return FleetQueryResult([{"node": "n1"}, {"node": "n2"}], self.missing)

    async def submit(self, command, timeout_s):
        self.commands.append(command)
        return self.outcomes.pop(0) if self.outcomes else Outcome("accepted")

    async def burn_summaries(self):
        if not self.log_available:
            raise PlatformUnavailable("outage")
        return [BurnSummary("a", 1, 60, 1, (ServiceCounters("s", 9, 1),))]

    def wall_time_s(self):
        return 120.0

    def command(self, kind, service, based_on, who, why, **fields):
        common = {"based_on": based_on, "who": who, "why": why, "issued_unix_s": 0.0}
        if kind == "put":
            return put_service(fields["definition"], **common)
        builders = {"floor": set_floor, "upstream": set_upstream_state, "remove": remove_service}
        return builders[kind](service, **fields, **common)

    def count(self, event):
        self.counts.append(event)


@pytest.fixture
def context():
    return Context()


def call(context, method, path, body=None, headers=AUTH):
    async def main():
        app = create_operator_application(context, KEY)
        async with falcon.testing.ASGIConductor(app) as conductor:
            return await conductor.simulate_request(method, path, json=body, headers=headers)

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("POST", "/v1/query"),
        ("POST", "/v1/command"),
        ("POST", "/v1/apply"),
        ("GET", "/v1/declarations"),
        ("GET", "/v1/commands/c1"),
        ("GET", "/v1/burn"),
    ],
)
@pytest.mark.parametrize("headers", [{}, {"Authorization": "Bearer wrong"}])
def test_wrong_key_is_rejected_and_counted(context, method, path, headers):
    response = call(context, method, path, {"text": "drain 10.0.0.1:80", **ISSUER}, headers)
    assert response.status_code == 401
    assert context.commands == []
    assert context.counts == ["operators.refused"]


@pytest.mark.parametrize(
    ("path", "body", "words"),
    [
        ("/v1/query", {"text": "show colour"}, "column 6"),
        ("/v1/query", {"text": "show upstreams where colour = red"}, "no column"),
        ("/v1/query", {"text": "drain 10.0.0.1:80"}, "command"),
        ("/v1/query", {}, "text"),
        ("/v1/query", {"text": "show nodes", "deadline_s": "soon"}, "deadline_s"),
        ("/v1/query", [], "JSON object"),
        ("/v1/command", {"text": "show nodes", **ISSUER}, "query"),
        ("/v1/command", {"text": "drain 10.9.9.9:80", **ISSUER}, "no upstream"),
        ("/v1/command", {"text": "set floor of t to 1 slots", **ISSUER}, "no service"),
        ("/v1/command", {"text": "drain 10.0.0.1:80", "operator": "ana"}, "command_id"),
        ("/v1/apply", {"services": [], **ISSUER}, "based_on"),
        ("/v1/apply", {"services": [{"name": "s"}], "based_on": 3, **ISSUER}, "upstreams"),
    ],
)
def test_invalid_input_publishes_nothing(context, path, body, words):
    response = call(context, "POST", path, body)
    assert response.status_code == 400
    assert words in response.json["detail"]
    assert context.commands == []


@pytest.mark.parametrize(
    ("text", "kind", "field", "value"),
    [
        ("set floor of s to 3 slots", "floor", "floor_slots", 3),
        ("set floor of s to 75 %", "floor", "floor_share", 0.75),
        ("drain 10.0.0.1:80", "upstream", "state", "draining"),
        ("eject 10.0.0.1:80", "upstream", "state", "ejected"),
        ("restore 10.0.0.1:80", "upstream", "state", "active"),
    ],
)
def test_statement_becomes_a_command(context, text, kind, field, value):
    response = call(context, "POST", "/v1/command", {"text": f'{text} because "x"', **ISSUER})
    (command,) = context.commands
    assert response.json["outcome"] == "accepted"
    assert (command.kind, command.service, command.based_on) == (kind, "s", 3)
    assert (command.command_id, command.who, command.why) == ("c1", "ana", "x")
    assert getattr(command, field) == value


@pytest.mark.parametrize(
    ("outcomes", "worst"),
    [
        (["accepted", "accepted"], "accepted"),
        (["accepted", "rejected"], "rejected"),
        (["unknown", "rejected"], "unknown"),
    ],
)
def test_apply_reports_the_worst_outcome(context, outcomes, worst):
    context.outcomes = [Outcome(name) for name in outcomes]
    body = {"services": [as_document(SERVICE)], "remove": ["t"], "based_on": 3, **ISSUER}
    response = call(context, "POST", "/v1/apply", body)
    assert response.json["outcome"] == worst
    assert [command.kind for command in context.commands] == ["put", "remove"]
    assert len({command.command_id for command in context.commands}) == 2


def entry(command_id, rejection=""):
    return CommandEntry(5, command_id, "put", "s", "ana", 0.0, "", rejection)


@pytest.mark.parametrize(
    ("entries", "outcome"),
    [
        ([], "unknown"),
        ([entry("c1")], "accepted"),
        ([entry("c1", "conflict")], "rejected"),
        ([entry("c1-0"), entry("c1-1", "conflict")], "rejected"),
        ([entry("c10")], "unknown"),
    ],
)
def test_status(context, entries, outcome):
    context.entries = entries
    assert call(context, "GET", "/v1/commands/c1").json["outcome"] == outcome


def test_query_names_missing_nodes(context):
    context.missing = ("n3",)
    answer = call(context, "POST", "/v1/query", {"text": "show nodes"}).json
    assert answer == {"rows": [{"node": "n1"}, {"node": "n2"}], "missing_nodes": ["n3"]}


def test_history_is_answered_by_one_node(context):
    context.missing = ("n3",)
    context.entries = [entry("c1")]
    answer = call(context, "POST", "/v1/query", {"text": "show history"}).json
    assert answer["missing_nodes"] == [] and answer["rows"][0]["who"] == "ana"


@pytest.mark.parametrize(("available", "status"), [(True, 200), (False, 503)])
def test_burn(context, available, status):
    context.log_available = available
    assert call(context, "GET", "/v1/burn").status_code == status
