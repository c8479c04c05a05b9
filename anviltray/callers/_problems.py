"""Problem documents (RFC 9457) that state whether the request was run."""

import json
from typing import NamedTuple

from anviltray.callers._context import Outcome

CONTENT_TYPE = b"application/problem+json"
OUTCOME_HEADER = b"anviltray-outcome"


class Problem(NamedTuple):
    """Error response that the node generates itself."""

    status: int  # HTTP status.
    name: str  # Last part of the problem type.
    detail: str  # What happened, in one sentence.
    outcome: Outcome = "not-run"  # Whether the request was run.
    retry_after_s: float | None = None  # Retry-After in seconds.
    close: bool = False  # Whether the connection must be closed afterwards.
    challenge: str | None = None  # WWW-Authenticate, required with status 401.


class InputError(Exception):
    """The request cannot be read completely; `problem` is the response to it."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def problem_body(problem: Problem, request_id: str | None = None) -> bytes:
    """Returns the JSON document of a problem."""
    document: dict[str, object] = {
        "type": f"urn:anviltray:problem:{problem.name}",
        "title": problem.name.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
        "outcome": problem.outcome,
    }
    if request_id is not None:
        document["request_id"] = request_id
    return json.dumps(document).encode()


def problem_headers(problem: Problem, body: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a problem document."""
    headers = [
        (b"content-type", CONTENT_TYPE),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME_HEADER, problem.outcome.encode()),
    ]
    if problem.retry_after_s is not None:
        headers.append((b"retry-after", f"{problem.retry_after_s:g}".encode()))
    if problem.challenge is not None:
        headers.append((b"www-authenticate", problem.challenge.encode()))
    return headers
