"""Guards against wrong exit codes, changes that are sent twice, and unreported missing nodes."""

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from anviltray_cli import ExitCode, main

SERVICE = {
    "name": "s",
    "upstreams": [{"address": "10.0.0.1:80", "region": "r", "zone": "a", "slots": 4}],
    "routes": [{"prefix": "/s"}],
}
YAML = json.dumps({"services": [SERVICE]})


class Node:
    """Fake node: responds to each path with a fixed status and document, and records the calls.

    An answer of None closes the connection without a response.
    """

    def __init__(self):
        self.answers = {"/v1/declarations": (200, {"version": 7, "services": []})}
        self.calls = []
        node = self

        class Handler(BaseHTTPRequestHandler):
            def handle_any(self):
                length = int(self.headers.get("Content-Length", 0))
                node.calls.append((self.path, json.loads(self.rfile.read(length) or b"null")))
                answer = node.answers[self.path]
                if answer is None:
                    self.close_connection = True
                    return
                status, document = answer
                data = json.dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = handle_any  # noqa: N815

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


@pytest.fixture
def node(monkeypatch):
    fake = Node()
    monkeypatch.setenv("ANVILTRAY_NODES", fake.address)
    yield fake
    fake.server.shutdown()
    fake.server.server_close()


def run(*arguments):
    with pytest.raises(SystemExit) as caught:
        main(list(arguments))
    return caught.value.code


def outcome(name, **more):
    return (200, {"command_id": "c1", "outcome": name, **more})


@pytest.mark.parametrize(
    ("answer", "code", "words"),
    [
        (outcome("accepted", version=8), ExitCode.DONE, "accepted"),
        (outcome("rejected", reason="conflict"), ExitCode.REJECTED, "rejected: conflict"),
        (outcome("unknown"), ExitCode.UNKNOWN, "anviltray status c1"),
        (None, ExitCode.UNKNOWN, "anviltray status "),
    ],
)
def test_command_outcomes(node, capsys, answer, code, words):
    node.answers["/v1/command"] = answer
    assert run("drain", "10.0.0.1:80", "because", "bad disk") == code
    assert words in capsys.readouterr().out
    assert len(node.calls) == 1
    assert node.calls[0][1]["text"] == 'drain 10.0.0.1:80 because "bad disk"'


@pytest.mark.parametrize(("missing", "code"), [([], ExitCode.DONE), (["n2"], ExitCode.INCOMPLETE)])
def test_query_names_missing_nodes(node, capsys, missing, code):
    node.answers["/v1/query"] = (200, {"rows": [{"node": "n1"}], "missing_nodes": missing})
    assert run("show", "nodes") == code
    captured = capsys.readouterr()
    assert "n1" in captured.out
    assert all(name in captured.err for name in missing)


def test_json_output(node, capsys):
    node.answers["/v1/query"] = (200, {"rows": [{"node": "n1"}], "missing_nodes": []})
    run("show", "nodes", "--json")
    assert json.loads(capsys.readouterr().out)["rows"] == [{"node": "n1"}]


@pytest.mark.parametrize(
    ("arguments", "code", "words"),
    [
        (["show", "colour"], ExitCode.USAGE, "column 6"),
        (["plan", "/nonexistent.yaml"], ExitCode.USAGE, "/nonexistent.yaml"),
        (["plan"], ExitCode.USAGE, "at least one file"),
        (["unknown-subcommand"], ExitCode.USAGE, "invalid choice"),
    ],
)
def test_usage_errors_send_nothing(node, capsys, arguments, code, words):
    assert run(*arguments) == code
    assert words in capsys.readouterr().err
    assert node.calls == []


def test_plan_and_apply(node, capsys, tmp_path):
    path = tmp_path / "services.yaml"
    path.write_text(YAML, encoding="utf-8")
    node.answers["/v1/apply"] = outcome("accepted")
    assert run("plan", str(path)) == ExitCode.DONE
    assert "new service" in capsys.readouterr().out
    assert run("apply", str(path), "--reason", "first") == ExitCode.DONE
    body = node.calls[-1][1]
    assert body["based_on"] == 7 and body["reason"] == "first"
    assert [service["name"] for service in body["services"]] == ["s"]


def test_export_can_be_applied_again(node, capsys, tmp_path):
    node.answers["/v1/declarations"] = (200, {"version": 7, "services": [SERVICE]})
    assert run("export") == ExitCode.DONE
    path = tmp_path / "services.yaml"
    path.write_text(capsys.readouterr().out, encoding="utf-8")
    assert run("apply", str(path)) == ExitCode.DONE
    assert "nothing to change" in capsys.readouterr().err


def test_next_node_is_tried_only_if_no_connection_was_made(node, monkeypatch, capsys):
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        closed = f"127.0.0.1:{free.getsockname()[1]}"
    node.answers["/v1/command"] = outcome("accepted")
    monkeypatch.setenv("ANVILTRAY_NODES", f"{closed},{node.address}")
    assert run("drain", "10.0.0.1:80") == ExitCode.DONE
    monkeypatch.setenv("ANVILTRAY_NODES", closed)
    assert run("drain", "10.0.0.1:80") == ExitCode.UNREACHABLE


def test_refusal_by_the_node(node, capsys):
    node.answers["/v1/query"] = (401, {"detail": "wrong key"})
    assert run("show", "nodes") == ExitCode.FAILED
    assert "wrong key" in capsys.readouterr().err


def test_burn_report(node, capsys):
    node.answers["/v1/burn"] = (
        200,
        {
            "now_s": 6000.0,
            "slot_s": 60,
            "zones": ["a"],
            "objectives": {"s": 0.99},
            "summaries": [
                {"zone": "a", "slot": 99, "slot_s": 60, "nodes": 1, "services": [["s", 98, 2]]}
            ],
        },
    )
    assert run("report", "burn") == ExitCode.DONE
    shown = capsys.readouterr().out
    assert "2.00" in shown and "no records of a" in shown


@pytest.mark.parametrize(("columns", "lines"), [("200", 3), ("20", 3 * 2 + 1)])
def test_wide_rows_become_blocks(node, capsys, monkeypatch, columns, lines):
    monkeypatch.setenv("COLUMNS", columns)
    row = {"address": "10.0.0.1:80", "state": "ejected", "why": "x" * 30, "empty": ""}
    node.answers["/v1/query"] = (200, {"rows": [row] * 2, "missing_nodes": []})
    run("show", "upstreams")
    shown = capsys.readouterr().out
    assert len(shown.splitlines()) == lines + (1 if columns == "200" else 0)
    assert "empty" not in shown
