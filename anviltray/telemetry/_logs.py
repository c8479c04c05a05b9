"""Structured logging through Logbook."""

import json
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import logbook

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"
)


def _encode(record: Any, convert: Callable[[Any], Any]) -> str:
    """Returns a record as a JSON object with time, level, channel, message and extra fields."""
    fields = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
        **{key: convert(value) for key, value in record.extra.items()},
    }
    if record.exc_info:
        fields["exception"] = str(record.formatted_exception)
    return json.dumps(fields, ensure_ascii=False)


def _json_line(record: Any, _handler: object) -> str:
    """Formats a record as JSON with all extra fields as strings."""
    return _encode(record, str)


def _typed_json_line(record: Any, _handler: object) -> str:
    """Formats a record as JSON and keeps the types of the extra fields."""
    return _encode(record, _to_json_value)


def _to_json_value(value: Any) -> Any:
    """Converts a value to JSON types; other types become strings."""
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, list | tuple):
        return [_to_json_value(item) for item in value]
    if isinstance(value, dict):
        return {str(key): _to_json_value(item) for key, item in value.items()}
    return str(value)


class BoundedOutput:
    """Non-blocking output stream with a limit of lines per second.

    Lines above the limit, or while the pipe is full, are dropped and counted; the next line that is
    written is preceded by the count. A reader that stalls therefore loses lines but does not block
    the process.
    """

    def __init__(self, descriptor: int, lines_s: float) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_s = lines_s
        self._tokens = lines_s
        self._refilled_s = time.monotonic()
        self._remainder = b""  # Remainder of the last line, which the pipe was too full to accept.
        self.dropped = 0

    def write(self, text: str) -> None:
        """Writes one line, or drops it if the rate limit is reached or the pipe is full."""
        now_s = time.monotonic()
        self._tokens = min(self._lines_s, self._tokens + (now_s - self._refilled_s) * self._lines_s)
        self._refilled_s = now_s
        if self._tokens < 1 or not self._send(self._remainder):
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            notice = json.dumps({"level": "warning", "message": "lines dropped", "n": self.dropped})
            text = f"{notice}\n{text}"
            self.dropped = 0
        self._send(text.encode("utf-8", "replace"))

    def flush(self) -> None:
        """Does nothing, since lines are written immediately."""

    def _send(self, data: bytes) -> bool:
        """Writes `data` and stores the remainder; returns whether everything was written."""
        try:
            sent = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            sent = len(data)  # The reader has closed the pipe, and the error cannot be reported.
        self._remainder = data[sent:]
        return not self._remainder


def set_up_bounded_logs(level: str, lines_s: float) -> logbook.Handler:
    """Installs and returns a handler that writes JSON lines to standard output."""
    output = BoundedOutput(sys.stdout.fileno(), lines_s)
    handler = logbook.StreamHandler(output, level=logbook.lookup_level(level.upper()))
    handler.formatter = _typed_json_line
    handler.push_application()
    return handler


def set_up_logs(level: str, *, as_json: bool) -> logbook.Handler:
    """Installs and returns a handler on standard error for the whole process."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(level.upper()))
    if as_json:
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
