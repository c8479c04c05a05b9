"""Structured logs through Logbook."""

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
    """Returns one JSON object with the record's time, level, channel, message and extra fields."""
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
    """Returns the object with all extra fields as text."""
    return _encode(record, str)


def _typed_json_line(record: Any, _handler: object) -> str:
    """Returns the object with the numbers, lists and objects of the extra fields."""
    return _encode(record, _plain)


def _plain(value: Any) -> Any:
    """Returns a value as JSON can hold it."""
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, list | tuple):
        return [_plain(item) for item in value]
    if isinstance(value, dict):
        return {str(key): _plain(item) for key, item in value.items()}
    return str(value)


class BoundedOutput:
    """Standard output that never blocks and passes on a bounded number of lines per second.

    A line that does not fit is dropped and counted; the next line that fits is preceded by the
    count. A reader that has stopped therefore costs lines and no time.
    """

    def __init__(self, descriptor: int, lines_s: float) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_s = lines_s
        self._tokens = lines_s
        self._refilled_s = time.monotonic()
        self._rest = b""  # Part of the last line that the pipe has not taken.
        self.dropped = 0

    def write(self, text: str) -> None:
        """Writes one line or drops it."""
        now_s = time.monotonic()
        self._tokens = min(self._lines_s, self._tokens + (now_s - self._refilled_s) * self._lines_s)
        self._refilled_s = now_s
        if self._tokens < 1 or not self._send(self._rest):
            self.dropped += 1
            return
        self._tokens -= 1
        if self.dropped:
            note = json.dumps({"level": "warning", "message": "lines dropped", "n": self.dropped})
            text = f"{note}\n{text}"
            self.dropped = 0
        self._send(text.encode("utf-8", "replace"))

    def flush(self) -> None:
        """Does nothing; lines are written at once."""

    def _send(self, data: bytes) -> bool:
        """Writes `data` and keeps what the pipe does not take; tells whether all was taken."""
        try:
            sent = os.write(self._descriptor, data) if data else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            sent = len(data)  # Nobody can read any more; there is nowhere to report that.
        self._rest = data[sent:]
        return not self._rest


def set_up_bounded_logs(level: str, lines_s: float) -> logbook.Handler:
    """Installs a handler that writes JSON lines to standard output and returns it."""
    output = BoundedOutput(sys.stdout.fileno(), lines_s)
    handler = logbook.StreamHandler(output, level=logbook.lookup_level(level.upper()))
    handler.formatter = _typed_json_line
    handler.push_application()
    return handler


def set_up_logs(level: str, *, as_json: bool) -> logbook.Handler:
    """Installs a handler on standard error for the whole process and returns it."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(level.upper()))
    if as_json:
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
