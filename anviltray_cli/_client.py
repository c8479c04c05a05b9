"""HTTP client of the operator endpoint."""

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from anviltray_cli._exit_codes import ExitCode

DEFAULT_NODES = "127.0.0.1:8082"


class ToolError(Exception):
    """Terminates the tool with a message on standard error and an exit code."""

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.code = code


class Target(NamedTuple):
    """Nodes to call, with the credentials and the time limit."""

    nodes: tuple[str, ...]  # Operator addresses, tried in order.
    key: str  # Operators' key; empty if the nodes require none.
    deadline_s: float  # Time limit of the whole call.


def target_from(nodes: Sequence[str], deadline_s: float) -> Target:
    """Returns the target from the arguments and the environment.

    `ANVILTRAY_NODES` contains operator addresses separated by commas, `ANVILTRAY_KEY_FILE` the path
    of a file with the operators' key. Raises ToolError for an unreadable key file.
    """
    addresses = tuple(nodes) or tuple(os.environ.get("ANVILTRAY_NODES", DEFAULT_NODES).split(","))
    key_file = os.environ.get("ANVILTRAY_KEY_FILE", "")
    try:
        key = Path(key_file).read_text(encoding="utf-8").strip() if key_file else ""
    except OSError as error:
        raise ToolError(f"{key_file}: {error.strerror}", ExitCode.USAGE) from error
    return Target(addresses, key, deadline_s)


def call(target: Target, method: str, path: str, body: Any = None) -> dict[str, Any]:
    """Returns the JSON response of the first node that accepts a connection.

    A call is never sent twice, as it may change something: the next node is tried only if no
    connection could be opened. Raises ToolError.
    """
    return asyncio.run(_call(target, method, path, body))


async def _call(target: Target, method: str, path: str, body: Any) -> dict[str, Any]:
    headers = {"Authorization": f"Bearer {target.key}"} if target.key else {}
    timeout = aiohttp.ClientTimeout(total=target.deadline_s)
    problems: list[str] = []
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        for node in target.nodes:
            try:
                url = f"http://{node}{path}"
                async with session.request(method, url, json=body) as response:
                    return await _read_response(response)
            except aiohttp.ClientConnectorError as error:
                problems.append(f"{node}: {error.strerror or error}")
            except (TimeoutError, aiohttp.ClientError) as error:
                code = ExitCode.UNREACHABLE if method == "GET" else ExitCode.UNKNOWN
                reason = str(error) or f"no answer within {target.deadline_s:g} s"
                raise ToolError(f"{node}: {reason}", code) from error
    raise ToolError("; ".join(problems), ExitCode.UNREACHABLE)


async def _read_response(response: aiohttp.ClientResponse) -> dict[str, Any]:
    data: dict[str, Any] = await response.json(content_type=None)
    if response.status == 400:
        raise ToolError(data.get("detail", "bad request"), ExitCode.USAGE)
    if response.status >= 300:
        raise ToolError(data.get("detail", f"status {response.status}"), ExitCode.FAILED)
    return data
