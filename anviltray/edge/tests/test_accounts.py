"""Guards against requests that run for the wrong account or none, and keys that become visible."""

import asyncio

import logbook
import pytest

from anviltray.callers.tests.support import read_response
from anviltray.edge import Edge, _activation
from anviltray.edge.tests.support import (
    Fleet,
    configuration,
    in_turn,
    registration,
    reset,
    respond,
    route,
)
from anviltray.platform import decode_configuration
from anviltray.zone import StoreFollower
from standins.store import StoreConditions

KEY, OTHER_KEY, NEW_KEY = "s3cret-a1", "s3cret-b", "s3cret-a2"
ACCOUNTS = (
    {"name": "acme", "apiKeys": [KEY, "s3cret-a3"], "priority": 0},
    {"name": "brisk", "apiKeys": [OTHER_KEY]},
)
ROUTES = [route("level", "safe"), route("order", "unsafe"), route("open", "safe")]
ROUTES[2]["public"] = True
BEARER = f"Authorization: Bearer {KEY}"


async def put_in_force(fleet, version, accounts=ACCOUNTS, routes=ROUTES):
    """Writes a configuration and waits until all hosts have it."""
    record = configuration(version, routes, None if accounts is None else list(accounts))
    fleet.store.append_record("keyed.op", "config", record)
    for host in fleet.hosts:
        await fleet.until(lambda host=host: host.state.configuration.version == version, 3.0)


def run(tmp_path, test, *handlers, hosts=1):
    """Runs `test(fleet)` with accounts in force; returns the text of all log records."""

    async def main():
        async with Fleet(tmp_path, handlers or [respond()], hosts) as fleet:
            await put_in_force(fleet, 2)
            await asyncio.wait_for(test(fleet), 30)

    with logbook.TestHandler() as handler:
        asyncio.run(main())
        text = "\n".join(f"{record.message} {record.extra}" for record in handler.records)
    assert "s3cret" not in text
    return text


