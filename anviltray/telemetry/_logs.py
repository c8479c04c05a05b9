"""Structured logs through Logbook."""

import json
import sys
from typing import Any

import logbook

_TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"
)


def _json_line(record: Any, _handler: object) -> str:
    """Returns one JSON object with the record's time, level, channel, message and extra fields."""
    fields = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
        **{key: str(value) for key, value in record.extra.items()},
    }
    if record.exc_info:
        fields["exception"] = str(record.formatted_exception)
    return json.dumps(fields, ensure_ascii=False)


def set_up_logs(level: str, *, as_json: bool) -> logbook.Handler:
    """Installs a handler on standard error for the whole process and returns it."""
    handler = logbook.StreamHandler(sys.stderr, level=logbook.lookup_level(level.upper()))
    if as_json:
        handler.formatter = _json_line
    else:
        handler.format_string = _TEXT_FORMAT
    handler.push_application()
    return handler
