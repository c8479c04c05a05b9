"""Sends statements of the operator language to a node and prints the results."""

import getpass
import sys
import uuid
from typing import Any

from anviltray.language import (
    LanguageError,
    SetFloor,
    SetUpstreamState,
    parse_statement,
)
from anviltray_cli._client import Target, ToolError, call
from anviltray_cli._exit_codes import ExitCode
from anviltray_cli._output import print_json, print_rows


def run_statement(target: Target, text: str, *, as_json: bool) -> ExitCode:
    """Runs one statement and prints its result; raises ToolError."""
    try:
        statement = parse_statement(text)
    except LanguageError as error:
        marker = " " * (error.column - 1) + "^"
        raise ToolError(f"{error}\n  {text}\n  {marker}", ExitCode.USAGE) from error
    if isinstance(statement, SetFloor | SetUpstreamState):
        return _run_command(target, text, as_json=as_json)
    return _run_query(target, text, as_json=as_json)


def publish(target: Target, path: str, body: dict[str, Any], *, as_json: bool) -> ExitCode:
    """Sends a change with a new command identifier and prints its outcome; raises ToolError."""
    command_id = uuid.uuid4().hex
    body = {
        **body,
        "command_id": command_id,
        "operator": getpass.getuser(),
        "deadline_s": target.deadline_s * 0.8,
    }
    try:
        result = call(target, "POST", path, body)
    except ToolError as error:
        if error.code is not ExitCode.UNKNOWN:
            raise
        result = {"command_id": command_id, "outcome": "unknown", "reason": str(error)}
    return show_outcome(result, as_json=as_json)


def show_outcome(result: dict[str, Any], *, as_json: bool) -> ExitCode:
    """Prints the outcome of a command and returns the corresponding exit code."""
    if as_json:
        print_json(result)
    else:
        detail = f": {result['reason']}" if result.get("reason") else ""
        print(f"{result['outcome']}{detail}")
        if result["outcome"] == "unknown":
            print(f"find out with: anviltray status {result['command_id']}")
    codes = {"accepted": ExitCode.DONE, "rejected": ExitCode.REJECTED}
    return codes.get(result["outcome"], ExitCode.UNKNOWN)


def _run_command(target: Target, text: str, *, as_json: bool) -> ExitCode:
    return publish(target, "/v1/command", {"text": text}, as_json=as_json)


def _run_query(target: Target, text: str, *, as_json: bool) -> ExitCode:
    wait_s = target.deadline_s * 0.8
    data = call(target, "POST", "/v1/query", {"text": text, "deadline_s": wait_s})
    if as_json:
        print_json(data)
    else:
        print_rows(data["rows"])
    if data["missing_nodes"]:
        missing = ", ".join(data["missing_nodes"])
        print(f"no answer from {missing}", file=sys.stderr)
        return ExitCode.INCOMPLETE
    return ExitCode.DONE