class Connection:
    """One connection of a caller, for repeated headers and bodies that arrive in parts."""

    def __init__(self, fleet):
        self.address = fleet.hosts[0].settings.caller_address

    async def __aenter__(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    async def __aexit__(self, *error):
        self.writer.close()

    def send(self, line, *headers, body=""):
        fixed = ["Host: keeper.example", "Request-Id: c1", "Deadline-Ms: 3000"]
        self.writer.write("\r\n".join([f"{line} HTTP/1.1", *fixed, *headers, "", body]).encode())

    async def response(self):
        return await asyncio.wait_for(read_response(self.reader), 10)


async def call(fleet, line, *headers):
    async with Connection(fleet) as connection:
        connection.send(line, *headers)
        return await connection.response()


@pytest.mark.parametrize(
    ("path", "headers", "status", "account"),
    [
        ("level", [BEARER], 200, "acme"),
        ("level", ["authorization: bEARER s3cret-a3"], 200, "acme"),
        ("level", [f"Authorization: Bearer {OTHER_KEY}"], 200, "brisk"),
        ("level", [], 401, None),
        ("level", ["Authorization: Bearer s3cret"], 401, None),
        ("level", ["Authorization: Bearer "], 401, None),
        ("level", [f"Authorization: Basic {KEY}"], 401, None),
        ("level", [f"Authorization: {KEY}"], 401, None),
        ("level", [BEARER, BEARER], 401, None),
        ("level", [BEARER, f"Authorization: Bearer {OTHER_KEY}"], 401, None),
        ("level", [f"Authorization: Bearer {KEY}, Bearer {OTHER_KEY}"], 401, None),
        ("level", ["Tenant: acme"], 401, None),
        ("level", [BEARER, "Tenant: brisk"], 200, "acme"),
        ("level", ["TENANT: brisk", BEARER, "tenant: other"], 200, "acme"),
        ("level", [BEARER, "Connection: tenant", "tEnAnT: brisk"], 200, "acme"),
        ("level", [BEARER, "Tenant : brisk"], 400, None),
        ("level", [BEARER, "X-A: 1", " Tenant: brisk"], 400, None),
        ("open", [], 200, None),
        ("open", [BEARER], 200, None),
        ("open", ["Authorization: Basic eA==", BEARER, "Tenant: acme"], 200, None),
        ("none", [BEARER], 404, None),
        ("none", [], 404, None),
    ],
)
def test_account_of_a_request(tmp_path, path, headers, status, account):
    async def test(fleet):
        response = await call(fleet, f"GET /{path}/1", *headers)
        assert response.status == status
        assert ("www-authenticate" in response.headers) == (status == 401)
        assert "s3cret" not in str(response)
        if status == 401:
            assert "connection" not in response.headers
        received = [each.headers for each in fleet.instances[0].requests]
        assert [each.get("tenant") for each in received] == [account] * (status == 200)
        assert "s3cret" not in str(received)
        assert "authorization" not in str(received).lower()

    run(tmp_path, test)


@pytest.mark.parametrize(
    "headers",
    [[], [BEARER, "Tenant: acme"], ["Tenant: acme"], ["Authorization: Basic eA=="]],
)
def test_deployment_without_accounts_passes_the_headers_on(tmp_path, headers):
    async def test(fleet):
        await put_in_force(fleet, 3, None)
        assert (await call(fleet, "GET /level/1", *headers)).status == 200
        (received,) = [each.headers for each in fleet.instances[0].requests]
        for header in headers:
            name, value = header.split(": ")
            assert received[name.lower()] == value
        assert ("tenant" in received) == any("Tenant" in header for header in headers)

    run(tmp_path, test)


def test_nobody_is_admitted_without_accounts_to_belong_to(tmp_path):
    async def test(fleet):
        await put_in_force(fleet, 3, [])
        assert (await call(fleet, "GET /level/1", BEARER)).status == 401
        assert (await call(fleet, "GET /open/1", BEARER)).status == 200

    run(tmp_path, test)


def test_key_is_withdrawn_while_the_connection_is_open(tmp_path):
    changed = ({"name": "acme", "apiKeys": [NEW_KEY]}, ACCOUNTS[1])

    async def test(fleet):
        async with Connection(fleet) as connection:
            for accounts, header, status in (
                (ACCOUNTS, BEARER, 200),
                (changed, BEARER, 401),
                (changed, f"Authorization: Bearer {NEW_KEY}", 200),
                (ACCOUNTS, BEARER, 200),
            ):
                await put_in_force(fleet, fleet.hosts[0].follower.version + 2, accounts)
                connection.send("GET /level/1", header)
                assert (await connection.response()).status == status
        assert fleet.received() == 3

    run(tmp_path, test)


MOVED = [route("level", "safe"), route("order", "unsafe", "supply"), ROUTES[2]]


@pytest.mark.parametrize(
    ("accounts", "routes", "status", "service"),
    [
        (ACCOUNTS, ROUTES, 200, "keeper"),
        (ACCOUNTS[1:], ROUTES, 401, None),
        ((), ROUTES, 401, None),
        (ACCOUNTS, ROUTES[:1], 404, None),
        (ACCOUNTS, MOVED, 200, "supply"),
        (({"name": "renamed", "apiKeys": [KEY]},), ROUTES, 200, "keeper"),
        (None, ROUTES, 200, "keeper"),
    ],
    ids=["kept", "withdrawn", "none left", "route dropped", "moved", "renamed", "not needed"],
)
def test_change_applies_to_a_request_that_waits(tmp_path, accounts, routes, status, service):
    async def test(fleet):
        supply = registration(fleet.instances[1].address, "supply")
        fleet.store.append_record("keyed.servers", "i-1", supply)
        directory = fleet.hosts[0].state.directory
        await fleet.until(lambda: directory.usable("supply"))
        async with Connection(fleet) as connection:
            connection.send("POST /order/1", BEARER, "Content-Length: 4", body="ab")
            await asyncio.sleep(0.1)  # The host waits for the rest of the body.
            await put_in_force(fleet, 3, accounts, routes)
            connection.writer.write(b"cd")
            assert (await connection.response()).status == status
        counts = [len(instance.requests) for instance in fleet.instances]
        assert counts == [service == "keeper", service == "supply"]
        names = [accounts[0]["name"]] if accounts else [None]
        received = [each for instance in fleet.instances for each in instance.requests]
        assert [each.headers.get("tenant") for each in received] == names * (status == 200)

    run(tmp_path, test, respond(), respond())


@pytest.mark.parametrize(("line", "then"), [("POST /order/1", respond()), ("GET /level/1", reset)])
def test_request_that_has_been_sent_is_completed(tmp_path, line, then):
    """A safe request is sent again for the account that it was admitted for."""
    withdrawn = asyncio.Event()

    async def wait(request, writer):
        await withdrawn.wait()
        return await then(request, writer)

    async def test(fleet):
        async with Connection(fleet) as connection:
            connection.send(line, BEARER)
            await fleet.until(lambda: fleet.received() == 1)
            await put_in_force(fleet, 3, ACCOUNTS[1:])
            withdrawn.set()
            assert (await connection.response()).status == 200
        received = [each.headers for instance in fleet.instances for each in instance.requests]
        assert {each["tenant"] for each in received} == {"acme"}

    either_first = in_turn(wait, respond())
    run(tmp_path, test, either_first, either_first)


def test_fields_after_a_body_name_no_account(tmp_path):
    async def test(fleet):
        async with Connection(fleet) as connection:
            body = "2\r\nab\r\n0\r\nTenant: brisk\r\nX-A: 1\r\n\r\n"
            connection.send("POST /order/1", BEARER, "Transfer-Encoding: chunked", body=body)
            assert (await connection.response()).status == 200
        (received,) = fleet.instances[0].requests
        assert (received.headers["tenant"], received.body) == ("acme", b"ab")

    run(tmp_path, test)


@pytest.mark.parametrize("handlers", [(reset, respond()), (respond(after_s=1.2), respond())])
def test_second_attempt_carries_the_account(tmp_path, handlers):
    async def test(fleet):
        response = await call(fleet, "GET /level/1", BEARER, "Tenant: brisk")
        assert response.status == 200
        received = [each.headers for instance in fleet.instances for each in instance.requests]
        assert [each["tenant"] for each in received] == ["acme"] * 2

    either_first = in_turn(*handlers)
    run(tmp_path, test, either_first, either_first)


@pytest.mark.parametrize(
    ("header", "priority"), [(BEARER, 0), (f"Authorization: Bearer {OTHER_KEY}", 1)]
)
def test_priority_of_the_account_goes_before_that_of_the_route(tmp_path, header, priority):
    async def test(fleet):
        requests, placement = [], fleet.hosts[0].state.placement
        choose = placement.choose
        placement.choose = lambda *rest: requests.append(rest[1]) or choose(*rest)
        await call(fleet, "GET /level/1", header)
        assert [each.priority for each in requests] == [priority]

    run(tmp_path, test)


def test_rejections_are_counted_by_cause_and_logged_at_a_bounded_rate(tmp_path):
    async def test(fleet):
        for headers in ([], [BEARER, BEARER], ["Authorization: x"], ["Authorization: Bearer x"]):
            for _ in range(3):
                assert (await call(fleet, "GET /level/1", *headers)).status == 401
        metrics = (await fleet.page("/metrics")).body
        for cause in ("key_missing", "several_keys", "key_malformed", "key_unknown"):
            assert f'{{event="{cause}"}} 3.0'.encode() in metrics
        assert b"s3cret" not in metrics

    text = run(tmp_path, test)
    assert 1 <= text.count("without a valid key") <= 3


def test_snapshot_with_the_keys_is_not_available_to_callers(tmp_path):
    async def test(fleet):
        for port in ("readiness_address", "directory_address", "caller_address"):
            response = await fleet.page("/.anviltray/snapshot", port=port)
            assert (response.status, b"s3cret" in response.body) == (404, False)
        settings = fleet.hosts[0].settings
        internal = settings._replace(
            readiness_address=f"{settings.address}:{settings.first_internal_port}"
        )
        fleet.hosts[0].settings = internal
        assert (await fleet.page("/.anviltray/snapshot")).status == 200

    run(tmp_path, test)


def test_host_that_starts_while_the_store_is_away_gets_the_accounts_from_a_peer(tmp_path):
    async def test(fleet):
        fleet.store.conditions = StoreConditions(status=503)
        # Hosts keep nothing, so one that restarts is the same as a new one.
        fleet.hosts.append(await fleet.start_host(2))
        await fleet.until(lambda: not fleet.hosts[1].not_ready_reasons())
        for number, (key, status) in enumerate(((KEY, 200), ("x", 401))):
            response = await fleet.call(
                "GET /level/1", host=1, request_id=f"c{number}", Authorization=f"Bearer {key}"
            )
            assert response.status == status
        assert fleet.instances[0].requests[0].headers["tenant"] == "acme"
        assert not fleet.hosts[1].follower.reaches_store

    run(tmp_path, test)


def test_older_configuration_of_a_peer_brings_no_withdrawn_key_back(tmp_path, monkeypatch):
    """A peer announces a newer configuration and sends an older one."""
    snapshot, create_beacon = StoreFollower.snapshot, Edge._create_beacon
    older, stale = configuration(2, ROUTES, list(ACCOUNTS)), []
    monkeypatch.setattr(
        StoreFollower,
        "snapshot",
        lambda self: snapshot(self)._replace(configuration=older) if stale else snapshot(self),
    )
    monkeypatch.setattr(
        Edge,
        "_create_beacon",
        lambda self, answer: create_beacon(self, answer)._replace(
            **({"configuration_version": 9} if self in stale else {})
        ),
    )

    async def test(fleet):
        host, peer = fleet.hosts
        await put_in_force(fleet, 3, ACCOUNTS[1:])
        fetched = host.follower.counters["snapshots"]
        stale.append(peer)
        peer.exchange.send_beacon()
        await fleet.until(lambda: host.follower.counters["snapshots"] > fetched + 1)
        assert host.state.configuration.version == 3
        assert (await call(fleet, "GET /level/1", BEARER)).status == 401

    run(tmp_path, test, hosts=2)


@pytest.mark.parametrize(
    "accounts",
    [
        [{"name": "acme", "apiKeys": [KEY]}, {"name": "brisk", "apiKeys": [KEY]}],
        [{"name": "acme", "apiKeys": [KEY], "ratePerS": -1}],
        "all",
    ],
)
def test_invalid_accounts_leave_the_configuration_in_force(tmp_path, accounts):
    async def test(fleet):
        follower = fleet.hosts[0].follower
        fleet.store.append_record("keyed.op", "config", configuration(3, ROUTES, accounts))
        await fleet.until(lambda: follower.counters["invalid_records"])
        assert (await call(fleet, "GET /level/1", BEARER)).status == 200
        assert (await call(fleet, "GET /level/1")).status == 401
        await put_in_force(fleet, 4, ACCOUNTS[1:])
        assert (await call(fleet, "GET /level/1", BEARER)).status == 401

    assert "is invalid" in run(tmp_path, test)


def test_key_that_no_header_can_carry_is_left_out_with_a_log_line(tmp_path):
    async def test(fleet):
        await put_in_force(fleet, 3, [{"name": "acme", "apiKeys": [KEY, "", "s3cret two"]}])
        assert (await call(fleet, "GET /level/1", BEARER)).status == 200

    assert run(tmp_path, test).count("2 API keys that no header can carry are left out") == 1


def test_many_accounts_take_effect_in_steps_while_versions_follow_each_other(tmp_path, monkeypatch):
    monkeypatch.setattr(_activation, "_STEP_ACCOUNTS", 1)
    many = [{"name": f"a{number}", "apiKeys": [f"k{number}"]} for number in range(300)]

    async def test(fleet):
        state, activation = fleet.hosts[0].state, fleet.hosts[0]._activation
        for version, accounts in ((3, many), (4, []), (5, [*many, *ACCOUNTS])):
            activation.start(decode_configuration(configuration(version, ROUTES, accounts)))
        assert (state.configuration.version, len(state.accounts)) == (2, 2)
        assert (await call(fleet, "GET /level/1", BEARER)).status == 200
        await fleet.until(lambda: state.configuration.version == 5)
        assert len(state.accounts) == 302
        assert (await call(fleet, "GET /level/1", BEARER)).status == 200

    assert "'version': 4" not in run(tmp_path, test)


def test_representations_contain_no_key(tmp_path):
    async def test(fleet):
        dispatcher = fleet.hosts[0]._dispatcher
        scope = {
            "method": "GET",
            "raw_path": b"/level/1",
            "path": "/level/1",
            "query_string": b"",
            "headers": [(b"host", b"keeper.example"), (b"authorization", f"Bearer {KEY}".encode())],
        }
        head = dispatcher._reader.read(scope)
        admitted = dispatcher._admission.admit(head)
        assert admitted.account == "acme"
        await put_in_force(fleet, 3, None)
        unneeded = dispatcher._admission.admit(head)
        assert unneeded.account_headers == (("authorization", f"Bearer {KEY}"),)
        state = fleet.hosts[0].state
        for each in (head, admitted, unneeded, state.configuration, state.account_index):
            assert "s3cret" not in repr(each)

    run(tmp_path, test)
