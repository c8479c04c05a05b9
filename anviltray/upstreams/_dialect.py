"""Protocol of upstreams: deadline, identifier, refusal, drain, load, health and cancellation.

Header names come from the settings. Support for another protocol needs another class with the same
methods.
"""

import json
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anviltray.settings import UpstreamSettings

# Outcome from the cancel endpoint that guarantees that the request was not and will not be started.
NOT_STARTED = "not-started"
MISDIRECTED = 421  # The requested instance has another address (RFC 9110, 15.5.20).


class Signals(NamedTuple):
    """State of an upstream as signalled in the headers of one response."""

    refused: bool  # The request was refused before it started.
    draining: bool  # The upstream is draining.
    cold: bool  # The upstream is still warming up.
    load: float | None  # Share of its slots that are in use.


NO_SIGNALS = Signals(refused=False, draining=False, cold=False, load=None)


class Dialect:
    """Header names and endpoints of the upstreams, preprocessed for the request path."""

    def __init__(self, settings: UpstreamSettings) -> None:
        self.deadline_header = settings.deadline_header
        self.request_id_header = settings.request_id_header
        self.health_path = settings.health_path
        self.cancel_path = settings.cancel_path
        self._refusal_statuses = frozenset(settings.refusal_statuses)
        self._shed_header = settings.shed_header
        self._shed = settings.shed_header.lower().encode()
        self._drain = settings.drain_header.lower().encode()
        self._load = settings.load_header.lower().encode()
        self._cold = settings.cold_header.lower().encode()
        # A caller must not set the identifier or deadline that the upstream receives, because the
        # identifier is also the key for cancellations.
        self.reserved_request_headers = frozenset(
            {self.deadline_header.lower().encode(), self.request_id_header.lower().encode()}
        )
        # Signals are meant for the node and are not forwarded to the caller.
        self.signal_headers = frozenset({self._shed, self._drain, self._load, self._cold})

    def identifier_headers(self, request_id: str | None) -> list[tuple[str, str]]:
        """Returns the header with the identifier of a request; empty if it has none."""
        return [] if request_id is None else [(self.request_id_header, request_id)]

    def signals(self, status: int, fields: Iterable[tuple[bytes, bytes]]) -> Signals:
        """Parses the signals of a response from its headers that are in `signal_headers`.

        A response is a refusal only if it has the shed header and a status from the settings. A
        draining upstream sets the drain header on every response, so a 503 with only the drain
        header may come from a request that ran.
        """
        shed = draining = cold = False
        load: float | None = None
        for name, value in fields:
            if name == self._load:
                load = _parse_load(value)
            elif value.strip().lower() in (b"0", b"false", b"no"):
                continue
            elif name == self._shed:
                shed = True
            elif name == self._drain:
                draining = True
            else:
                cold = True
        refused = shed and status in self._refusal_statuses
        return Signals(refused, draining, cold, load)

    def is_unidentified_refusal(self, status: int, headers: Mapping[str, str]) -> bool:
        """Returns whether a response may refuse a request but does not say which one."""
        return (
            status in self._refusal_statuses
            and self._shed_header in headers
            and self.request_id_header not in headers
        )

    def confirms_not_started(self, status: int, body: bytes) -> bool:
        """Returns whether a response to a cancellation guarantees that the request does not run.

        This requires status 200 and the JSON object `{"outcome": "not-started"}`.
        """
        if status != 200:
            return False
        try:
            document = json.loads(body)
        except ValueError:
            return False
        return isinstance(document, dict) and document.get("outcome") == NOT_STARTED


def _parse_load(value: bytes) -> float | None:
    try:
        load = float(value)
    except ValueError:
        return None
    return load if 0.0 <= load < 1e6 else None
