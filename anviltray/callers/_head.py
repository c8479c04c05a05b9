"""Parses the head of a caller's request in one pass over its headers."""

import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from anviltray.callers._problems import InputError, Problem
from anviltray.settings import CallerSettings
from anviltray.upstreams import HOP_BY_HOP, Dialect, connection_options

REQUEST_ID_HEADER = b"anviltray-request-id"
DEADLINE_HEADER = b"anviltray-deadline-ms"
FORWARDED_HEADER = b"anviltray-forwarded"

# Longer deadlines are reduced to this, so that no request holds a slot and a connection for days.
DEADLINE_LIMIT_MS = 3_600_000
REQUEST_ID_LIMIT = 256

_CONTROL = re.compile(r"[\x00-\x1f\x7f]")
_HANDLED_HEADERS = frozenset({b"expect", b"host", b"content-length"})
_AUTHORIZATION_HEADER = b"authorization"


class CallerHeaders(NamedTuple):
    """Names of the headers that callers use, in lower case."""

    request_id: bytes = REQUEST_ID_HEADER  # Identifier of the request.
    deadline_ms: bytes = DEADLINE_HEADER  # Deadline in milliseconds from now.
    # Name of the caller's account. Empty if the configuration never has accounts; this header and
    # Authorization are then ordinary ones.
    account: bytes = b""


class RequestHead(NamedTuple):
    """Parsed head of a request."""

    method: str  # HTTP method.
    target: str  # Path and query as sent to the upstream.
    path: str  # Percent-decoded path, for routes and retry rules.
    host: str  # Value of the Host header.
    headers: list[tuple[str, str]]  # End-to-end headers including Host.
    content_length: int  # Bytes of the body; 0 without a body, -1 if it is chunked.
    request_id: str | None  # Request identifier, if the caller sent one.
    deadline_s: float  # Seconds for which the caller waits.
    forwarded: bool  # Whether another node forwarded the request.
    # Authorization and account headers as received; none of them is in `headers`.
    account_headers: tuple[tuple[str, str], ...] = ()

    def __repr__(self) -> str:
        """Returns a representation without header values, since they may contain secrets."""
        return f"RequestHead({self.method!r}, {self.host!r}, {self.path!r}, {self.request_id!r})"

    @property
    def authorization(self) -> list[str]:
        """Values of the Authorization headers among `account_headers`."""
        return [value for name, value in self.account_headers if name == "authorization"]


class HeadReader:
    """Parses request heads with the limits and header names of one node."""

    def __init__(
        self,
        settings: CallerSettings,
        dialect: Dialect,
        headers: CallerHeaders = CallerHeaders(),  # noqa: B008  # Immutable.
    ) -> None:
        self._headers = headers
        node_headers = frozenset({*headers, FORWARDED_HEADER})
        self._account_headers = (
            frozenset({headers.account, _AUTHORIZATION_HEADER}) if headers.account else frozenset()
        )
        self._filtered_headers = (
            HOP_BY_HOP
            | node_headers
            | self._account_headers
            | _HANDLED_HEADERS
            | dialect.reserved_request_headers
        )
        self._body_limit = settings.body_limit_bytes
        self._default_deadline_s = settings.default_deadline_s

    def read(self, scope: Any) -> RequestHead:
        """Returns the head of an ASGI scope; raises InputError."""
        filtered_names = self._filtered_headers
        headers: list[tuple[str, str]] = []
        filtered: list[tuple[bytes, bytes]] = []
        try:
            for name, value in scope["headers"]:
                if name in filtered_names:
                    filtered.append((name, value))
                else:
                    headers.append((name.decode("ascii"), value.decode()))
            return self._build(scope, headers, filtered)
        except UnicodeDecodeError:
            # aiohttp encodes headers as UTF-8, which would alter other bytes on the way upstream.
            raise bad_request("a header is not valid UTF-8") from None

    def _build(
        self, scope: Any, headers: list[tuple[str, str]], filtered: Sequence[tuple[bytes, bytes]]
    ) -> RequestHead:
        host: bytes | None = None
        length = 0
        request_id: str | None = None
        deadline_s = self._default_deadline_s
        forwarded = False
        account_headers: list[tuple[str, str]] = []
        removed: frozenset[bytes] = frozenset()
        for name, value in filtered:
            if name == b"host":
                if host is not None:
                    raise bad_request("there are several Host headers")
                host = value
            elif name == b"content-length":
                length = self._length(value)
            elif name == b"transfer-encoding":
                if value.lower() != b"chunked":
                    raise InputError(
                        Problem(501, "not-implemented", "only chunked is decoded", close=True)
                    )
                length = -1
            elif name == b"connection":
                removed |= connection_options(value)
            elif name == self._headers.deadline_ms:
                deadline_s = _deadline_s(name, value)
            elif name == self._headers.request_id:
                request_id = _request_id(name, value, request_id)
            elif name in self._account_headers:
                account_headers.append((name.decode("ascii"), value.decode()))
            elif name == FORWARDED_HEADER:
                forwarded = True
        if not host:
            raise bad_request("there is no Host header")
        headers.append(("Host", host.decode()))
        if removed:
            headers = [field for field in headers if field[0].encode() not in removed]
            account_headers = [
                field for field in account_headers if field[0].encode() not in removed
            ]
        raw_path, query = scope["raw_path"], scope["query_string"]
        if b"%" in raw_path or b"/." in raw_path or b"\\" in raw_path:
            _check_path(raw_path, scope["path"])
        target = raw_path if not query else raw_path + b"?" + query
        return RequestHead(
            scope["method"],
            target.decode("ascii"),
            scope["path"],
            host.decode("ascii"),
            headers,
            length,
            request_id,
            deadline_s,
            forwarded,
            tuple(account_headers),
        )

    def _length(self, value: bytes) -> int:
        if not value.isdigit():
            raise bad_request("Content-Length is not a number")
        length = int(value)
        if length > self._body_limit:
            raise too_large(self._body_limit)
        return length


def bad_request(detail: str) -> InputError:
    """Returns the error for a request that violates the protocol."""
    return InputError(Problem(400, "bad-request", detail, close=True))


def too_large(limit_bytes: int) -> InputError:
    """Returns the error for a body above the limit."""
    return InputError(
        Problem(413, "body-too-large", f"the body is larger than {limit_bytes} bytes", close=True)
    )


def _deadline_s(name: bytes, value: bytes) -> float:
    if not value.isdigit() or len(value) > 12:
        raise bad_request(f"{name.decode()} is not a whole number of milliseconds")
    return min(int(value), DEADLINE_LIMIT_MS) / 1000


def _request_id(name: bytes, value: bytes, previous: str | None) -> str:
    if previous is not None:
        raise bad_request(f"there are several {name.decode()} headers")
    text = value.decode("ascii")
    if not text or len(text) > REQUEST_ID_LIMIT or not text.isprintable() or " " in text:
        raise bad_request(f"{name.decode()} is not an identifier")
    return text


def _check_path(raw_path: bytes, path: str) -> None:
    """Rejects paths that an upstream may normalize differently than the routes and retry rules do.

    Otherwise a request that must not be retried could match the retry rule of another path.
    """
    lowered = raw_path.lower()
    if b"%2f" in lowered or b"%5c" in lowered or b"\\" in lowered:
        raise bad_request("the path contains an escaped separator")
    if any(segment in (".", "..") for segment in path.split("/")):
        raise bad_request("the path contains a dot segment")
    if _CONTROL.search(path):
        raise bad_request("the path contains a control character")
